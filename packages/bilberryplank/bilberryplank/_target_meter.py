"""Which share of an upstream's recent requests met their target, and how many arrive."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core.errors import RefusalReason

WINDOW_SECONDS = 15.0

MISSES = frozenset(
    {
        RefusalReason.QUEUE_FULL,
        RefusalReason.SHED,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.DEADLINE_PASSED,
    }
)
"""Refusals for want of capacity."""


@dataclass(slots=True)
class _Counts:
    arrivals: int = 0
    hits: int = 0
    misses: int = 0


class TargetMeter:
    """Counts hits, misses and arrivals over the last `WINDOW_SECONDS`, by two windows.

    The part of the last whole window that is still within reach is taken as if it had been even,
    so that what is older than two windows is forgotten whatever it was.
    """

    __slots__ = ("_began", "_current", "_last")

    def __init__(self) -> None:
        self._began = float("-inf")
        self._current = _Counts()
        self._last = _Counts()

    def arrived(self, now: float) -> None:
        """Notes a request, whatever becomes of it; times in seconds, monotonic."""
        self._turn(now)
        self._current.arrivals += 1

    def answered(self, in_time: bool, now: float) -> None:
        """Notes the first token of an answer."""
        self._turn(now)
        if in_time:
            self._current.hits += 1
        else:
            self._current.misses += 1

    def refused(self, reason: RefusalReason, now: float) -> None:
        """Notes a refusal; one for want of capacity is a miss."""
        if reason in MISSES:
            self.answered(False, now)

    def attainment(self, now: float) -> float:
        """Returns the share of requests that met their target; 1 where there were none."""
        left = self._turn(now)
        hits = self._current.hits + left * self._last.hits
        misses = self._current.misses + left * self._last.misses
        return hits / (hits + misses) if misses else 1.0

    def arrivals(self, now: float) -> float:
        """Returns requests a second."""
        left = self._turn(now)
        return (self._current.arrivals + left * self._last.arrivals) / WINDOW_SECONDS

    def _turn(self, now: float) -> float:
        """Begins a new window where one is over; returns what is left of the last one, 0 to 1."""
        if now - self._began >= WINDOW_SECONDS:
            fresh = now - self._began < 2 * WINDOW_SECONDS
            self._last = self._current if fresh else _Counts()
            self._current = _Counts()
            self._began = self._began + WINDOW_SECONDS if fresh else now
        return 1.0 - (now - self._began) / WINDOW_SECONDS
