import asyncio
import json
import socket
import unittest
from collections import Counter
from dataclasses import replace

import aiohttp

from bilberryplank._caller_answer import CallerAnswer, CallerGone
from bilberryplank._caller_memory import CallerMemory
from bilberryplank._caller_request import CHAT_PATH, read_model_call, receive
from bilberryplank._caller_server import CallerServer
from bilberryplank._metrics import ProcessMetrics
from bilberryplank.tests._raw_caller import TIMEOUT, Caller
from bilberryplank_core.errors import REFUSAL_STATUS, RefusalReason, Refused
from bilberryplank_core.settings import CallerSettings

NEVER = 30.0
SETTINGS = CallerSettings(max_body_bytes=2048, max_header_bytes=1024, body_timeout=NEVER)
GOOD = b'{"model":"m","messages":[{"role":"user","content":"hi"}]}'
PART = b"x" * 65536
MAX_PARTS = 400
Reason = RefusalReason


def call(body=GOOD, version="1.1", fields=(), method="POST", path=CHAT_PATH, length=None):
    lines = [f"{method} {path} HTTP/{version}".encode(), b"Host: h"]
    if length is not False:
        lines.append(b"Content-Length: %d" % (len(body) if length is None else length))
    return b"\r\n".join([*lines, *fields]) + b"\r\n\r\n" + body


def chunked(*parts):
    fields = [b"Transfer-Encoding: chunked"]
    body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return call(body + b"0\r\n\r\n", fields=fields, length=False)


def with_field(name, value):
    return call(json.dumps({**json.loads(GOOD), name: value}).encode())


