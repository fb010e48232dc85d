"""Preemption of running requests within a budget of wasted work."""

from __future__ import annotations

from collections.abc import Iterable

from bilberryplank_core._slots import RunningRequest

MAX_SAVED_TOKENS = 20000.0
"""Tokens of waste that may be saved up, so that a quiet day does not pay for a bad minute."""


class WasteBudget:
    """A token bucket: thrown away tokens stay under a share of those of whole answers."""

    __slots__ = ("_saved", "_share")

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = 0.0

    def earn(self, tokens: float) -> None:
        """Adds the share of a whole answer's tokens."""
        self._saved = min(MAX_SAVED_TOKENS, self._saved + tokens * self._share)

    def allows(self, tokens: float) -> bool:
        """Returns whether so many tokens may be thrown away now."""
        return tokens <= self._saved

    def reserve(self, tokens: float) -> None:
        """Takes tokens out of the budget before their real number is known."""
        self._saved -= tokens

    def settle(self, reserved: float, tokens: float) -> None:
        """Replaces a reserved estimate by the tokens really thrown away."""
        self._saved += reserved - tokens


def choose_victim(running: Iterable[RunningRequest], rank: int) -> RunningRequest | None:
    """Returns the running request of the lowest tier below `rank` that started last, or None.

    What runs by its class's floor is never chosen: the floor would be worth nothing.
    """
    candidates = [
        entry
        for entry in running
        if entry.req.rank > rank
        and entry.req.preemptible
        and not entry.by_floor
        and entry.started is not None
        and entry.reserved_waste is None
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda entry: (entry.req.rank, entry.started))
