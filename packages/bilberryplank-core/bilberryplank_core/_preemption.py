"""Preemption of running requests, within a budget for the work that it wastes."""

from __future__ import annotations

from collections.abc import Iterable

from bilberryplank_core._slots import RunningRequest, SlotTable
from bilberryplank_core._waits import WaitEstimator

MAX_BUDGET_TOKENS = 20000.0
"""Cap of the budget, so that a quiet day does not pay for many preemptions in one minute."""

MIN_PREEMPTION_LOAD = 1.0
"""Offered load, as a share of the slots, from which preemption is allowed: below it slots become
free soon enough, and discarding work would gain little."""


class WasteBudget:
    """A token bucket that limits wasted tokens to a share of the tokens of completed answers."""

    __slots__ = ("_available_tokens", "_share")

    def __init__(self, share: float) -> None:
        self._share = share
        self._available_tokens = 0.0

    def accrue(self, tokens: float) -> None:
        """Adds the share of the tokens of a completed answer."""
        self._available_tokens = min(
            MAX_BUDGET_TOKENS, self._available_tokens + tokens * self._share
        )

    def allows(self, tokens: float) -> bool:
        """Returns whether the budget covers the loss of so many tokens."""
        return tokens <= self._available_tokens

    def reserve(self, tokens: float) -> None:
        """Takes estimated tokens out of the budget until the actual number is known."""
        self._available_tokens -= tokens

    def settle(self, reserved: float, tokens: float) -> None:
        """Replaces a reserved estimate by the tokens that were actually wasted."""
        self._available_tokens += reserved - tokens


class Preemption:
    """Selects running requests to stop, and accounts for the work that is lost."""

    __slots__ = ("_slots", "_waits", "budget")

    def __init__(self, budget: WasteBudget, slots: SlotTable, waits: WaitEstimator) -> None:
        self.budget = budget
        self._slots = slots
        self._waits = waits

    def select_victim(self, rank: int, now: float) -> RunningRequest | None:
        """Returns the running request to stop for one of the tier `rank`, or None."""
        if self._waits.total_offered_load(now) < MIN_PREEMPTION_LOAD * self._slots.slots:
            return None
        running = choose_victim(self._slots.running(), rank)
        if running is None or not self.budget.allows(self._estimated_tokens(running, now)):
            return None
        return running

    def pending_count(self) -> int:
        """Returns the number of requests that are being stopped."""
        return sum(running.reserved_waste is not None for running in self._slots.running())

    def begin(self, running: RunningRequest, now: float) -> None:
        """Records that a request is being stopped, and reserves its estimated waste."""
        running.reserved_waste = self._estimated_tokens(running, now)
        self.budget.reserve(running.reserved_waste)

    def record_release(self, running: RunningRequest, tokens: int, completed: bool) -> None:
        """Accounts for a request that used so many tokens and has left its slot."""
        if running.reserved_waste is not None:
            self.budget.settle(running.reserved_waste, 0 if completed else tokens)
        if completed:
            self.budget.accrue(tokens)

    def _estimated_tokens(self, running: RunningRequest, now: float) -> float:
        """Returns an estimate of the tokens that a running request has used so far."""
        rate = self._waits.class_cost_per_second(running.req.class_name)
        generated = (now - running.sent_at) * rate if rate > 0 else running.req.cost
        return running.req.prompt_tokens + generated


def choose_victim(running: Iterable[RunningRequest], rank: int) -> RunningRequest | None:
    """Returns the preemptible request of the lowest tier below `rank` that was sent last, or None.

    A request that its class's floor dispatched is never chosen, or the floor would have no effect.
    """
    candidates = [
        request
        for request in running
        if request.req.rank > rank
        and request.req.preemptible
        and not request.by_floor
        and request.sent_at is not None
        and request.reserved_waste is None
    ]
    return max(candidates, key=lambda request: (request.req.rank, request.sent_at), default=None)