# Bytes that a caller sends, the refusal that it gets, and whether the connection must end.
REFUSED = [
    ("not JSON", call(b"{"), Reason.MALFORMED_REQUEST, False),
    ("no body", call(b""), Reason.MALFORMED_REQUEST, False),
    ("HTTP/1.0 without length", call(length=False, version="1.0"), Reason.MALFORMED_REQUEST, True),
    ("deep JSON", call(b"[" * 2000), Reason.MALFORMED_REQUEST, False),
    ("long number", call(b'{"model":' + b"1" * 2000), Reason.MALFORMED_REQUEST, False),
    ("not UTF-8", call(b'{"model":"\xff"}'), Reason.MALFORMED_REQUEST, False),
    ("a list", call(b"[]"), Reason.MALFORMED_REQUEST, False),
    ("no model", call(b'{"messages":[]}'), Reason.MALFORMED_REQUEST, False),
    ("stream text", with_field("stream", "yes"), Reason.MALFORMED_REQUEST, False),
    ("stream list", with_field("stream", [1]), Reason.MALFORMED_REQUEST, False),
    ("no tokens", with_field("max_tokens", 0), Reason.MALFORMED_REQUEST, False),
    ("declared size", call(b"", length=4096), Reason.BODY_TOO_LARGE, True),
    ("chunked size", chunked(b"x" * 1024, b"x" * 1025), Reason.BODY_TOO_LARGE, True),
    (
        "bad chunk",
        call(b"zz\r\n", fields=[b"Transfer-Encoding: chunked"], length=False),
        None,
        True,
    ),
    ("long header", call(fields=[b"X-A: " + b"a" * 2000]), Reason.HEADERS_TOO_LARGE, True),
    ("long path", call(path="/" + "a" * 2000), Reason.HEADERS_TOO_LARGE, True),
    ("headers", call(fields=[b"X-%d: a" % n for n in range(120)]), Reason.HEADERS_TOO_LARGE, True),
    ("header bytes", call(fields=[b"X-A: \xff"]), Reason.MALFORMED_REQUEST, True),
    ("two lengths", call(fields=[b"Content-Length: 1"]), Reason.MALFORMED_REQUEST, True),
    ("length and chunks", call(fields=[b"Transfer-Encoding: chunked"]), None, True),
    ("space in name", call(fields=[b"X A: b"]), Reason.MALFORMED_REQUEST, True),
    ("not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", Reason.MALFORMED_REQUEST, True),
    ("another method", call(method="OPTIONS", path="*"), Reason.ROUTE_UNKNOWN, False),
]


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.refused = Counter()
        self.gone = asyncio.Event()
        self.parts_sent = 0
        self.stall_timeout = NEVER
        self.callers = []
        await self.start(SETTINGS)

    async def start(self, settings):
        self.settings = settings
        self.memory = CallerMemory(settings, ProcessMetrics())
        self.server = CallerServer("127.0.0.1:0", settings, self.handle, self.count, self.memory)
        await self.server.start()

    async def restart(self, **changes):
        await self.server.stop()
        await self.start(replace(SETTINGS, **changes))

    async def asyncTearDown(self):
        for caller in self.callers:
            caller.writer.close()
        await self.server.stop()

    def count(self, reason):
        self.refused[reason] += 1

    async def connect(self):
        caller = await Caller.connect(self.server.port)
        self.callers.append(caller)
        return caller

    async def handle(self, request):
        room = self.memory.open_body("acme")
        try:
            received = await receive(request, self.settings, room)
        except asyncio.CancelledError:
            self.gone.set()
            raise
        finally:
            room.release()
        if request.method == "OPTIONS":
            raise Refused(Reason.ROUTE_UNKNOWN, "no route")
        answer = CallerAnswer(request, "r1", stall_timeout=self.stall_timeout)
        try:
            if request.path == "/stream":
                return await self.stream(answer)
            if request.path == CHAT_PATH:
                read_model_call(CHAT_PATH, received.body)
            await answer.start(200, [["Content-Length", str(len(received.body))]])
            if request.method != "HEAD" and received.body:
                await answer.write(received.body)
            return await answer.finish()
        except (CallerGone, asyncio.CancelledError):
            self.gone.set()
            raise

    async def stream(self, answer):
        await answer.start(200, [["Content-Type", "text/event-stream"]])
        while self.parts_sent < MAX_PARTS:
            await answer.write(PART)
            self.parts_sent += 1
        return await answer.finish()

    async def check_serves(self):
        caller = await self.connect()
        caller.writer.write(call())
        self.assertEqual((await caller.answer())[0], 200)

    async def test_every_refusal_is_typed_and_the_server_goes_on(self):
        for name, sent, reason, ends in REFUSED:
            with self.subTest(name):
                caller = await self.connect()
                caller.writer.write(sent)
                status, fields, body = await caller.answer()
                error = json.loads(body)["error"]
                reason = reason or Reason.MALFORMED_REQUEST
                self.assertEqual((error["code"], status), (reason.value, REFUSAL_STATUS[reason]))
                self.assertIs(error["not_run"], True)
                self.assertTrue(error["message"])
                self.assertEqual(fields["Bilberryplank-Outcome"], "not-run")
                if ends:
                    self.assertEqual(fields.get("Connection", "close"), "close")
                    self.assertEqual(await caller.rest(), b"")
                await self.check_serves()

    async def test_a_surrogate_in_the_prompt_is_no_failure(self):
        body = GOOD.replace(b"hi", b"\\ud800")
        caller = await self.connect()
        caller.writer.write(call(body))
        self.assertEqual((await caller.answer())[::2], (200, body))

    async def test_what_is_no_http_is_counted(self):
        caller = await self.connect()
        caller.writer.write(b"\x00\r\n\r\n")
        await caller.answer()
        self.assertEqual(self.refused, {Reason.MALFORMED_REQUEST: 1})

    async def test_slow_senders_get_a_typed_408(self):
        await self.restart(body_timeout=0.05)
        for sent in (call(b"{", length=90), b"POST / HTTP/1.1\r\nHost:", call() + b"POST /"):
            with self.subTest(sent=sent[-9:]):
                caller = await self.connect()
                caller.writer.write(sent)
                if sent.startswith(call()):
                    await caller.answer()
                    caller.writer.write(b" HTTP/1.1\r\n")
                status, fields, body = await caller.answer()
                self.assertEqual(status, 408)
                self.assertEqual(json.loads(body)["error"]["code"], "slow_sender")
                self.assertEqual(fields["Connection"], "close")
                self.assertEqual(await caller.rest(), b"")

    async def test_connections_over_the_bound_get_a_typed_503(self):
        await self.restart(max_connections=2)
        held = [await self.connect() for _ in range(2)]
        for caller in held:
            caller.writer.write(call())
            await caller.answer()
        late = await self.connect()
        status, fields, body = await late.answer()
        self.assertEqual((status, fields["Retry-After"]), (503, "1"))
        self.assertEqual(json.loads(body)["error"]["code"], "too_many_connections")
        self.assertEqual(await late.rest(), b"")
        self.assertEqual(self.refused, {Reason.TOO_MANY_CONNECTIONS: 1})
        held[0].writer.write(call())
        self.assertEqual((await held[0].answer())[0], 200)
        held[1].writer.close()
        await held[1].writer.wait_closed()
        await self.check_serves_soon()

    async def check_serves_soon(self):
        async with asyncio.timeout(TIMEOUT):
            while True:
                caller = await self.connect()
                caller.writer.write(call())
                if (await caller.answer())[0] == 200:
                    return

    async def test_bodies_and_connections_of_every_kind_are_answered(self):
        expecting = call(b"", length=len(GOOD), fields=[b"Expect: 100-continue"])
        cases = [
            ("chunked", chunked(GOOD[:9], GOOD[9:]), True),
            ("HTTP/1.0", call(version="1.0"), False),
            ("HTTP/1.0 kept", call(version="1.0", fields=[b"Connection: keep-alive"]), True),
            ("close", call(fields=[b"Connection: close"]), False),
            ("continue", expecting, True),
        ]
        for name, sent, kept in cases:
            with self.subTest(name):
                caller = await self.connect()
                caller.writer.write(sent)
                if name == "continue":
                    self.assertEqual(await caller.head(), (100, {}))
                    caller.writer.write(GOOD)
                self.assertEqual((await caller.answer())[::2], (200, GOOD))
                if not kept:
                    self.assertEqual(await caller.rest(), b"")
                    continue
                caller.writer.write(call(b"", "1.1", [b"Connection: close"], path="/x"))
                self.assertEqual((await caller.answer())[::2], (200, b""))

    async def test_pipelined_requests_are_answered_in_order(self):
        caller = await self.connect()
        bodies = [GOOD.replace(b"hi", b"%d" % number) for number in range(40)]
        caller.writer.write(b"".join(call(body) for body in bodies))
        self.assertEqual([(await caller.answer())[2] for _ in bodies], bodies)

    async def test_an_answer_to_head_has_no_body(self):
        caller = await self.connect()
        caller.writer.write(call(b"abc", method="HEAD", path="/x"))
        status, fields = await caller.head()
        self.assertEqual((status, fields["Content-Length"]), (200, "3"))
        caller.writer.write(call())
        self.assertEqual((await caller.answer())[::2], (200, GOOD))

    async def test_a_caller_that_leaves_ends_its_request(self):
        cases = [call(b"{", length=90), call(b"", method="GET", path="/stream", length=False)]
        for sent in cases:
            with self.subTest(sent=sent[:12]):
                self.gone.clear()
                caller = await self.connect()
                caller.writer.write(sent)
                if b"/stream" in sent:
                    await caller.head()
                caller.writer.transport.abort()
                await asyncio.wait_for(self.gone.wait(), TIMEOUT)
                await self.check_serves()

    async def test_a_slow_reader_holds_the_answer_back(self):
        caller = await self.connect()
        caller.writer.transport.pause_reading()
        caller.writer.write(call(b"", method="GET", path="/stream", length=False))
        sent = -1
        async with asyncio.timeout(TIMEOUT):
            while sent != self.parts_sent or not sent:
                sent = self.parts_sent
                await asyncio.sleep(0.2)
        self.assertLess(sent, MAX_PARTS // 2)
        caller.writer.transport.resume_reading()
        self.assertGreaterEqual(len(await self.whole_stream(caller)), MAX_PARTS * len(PART))

    async def test_a_caller_that_stops_reading_is_taken_for_gone(self):
        self.stall_timeout = 0.05
        caller = await self.connect()
        caller.writer.transport.pause_reading()
        caller.writer.write(call(b"", method="GET", path="/stream", length=False))
        await asyncio.wait_for(self.gone.wait(), TIMEOUT)
        self.assertLess(self.parts_sent, MAX_PARTS)
        await self.check_serves()

    async def whole_stream(self, caller):
        body = bytearray()
        while not body.endswith(b"\r\n0\r\n\r\n"):
            body += await asyncio.wait_for(caller.reader.read(1 << 20), TIMEOUT)
        return body

    async def test_a_stream_to_http_1_0_ends_with_its_connection(self):
        caller = await self.connect()
        caller.writer.write(call(b"", "1.0", method="GET", path="/stream", length=False))
        status, fields = await caller.head()
        self.assertEqual(status, 200)
        self.assertNotIn("Transfer-Encoding", fields)
        self.assertEqual(len(await caller.rest()), MAX_PARTS * len(PART))

    async def test_a_common_client_is_served(self):
        url = f"http://127.0.0.1:{self.server.port}{CHAT_PATH}"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, data=GOOD) as resp:
                self.assertEqual((resp.status, await resp.read()), (200, GOOD))
            with self.assertRaises((aiohttp.ClientError, ValueError)):
                async with session.post(url, data=broken_body()):
                    pass
        await asyncio.wait_for(self.gone.wait(), TIMEOUT)
        await self.check_serves()


