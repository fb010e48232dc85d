"""Token bucket that may run into debt, for costs that are known only afterwards."""

from __future__ import annotations

BURST_SECONDS = 1.0


class TokenBucket:
    """Units earned at a rate, up to a burst.

    Args:
        rate: Units a second.
        least_burst: Least capacity; where it matters, the bucket starts with one unit only.
        now: Monotonic time.
    """

    __slots__ = ("_capacity", "_least_burst", "_level", "_rate", "_seen")

    def __init__(self, rate: float, least_burst: float, now: float) -> None:
        self._least_burst = least_burst
        self._rate = rate
        self._capacity = max(rate * BURST_SECONDS, least_burst)
        self._level = max(rate * BURST_SECONDS, 1.0)
        self._seen = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate from now on."""
        self._refill(now)
        self._rate = rate
        self._capacity = max(rate * BURST_SECONDS, self._least_burst)
        self._level = min(self._level, self._capacity)

    def wait(self, needed: float, now: float) -> float:
        """Returns the seconds until the level reaches `needed`; 0 where it does already."""
        self._refill(now)
        missing = min(needed, self._capacity) - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def take(self, units: float) -> None:
        """Takes units out, or gives some back where negative; the level may go below 0."""
        self._level = min(self._level - units, self._capacity)

    def is_full(self, now: float) -> bool:
        """Returns True where nothing is lost by forgetting the bucket."""
        self._refill(now)
        return self._level >= self._capacity

    def _refill(self, now: float) -> None:
        if now > self._seen:
            self._level = min(self._level + (now - self._seen) * self._rate, self._capacity)
            self._seen = now
