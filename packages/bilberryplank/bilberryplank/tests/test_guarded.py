import asyncio
import errno
import os
import signal
import socket
import sys
import unittest
from http import HTTPStatus

import aiohttp

from bilberryplank._guarded_http import GuardedClient
from bilberryplank.platform import Platform
from bilberryplank.tests._frozen_holder import LEASE, OLD_FENCE
from bilberryplank.tests.test_platform import CountedGuard
from bilberryplank_core.contracts import StartUpstream
from bilberryplank_core.errors import LeaseLost, PlatformUnavailable
from bilberryplank_core.settings import PlatformSettings
from bilberryplank_testing.platform import FakePlatform
from bilberryplank_testing.run_log import RunEnd

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
BODY = b"0123456789"
LONG = 10.0
HANG_LIMIT = 20.0


class RawServer:
    """Records the bytes of each connection after the head, and answers the head by a script."""

    def __init__(self, answer=CONTINUE, *, reads=True, hold=None, closes=False, silent=False):
        self.answer = answer
        self.closes, self.silent, self.whole = closes, silent, asyncio.Event()
        self.reads = reads
        self.hold = hold
        self.bodies = []
        self.headed = asyncio.Event()
        self.ended = asyncio.Event()
        self.server = None

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.serve, sock=sock, limit=4096)
        return f"http://127.0.0.1:{sock.getsockname()[1]}"

    async def stop(self):
        self.server.close()
        await self.server.wait_closed()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.headed.set()
        if self.hold is not None:
            await self.hold.wait()
        writer.write(self.answer)
        if self.reads:
            self.bodies.append(await self.read_body(reader, writer))
        else:
            writer.transport.pause_reading()
        self.ended.set()

    async def read_body(self, reader, writer):
        body = b""
        while data := await reader.read(4096):
            body += data
            if body == BODY:
                self.whole.set()
                if self.closes:
                    break
                if not self.silent:
                    writer.write(OK)
        writer.close()
        return body


class TrackingGuard(CountedGuard):
    """Records how each whole call ended."""

    def __init__(self, passes):
        super().__init__(passes)
        self.ends = []

    def begin_call(self):
        self.check()
        return self

    def end(self, answered):
        self.ends.append(answered)


class GuardedCallTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, server, guard, body=BODY):
        url = await server.start()
        try:
            return await GuardedClient(url, LONG).call("POST", "/orders", body, guard)
        finally:
            if server.reads:
                await asyncio.wait_for(server.ended.wait(), HANG_LIMIT)
            await server.stop()

    async def test_the_last_byte_follows_the_check(self):
        cases = [(0, []), (1, [BODY[:-1]]), (2, [BODY])]
        for passes, bodies in cases:
            with self.subTest(passes=passes):
                server = RawServer()
                if passes == 0:
                    server.ended.set()
                try:
                    answer = await self.call(server, CountedGuard(passes))
                    self.assertEqual((answer.status, passes), (200, 2))
                except LeaseLost:
                    self.assertLess(passes, 2)
                self.assertEqual(server.bodies, bodies)

    async def test_the_guard_hears_whether_a_whole_call_was_answered(self):
        cases = [("answered", 2, RawServer(), [True]), ("refused", 1, RawServer(), [])]
        cases.append(("closed", 2, RawServer(closes=True), [False]))
        for name, passes, server, ends in cases:
            with self.subTest(name):
                guard = TrackingGuard(passes)
                try:
                    await self.call(server, guard)
                except (LeaseLost, PlatformUnavailable):
                    self.assertNotEqual(name, "answered")
                self.assertEqual(guard.ends, ends)

    async def test_a_call_that_is_given_up_counts_as_unanswered(self):
        server, guard = RawServer(silent=True), TrackingGuard(2)
        url = await server.start()
        call = asyncio.create_task(GuardedClient(url, LONG).call("POST", "/orders", BODY, guard))
        await asyncio.wait_for(server.whole.wait(), HANG_LIMIT)
        self.assertEqual(guard.ends, [])
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.assertEqual(guard.ends, [False])
        await server.stop()

    async def test_no_body_leaves_before_the_server_asks_for_it(self):
        server = RawServer(BUSY)
        guard = CountedGuard()
        answer = await self.call(server, guard)
        with self.assertRaises(PlatformUnavailable):
            answer.expect(HTTPStatus.OK)
        self.assertEqual((server.bodies, guard.checks), ([b""], 1))

    async def test_the_kernel_gives_up_when_the_lease_ends(self):
        # The server's kernel takes no more bytes; only TCP_USER_TIMEOUT ends that before LONG.
        for size in (60_000, 1_000_000):
            with self.subTest(size=size):
                guard = CountedGuard(remaining=0.3)
                with self.assertRaises(PlatformUnavailable) as caught:
                    await self.call(RawServer(reads=False), guard, b"x" * size)
                self.assertIn(os.strerror(errno.ETIMEDOUT), str(caught.exception))
                self.assertEqual(guard.checks, 1)


