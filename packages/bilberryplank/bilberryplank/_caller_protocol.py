"""The HTTP protocol of callers' connections, whose own refusals are typed as all others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from loguru import logger

from bilberryplank._answer_bounds import MAX_READ_BYTES, limit_read
from bilberryplank._logs import log_event
from bilberryplank._refusals import raw_refusal, refusal_response
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.settings import CallerSettings

KEEPALIVE_SECONDS = 75.0
MAX_HEADER_FIELDS = 100
LINGER_SECONDS = 1.0
MAX_LINGERING = 64
RETRY_CONNECTION_SECONDS = 1.0
TOO_MANY_FIELDS = "Too many headers"

RefusalCounter = Callable[[RefusalReason], None]


class CallerProtocol(web.RequestHandler):
    """Answers what is no HTTP, or never becomes a whole header, with a typed refusal.

    Args:
        manager: The server that it belongs to.
        settings: Bounds on what callers may send.
        on_refused: Called with the reason of each refusal that is made here.
    """

    __slots__ = ("_closes_after_body", "_header_timeout", "_header_timer", "_on_refused")

    def __init__(
        self, manager: web.Server, settings: CallerSettings, on_refused: RefusalCounter
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
        )
        self._closes_after_body = False
        self._header_timeout = settings.body_timeout
        self._header_timer: asyncio.TimerHandle | None = None
        self._on_refused = on_refused

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Has the transport read little at a time, as a body may come in chunks of one byte."""
        super().connection_made(transport)
        limit_read(transport, MAX_READ_BYTES)

    def data_received(self, data: bytes) -> None:
        """Takes bytes; a header that has begun must be whole in time."""
        super().data_received(data)
        if self._closes_after_body and not self._receives_body():
            super().close()
        if self._messages or not self._awaits_request():
            self._stop_timer()
        elif self._header_timer is None and data.strip():
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(self._header_timeout, self._header_late)

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

    def _receives_body(self) -> bool:
        if self._messages:
            return not self._messages[-1][1].is_eof()
        request = self._current_request
        return request is not None and not request.content.is_eof()

    def _header_late(self) -> None:
        self._header_timer = None
        if self._messages or not self._awaits_request() or self.transport is None:
            return
        message = f"the header did not arrive within {self._header_timeout:g} s"
        refused = Refused(RefusalReason.SLOW_SENDER, message)
        self._on_refused(refused.reason)
        self.transport.write(raw_refusal(refused))
        self.force_close()

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class TurnedAway(asyncio.Protocol):
    """Refuses a connection over the bound, and leaves the caller a moment to read why.

    Args:
        lingering: Connections that are being refused now; past a bound they are cut at once.
        on_refused: Called with the reason.
    """

    __slots__ = ("_lingering", "_on_refused", "_timer", "_transport")

    def __init__(self, lingering: set[TurnedAway], on_refused: RefusalCounter) -> None:
        self._lingering = lingering
        self._on_refused = on_refused
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the refusal."""
        assert isinstance(transport, asyncio.Transport)
        self._on_refused(RefusalReason.TOO_MANY_CONNECTIONS)
        if len(self._lingering) >= MAX_LINGERING:
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


def _refusal_for(status: int, exc: BaseException | None, message: str | None) -> Refused:
    if isinstance(exc, Refused):
        return exc
    if isinstance(exc, LineTooLong) or (message or "").startswith(TOO_MANY_FIELDS):
        return Refused(RefusalReason.HEADERS_TOO_LARGE, "a header is too large")
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Refused(RefusalReason.MALFORMED_REQUEST, "not a valid HTTP request")
    return Refused(RefusalReason.INTERNAL, "internal failure", not_run=False)
