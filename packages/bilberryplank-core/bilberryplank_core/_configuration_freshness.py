"""Whether the configuration that a process holds may still be acted on.

A withdrawn key must stop working everywhere within a bound, also on a host that is cut off from
the store. So a process counts the age of its configuration from the moment at which the store
confirmed it, on a clock that goes on while the host is suspended, and refuses work once that age
leaves no room for the bound.

Load pattern: a key is withdrawn while some hosts can't reach the store.
"""

from __future__ import annotations

from enum import Enum


class Freshness(Enum):
    """What a configuration of this age is good for.

    Attributes:
        CONFIRMED: Unknown routes and keys may be refused for good.
        UNCONFIRMED: Known routes and keys are served; unknown ones come back later.
        STALE: Nothing that needs a key is served.
    """

    CONFIRMED = "sure"
    UNCONFIRMED = "usable"
    STALE = "stale"


class FreshnessTracker:
    """Age of the configuration in force.

    Args:
        sure_limit: Seconds up to which a refusal for good is right.
        stale_limit: Seconds from which nothing is served; None for no limit.
    """

    __slots__ = ("_confirmed_at", "_stale_limit", "_sure_limit")

    def __init__(self, sure_limit: float, stale_limit: float | None) -> None:
        self._sure_limit = sure_limit
        self._stale_limit = stale_limit
        self._confirmed_at: float | None = None

    def set_limits(self, sure_limit: float, stale_limit: float | None) -> None:
        """Takes limits from new settings."""
        self._sure_limit = sure_limit
        self._stale_limit = stale_limit

    def confirm(self, as_of: float) -> None:
        """Takes in that the configuration in force was the newest at a moment, or later."""
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def age(self, now: float) -> float:
        """Returns the seconds since the last confirmation; infinite before the first."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def freshness(self, now: float) -> Freshness:
        """Returns what the configuration is good for at `now`."""
        age = self.age(now)
        if age == float("inf"):
            return Freshness.STALE
        if self._stale_limit is not None and age > self._stale_limit:
            return Freshness.STALE
        return Freshness.CONFIRMED if age <= self._sure_limit else Freshness.UNCONFIRMED
