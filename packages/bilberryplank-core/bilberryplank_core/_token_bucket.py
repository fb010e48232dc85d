"""Token bucket whose level may become negative, for costs that are known only afterwards."""

from __future__ import annotations

BURST_SECONDS = 1.0
"""Seconds of the rate that the capacity holds."""


class TokenBucket:
    """Accumulates units at a rate, up to a burst capacity.

    Args:
        rate: Units per second.
        min_burst: Minimum capacity. The initial level disregards it, but is one unit at least.
        now: Monotonic seconds.
    """

    __slots__ = ("_capacity", "_min_burst", "_level", "_rate", "_refilled_at")

    def __init__(self, rate: float, min_burst: float, now: float) -> None:
        self._min_burst = min_burst
        self._rate = rate
        self._capacity = max(rate * BURST_SECONDS, min_burst)
        self._level = max(rate * BURST_SECONDS, 1.0)
        self._refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate; the level is kept up to the new capacity."""
        self._refill(now)
        self._rate = rate
        self._capacity = max(rate * BURST_SECONDS, self._min_burst)
        self._level = min(self._level, self._capacity)

    def wait_seconds(self, units: float, now: float) -> float:
        """Returns the seconds until so many units are available; 0 if they are now."""
        self._refill(now)
        missing = min(units, self._capacity) - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def consume(self, units: float) -> None:
        """Removes units, or returns some if negative; the level may become negative."""
        self._level = min(self._level - units, self._capacity)

    def is_full(self, now: float) -> bool:
        """Returns whether the bucket is at its capacity."""
        self._refill(now)
        return self._level >= self._capacity

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            self._level = min(self._level + (now - self._refilled_at) * self._rate, self._capacity)
            self._refilled_at = now
