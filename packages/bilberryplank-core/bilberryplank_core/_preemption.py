"""Preemption of running requests, within a budget of wasted work."""

from __future__ import annotations

from collections.abc import Iterable

from bilberryplank_core._slots import RunningRequest, SlotTable
from bilberryplank_core._waits import WaitEstimator

MAX_BUDGET_TOKENS = 20000.0
"""Tokens of waste that may be saved up, so that a quiet day does not pay for a bad minute."""

MIN_PREEMPTION_LOAD = 1.0
"""Offered load, as a share of the slots, from which preemption is allowed: below it slots free
themselves soon enough, and thrown away work would buy little."""


class WasteBudget:
    """A token bucket: thrown away tokens stay under a share of those of whole answers."""

    __slots__ = ("_available_tokens", "_share")

    def __init__(self, share: float) -> None:
        self._share = share
        self._available_tokens = 0.0

    def accrue(self, tokens: float) -> None:
        """Adds the share of a whole answer's tokens."""
        self._available_tokens = min(
            MAX_BUDGET_TOKENS, self._available_tokens + tokens * self._share
        )

    def allows(self, tokens: float) -> bool:
        """Returns whether so many tokens may be thrown away now."""
        return tokens <= self._available_tokens

    def reserve(self, tokens: float) -> None:
        """Takes tokens out of the budget before their real number is known."""
        self._available_tokens -= tokens

    def settle(self, reserved: float, tokens: float) -> None:
        """Replaces a reserved estimate by the tokens really thrown away."""
        self._available_tokens += reserved - tokens


class Preemption:
    """Chooses running requests to stop, and accounts for the work that is lost."""

    __slots__ = ("_slots", "_waits", "budget")

    def __init__(self, budget: WasteBudget, slots: SlotTable, waits: WaitEstimator) -> None:
        self.budget = budget
        self._slots = slots
        self._waits = waits

    def select_victim(self, rank: int, now: float) -> RunningRequest | None:
        """Returns the running request that may be stopped for one of a tier `rank`, or None."""
        if self._waits.total_offered_load(now) < MIN_PREEMPTION_LOAD * self._slots.slots:
            return None
        entry = choose_victim(self._slots.running(), rank)
        if entry is None or not self.budget.allows(self._estimated_tokens(entry, now)):
            return None
        return entry

    def pending_count(self) -> int:
        """Returns how many requests are being stopped."""
        return sum(entry.reserved_waste is not None for entry in self._slots.running())

    def begin(self, entry: RunningRequest, now: float) -> None:
        """Notes that a request is being stopped."""
        entry.reserved_waste = self._estimated_tokens(entry, now)
        self.budget.reserve(entry.reserved_waste)

    def record_release(self, entry: RunningRequest, tokens: int, completed: bool) -> None:
        """Accounts for a request that left its slot after so many tokens."""
        if entry.reserved_waste is not None:
            self.budget.settle(entry.reserved_waste, 0 if completed else tokens)
        if completed:
            self.budget.accrue(tokens)

    def _estimated_tokens(self, entry: RunningRequest, now: float) -> float:
        """Returns the estimated tokens that a running request has used."""
        rate = self._waits.class_cost_per_second(entry.req.class_name)
        generated = (now - entry.sent_at) * rate if rate > 0 else entry.req.cost
        return entry.req.prompt_tokens + generated


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
        and entry.sent_at is not None
        and entry.reserved_waste is None
    ]
    return max(candidates, key=lambda entry: (entry.req.rank, entry.sent_at), default=None)
