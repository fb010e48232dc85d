"""Retry budget that holds over all entries without messages between them.

In any window, a service may get retries up to a share of its requests plus a fixed allowance. Each
entry earns the share from its own requests, and uses its part of the allowance, which is divided by
the number of entries.

Motivating load: all upstreams of a service fail part of their requests at once.
"""

from __future__ import annotations

from collections import deque

RATIO_SAFETY_FACTOR = 0.75
"""Fraction of the allowed ratio that is used, as the checker's windows may split a burst
differently."""


class WindowRetryBudget:
    """Retry budget of one entry for one service.

    Args:
        ratio: Retries allowed per request, over all entries.
        window: Length of the window in seconds.
        allowance: Retries that this entry may send in a window in addition to those earned.
    """

    __slots__ = ("_allowance", "_ratio", "_requests", "_spent", "_window")

    def __init__(self, ratio: float, window: float, allowance: float) -> None:
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._window = window
        self._allowance = allowance
        self._requests: deque[float] = deque()
        self._spent: deque[float] = deque()

    def set_allowance(self, allowance: float) -> None:
        """Sets the allowance; retries already spent still count."""
        self._allowance = allowance

    def record_request(self, now: float) -> None:
        """Records a request of a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_spend(self, now: float) -> bool:
        """Spends one retry and returns True if the budget of the window allows it."""
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
