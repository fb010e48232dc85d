"""The HTTP server towards callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from loguru import logger
from mode import Service

from bilberryplank._logs import log_event
from bilberryplank._refusals import refusal_response
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.settings import CallerSettings

KEEPALIVE_SECONDS = 75.0
BACKLOG = 1024
MAX_HEADER_FIELDS = 100

CallerHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _CallerProtocol(web.RequestHandler):
    """Answers requests that are no HTTP with a typed refusal."""

    __slots__ = ()

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
        if refused.reason is RefusalReason.INTERNAL:
            log_event(logger, "request_failed", level="ERROR", trace=exc)
        else:
            log_event(logger, "request_unreadable", reason=refused.reason.value, cause=exc)
        resp = refusal_response(refused, "")
        resp.force_close()
        return resp


class _CallerProtocolFactory(web.Server):
    """Makes one protocol object for each caller's connection, up to a bound."""

    def __init__(self, handler: CallerHandler, settings: CallerSettings) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._settings = settings

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol for a new connection."""
        return _CallerProtocol(
            self,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=self._settings.max_header_bytes,
            max_field_size=self._settings.max_header_bytes,
            max_headers=MAX_HEADER_FIELDS,
            access_log=None,
            auto_decompress=False,
            lingering_time=1.0,
        )


class CallerServer(Service):
    """Listens for callers and hands each request to a handler."""

    def __init__(self, address: str, settings: CallerSettings, handler: CallerHandler) -> None:
        super().__init__()
        self._address = address
        self._settings = settings
        self._factory: _CallerProtocolFactory | None = None
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Begins to listen."""
        host, _, port = self._address.rpartition(":")
        self._factory = _CallerProtocolFactory(self._handler, self._settings)
        self._server = await asyncio.get_running_loop().create_server(
            self._factory, host.strip("[]"), int(port), backlog=BACKLOG
        )

    def stop_listening(self) -> None:
        """Closes the listening socket and idle connections; running requests go on."""
        if self._server is not None:
            self._server.close()
        if self._factory is not None:
            self._factory.pre_shutdown()

    async def on_stop(self) -> None:
        """Closes what is left."""
        self.stop_listening()
        if self._factory is not None:
            await self._factory.shutdown(timeout=1.0)


def _refusal_for(status: int, exc: BaseException | None, message: str | None) -> Refused:
    if isinstance(exc, LineTooLong):
        return Refused(RefusalReason.HEADERS_TOO_LARGE, "a header is too large")
    if status < 500:
        return Refused(RefusalReason.MALFORMED_REQUEST, message or "not an HTTP request")
    return Refused(RefusalReason.INTERNAL, "internal failure", not_run=False)
