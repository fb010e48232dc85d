"""The HTTP protocol of callers' connections, whose own refusals are typed as all others."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import StreamReader
from loguru import logger

from bilberryplank._answer_bounds import MAX_READ_BYTES, limit_read
from bilberryplank._caller_memory import CallerMemory
from bilberryplank._discards import Linger, body_bound, discard_body
from bilberryplank._logs import log_event
from bilberryplank._paced_reading import PacedReading, pieces_of
from bilberryplank._refusals import raw_refusal, refusal_response
from bilberryplank_core.direct import ReadPacer, excess_pieces
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.memory import Holding
from bilberryplank_core.settings import CallerSettings

KEEPALIVE_SECONDS = 75.0
MAX_HEADER_FIELDS = 100
TOO_MANY_FIELDS = "Too many headers"

UNREAD_BODY_BYTES = 4 * 1024
"""A body that nobody reads yet is left to the socket once it is this long."""

FREE_HEAD_BYTES = 4 * 1024
"""Heads up to this size take nothing from the budget."""

HEAD_FIELDS = 2
"""A whole head may have this many times the size of its longest line."""

UNREAD_MS = 15_000
"""A caller that takes no byte for this long is taken for gone, closed or not (RFC 5482)."""

RefusalCounter = Callable[[RefusalReason], None]


class CallerProtocol(PacedReading, web.RequestHandler):
    """Answers what is no HTTP, or never becomes a whole header, with a typed refusal.

    Args:
        manager: The server that it belongs to.
        settings: Bounds on what callers may send.
        on_refused: Called with the reason of each refusal that is made here.
        memory: What is held for callers.
        pacer: Paces small pieces of bodies of all connections.
        address: The caller's IP number.

    Attributes:
        address: The caller's IP number.
        idle_since: When its last request ended, or the connection was made, in loop time.
    """

    __slots__ = (
        "address",
        "idle_since",
        "_answer",
        "_body",
        "_closes_after_requests",
        "_head",
        "_head_bytes",
        "_header_timer",
        "_linger",
        "_linger_task",
        "_max_head_bytes",
        "_memory",
        "_on_refused",
        "_pace_timer",
        "_pacer",
        "_responds_last",
        "_settings",
    )

    def __init__(
        self,
        manager: web.Server,
        settings: CallerSettings,
        on_refused: RefusalCounter,
        memory: CallerMemory,
        pacer: ReadPacer,
        address: str,
    ) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
            max_headers=MAX_HEADER_FIELDS,
            access_log=None,
            auto_decompress=False,
            lingering_time=0.0,
            read_bufsize=UNREAD_BODY_BYTES,
        )
        self.address = address
        self.idle_since = memory.now()
        self._answer: Holding | None = None
        self._body: StreamReader | None = None
        self._closes_after_requests = False
        self._head: Holding | None = None
        self._head_bytes = 0
        self._max_head_bytes = HEAD_FIELDS * settings.max_header_bytes
        self._linger: Linger | None = None
        self._linger_task: asyncio.Task[None] | None = None
        self._memory = memory
        self._pace_timer: asyncio.TimerHandle | None = None
        self._pacer = pacer
        self._header_timer: asyncio.TimerHandle | None = None
        self._on_refused = on_refused
        self._responds_last = False
        self._settings = settings

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Has the transport read little at a time, as a body may come in chunks of one byte."""
        super().connection_made(transport)
        limit_read(transport, MAX_READ_BYTES)
        _bound_unread(transport)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; a header that has begun must be whole in time."""
        if self._linger is not None:
            if not self._linger.drop(len(data)):
                self.cut()
            return
        before = pieces_of(self._body)
        super().data_received(data)
        if self._receives_body():
            self._take_broken_body()
        if self._messages:
            self._body = self._messages[-1][1]
        excess = excess_pieces(pieces_of(self._body) - before, len(data))
        if excess:
            self.pause_for(self._pacer.reserve(excess, self._loop.time()))
        self._close_if_done()
        if not self._awaits_head():
            self.idle_since = self._memory.now()
            self._head_bytes = 0
            self._stop_timer()
            if self._head is not None:
                self._head.complete()
            return
        if self._header_timer is None and data.strip():
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(self._settings.body_timeout, self._header_late)
        self._take_head(len(data))

    def pause_writing(self) -> None:
        """Takes in that the caller reads more slowly than its answer comes."""
        super().pause_writing()
        if self._answer is None:
            self._answer = self._memory.hold_answer(self.address, self.cut)
            if self._answer is None:
                self.cut()

    def resume_writing(self) -> None:
        """Takes in that the caller reads on."""
        super().resume_writing()
        self._release_answer()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Ends a request; the connection is idle from then on.

        The rest of a body that nobody reads is dropped first. Where that can't be done within its
        bounds, the connection is half closed, and read until the caller has closed it as well.
        """
        body = request.content
        if self._must_end_after(request):
            resp.force_close()
        ended = await super().finish_response(request, resp, start_time)
        self.idle_since = self._memory.now()
        self._release_head()
        self._close_if_done()
        if ended[1]:
            return ended
        if not resp.keep_alive:
            may_be_reset = self._responds_last or not body.is_eof()
        else:
            may_be_reset = not await self._discard(body)
        if may_be_reset and self.transport is not None:
            await self._wait_closed(self._half_close())
        return ended

    def end_after_response(self) -> None:
        """Reads no further request, as the rest of this one's body will not come in time."""
        self._responds_last = True

    def cut(self) -> None:
        """Ends the connection, with what was not sent yet."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_idle(self) -> bool:
        """True while no request is being answered or has been read whole."""
        if self._linger is not None:
            return True
        return self._is_idle() and not self._receives_body()

    def close(self) -> None:
        """Takes no further request; a connection without one is closed at once.

        Requests that were received behind the current one are answered first.

        The library leaves such a connection open and unread until the server is shut down, and a
        request that a caller sends on it meanwhile would wait for nothing. It also drops the rest
        of a body that is still being received, and the request would wait for that.
        """
        if self._linger is not None:
            return
        if self._messages or self._receives_body():
            self._closes_after_requests = True
            return
        is_idle = self._is_idle()
        super().close()
        if is_idle and self.transport is not None:
            self.transport.close()

    @property
    def is_answering(self) -> bool:
        """True while a request was read and bytes of its answer are unsent."""
        if self._linger is not None:
            return True
        transport = self.transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        return unsent or not self._is_idle()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the connection."""
        self._stop_timer()
        self.stop_pacing()
        self._release_answer()
        self._release_head()
        self._body = None
        if self._linger is not None:
            self._linger.note_closed()
        super().connection_lost(exc)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the typed refusal; the connection is closed after it."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun already")
        refused = _refusal_for(status, exc, message)
        self._on_refused(refused.reason)
        if refused.reason is RefusalReason.INTERNAL:
            log_event(logger, "request_failed", level="ERROR", trace=exc)
        else:
            # The exception's own text quotes what was sent, perhaps a part of a key.
            cause = type(exc).__name__
            log_event(logger, "request_unreadable", reason=refused.reason.value, cause=cause)
        resp = refusal_response(refused, "")
        resp.force_close()
        self._responds_last = True
        return resp

    def _awaits_request(self) -> bool:
        return self._current_request is None and not self._request_in_progress

    def _awaits_head(self) -> bool:
        """Returns True where the next bytes belong to a head, and not to a body, read or not."""
        return not self._messages and not self._receives_body() and self._awaits_request()

    def _is_idle(self) -> bool:
        """Returns True where every request that was read has been answered."""
        if self._messages:
            return False
        # A request is neither queued nor current in the turn of the loop before its handler starts.
        return not self._request_count or (self._waiter is not None and not self._waiter.done())

    def _receives_body(self) -> bool:
        return self._body is not None and not self._body.is_eof()

    def _take_broken_body(self) -> None:
        """Fails a body with bytes that are no part of it.

        The library takes them for a request of their own, which would get a response as well.
        """
        if self._body is not None and self._messages and self._messages[-1][1] is not self._body:
            self._messages.pop()
            self._body.set_exception(web.RequestPayloadError("not a valid chunk"))

    def _close_if_done(self) -> None:
        """Closes the connection where that waited for what was being received."""
        if self._closes_after_requests and not self._messages and not self._receives_body():
            super().close()

    def _must_end_after(self, request: web.BaseRequest) -> bool:
        """Returns True where the response to a request has to be the last one."""
        body = request.content
        if self._responds_last or (self._closes_after_requests and not self._messages):
            return True
        if body.is_eof():
            return False
        most = self._settings.max_body_bytes
        if body.exception() is not None or (request.content_length or 0) > most:
            return True
        # The caller may send its next request in place of a body that it wasn't told to send.
        return body.total_bytes > most or (expects_continue(request) and not body.total_bytes)

    async def _discard(self, body: StreamReader) -> bool:
        if body.at_eof():
            return True
        return await discard_body(
            body, body_bound(self._settings, self._memory.now()), self.address
        )

    def _half_close(self) -> Linger:
        """Ends the responses of a connection whose caller may still be sending.

        Closed at once, unread bytes would have the connection reset, and the response lost.
        """
        self._linger = linger = Linger(self._settings)
        self._parser = None
        self._release_head()
        self._stop_timer()
        super().close()
        assert self.transport is not None
        self.transport.write_eof()
        self.stop_pacing()
        self._resume_transport_reading()
        return linger

    async def _wait_closed(self, linger: Linger) -> None:
        """Ends a half closed connection, where its caller doesn't in time."""
        if not await linger.wait():
            dropped = linger.dropped
            log_event(logger, "caller_not_closing", owner=self.address, dropped=dropped)
            self.force_close()

    def _take_head(self, count: int) -> None:
        """Bounds the bytes of a head that is not whole yet, and of all of them together."""
        self._head_bytes += count
        if self._head_bytes > self._max_head_bytes:
            self._refuse(RefusalReason.HEADERS_TOO_LARGE, "the header is too large")
        elif self._head_bytes > FREE_HEAD_BYTES:
            if self._head is None:
                self._head = self._memory.open_head(self.address, self._head_late)
            self._head.record_progress(count, self._memory.now())
            if not self._memory.hold_head(self._head, self._head_bytes):
                self._refuse(RefusalReason.MEMORY_FULL, "no room for a header of this size")

    def _header_late(self) -> None:
        self._header_timer = None
        message = f"the header did not arrive within {self._settings.body_timeout:g} s"
        self._refuse(RefusalReason.SLOW_SENDER, message)

    def _head_late(self) -> None:
        self._refuse(RefusalReason.SLOW_SENDER, "the header stopped coming")

    def _refuse(self, reason: RefusalReason, message: str) -> None:
        """Refuses a head that is not whole, and ends the connection."""
        if self._linger is not None or not self._awaits_head() or self.transport is None:
            return
        refused = Refused(reason, message)
        self._on_refused(reason)
        self.transport.write(raw_refusal(refused))
        self._linger_task = asyncio.create_task(self._wait_closed(self._half_close()))

    def _release_head(self) -> None:
        if self._head is not None:
            self._memory.release(self._head)
            self._head = None

    def _release_answer(self) -> None:
        if self._answer is not None:
            self._memory.release(self._answer)
            self._answer = None

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


def expects_continue(request: web.BaseRequest) -> bool:
    """Returns True where a caller waits to be told to send its body (RFC 9110, 10.1.1)."""
    return request.headers.get("Expect", "").lower() == "100-continue"


def _bound_unread(transport: asyncio.BaseTransport) -> None:
    """Has the kernel give up what the caller does not take, which a closed connection waits for."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNREAD_MS)
    except OSError as exc:
        log_event(logger, "socket_option_refused", level="DEBUG", cause=exc)


def _refusal_for(status: int, exc: BaseException | None, message: str | None) -> Refused:
    if isinstance(exc, Refused):
        return exc
    if isinstance(exc, LineTooLong) or (message or "").startswith(TOO_MANY_FIELDS):
        return Refused(RefusalReason.HEADERS_TOO_LARGE, "a header is too large")
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Refused(RefusalReason.MALFORMED_REQUEST, "not a valid HTTP request")
    return Refused(RefusalReason.INTERNAL, "internal failure", not_run=False)
