"""What the end of a connection tells about an answer."""

import asyncio
import resource
import socket
import struct
import unittest

from bilberryplank._direct_client import DirectClient
from bilberryplank._single_call import UpstreamBroke, UpstreamNotReached
from bilberryplank_core.direct import LinkPacer


class RawUpstreamCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = DirectClient(LinkPacer(None))
        self.answer, self.endless, self.resets = b"", b"", False
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def asyncTearDown(self):
        await self.client.close()
        self.server.close()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        while self.endless:
            writer.write(self.endless)
            await writer.drain()
        await writer.drain()
        await asyncio.sleep(0.05)
        if self.resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        writer.close()

    async def ask(self):
        answer = await self.client.send(self.address, "GET", "/x?y=%2F", [("A", "b")], b"")
        try:
            return answer.status, await answer.body(1000)
        finally:
            answer.close()


class DirectClientTest(RawUpstreamCase):
    async def test_an_answer_without_a_length_ends_with_its_connection(self):
        self.answer = b"HTTP/1.1 200 OK\r\n\r\nwhole"
        self.assertEqual(await self.ask(), (200, b"whole"))

    async def test_such_an_answer_that_ends_in_a_reset_is_not_whole(self):
        self.answer, self.resets = b"HTTP/1.1 200 OK\r\n\r\npart", True
        with self.assertRaises(UpstreamBroke):
            await self.ask()

    async def test_a_second_answer_belongs_to_nobody(self):
        one = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
        self.answer = one + one
        for _ in range(3):
            self.assertEqual(await self.ask(), (200, b"one"))

    async def test_answers_that_are_cut_or_no_http_broke(self):
        for text in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
            b"",
            b"\x00garbage\r\n\r\n",
        ):
            self.answer = text
            with self.subTest(text=text), self.assertRaises(UpstreamBroke):
                await self.ask()

    async def test_an_answer_that_ends_within_its_head_broke(self):
        """A head that was cut must not count as a whole answer without a body."""
        whole = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 3\r\n"
        for end in range(1, len(whole) + 1):
            self.answer = whole[:end]
            with self.subTest(text=self.answer), self.assertRaises(UpstreamBroke):
                await self.ask()

    async def test_an_address_that_cannot_be_connected_to_was_never_reached(self):
        for self.address in ("127.0.0.1:70000", "127.0.0.1:\u00b2", ":80", "h" * 300 + ":80", "no"):
            with self.subTest(self.address[:20]):
                with self.assertRaises(UpstreamNotReached):
                    await self.ask()
                with self.assertRaises(UpstreamBroke):
                    await self.client.ask(self.address, "/x")
                self.assertIsNone(await self.client.is_listening(self.address))

    async def test_a_port_without_a_listener_was_never_reached(self):
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(UpstreamNotReached):
            await self.ask()


class BytesWithoutEndTest(RawUpstreamCase):
    """Load pattern: upstreams that send what is no answer until the connection is closed."""

    LIMIT_SECONDS = 1.5
    MOST_GROWTH_BYTES = 32 * 1024 * 1024

    async def test_no_part_of_an_answer_may_go_on_for_ever(self):
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        cases = {
            "status line": (b"HTTP/1.1 200 ", b"x" * 4096),
            "header line": (head + b"A: ", b"x" * 4096),
            "headers": (head, b"A: " + b"x" * 1000 + b"\r\n"),
            "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            "body": (head + b"\r\n", b"x" * 4096),
            "chunks": (chunked, b"400\r\n" + b"x" * 1024 + b"\r\n"),
            "chunk size": (chunked, b"0" * 4096),
            "chunk extension": (chunked + b"5;", b"x" * 4096),
            "trailers": (chunked + b"0\r\n", b"A: " + b"x" * 1000 + b"\r\n"),
            "garbage": (b"", b"\xff" * 4096),
        }
        for name, (self.answer, self.endless) in cases.items():
            with self.subTest(name):
                before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                with self.assertRaises((UpstreamBroke, TimeoutError)):
                    async with asyncio.timeout(self.LIMIT_SECONDS):
                        await self.ask()
                after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                self.assertLess((after - before) * 1024, self.MOST_GROWTH_BYTES)


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Load pattern: long prompts beside streams on a slow link."""

    BODY = bytes(range(256)) * 200
    RATE = 1e6

    async def asyncSetUp(self):
        self.client = DirectClient(LinkPacer(self.RATE))
        self.arrived = []
        self.answers_early = False
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def asyncTearDown(self):
        await self.client.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.head = await reader.readuntil(b"\r\n\r\n")
        if not self.answers_early:
            body = await reader.readexactly(len(self.BODY))
            self.arrived.append((body, asyncio.get_running_loop().time()))
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
        await writer.drain()
        await reader.read()
        writer.close()

    async def post(self):
        answer = await self.client.send(self.address, "POST", "/x", [], self.BODY)
        try:
            return answer.status, await answer.body(1000)
        finally:
            answer.close()

    async def test_bodies_arrive_whole_with_their_length_and_share_the_link(self):
        began = asyncio.get_running_loop().time()
        self.assertEqual(await asyncio.gather(self.post(), self.post()), [(503, b"busy")] * 2)
        self.assertEqual([body for body, _ in self.arrived], [self.BODY] * 2)
        self.assertIn(b"Content-Length: 51200\r\n", self.head)
        self.assertNotIn(b"chunked", self.head.lower())
        both = 2 * len(self.BODY) / self.RATE
        self.assertGreater(self.arrived[-1][1] - began, 0.9 * both)

    async def test_an_answer_that_comes_before_the_body_went_out_is_taken(self):
        self.answers_early = True
        began = asyncio.get_running_loop().time()
        self.assertEqual(await self.post(), (503, b"busy"))
        self.assertLess(asyncio.get_running_loop().time() - began, len(self.BODY) / self.RATE)