class FrozenHolderTest(unittest.IsolatedAsyncioTestCase):
    """A holder in a process of its own is frozen past its lease, then woken."""

    async def freeze(self, url, step, *, stop=None):
        self.holder = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bilberryplank.tests._frozen_holder",
            url,
            step,
            stdout=asyncio.subprocess.PIPE,
            # Else the kernel ends the frozen holder with SIGHUP where the shell of a test run in
            # the background exits: a process group with a stopped process was left without it.
            start_new_session=True,
        )
        self.addAsyncCleanup(self.end_holder)
        if stop is not None:
            await asyncio.wait_for(stop.wait(), HANG_LIMIT)
            self.holder.send_signal(signal.SIGSTOP)
        await asyncio.wait_for(self.stopped(), HANG_LIMIT)

    async def end_holder(self):
        if self.holder.returncode is None:
            self.holder.kill()
            await self.holder.wait()

    async def stopped(self):
        path = f"/proc/{self.holder.pid}/stat"
        while True:
            with open(path) as file:  # noqa: ASYNC230 - procfs does not block
                if file.read().rpartition(") ")[2][0] == "T":
                    return
            await asyncio.sleep(0.01)

    async def wake_after_lease(self):
        await asyncio.sleep(LEASE * 1.5)
        self.holder.send_signal(signal.SIGCONT)
        output, _ = await self.holder.communicate()
        return output.decode().strip()

    async def test_frozen_while_waiting_for_the_server(self):
        server = RawServer(hold=asyncio.Event())
        url = await server.start()
        await self.freeze(url, "waiting", stop=server.headed)
        server.hold.set()
        self.assertEqual(await self.wake_after_lease(), "lease_lost")
        await asyncio.wait_for(server.ended.wait(), HANG_LIMIT)
        await server.stop()
        self.assertFalse(server.bodies[0].endswith(b"}"))

    async def test_frozen_right_before_the_check(self):
        fake = FakePlatform(honours_fences=False)
        await self.freeze(await fake.start(), "before_check")
        self.assertEqual(await self.wake_after_lease(), "lease_lost")
        await fake.stop()
        self.assertEqual([entry.end for entry in fake.log.entries], [RunEnd.CUT_SHORT])
        self.assertEqual(fake.orders.carried_out, [])

    async def test_frozen_right_after_the_check_is_left_to_the_fence(self):
        fake = FakePlatform(honours_fences=True)
        url = await fake.start()
        await self.freeze(url, "after_check")
        async with aiohttp.ClientSession() as session:
            platform = Platform.from_settings(PlatformSettings(*[url] * 5), session)
            newer = StartUpstream("new", OLD_FENCE + 1, "nz-1", "models")
            await platform.orders.send(newer, CountedGuard())
        self.assertEqual(await self.wake_after_lease(), "order_rejected")
        await fake.stop()
        self.assertEqual([item["order_id"] for item in fake.orders.carried_out], ["new"])


if __name__ == "__main__":
    unittest.main()
