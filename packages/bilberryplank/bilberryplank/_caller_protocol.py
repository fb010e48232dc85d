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
from bilberryplank._logs import log_event
from bilberryplank._paced_reading import PacedReading, pieces_of
from bilberryplank._refusals import raw_refusal, refusal_response
from bilberryplank_core.direct import ReadPacer, excess_pieces
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.memory import Holding
from bilberryplank_core.settings import CallerSettings

KEEPALIVE_SECONDS = 75.0
MAX_HEADER_FIELDS = 100
LINGER_SECONDS = 1.0
RETRY_CONNECTION_SECONDS = 1.0
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

    Attributes:
        address: The caller's IP number; empty before the connection stands.
        idle_since: When its last request ended, or the connection was made, in loop time.
    """

    __slots__ = (
        "address",
        "idle_since",
        "_answer",
        "_closes_after_body",
        "_head",
        "_head_bytes",
        "_header_timeout",
        "_header_timer",
        "_leaves_body",
        "_max_head_bytes",
        "_memory",
        "_on_refused",
        "_pace_timer",
        "_pacer",
    )

    def __init__(
        self,
        manager: web.Server,
        settings: CallerSettings,
        on_refused: RefusalCounter,
        memory: CallerMemory,
        pacer: ReadPacer,
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
            lingering_time=LINGER_SECONDS,
            read_bufsize=UNREAD_BODY_BYTES,
        )
        self.address = ""
        self.idle_since = memory.now()
        self._answer: Holding | None = None
        self._closes_after_body = False
        self._head: Holding | None = None
        self._head_bytes = 0
        self._max_head_bytes = HEAD_FIELDS * settings.max_header_bytes
        self._leaves_body = False
        self._memory = memory
        self._pace_timer: asyncio.TimerHandle | None = None
        self._pacer = pacer
        self._header_timeout = settings.body_timeout
        self._header_timer: asyncio.TimerHandle | None = None
        self._on_refused = on_refused

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Has the transport read little at a time, as a body may come in chunks of one byte."""
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if peer else ""
        super().connection_made(transport)
        limit_read(transport, MAX_READ_BYTES)
        _bound_unread(transport)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; a header that has begun must be whole in time."""
        before = pieces_of(self._body())
        super().data_received(data)
        excess = excess_pieces(pieces_of(self._body()) - before, len(data))
        if excess:
            self.pause_for(self._pacer.reserve(excess, self._loop.time()))
        if self._closes_after_body and not self._receives_body():
            super().close()
        if self._messages or not self._awaits_request():
            self.idle_since = self._memory.now()
            self._head_bytes = 0
            self._stop_timer()
            if self._head is not None:
                self._head.complete()
            return
        if self._header_timer is None and data.strip():
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(self._header_timeout, self._header_late)
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
        """Ends a request; the connection is idle from then on."""
        ended = await super().finish_response(request, resp, start_time)
        self.idle_since = self._memory.now()
        self._release_head()
        if self._leaves_body and not request.content.is_eof():
            # Closed at once, the bytes that were not read would cost the caller the answer.
            await asyncio.sleep(LINGER_SECONDS)
            self.force_close()
        return ended

    def leave_body(self) -> None:
        """Reads nothing more of a body for which there is no room; the connection ends with it."""
        self._leaves_body = True
        self._lingering_time = 0.0

    def cut(self) -> None:
        """Ends the connection, with what was not sent yet."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_idle(self) -> bool:
        """True while no request is being answered or has been read whole."""
        return self._is_idle() and not self._receives_body()

    def close(self) -> None:
        """Takes no further request; a connection without one is closed at once.

        The library leaves such a connection open and unread until the server is shut down, and a
        request that a caller sends on it meanwhile would wait for nothing. It also drops the rest
        of a body that is still being received, and the request would wait for that.
        """
        if self._receives_body():
            self._closes_after_body = True
            return
        is_idle = self._is_idle()
        super().close()
        if is_idle and self.transport is not None:
            self.transport.close()

    @property
    def is_answering(self) -> bool:
        """True while a request was read and bytes of its answer are unsent."""
        transport = self.transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        return unsent or not self._is_idle()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the connection."""
        self._stop_timer()
        self.stop_pacing()
        self._release_answer()
        self._release_head()
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
        return resp

    def _awaits_request(self) -> bool:
        return self._current_request is None and not self._request_in_progress

    def _is_idle(self) -> bool:
        """Returns True where every request that was read has been answered."""
        if self._messages:
            return False
        # A request is neither queued nor current in the turn of the loop before its handler starts.
        return not self._request_count or (self._waiter is not None and not self._waiter.done())

    def _body(self) -> StreamReader | None:
        """Returns the body that comes now, or came last; None without a request."""
        if self._messages:
            return self._messages[-1][1]
        request = self._current_request
        return None if request is None else request.content

    def _receives_body(self) -> bool:
        body = self._body()
        return body is not None and not body.is_eof()

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
        message = f"the header did not arrive within {self._header_timeout:g} s"
        self._refuse(RefusalReason.SLOW_SENDER, message)

    def _head_late(self) -> None:
        self._refuse(RefusalReason.SLOW_SENDER, "the header stopped coming")

    def _refuse(self, reason: RefusalReason, message: str) -> None:
        """Refuses a head that is not whole, and ends the connection."""
        if self._messages or not self._awaits_request() or self.transport is None:
            return
        refused = Refused(reason, message)
        self._on_refused(reason)
        self.transport.write(raw_refusal(refused))
        self.force_close()

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


class TurnedAway(asyncio.Protocol):
    """Refuses a connection over the bound, and leaves the caller a moment to read why.

    Args:
        lingering: Connections that are being refused now; past a bound they are cut at once.
        most: How many they may be.
        on_refused: Called with the reason.
    """

    __slots__ = ("_lingering", "_most", "_on_refused", "_timer", "_transport")

    def __init__(self, lingering: set[TurnedAway], most: int, on_refused: RefusalCounter) -> None:
        self._most = most
        self._lingering = lingering
        self._on_refused = on_refused
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the refusal."""
        assert isinstance(transport, asyncio.Transport)
        self._on_refused(RefusalReason.TOO_MANY_CONNECTIONS)
        if len(self._lingering) >= self._most:
            transport.abort()
            return
        self._lingering.add(self)
        self._transport = transport
        refused = Refused(
            RefusalReason.TOO_MANY_CONNECTIONS,
            "this entry holds as many connections as it may",
            retry_after=RETRY_CONNECTION_SECONDS,
        )
        transport.write(raw_refusal(refused))
        transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._lingering.discard(self)
        if self._timer is not None:
            self._timer.cancel()

    def close(self) -> None:
        """Cuts the connection."""
        if self._transport is not None:
            self._transport.abort()


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
