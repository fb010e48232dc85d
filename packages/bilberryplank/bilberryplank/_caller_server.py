"""The HTTP server towards callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web
from mode import Service

from bilberryplank._caller_connections import ConnectionBounds
from bilberryplank._caller_listener import CallerListener
from bilberryplank._caller_memory import CallerMemory
from bilberryplank._caller_protocol import CallerProtocol, RefusalCounter
from bilberryplank._caller_request import check_text
from bilberryplank._listening_socket import open_listening_socket
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._turned_away import TurnedAwayConnections
from bilberryplank_core.direct import ReadPacer
from bilberryplank_core.errors import RefusalReason
from bilberryplank_core.settings import CallerSettings

LAST_REQUESTS_SECONDS = 0.3
"""Time from the close of the listening socket in which requests on open connections are read: some
round trips to a caller."""

LAST_HANDLERS_SECONDS = 1.0
"""Time that requests get that still run as the server is stopped."""

SENT_POLL_SECONDS = 0.01

CallerHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _CallerProtocolFactory(web.Server):
    """Makes one protocol object for each caller's connection, up to a bound."""

    def __init__(
        self,
        handler: CallerHandler,
        settings: CallerSettings,
        on_refused: RefusalCounter,
        memory: CallerMemory,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._bounds = ConnectionBounds(settings, memory)
        self._pacer = ReadPacer()
        self._memory = memory
        self._settings = settings
        self._on_refused = on_refused
        self._turned_away = TurnedAwayConnections(settings, on_refused)

    def new_protocol(self, address: str) -> asyncio.Protocol | None:
        """Returns the protocol for a new connection; None if it can't be served or refused yet."""
        if not self._bounds.admits_another(address):
            return self._turned_away.open()
        conn = CallerProtocol(
            self, self._settings, self._on_refused, self._memory, self._pacer, address
        )
        self._bounds.add(conn)
        return conn

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Takes in the end of a connection."""
        super().connection_lost(handler, exc)
        assert isinstance(handler, CallerProtocol)
        self._bounds.remove(handler)

    @property
    def is_answering(self) -> bool:
        """True while an answer is not out yet."""
        return any(
            isinstance(each, CallerProtocol) and each.is_answering for each in self.connections
        )

    def cut_turned_away(self) -> None:
        """Ends what is left of refused connections."""
        self._turned_away.close()


class CallerServer(Service):
    """Listens for callers and hands each request to a handler.

    Args:
        address: `ip:port` to listen on.
        settings: Bounds on what callers may send.
        handler: Answers each request; typed refusals that it raises are answered for it.
        on_refused: Called with the reason of each refusal that the handler never saw: no HTTP, a
            header too large or too slow, or a connection too many.
        memory: What is held for callers; None for a budget of its own.
    """

    def __init__(
        self,
        address: str,
        settings: CallerSettings,
        handler: CallerHandler,
        on_refused: RefusalCounter | None = None,
        memory: CallerMemory | None = None,
    ) -> None:
        super().__init__()
        self._memory = memory or CallerMemory(settings, ProcessMetrics())
        self._address = address
        self._settings = settings
        self._factory: _CallerProtocolFactory | None = None
        self._handler = handler
        self._on_refused = on_refused or _count_nothing
        self._listener: CallerListener | None = None

    @property
    def port(self) -> int:
        """The port on which it listens."""
        assert self._listener is not None
        return self._listener.port

    async def on_start(self) -> None:
        """Begins to listen."""
        host, _, port = self._address.rpartition(":")
        self._factory = _CallerProtocolFactory(
            self._handle, self._settings, self._on_refused, self._memory
        )
        sock = open_listening_socket(host.strip("[]"), int(port), self._settings.receive_buffer)
        self._listener = CallerListener(sock, self._factory.new_protocol)

    async def stop_listening(self) -> None:
        """Closes the listening socket, and connections once they are idle; running requests go on.

        A connection that was accepted just now, or a request that crosses the close of its kept
        connection, still gets an answer: the bytes of a request that are unread when a socket is
        closed are lost, and the caller cannot tell whether it ran.
        """
        if self._listener is None:
            return
        await self._listener.drain()
        await asyncio.sleep(LAST_REQUESTS_SECONDS)
        self._close_idle()

    def _close_idle(self) -> None:
        if self._factory is not None:
            self._factory.pre_shutdown()

    async def wait_sent(self, timeout: float) -> bool:
        """Waits until all answers are sent; returns False where the time is up first.

        An answer that its handler has returned may still wait for a caller that reads slowly.

        Args:
            timeout: Seconds.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout
        while self._factory is not None and self._factory.is_answering:
            if loop.time() >= ends_at:
                return False
            await asyncio.sleep(SENT_POLL_SECONDS)
        return True

    async def close(self, timeout: float) -> None:
        """Closes what is left.

        Args:
            timeout: Seconds that running requests have.
        """
        if self._listener is not None:
            self._listener.close()
        self._close_idle()
        if self._factory is not None:
            self._factory.cut_turned_away()
            await self._factory.shutdown(timeout=timeout)

    async def on_stop(self) -> None:
        """Closes what is left."""
        await self.close(LAST_HANDLERS_SECONDS)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        check_text(request)
        return await self._handler(request)


def _count_nothing(reason: RefusalReason) -> None:
    return None
