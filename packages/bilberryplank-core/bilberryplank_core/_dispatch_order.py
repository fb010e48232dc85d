"""Which class gets the next slot."""

from __future__ import annotations

from collections.abc import Mapping

from bilberryplank_core._class_queue import RESERVE_OVERRIDE_DISPATCHES, ClassQueue, most_owed_class
from bilberryplank_core._queue_policy import TieredPolicy
from bilberryplank_core._reservation import reserved_slots
from bilberryplank_core._slots import SlotTable
from bilberryplank_core._waits import WaitEstimator


class DispatchOrder:
    """Strict tiers, with floors before them and slots held for tight targets."""

    __slots__ = ("_classes", "_long_prompt_tokens", "_policy", "_slots", "_waits")

    def __init__(
        self,
        policy: TieredPolicy,
        classes: Mapping[str, ClassQueue],
        slots: SlotTable,
        waits: WaitEstimator,
        long_tokens: int,
    ) -> None:
        self._policy = policy
        self._classes = classes
        self._slots = slots
        self._waits = waits
        self._long_prompt_tokens = long_tokens

    def highest_priority_class(self) -> ClassQueue | None:
        """Returns the class that goes first by tier and urgency, or None."""
        long_allowed = self._slots.long_prefill_headroom > 0
        eligible = (queue for queue in self._classes.values() if queue.may_run(long_allowed))
        return min(eligible, key=ClassQueue.dispatch_key, default=None)

    def next_class(self, best: ClassQueue, now: float) -> ClassQueue | None:
        """Returns the class to dispatch from, given the best one; None to leave the slot free."""
        owed = self._class_by_floor(now)
        if owed is not None:
            return owed
        return None if self._is_reserved_for_higher_tiers(best, now) else best

    def demote_late_requests(self, now: float) -> None:
        """Moves what has missed its target behind what has not."""
        if not self._policy.late_last:
            return
        for queue in self._classes.values():
            queue.demote_late_requests(
                now, self._waits.first_token_seconds(queue.name), self._long_prompt_tokens
            )

    def is_target_at_risk(self, queue: ClassQueue, now: float) -> bool:
        """Returns whether waiting for a slot would cost the oldest request its target."""
        _, late, due = queue.dispatch_key()
        wait = len(queue.on_time) * self._waits.slot_turnover_seconds(self._slots.slots)
        return not late and now + wait + self._waits.first_token_seconds(queue.name) > due

    def _class_by_floor(self, now: float) -> ClassQueue | None:
        """Returns the class whose floor goes before all tiers now, or None."""
        if not self._policy.floors:
            return None
        owed = most_owed_class(self._classes.values(), self._slots.long_prefill_headroom > 0)
        if (
            owed is not None
            and owed.floor_credit < RESERVE_OVERRIDE_DISPATCHES
            and self._is_reserved_for_higher_tiers(owed, now)
        ):
            return None
        return owed

    def _is_reserved_for_higher_tiers(self, chosen: ClassQueue, now: float) -> bool:
        """Returns whether the free slots are held for tiers above the chosen class."""
        if not self._policy.reserve:
            return False
        held = reserved_slots(chosen.rank, self._classes.values(), self._slots, self._waits, now)
        return self._slots.free <= held
