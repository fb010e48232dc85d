import asyncio
import itertools
import json
import socket
import struct
import unittest

from bilberryplank._single_call import UpstreamBroke, UpstreamNotReached
from bilberryplank._upstream_call import UpstreamCaller
from bilberryplank_core.messages import AttemptId, Dispatch, Usage
from bilberryplank_core.world import UpstreamKind
from bilberryplank_testing.engine import EngineOptions, FakeEngine
from bilberryplank_testing.faults import Fault, FaultKind
from bilberryplank_testing.service import FakeService

TIMEOUT = 20.0
SHORT = 0.3
ENGINE, SERVICE = UpstreamKind.ENGINE, UpstreamKind.SERVICE
PROMPT = {"model": "m", "max_tokens": 3, "messages": [{"role": "user", "content": "hi"}]}
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
EVENT = b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
HUGE_PART = b"x" * 65536
HUGE_PARTS = 800


def dispatch(method="POST", path="/v1/chat/completions", headers=(), body=b"", **more):
    headers = [list(pair) for pair in headers]
    attempt = AttemptId("r1", 1, "e1")
    return Dispatch(
        attempt,
        "o",
        "k",
        "c",
        "r",
        method,
        path,
        headers,
        body,
        more.pop("budget", TIMEOUT),
        **more,
    )


def prompt(**more):
    return dispatch(body=json.dumps({**PROMPT, **more}).encode())


class Sink:
    def __init__(self):
        self.status, self.headers, self.body = None, None, b""

    async def head(self, status, headers):
        self.status, self.headers = status, headers

    async def part(self, data):
        self.body += data

    def values(self, name):
        return [value for key, value in self.headers if key.lower() == name.lower()]


