"""What follows an answer that was given before the body of its request had come whole."""

import asyncio
import itertools
import json
import unittest
from dataclasses import replace

from aiohttp import web

from bilberryplank._caller_memory import CallerMemory
from bilberryplank._caller_request import receive
from bilberryplank._caller_server import CallerServer
from bilberryplank._metrics import ProcessMetrics
from bilberryplank.tests._raw_caller import FIELDS, TIMEOUT, Caller, request
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.memory import Pool
from bilberryplank_core.settings import CallerSettings

SETTINGS = CallerSettings(max_header_bytes=16 * 1024)
SIZES = (1_000, 66_000, 400_000, 3_900_000)
LONG = 3_900_000
NEXT = b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"


class RefusedBodyCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.callers = []
        await self.start()

    async def start(self, **changes):
        self.settings = replace(SETTINGS, **changes)
        self.memory = CallerMemory(self.settings, ProcessMetrics())
        self.refused = []
        self.server = CallerServer(
            "127.0.0.1:0", self.settings, self.handle, self.refused.append, self.memory
        )
        await self.server.start()

    async def restart(self, **changes):
        await self.server.stop()
        await self.start(**changes)

    async def asyncTearDown(self):
        for caller in self.callers:
            caller.writer.close()
        await self.server.stop()

    async def handle(self, request):
        try:
            if request.path == "/refused":
                raise Refused(RefusalReason.ROUTE_UNKNOWN, "no route")
            if request.path == "/read":
                await receive(request, self.settings, self.memory.open_body("acme"))
        except Refused as refused:
            status = 404 if refused.reason is RefusalReason.ROUTE_UNKNOWN else 400
            return web.Response(status=status, text=refused.reason.value)
        return web.Response(text=request.path)

    async def connect(self):
        caller = await Caller.connect(self.server.port)
        self.callers.append(caller)
        return caller

    async def check_next(self, caller):
        """Checks that the connection serves a request, and that nothing else came before."""
        await caller.send([NEXT])
        status, _, body = await caller.answer()
        self.assertEqual((status, body), (200, b"/next"))

    async def check_closed(self, caller, status, after):
        """Checks that one whole answer says that it is the last one, and is."""
        answered, fields, _ = await caller.answer()
        self.assertEqual(
            (answered, fields.get("Connection"), await caller.rest()), (status, "close", b""), after
        )


