"""Fencing tokens of orders: an upstream refuses an order whose token is older than one seen.

Follows Gray and Cheriton, "Leases" (SOSP 1989), but checks the token where the order takes effect
rather than where it is sent.
"""

from __future__ import annotations

from bilberryplank_core._errors import OrderRejected


class FenceStale(OrderRejected):
    """An order carries an older fencing token than one seen before.

    Attributes:
        fence: Token of the order.
        highest: Highest token seen.
    """

    code = "fence_stale"

    def __init__(self, fence: int, highest: int) -> None:
        super().__init__(f"fence={fence} highest={highest}")
        self.fence = fence
        self.highest = highest


class FenceUnlearned(OrderRejected):
    """The process has not read the current fencing token from the table since its start."""

    code = "fence_unlearned"


class FenceRegister:
    """Keeps the highest fencing token seen for each upstream.

    Tokens seen before a restart are lost. The register therefore refuses every order for an
    upstream until `learn` has been called with a token read from the table after the start.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def highest(self, upstream: str) -> int | None:
        """Returns the highest token seen, or None before `learn` was called."""
        return self._highest.get(upstream)

    def learn(self, upstream: str, fence: int) -> None:
        """Records a token read from the table; a token older than the highest changes nothing."""
        self._highest[upstream] = max(fence, self._highest.get(upstream, fence))

    def admit(self, upstream: str, fence: int) -> None:
        """Accepts an order's token or refuses it; equal tokens belong to the same holder.

        Raises:
            FenceUnlearned: `learn` has not been called for this upstream.
            FenceStale: The token is older than one seen before.
        """
        highest = self._highest.get(upstream)
        if highest is None:
            raise FenceUnlearned(f"upstream={upstream}")
        if fence < highest:
            raise FenceStale(fence, highest)
        self._highest[upstream] = fence
