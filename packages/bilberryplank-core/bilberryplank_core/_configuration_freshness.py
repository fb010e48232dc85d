"""Freshness of the configuration that a process holds.

A withdrawn API key must stop working everywhere within a time limit, also on a host that can't
reach the store. So a process measures the age of its configuration since the store last confirmed
it, on a clock that continues while the host is suspended, and refuses requests once the time limit
can no longer be met.

A store that comes back from an older copy may lack the newest configuration until the operator has
written it again. So it confirms nothing for a while, nor as long as it has an older one than this
process.

Motivating load: a key is withdrawn while some hosts can't reach the store.
"""

from __future__ import annotations

from enum import Enum


class Freshness(Enum):
    """What a configuration may be used for, by its age.

    Attributes:
        CONFIRMED: Requests with unknown routes and keys are refused permanently.
        UNCONFIRMED: Known routes and keys are served; others are asked to retry later.
        STALE: Requests that need a key are not served.
    """

    CONFIRMED = "sure"
    UNCONFIRMED = "usable"
    STALE = "stale"


class FreshnessTracker:
    """Tracks the age of the active configuration.

    Args:
        sure_limit: Age in seconds up to which requests may be refused permanently.
        stale_limit: Age in seconds above which nothing is served; None for no limit.
    """

    __slots__ = ("_confirmed_at", "_doubted_until", "_is_behind", "_stale_limit", "_sure_limit")

    def __init__(self, sure_limit: float, stale_limit: float | None) -> None:
        self._sure_limit = sure_limit
        self._stale_limit = stale_limit
        self._confirmed_at: float | None = None
        self._doubted_until = float("-inf")
        self._is_behind = False

    def set_limits(self, sure_limit: float, stale_limit: float | None) -> None:
        """Sets the limits from reloaded settings."""
        self._sure_limit = sure_limit
        self._stale_limit = stale_limit

    def confirm(self, as_of: float) -> None:
        """Records that the store had the active configuration at `as_of`, or later.

        It does not confirm anything while the store is known to have an older one, or may have one.
        """
        if self._is_behind or as_of < self._doubted_until:
            return
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def doubt_until(self, until: float) -> None:
        """Records that the store may have an older configuration up to a time.

        It came back from an older copy. The operator writes again what is missing, but a process
        can't tell whether anything is.
        """
        self._doubted_until = max(self._doubted_until, until)

    def doubt_left(self, now: float) -> float:
        """Returns the seconds until an answer of the store confirms the configuration again."""
        return max(0.0, self._doubted_until - now)

    def set_behind(self, is_behind: bool) -> None:
        """Records whether the store's configuration is older than the active one."""
        self._is_behind = is_behind

    def forget_confirmation(self) -> None:
        """Records that a newer configuration than the active one is known to have been in force."""
        self._confirmed_at = None

    def age(self, now: float) -> float:
        """Returns the seconds since the last confirmation; infinity before the first."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def freshness(self, now: float) -> Freshness:
        """Returns the freshness of the configuration at `now`."""
        age = self.age(now)
        if age == float("inf"):
            return Freshness.STALE
        if self._stale_limit is not None and age > self._stale_limit:
            return Freshness.STALE
        return Freshness.CONFIRMED if age <= self._sure_limit else Freshness.UNCONFIRMED
