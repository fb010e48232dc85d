"""Bounds the reading of bytes that are dropped, as those of a refused body."""

from __future__ import annotations


class DiscardBound:
    """Decides until when a connection is read whose bytes nobody needs.

    A connection that is closed with unread bytes is reset, and the peer may lose the response that
    it has not read yet.

    Args:
        now: The time in seconds, on any one clock.
        most_bytes: Bytes that are read at most.
        seconds: Time in which they are read.
        idle_seconds: Longest time in which no byte comes.
    """

    __slots__ = ("_bytes", "_ends_at", "_idle_seconds", "_most_bytes", "_received_at")

    def __init__(self, now: float, most_bytes: int, seconds: float, idle_seconds: float) -> None:
        self._bytes = 0
        self._ends_at = now + seconds
        self._idle_seconds = idle_seconds
        self._most_bytes = most_bytes
        self._received_at = now

    @property
    def bytes(self) -> int:
        """Bytes that were dropped."""
        return self._bytes

    @property
    def ends_at(self) -> float:
        """When the reading ends unless further bytes come before."""
        if self._bytes > self._most_bytes:
            return self._received_at
        return min(self._ends_at, self._received_at + self._idle_seconds)

    def record(self, count: int, now: float) -> bool:
        """Records dropped bytes; returns False once the reading has to end."""
        self._bytes += count
        if count:
            self._received_at = now
        return self._bytes <= self._most_bytes and now < self._ends_at