async def broken_body():
    yield b"{"
    raise ValueError("the caller fails")


if __name__ == "__main__":
    unittest.main()


class StopListeningTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_idle_connection_is_closed_and_not_left_unread(self):
        async def answer(request):
            return aiohttp.web.Response(text="ok")

        server = CallerServer("127.0.0.1:0", SETTINGS, answer)
        async with server, asyncio.timeout(TIMEOUT):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(call())
            await reader.readuntil(b"ok")
            await server.stop_listening()
            self.assertEqual(await reader.read(), b"")
            writer.close()

    async def test_a_request_on_a_connection_accepted_just_now_is_answered(self):
        """Load pattern: a planned stop under load."""

        async def answer(request):
            return aiohttp.web.Response(text="ok")

        server = CallerServer("127.0.0.1:0", SETTINGS, answer)
        async with server, asyncio.timeout(TIMEOUT):
            socks = [socket.create_connection(("127.0.0.1", server.port)) for _ in range(20)]
            for sock in socks[::2]:
                sock.sendall(call())
            stopping = asyncio.create_task(server.stop_listening())
            await asyncio.sleep(0.05)
            for sock in socks[1::2]:
                sock.sendall(call())
            await stopping
            for sock in socks:
                sock.settimeout(1)
                self.assertIn(b"200 OK", await asyncio.to_thread(sock.recv, 1000))
                sock.close()

    async def test_a_body_that_is_still_coming_as_connections_close_is_received(self):
        async def answer(request):
            received = await receive(
                request, SETTINGS, CallerMemory(SETTINGS, ProcessMetrics()).open_body("acme")
            )
            return aiohttp.web.Response(body=received.body)

        server = CallerServer("127.0.0.1:0", SETTINGS, answer)
        async with server, asyncio.timeout(TIMEOUT):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            request = call(GOOD)
            writer.write(request[:-5])
            await asyncio.sleep(0.05)
            await server.stop_listening()
            writer.write(request[-5:])
            answered = await reader.read()
            self.assertIn(b"200 OK", answered)
            self.assertTrue(answered.endswith(GOOD))
            writer.close()

    async def test_a_request_read_in_the_turn_in_which_connections_close_is_answered(self):
        async def answer(request):
            return aiohttp.web.Response(text="ok")

        for turns in range(6):
            server = CallerServer("127.0.0.1:0", SETTINGS, answer)
            async with server, asyncio.timeout(TIMEOUT):
                reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
                writer.write(call())
                await reader.readuntil(b"ok")
                (protocol,) = server._factory.connections
                with self.subTest(turns=turns):
                    protocol.data_received(call())
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    server._close_idle()
                    self.assertIn(b"200 OK", await reader.read())
                writer.close()
