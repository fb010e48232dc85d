"""Retry budget of an entry: successes earn tokens, and a retry that adds load spends one.

The budget limits retries to a share of the traffic when many requests fail at once, as in Finagle.
"""

from __future__ import annotations

from bilberryplank_core._settings import RoutingSettings


class RetryBudget:
    """Token bucket for retries.

    Args:
        ratio: Tokens earned by each success.
        burst: Capacity in tokens; the budget starts full.
    """

    __slots__ = ("_burst", "_ratio", "_tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @classmethod
    def from_settings(cls, cfg: RoutingSettings) -> RetryBudget:
        """Returns a budget with the ratio and burst of the settings."""
        return cls(cfg.retry_ratio, cfg.retry_burst)

    @property
    def tokens(self) -> float:
        """Number of tokens left."""
        return self._tokens

    def record_success(self) -> None:
        """Adds the tokens that one success earns."""
        self._tokens = min(self._tokens + self._ratio, self._burst)

    def try_spend(self) -> bool:
        """Spends a token and returns True, or returns False if less than one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
