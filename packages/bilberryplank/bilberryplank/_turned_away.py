"""Connections over the bounds on connections."""

from __future__ import annotations

import asyncio

from bilberryplank._caller_protocol import RefusalCounter
from bilberryplank._discards import Linger
from bilberryplank._refusals import raw_refusal
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.settings import CallerSettings

RETRY_CONNECTION_SECONDS = 1.0

LEAST_LINGER_SECONDS = 0.5
"""A refused connection may linger this long before it gives way to the next one."""

MAX_LINGERING = 64
LINGERING_SHARE = 0.25
"""Refused connections that may linger, as a share of those that are taken, and at most."""


class TurnedAwayConnections:
    """Refused connections, each of which lingers until its caller has read why.

    Args:
        settings: Bounds on what callers may send.
        on_refused: Called with the reason of each refusal.
    """

    __slots__ = ("_lingering", "_most", "_on_refused", "_settings")

    def __init__(self, settings: CallerSettings, on_refused: RefusalCounter) -> None:
        # In the order in which they came.
        self._lingering: dict[TurnedAway, None] = {}
        self._most = min(MAX_LINGERING, max(1, int(LINGERING_SHARE * settings.max_connections)))
        self._on_refused = on_refused
        self._settings = settings

    def open(self) -> TurnedAway | None:
        """Returns the protocol of a connection that is refused; None if too many linger."""
        if len(self._lingering) >= self._most:
            oldest = next(iter(self._lingering))
            if oldest.age < LEAST_LINGER_SECONDS:
                return None
            self.remove(oldest)
            oldest.close()
        refused = TurnedAway(self, self._settings)
        self._lingering[refused] = None
        self._on_refused(RefusalReason.TOO_MANY_CONNECTIONS)
        return refused

    def remove(self, refused: TurnedAway) -> None:
        """Forgets a connection."""
        self._lingering.pop(refused, None)

    def close(self) -> None:
        """Cuts them."""
        for refused in list(self._lingering):
            refused.close()


class TurnedAway(asyncio.Protocol):
    """Refuses a connection, and leaves the caller a moment to read why.

    Args:
        connections: All refused connections.
        settings: Bounds on what callers may send.
    """

    __slots__ = (
        "_connections",
        "_linger",
        "_loop",
        "_opened_at",
        "_settings",
        "_task",
        "_transport",
    )

    def __init__(self, connections: TurnedAwayConnections, settings: CallerSettings) -> None:
        self._connections = connections
        self._linger: Linger | None = None
        self._loop = asyncio.get_running_loop()
        self._opened_at = self._loop.time()
        self._settings = settings
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None

    @property
    def age(self) -> float:
        """Seconds since it was accepted."""
        return self._loop.time() - self._opened_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the refusal."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        refused = Refused(
            RefusalReason.TOO_MANY_CONNECTIONS,
            "this entry holds as many connections as it may",
            retry_after=RETRY_CONNECTION_SECONDS,
        )
        transport.write(raw_refusal(refused))
        transport.write_eof()
        self._linger = Linger(self._settings)
        self._task = self._loop.create_task(self._wait_closed(self._linger))

    def data_received(self, data: bytes) -> None:
        """Drops what the caller sends, within a bound."""
        if self._linger is not None and not self._linger.drop(len(data)):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._connections.remove(self)
        if self._linger is not None:
            self._linger.note_closed()

    def close(self) -> None:
        """Cuts the connection."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait_closed(self, linger: Linger) -> None:
        if not await linger.wait():
            self.close()
