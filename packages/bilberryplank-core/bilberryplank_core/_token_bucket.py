"""Token bucket that may run into debt, for costs that are known only afterwards."""

from __future__ import annotations

BURST_SECONDS = 1.0


class TokenBucket:
    """Units earned at a rate, up to a burst.

    Args:
        rate: Units a second.
        min_burst: Least capacity; where it matters, the bucket starts with one unit only.
        now: Monotonic time.
    """

    __slots__ = ("_capacity", "_min_burst", "_level", "_rate", "_refilled_at")

    def __init__(self, rate: float, min_burst: float, now: float) -> None:
        self._min_burst = min_burst
        self._rate = rate
        self._capacity = max(rate * BURST_SECONDS, min_burst)
        self._level = max(rate * BURST_SECONDS, 1.0)
        self._refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate from now on."""
        self._refill(now)
        self._rate = rate
        self._capacity = max(rate * BURST_SECONDS, self._min_burst)
        self._level = min(self._level, self._capacity)

    def wait_seconds(self, needed: float, now: float) -> float:
        """Returns the seconds until the level reaches `needed`; 0 where it does already."""
        self._refill(now)
        missing = min(needed, self._capacity) - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def consume(self, units: float) -> None:
        """Takes units out, or gives some back where negative; the level may go below 0."""
        self._level = min(self._level - units, self._capacity)

    def is_full(self, now: float) -> bool:
        """Returns True where nothing is lost by forgetting the bucket."""
        self._refill(now)
        return self._level >= self._capacity

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            self._level = min(self._level + (now - self._refilled_at) * self._rate, self._capacity)
            self._refilled_at = now
