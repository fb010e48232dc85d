"""Budget of further attempts that holds over all entries without a message between them.

A service may get, in any window, further attempts up to a share of its requests plus a fixed
allowance. Each entry earns the share from its own requests, and takes the part of the allowance
that falls to it by the number of entries.

Load pattern: all upstreams of a service fail part of their requests at once.
"""

from __future__ import annotations

from collections import deque

RATIO_SAFETY_FACTOR = 0.75
"""Part of the allowed ratio that is used; windows of the checker may cut a burst elsewhere."""


class WindowRetryBudget:
    """Further attempts of one entry to one service.

    Args:
        ratio: Further attempts allowed for each request, over all entries.
        window: Length of the window in seconds.
        allowance: Attempts that this entry may make in a window beside those earned.
    """

    __slots__ = ("_allowance", "_ratio", "_requests", "_spent", "_window")

    def __init__(self, ratio: float, window: float, allowance: float) -> None:
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._window = window
        self._allowance = allowance
        self._requests: deque[float] = deque()
        self._spent: deque[float] = deque()

    def set_allowance(self, allowance: float) -> None:
        """Takes in another allowance; what was spent stays spent."""
        self._allowance = allowance

    def record_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_spend(self, now: float) -> bool:
        """Returns True and takes one further attempt where one is left in the window."""
        self._drop_expired(now)
        if len(self._spent) + 1 > self._ratio * len(self._requests) + self._allowance:
            return False
        self._spent.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._window
        for times in (self._requests, self._spent):
            while times and times[0] <= oldest:
                times.popleft()
