"""Connections over the bound on connections."""

from __future__ import annotations

import asyncio

from bilberryplank._caller_protocol import RefusalCounter
from bilberryplank._discards import Linger
from bilberryplank._refusals import raw_refusal
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.settings import CallerSettings

RETRY_CONNECTION_SECONDS = 1.0


class TurnedAway(asyncio.Protocol):
    """Refuses a connection over the bound, and leaves the caller a moment to read why.

    Args:
        lingering: Connections that are being refused now; past a bound they are cut at once.
        most: How many they may be.
        settings: Bounds on what callers may send.
        on_refused: Called with the reason.
    """

    __slots__ = (
        "_linger",
        "_lingering",
        "_most",
        "_on_refused",
        "_settings",
        "_task",
        "_transport",
    )

    def __init__(
        self,
        lingering: set[TurnedAway],
        most: int,
        settings: CallerSettings,
        on_refused: RefusalCounter,
    ) -> None:
        self._linger: Linger | None = None
        self._most = most
        self._lingering = lingering
        self._on_refused = on_refused
        self._settings = settings
        self._task: asyncio.Task[None] | None = None
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
        self._linger = Linger(self._settings)
        self._task = asyncio.get_running_loop().create_task(self._wait_closed(self._linger))

    def data_received(self, data: bytes) -> None:
        """Drops what the caller sends, within a bound."""
        if self._linger is not None and not self._linger.drop(len(data)):
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._lingering.discard(self)
        if self._linger is not None:
            self._linger.note_closed()

    def close(self) -> None:
        """Cuts the connection."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait_closed(self, linger: Linger) -> None:
        if not await linger.wait():
            self.close()
