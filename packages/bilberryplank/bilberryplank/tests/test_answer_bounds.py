"""Connections on which more comes than an answer, over sockets."""

import asyncio
import unittest

import aiohttp

from bilberryplank._answer_bounds import (
    MAX_EXCESS_PIECES,
    MAX_INTERIM_ANSWERS,
    AnswerOverflow,
    BoundedConnector,
)
from bilberryplank._platform_http import MAX_ANSWER_BYTES, ServiceClient
from bilberryplank_core._read_pacer import PIECES_PER_SECOND
from bilberryplank_core.direct import ReadPacer
from bilberryplank_core.errors import PlatformUnavailable

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class AnswerBoundsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.begin, self.piece, self.most = b"", b"", 0
        self.sent = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.url = "http://{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        self.session = aiohttp.ClientSession(connector=BoundedConnector())

    async def asyncTearDown(self):
        await self.session.close()
        self.server.close()

    async def serve(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.begin)
                for _ in range(self.most):
                    writer.write(self.piece)
                    await writer.drain()
                    self.sent += len(self.piece)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def body(self):
        async with self.session.get(self.url) as resp:
            return await resp.read()

    async def test_a_few_interim_answers_are_taken_and_more_end_the_call(self):
        self.begin = (
            MAX_INTERIM_ANSWERS * INTERIM + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        for _ in range(3):
            self.assertEqual(await self.body(), b"ok")
        self.begin = INTERIM + self.begin
        with self.assertRaisesRegex(AnswerOverflow, "interim"):
            await self.body()

    async def test_small_chunks_of_a_whole_answer_are_taken(self):
        count = MAX_EXCESS_PIECES // 4
        self.begin = CHUNKED + count * b"1\r\na\r\n" + b"0\r\n\r\n"
        self.assertEqual(await self.body(), count * b"a")

    async def test_an_answer_with_some_small_chunks_does_not_wait_for_connections_with_many(self):
        await self.session.close()
        pacer, loop = ReadPacer(), asyncio.get_running_loop()
        self.session = aiohttp.ClientSession(connector=BoundedConnector(pacer=pacer))
        pacer.reserve(int(10 * PIECES_PER_SECOND), loop.time())
        self.begin = CHUNKED + 300 * b"1\r\na\r\n" + b"0\r\n\r\n"
        began = loop.time()
        self.assertEqual(await self.body(), 300 * b"a")
        self.assertLess(loop.time() - began, 1.0)

    async def test_small_chunks_without_end_are_read_slowly_and_end_the_call(self):
        self.begin, self.piece, self.most = CHUNKED, 3000 * b"1\r\na\r\n", 10**6
        loop = asyncio.get_running_loop()
        began = loop.time()
        with self.assertRaisesRegex(AnswerOverflow, "pieces"):
            await self.body()
        self.assertGreater(loop.time() - began, 0.5)

    async def test_an_endless_chunk_extension_ends_the_call(self):
        self.begin, self.piece, self.most = CHUNKED + b"5;x=", 16384 * b"a", 10**6
        with self.assertRaisesRegex(AnswerOverflow, "no part"):
            await self.body()
        self.assertLess(self.sent, 16 * 1024 * 1024)

    # A body of the store without end was held whole.
    async def test_an_endless_answer_of_a_service_is_not_held(self):
        self.begin = b"HTTP/1.1 200 OK\r\n\r\n"
        self.piece, self.most = 65536 * b"a", 10**6
        client = ServiceClient(self.session, self.url, 10.0)
        with self.assertRaisesRegex(PlatformUnavailable, "more than"):
            await client.call("GET", "/")
        self.assertLess(self.sent, 2 * MAX_ANSWER_BYTES)


class SlowServiceTest(unittest.IsolatedAsyncioTestCase):
    """Load pattern: a configuration of a few megabytes over a link of 10 Mbit/s."""

    PIECES, PIECE, PAUSE, TIMEOUT = 25, 40_000 * b"a", 0.1, 1.0

    async def asyncSetUp(self):
        self.asked = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.url = "http://{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def asyncTearDown(self):
        self.server.close()

    async def serve(self, reader, writer):
        self.asked += 1
        await reader.readuntil(b"\r\n\r\n")
        size = self.PIECES * len(self.PIECE)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(self.PIECES):
                writer.write(self.PIECE)
                await writer.drain()
                await asyncio.sleep(self.PAUSE)
        except ConnectionError:
            pass
        writer.close()

    async def read(self, **options):
        async with aiohttp.ClientSession(connector=BoundedConnector(**options)) as session:
            return await ServiceClient(session, self.url, self.TIMEOUT).read("/")

    # No answer that took longer than the time-out was ever read, however it went on.
    async def test_a_long_answer_that_goes_on_is_read_whole_and_asked_for_once(self):
        answer = await self.read()
        self.assertEqual(len(answer.body), self.PIECES * len(self.PIECE))
        self.assertEqual(self.asked, 1)

    # The bytes of a configuration held up the streams on a slow link.
    async def test_a_long_answer_is_read_at_the_given_rate(self):
        self.PAUSE = 0.0
        rate = 500_000
        began = asyncio.get_running_loop().time()
        await self.read(byte_rate=rate)
        took = asyncio.get_running_loop().time() - began
        self.assertGreater(took, 0.7 * self.PIECES * len(self.PIECE) / rate)
        self.assertLess(took, 2.0 * self.PIECES * len(self.PIECE) / rate)
