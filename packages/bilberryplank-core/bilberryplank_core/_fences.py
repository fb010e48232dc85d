"""Fencing numbers of orders: an upstream obeys no order older than one it has seen.

The idea is from Gray and Cheriton, "Leases" (SOSP 1989), with the number checked where the order
takes effect rather than where it is sent.
"""

from __future__ import annotations

from bilberryplank_core._errors import OrderRejected


class FenceStale(OrderRejected):
    """An order carried an older fencing number than one seen before.

    Attributes:
        fence: Number of the order.
        highest: Highest number seen.
    """

    code = "fence_stale"

    def __init__(self, fence: int, highest: int) -> None:
        super().__init__(f"fence={fence} highest={highest}")
        self.fence = fence
        self.highest = highest


class FenceUnlearned(OrderRejected):
    """The process has not yet read the current number from the table since it started."""

    code = "fence_unlearned"


class FenceRegister:
    """The highest fencing number seen for each upstream.

    A register begins unlearned: what it had seen before a restart is lost, so it refuses every
    order until it was told the number that a read of the table gave after the start.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def highest(self, upstream: str) -> int | None:
        """Returns the highest number seen, or None while unlearned."""
        return self._highest.get(upstream)

    def learn(self, upstream: str, fence: int) -> None:
        """Takes the number from the table; an older one than known changes nothing."""
        self._highest[upstream] = max(fence, self._highest.get(upstream, fence))

    def admit(self, upstream: str, fence: int) -> None:
        """Accepts an order's number, or refuses it; equal numbers are of the same holder.

        Raises:
            FenceUnlearned: `learn` was not called yet.
            FenceStale: The number is older than one seen.
        """
        highest = self._highest.get(upstream)
        if highest is None:
            raise FenceUnlearned(f"upstream={upstream}")
        if fence < highest:
            raise FenceStale(fence, highest)
        self._highest[upstream] = fence
