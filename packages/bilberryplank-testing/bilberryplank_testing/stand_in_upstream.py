"""Stand-in of an upstream on the users' platform: a plain service, or an engine that streams."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from bilberryplank_testing._server import FakeServer

ID = "X-Bilberryplank-Attempt-Id"
SIGNATURE = "X-Bilberryplank-Response-Signature"
TARGET = "X-Bilberryplank-Target-Instance"
NEVER_RAN = "X-Bilberryplank-Not-Executed"
LOAD = "X-Bilberryplank-Server-Load"
LEAVING = "Server-Leaving"
PROMPT = "X-Bilberryplank-Prompt-Prefix"
RETRY_AFTER = "Retry-After"


@dataclass(slots=True)
class Manner:
    """How the stand-in answers.

    Attributes:
        status: Status of its answers.
        refuses: True to refuse without running.
        rest: `Retry-After` of its refusals; None for none.
        leaves: True to say in each answer that it leaves.
        body: Bytes of an answer in one piece; None for a short text.
        events: Events of a stream; 0 for an answer in one piece.
        pause: Seconds between events.
        breaks_after: Events after which it resets the connection; None for never.
        unframed: True for an answer without a length that ends with its connection.
        silent: True to run a request and never answer it.
        foreign_id: True to answer under another request's id.
        mute: True to leave questions for its load unanswered.
        waiting: Requests that wait, as it tells.
        deadly: Prompt parts on which it crashes once it begins an answer.
        reading: Seconds from a request to its first event.
        down: Seconds from a crash to the next start.
    """

    status: int = 200
    refuses: bool = False
    rest: str | None = None
    leaves: bool = False
    body: bytes | None = None
    events: int = 0
    pause: float = 0.0
    breaks_after: int | None = None
    unframed: bool = False
    silent: bool = False
    foreign_id: bool = False
    mute: bool = False
    waiting: int = 0
    deadly: frozenset[str] = frozenset()
    reading: float = 0.0
    down: float = 1.0


@dataclass(slots=True)
class Run:
    """A request that ran; `began` on the monotonic clock."""

    request_id: str
    method: str
    path: str
    fields: dict[str, str]
    body: bytes
    began: float = 0.0
    ended: bool = False


@dataclass(slots=True)
class UpstreamState:
    """What the stand-in saw."""

    runs: list[Run] = field(default_factory=list)
    refused: int = 0
    questions: int = 0
    crashes: int = 0


class StandInUpstream(FakeServer):
    """An upstream.

    Attributes:
        name: Its id.
        manner: How it answers.
        seen: What it saw.
        crashed: Called at each crash with the seconds to the next start.
    """

    cancels_on_disconnect = True

    def __init__(self, name: str) -> None:
        self.name = name
        self.manner = Manner()
        self.seen = UpstreamState()
        self.crashed: Callable[[float], None] = lambda _: None
        self._open: set[asyncio.BaseTransport] = set()
        self._restart: asyncio.Task[None] | None = None
        super().__init__(("upstream",))
        self.app.router.add_get("/api/report", self._report)
        self.app.router.add_route("*", "/{path:.*}", self._take)

    async def stop(self) -> None:
        """Closes the listening socket and every connection, also between a crash and a start."""
        if self._restart is not None:
            self._restart.cancel()
        await super().stop()

    def crash(self) -> None:
        """Closes all connections and refuses new ones until it starts again."""
        self.seen.crashes += 1
        for transport in self._open:
            if self.manner.unframed:
                # Without a length only a part of an event shows that the answer is not whole.
                transport.write(b"id: cut")
            transport.close()
        self.crashed(self.manner.down)
        if self._restart is None or self._restart.done():
            self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        assert self._runner is not None
        host, port = self._runner.addresses[0][:2]
        for site in list(self._runner.sites):
            await site.stop()
        await asyncio.sleep(self.manner.down)
        await web.TCPSite(self._runner, host, port).start()

    async def _report(self, request: web.Request) -> web.Response:
        self.seen.questions += 1
        if self.manner.mute:
            await asyncio.Event().wait()
        running = sum(not run.ended for run in self.seen.runs)
        report = {"running": running, "waiting": self.manner.waiting}
        return web.json_response(report, headers=self._leaving())

    def _leaving(self) -> dict[str, str]:
        return {LEAVING: "1"} if self.manner.leaves else {}

    async def _take(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if request.headers.get(TARGET, self.name) != self.name:
            return web.Response(status=421)
        if self.manner.refuses:
            self.seen.refused += 1
            rest = {} if self.manner.rest is None else {RETRY_AFTER: self.manner.rest}
            return web.Response(status=503, headers={NEVER_RAN: "1", **rest, **self._leaving()})
        request_id = request.headers.get(ID, "")
        run = Run(
            request_id,
            request.method,
            request.raw_path,
            dict(request.headers),
            body,
            time.monotonic(),
        )
        self.seen.runs.append(run)
        assert request.transport is not None
        self._open.add(request.transport)
        try:
            return await self._answer(request, run)
        finally:
            run.ended = True
            self._open.discard(request.transport)

    async def _answer(self, request: web.Request, run: Run) -> web.StreamResponse:
        manner = self.manner
        if manner.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(manner.reading)
        shown_id = "another" if manner.foreign_id else run.request_id
        fields = {ID: shown_id, SIGNATURE: f"sig-{self.name}", LOAD: "1,0,4", **self._leaving()}
        if not manner.events:
            text = f"{run.request_id} from {self.name}".encode()
            body = text if manner.body is None else manner.body
            return web.Response(status=manner.status, headers=fields, body=body)
        resp = web.StreamResponse(headers={**fields, "Content-Type": "text/event-stream"})
        if manner.unframed:
            resp.force_close()
            resp._length_check = False
        await resp.prepare(request)
        if self._crashes_on(request):
            self.crash()
            raise ConnectionResetError
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, manner.events + 1):
            if manner.breaks_after is not None and number > manner.breaks_after:
                await resp.write(b"id: cut")
                assert request.transport is not None
                request.transport.abort()
                raise ConnectionResetError
            await resp.write(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(manner.pause)
        return resp

    def _crashes_on(self, request: web.Request) -> bool:
        parts = request.headers.get(PROMPT, "").split(",")[:-1]
        return any(each.partition(":")[0].strip() in self.manner.deadly for each in parts)