class KeptConnectionTest(RefusedBodyCase):
    """Callers read a 431 for the bytes of a refused body as the answer to their next request."""

    async def test_the_next_request_gets_its_own_answer(self):
        forms = itertools.product(SIZES, (False, True), (0.0, 0.05), (False, True))
        await asyncio.gather(*(self.check_pair(*form) for form in forms))
        self.assertEqual(self.refused, [])

    async def check_pair(self, size, chunked, pause, is_behind):
        form = f"{size=} {chunked=} {pause=} {is_behind=}"
        caller = await self.connect()
        pieces = [*request(size, chunked), *([NEXT] if is_behind else [])]
        await caller.send(pieces, pause)
        self.assertEqual((await caller.answer())[::2], (404, b"route_unknown"), form)
        if not is_behind:
            await caller.send([NEXT])
        self.assertEqual((await caller.answer())[::2], (200, b"/next"), form)

    async def test_a_refused_body_starts_no_timer_of_a_head(self):
        """Callers got an unasked 408 on a connection that rested after the refusal."""
        await self.restart(body_timeout=0.3)
        for size in SIZES:
            caller = await self.connect()
            await caller.send(request(size))
            self.assertEqual((await caller.answer())[0], 404)
            await asyncio.sleep(0.6)
            await self.check_next(caller)

    async def test_a_body_before_the_turn_of_its_handler_starts_no_timer_of_a_head(self):
        """Callers got an unasked 408 for a whole body that came just behind its head."""
        await self.restart(body_timeout=0.2)
        for turns in range(4):
            caller = await self.connect()
            await self.check_next(caller)
            (protocol,) = self.server._factory.connections
            head, *body = request(100)
            protocol.data_received(head)
            for _ in range(turns):
                await asyncio.sleep(0)
            protocol.data_received(b"".join(body))
            with self.subTest(turns=turns):
                self.assertEqual((await caller.answer())[0], 404)
                await asyncio.sleep(0.4)
                await self.check_next(caller)
            protocol.cut()
            await asyncio.sleep(0.01)

    async def test_a_body_without_room_is_dropped(self):
        """Callers that write before they read found a reset in place of the 503."""
        await self.restart(held_bytes=LONG, body_wait=0.05)
        other = self.memory.open_body("other")
        await other.take(LONG // 2)
        caller = await self.connect()
        await caller.send(request(LONG, path="/read"))
        self.assertEqual((await caller.answer())[::2], (400, b"memory_full"))
        await self.check_next(caller)
        other.release()
        self.assertEqual([self.memory.budget.used(pool) for pool in Pool], [0] * len(Pool))


class ClosedConnectionTest(RefusedBodyCase):
    """A connection that was closed with unread bytes was reset, and the answer before it lost."""

    async def test_a_body_over_the_bound_ends_its_connection(self):
        await self.restart(max_body_bytes=1_000_000)
        for chunked, path in itertools.product((False, True), ("/read", "/refused")):
            caller = await self.connect()
            await caller.send(request(LONG, chunked, path))
            after = f"{chunked=} {path=}"
            if chunked and path == "/refused":
                # Nothing tells the length in advance: the end comes without a word before it.
                self.assertEqual((await caller.answer())[0], 404)
                self.assertEqual(await caller.rest(), b"", after)
            else:
                await self.check_closed(caller, 400 if path == "/read" else 404, after)

    async def test_a_body_that_stops_coming_ends_its_connection(self):
        await self.restart(body_timeout=0.3)
        for path, status in (("/read", 400), ("/refused", 404)):
            caller = await self.connect()
            await caller.send(list(request(LONG, path=path))[:3])
            answered, fields, _ = await caller.answer()
            self.assertEqual(answered, status)
            self.assertEqual(fields.get("Connection"), "close" if path == "/read" else None)
            self.assertEqual(await caller.rest(), b"")

    async def test_a_body_without_end_is_bounded_in_time_and_bytes(self):
        await self.restart(body_timeout=0.3, max_body_bytes=1_000_000)
        for size, pause in ((10**9, 0.0), (10**6, 0.1)):
            caller = await self.connect()
            with self.assertRaises(ConnectionError):
                async with asyncio.timeout(TIMEOUT):
                    await caller.send(request(size, chunked=True), pause)
                    await caller.send(itertools.repeat(b"1\r\nx\r\n"), 0.05)

    async def test_a_broken_chunk_gets_no_second_answer(self):
        broken = b"5\r\nxxxxx\r\nzz\r\n"
        for path, status in (("/read", 400), ("/refused", 404)):
            caller = await self.connect()
            head, *_ = request(1, chunked=True, path=path)
            async with asyncio.timeout(TIMEOUT / 2):
                await caller.send([head, broken, b"x" * 100_000], 0.02)
                self.assertEqual((await caller.answer())[0], status)
                self.assertEqual(await caller.rest(), b"")

    async def test_a_caller_that_was_not_told_to_continue_is_told_to_close(self):
        """It may send its next request where its body was due."""
        caller = await self.connect()
        head, *_ = request(LONG, fields={**FIELDS, "Expect": "100-continue"})
        await caller.send([head])
        await self.check_closed(caller, 404, "Expect: 100-continue")

    async def test_a_head_that_is_too_large_is_answered_before_the_end(self):
        for rest in (b"X-A: " + b"a" * 1_000_000, b"X-A: b\r\n" * 100_000):
            caller = await self.connect()
            await caller.send([b"GET / HTTP/1.1\r\nHost: h\r\n", rest])
            status, fields, body = await caller.answer()
            self.assertEqual((status, fields.get("Connection", "close")), (431, "close"))
            self.assertEqual(json.loads(body)["error"]["code"], "headers_too_large")
            self.assertEqual(await caller.rest(), b"")

    async def test_a_connection_too_many_is_answered_before_the_end(self):
        await self.restart(max_connections=1)
        held = await self.connect()
        await self.check_next(held)
        caller = await self.connect()
        await caller.send(request(LONG, path="/read"), 0.1)
        self.assertEqual((await caller.answer())[0], 503)

    async def test_a_stop_leaves_a_refused_body_its_time(self):
        caller = await self.connect()
        pieces = list(request(LONG))
        await caller.send(pieces[:5])
        await self.server.stop_listening()
        await caller.send(pieces[5:])
        self.assertEqual((await caller.answer())[0], 404)
        self.assertEqual(await caller.rest(), b"")

    async def test_requests_behind_a_refused_body_are_answered_in_a_stop(self):
        caller = await self.connect()
        await self.check_next(caller)
        (protocol,) = self.server._factory.connections
        protocol.data_received(b"".join(request(100)) + NEXT)
        protocol.close()
        self.assertEqual((await caller.answer())[0], 404)
        self.assertEqual((await caller.answer())[0], 200)
        self.assertEqual(await caller.rest(), b"")


if __name__ == "__main__":
    unittest.main()