class RawUpstream:
    """Answers each request with the same bytes and notes what arrived."""

    def __init__(self, answer, closes=True):
        self.received, self.connections = [], 0
        self._answer, self._closes = answer, closes

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while head := await self._request(reader):
                self.received.append(head)
                await self._write(writer)
                if self._closes:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _request(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = [line for line in head.split("\r\n") if line.lower().startswith("content-length")]
        return head + (await reader.readexactly(int(length[0][15:] if length else 0))).decode()

    async def _write(self, writer):
        writer.write(self._answer)
        await writer.drain()


class StaleUpstream(RawUpstream):
    """Closes a connection as a second request arrives on it."""

    async def _serve(self, reader, writer):
        self.connections += 1
        self.received.append(await self._request(reader))
        await self._write(writer)
        await reader.read(1)
        writer.close()


class RepeatingUpstream(RawUpstream):
    """Refuses the first request of all, and repeats on each connection its last answer."""

    async def _serve(self, reader, writer):
        self.connections += 1
        earlier = b""
        try:
            while head := await self._request(reader):
                writer.write(earlier)
                earlier = self._answer if self.received else answer("503 Service Unavailable")
                self.received.append(head)
                writer.write(earlier)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


class ResettingUpstream(RawUpstream):
    """Sends an answer without a length and resets the connection."""

    async def _write(self, writer):
        writer.write(self._answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


class EarlyUpstream(ResettingUpstream):
    """Does so before it has read the body of the request."""

    async def _request(self, reader):
        return (await reader.readuntil(b"\r\n\r\n")).decode()


class HugeUpstream(RawUpstream):
    """Sends an answer of 50 MB and counts what it could send."""

    sent = 0

    async def _write(self, writer):
        writer.write(self._answer)
        while self.sent < HUGE_PARTS:
            writer.write(HUGE_PART)
            await writer.drain()
            self.sent += 1


def answer(status="200 OK", fields=(), body=b"ok"):
    lines = [f"HTTP/1.1 {status}".encode(), b"Content-Length: %d" % len(body), *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class UpstreamCase(unittest.IsolatedAsyncioTestCase):
    async def raw(self, answer, kind=SERVICE, closes=True, upstream=RawUpstream):
        self.upstream = upstream(answer, closes)
        self.addCleanup(self.upstream.stop)
        await self.call_at(await self.upstream.start(), kind)

    async def fake(self, fake, kind):
        self.fake_upstream = fake
        await self.call_at(await fake.start(), kind)
        self.addAsyncCleanup(fake.stop)

    async def call_at(self, url, kind):
        self.caller = UpstreamCaller.from_url(url, kind, SHORT)
        self.addAsyncCleanup(self.caller.close)

    async def run_call(self, call, sink=None):
        self.sink = sink or Sink()
        return await asyncio.wait_for(self.caller.run(call, 2, self.sink), TIMEOUT)


# Fault, what a call of an engine and one of a plain service give; a status is passed on.
FAULTS = [
    (FaultKind.FAIL, UpstreamNotReached, 500),
    (FaultKind.REFUSE_CONNECTION, UpstreamBroke, UpstreamBroke),
    (FaultKind.DROP_ANSWER, UpstreamBroke, UpstreamBroke),
    (FaultKind.HANG, TimeoutError, TimeoutError),
    (FaultKind.SLOW, TimeoutError, TimeoutError),
]
# Bytes of an answer, and what an engine's and a plain service's call give.
ANSWERS = [
    (answer("429 Too Many Requests"), UpstreamNotReached, 429),
    (answer("503 Service Unavailable"), UpstreamNotReached, 503),
    (answer("500 Internal Server Error"), UpstreamBroke, 500),
    (answer("404 Not Found"), 404, 404),
    (answer("302 Found", [b"Location: /other"]), 302, 302),
    (b"", UpstreamBroke, UpstreamBroke),
    (b"nonsense\r\n\r\n", UpstreamBroke, UpstreamBroke),
    # Clients of other systems got an answer of status 000.
    (answer("000 Odd"), UpstreamBroke, UpstreamBroke),
    (answer("099 Odd"), UpstreamBroke, UpstreamBroke),
    (answer("600 Odd"), UpstreamBroke, UpstreamBroke),
    (answer("999 Odd"), UpstreamBroke, UpstreamBroke),
    (answer(body=b"ok")[:-1], UpstreamBroke, UpstreamBroke),
    (STREAM_HEAD + EVENT, UpstreamBroke, 200),
    (STREAM_HEAD + EVENT + b"data: [DONE]\n\n", 200, 200),
    (answer(fields=[b"X-A: " + b"a" * 20000]), UpstreamBroke, UpstreamBroke),
]


class UpstreamOutcomeTest(UpstreamCase):
    async def check(self, expected, call):
        if isinstance(expected, int):
            await self.run_call(call)
            self.assertEqual(self.sink.status, expected)
            return
        with self.assertRaises(expected):
            await self.run_call(call)

    async def test_each_fault_is_told_truthfully(self):
        for kind, engine, service in FAULTS:
            fault = Fault(kind, TIMEOUT)
            with self.subTest(kind=kind.value, upstream="engine"):
                await self.fake(FakeEngine(EngineOptions()), ENGINE)
                self.fake_upstream.faults.set("engine", fault)
                call = prompt()
                call.budget = SHORT
                await self.check(engine, call)
                if engine is UpstreamNotReached:
                    effects = [entry.effect for entry in self.fake_upstream.log.entries]
                    self.assertEqual(effects, [False])
            with self.subTest(kind=kind.value, upstream="service"):
                await self.fake(FakeService(), SERVICE)
                self.fake_upstream.faults.set("service", fault)
                await self.check(service, dispatch(budget=SHORT, idempotent=False))

    async def test_each_answer_is_told_truthfully(self):
        for sent, *expected in ANSWERS:
            for kind, outcome in zip((ENGINE, SERVICE), expected, strict=True):
                for idempotent in (True, False):
                    with self.subTest(sent=sent[:40], kind=kind, idempotent=idempotent):
                        await self.raw(sent, kind)
                        await self.check(outcome, dispatch(idempotent=idempotent))
                        self.assertEqual(len(self.upstream.received), 1)

    async def test_what_cannot_be_reached_never_ran(self):
        with socket.create_server(("127.0.0.1", 0)) as gone:
            closed = gone.getsockname()[1]
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            port = full.getsockname()[1]
            crowd = [socket.socket() for _ in range(3)]
            for sock in crowd:
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", port))
            for name, number in (("closed", closed), ("full", port)):
                with self.subTest(name):
                    await self.call_at(f"http://127.0.0.1:{number}", SERVICE)
                    await self.check(UpstreamNotReached, dispatch(idempotent=False))
            for sock in crowd:
                sock.close()

    async def test_a_call_that_may_run_once_is_sent_once(self):
        for method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(method):
                await self.raw(b"")
                call = dispatch(method, body=b"x", idempotent=False)
                await self.check(UpstreamBroke, call)
                self.assertEqual(len(self.upstream.received), 1)

    async def test_a_kept_connection_that_went_stale_breaks_no_call(self):
        await self.raw(answer(), upstream=StaleUpstream)
        for count in (1, 2, 3):
            await self.check(200, dispatch(idempotent=False))
            self.assertEqual((len(self.upstream.received), self.upstream.connections), (count,) * 2)

    async def test_each_call_has_a_connection_of_its_own(self):
        for idempotent in (True, False):
            await self.raw(answer(), closes=False)
            for _ in range(3):
                await self.check(200, dispatch(idempotent=idempotent))
            self.assertEqual((len(self.upstream.received), self.upstream.connections), (3, 3))

    async def test_an_earlier_refusal_that_comes_once_more_answers_no_later_call(self):
        """Clients were told that a request which an upstream ran did not run."""
        for kind, refused in ((ENGINE, UpstreamNotReached), (SERVICE, 503)):
            for idempotent in (True, False):
                with self.subTest(kind=kind, idempotent=idempotent):
                    await self.raw(answer(), kind, closes=False, upstream=RepeatingUpstream)
                    await self.check(refused, dispatch(idempotent=idempotent))
                    for _ in range(3):
                        await self.check(200, dispatch(idempotent=idempotent))

    async def test_an_answer_without_a_length_that_ends_in_a_reset_is_not_whole(self):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        for idempotent in (True, False):
            await self.raw(head + b"part", upstream=ResettingUpstream)
            await self.check(UpstreamBroke, dispatch(idempotent=idempotent))
            await self.raw(head + b"whole")
            await self.check(200, dispatch(idempotent=idempotent))

    async def test_a_part_of_an_answer_before_the_upload_has_ended_is_not_whole(self):
        """Clients of other systems got the part as a complete answer."""
        for kind, size in itertools.product((ENGINE, SERVICE), (90_000, 3_900_000)):
            for head in (b"HTTP/1.1 200 OK\r\n\r\n", STREAM_HEAD):
                with self.subTest(kind=kind, size=size, head=head):
                    await self.raw(head + b"part", kind, upstream=EarlyUpstream)
                    await self.check(UpstreamBroke, dispatch(body=bytes(size)))

    async def test_a_head_that_cannot_be_passed_on_broke(self):
        odd = [answer(fields=[b"X-Odd: " + value]) for value in (b"\x01", b"a\x7f")]
        for sent in (*odd, answer("999 Odd")):
            with self.subTest(sent[:40]):
                await self.raw(sent)
                await self.check(UpstreamBroke, dispatch())

    async def test_an_answer_that_ends_within_its_head_is_none(self):
        whole = b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n"
        for end in range(1, len(whole) + 1, 3):
            with self.subTest(end=end):
                await self.raw(whole[:end])
                await self.check(UpstreamBroke, dispatch())


class UpstreamPassingTest(UpstreamCase):
    async def test_header_rules_of_requests(self):
        fields = [
            ("Content-Type", "text/x"),
            ("Content-Encoding", "gzip"),
            ("X-Two", "1"),
            ("X-Two", "2"),
            ("Connection", "X-Hop, keep-alive"),
            ("X-Hop", "h"),
            ("TE", "trailers"),
            ("Expect", "100-continue"),
            ("Content-Length", "999"),
            ("X-Request-Id", "forged"),
            ("x-priority", "0"),
            ("X-Resume-Tokens", "9"),
        ]
        for kind, added in (
            (SERVICE, []),
            (ENGINE, ["accept-encoding: identity", "x-priority: 2"]),
        ):
            await self.raw(answer(), kind)
            await self.run_call(dispatch(path="/a%2Fb?x=%20", headers=fields, body=b"abc"))
            first, *lines = self.upstream.received[0].rstrip("abc").strip().split("\r\n")
            self.assertEqual(first, "POST /a%2Fb?x=%20 HTTP/1.1")
            sent = sorted(line.lower() for line in lines if not line.lower().startswith("host"))
            expected = [
                "connection: close",
                "content-encoding: gzip",
                "content-length: 3",
                "content-type: text/x",
            ]
            expected += ["x-request-id: r1", "x-two: 1", "x-two: 2", *added]
            self.assertEqual(sent, sorted(expected))

    async def test_header_rules_of_answers(self):
        fields = [
            b"Set-Cookie: a=1",
            b"Set-Cookie: b=2",
            b"Content-Encoding: gzip",
            b"Connection: X-Hop",
            b"X-Hop: h",
            b"Keep-Alive: timeout=5",
            b"X-Bytes: \xff",
        ]
        await self.raw(answer(fields=fields, body=b"\x1f\x8b not unpacked"))
        await self.run_call(dispatch())
        self.assertEqual(self.sink.body, b"\x1f\x8b not unpacked")
        names = [name for name, _ in self.sink.headers]
        self.assertEqual(
            names, ["Content-Length", "Set-Cookie", "Set-Cookie", "Content-Encoding", "X-Bytes"]
        )
        self.assertEqual(self.sink.values("Set-Cookie"), ["a=1", "b=2"])
        self.assertEqual(self.sink.values("X-Bytes"), ["\ufffd"])

    async def test_bodies_of_every_kind(self):
        cases = [
            ("GET", b"HTTP/1.1 200 OK\r\n\r\nuntil the end", b"until the end"),
            ("GET", b"HTTP/1.0 200 OK\r\n\r\nold", b"old"),
            ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", b""),
            ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", b""),
            ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", b""),
            (
                "GET",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                b"a",
            ),
        ]
        for method, sent, body in cases:
            with self.subTest(sent=sent[:40]):
                await self.raw(sent)
                await self.run_call(dispatch(method))
                self.assertEqual(self.sink.body, body)
                lengths = ["9"] if b"Content-Length" in sent else []
                self.assertEqual(self.sink.values("Content-Length"), lengths)
                self.assertEqual(self.sink.values("Transfer-Encoding"), [])

    async def test_a_huge_answer_waits_for_its_reader(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (HUGE_PARTS * len(HUGE_PART))
        await self.raw(head, upstream=HugeUpstream)
        sink = HeldSink()
        call = asyncio.ensure_future(self.run_call(dispatch(), sink))
        sent = -1
        while sent != self.upstream.sent or not sent:
            sent = self.upstream.sent
            await asyncio.sleep(0.2)
        self.assertLess(sent, HUGE_PARTS // 2)
        sink.released.set()
        await call
        self.assertEqual(sink.size, HUGE_PARTS * len(HUGE_PART))

    async def test_usage_of_an_engine(self):
        await self.fake(FakeEngine(EngineOptions(step_seconds=0.001)), ENGINE)
        options = {"stream_options": {"include_usage": False}}
        for more in ({}, {"stream": True}, {"stream": True, **options}):
            with self.subTest(more=more):
                usage = await self.run_call(prompt(**more))
                generated = self.fake_upstream.log.entries[-1].tokens
                self.assertGreater(generated, 0)
                self.assertEqual((usage.completion_tokens, usage.calls), (generated, 1))

    async def test_an_engine_is_asked_for_usage(self):
        await self.raw(STREAM_HEAD + EVENT + b"data: [DONE]\n\n", ENGINE)
        usage = await self.run_call(prompt(stream=True, stream_options={"other": 1}))
        self.assertEqual(usage.completion_tokens, 1)
        sent = json.loads(self.upstream.received[0].partition("\r\n\r\n")[2])
        self.assertEqual(sent["stream_options"], {"other": 1, "include_usage": True})

    async def test_usage_of_a_service_is_one_call(self):
        await self.raw(answer(body=b'{"usage":{"prompt_tokens":5,"completion_tokens":5}}'))
        self.assertEqual(await self.run_call(dispatch()), Usage(0, 0, 1))

    async def test_a_body_that_is_no_stream_request_goes_on_as_it_is(self):
        for body in (b'["stream"]', b'{"stream": false}', b'{"stream"', b'"stream"'):
            with self.subTest(body=body):
                await self.raw(answer(), ENGINE)
                await self.run_call(dispatch(body=body))
                self.assertTrue(self.upstream.received[0].endswith(body.decode()))


class HeldSink(Sink):
    def __init__(self):
        super().__init__()
        self.size = 0
        self.released = asyncio.Event()

    async def part(self, data):
        await self.released.wait()
        self.size += len(data)


if __name__ == "__main__":
    unittest.main()
