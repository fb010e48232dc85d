"""Pauses of a connection's reads, beside those of the HTTP library."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp.streams import StreamReader

if TYPE_CHECKING:
    from aiohttp.base_protocol import BaseProtocol

    _Base = BaseProtocol
else:
    _Base = object


class PacedReading(_Base):
    """Mixed into a protocol of the HTTP library, whose own reasons to pause may end first.

    The protocol has an attribute `_pace_timer`, None at first.
    """

    __slots__ = ()

    _pace_timer: asyncio.TimerHandle | None

    def pause_for(self, seconds: float) -> None:
        """Has the connection read nothing for some seconds."""
        if self._pace_timer is None:
            self._pause_transport_reading()
            self._pace_timer = self._loop.call_later(seconds, self._end_pause)

    def stop_pacing(self) -> None:
        """Ends the timer, as with the connection."""
        if self._pace_timer is not None:
            self._pace_timer.cancel()
            self._pace_timer = None

    def _end_pause(self) -> None:
        self._pace_timer = None
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self._pace_timer is None:
            super()._resume_transport_reading()


def pieces_of(payload: StreamReader | None) -> int:
    """Returns the pieces of a body that are not taken yet."""
    return 0 if payload is None else len(getattr(payload, "_buffer", ()))
