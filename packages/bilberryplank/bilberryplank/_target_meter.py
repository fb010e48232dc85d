"""Which share of an upstream's recent requests met their target, and how many arrive."""

from __future__ import annotations

from math import exp

from bilberryplank_core.errors import RefusalReason

MEMORY_SECONDS = 15.0
LEAST_WEIGHT = 0.05
"""Below this weight of recent requests there is nothing to tell of."""

MISSES = frozenset(
    {
        RefusalReason.QUEUE_FULL,
        RefusalReason.SHED,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.DEADLINE_PASSED,
    }
)
"""Refusals for want of capacity."""


class TargetMeter:
    """Counts hits, misses and arrivals, each forgotten exponentially over `MEMORY_SECONDS`."""

    __slots__ = ("_arrivals", "_hits", "_misses", "_seen")

    def __init__(self) -> None:
        self._arrivals = self._hits = self._misses = 0.0
        self._seen = float("-inf")

    def arrived(self, now: float) -> None:
        """Notes a request, whatever becomes of it; times in seconds, monotonic."""
        self._forget(now)
        self._arrivals += 1.0

    def answered(self, in_time: bool, now: float) -> None:
        """Notes the first token of an answer."""
        self._forget(now)
        if in_time:
            self._hits += 1.0
        else:
            self._misses += 1.0

    def refused(self, reason: RefusalReason, now: float) -> None:
        """Notes a refusal; one for want of capacity is a miss."""
        if reason in MISSES:
            self.answered(False, now)

    def attainment(self, now: float) -> float:
        """Returns the share of requests that met their target; 1 where there were next to none."""
        self._forget(now)
        weight = self._hits + self._misses
        return self._hits / weight if weight > LEAST_WEIGHT else 1.0

    def arrivals(self, now: float) -> float:
        """Returns requests a second."""
        self._forget(now)
        return self._arrivals / MEMORY_SECONDS

    def _forget(self, now: float) -> None:
        if now <= self._seen:
            return
        factor = exp((self._seen - now) / MEMORY_SECONDS)
        self._arrivals *= factor
        self._hits *= factor
        self._misses *= factor
        self._seen = now
