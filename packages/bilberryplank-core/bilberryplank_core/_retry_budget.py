"""Retry budget of an entry: successes earn tokens, a retry that adds load spends one.

It keeps retries a bounded share of the traffic when many requests fail at once, as in Finagle.
"""

from __future__ import annotations

from bilberryplank_core._settings import RoutingSettings


class RetryBudget:
    """Tokens for retries.

    Args:
        ratio: Tokens earned by each success.
        burst: Most tokens saved up; the budget starts with them.
    """

    __slots__ = ("_burst", "_ratio", "_tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    @classmethod
    def from_settings(cls, cfg: RoutingSettings) -> RetryBudget:
        """Returns the budget that the settings describe."""
        return cls(cfg.retry_ratio, cfg.retry_burst)

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    def earn(self) -> None:
        """Adds what one success earns."""
        self._tokens = min(self._tokens + self._ratio, self._burst)

    def try_spend(self) -> bool:
        """Returns True and takes a token where one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
