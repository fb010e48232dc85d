"""Decides which class gets the next free slot."""

from __future__ import annotations

from collections.abc import Mapping

from bilberryplank_core._class_queue import RESERVE_OVERRIDE_DISPATCHES, ClassQueue, most_owed_class
from bilberryplank_core._queue_policy import TieredQueuePolicy
from bilberryplank_core._reservation import reserved_slots
from bilberryplank_core._slots import SlotTable
from bilberryplank_core._waits import WaitEstimator


class DispatchOrder:
    """Strict priority of tiers, overridden by floors and by slots reserved for tight targets."""

    __slots__ = ("_classes", "_long_prompt_tokens", "_policy", "_slots", "_waits")

    def __init__(
        self,
        policy: TieredQueuePolicy,
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
        """Returns the class that goes first by its dispatch key, or None if none may run."""
        long_allowed = self._slots.long_prefill_headroom > 0
        eligible = (queue for queue in self._classes.values() if queue.has_eligible(long_allowed))
        return min(eligible, key=ClassQueue.dispatch_key, default=None)

    def next_class(self, top_class: ClassQueue, now: float) -> ClassQueue | None:
        """Returns the class to dispatch from, given the top one; None to leave the slot free."""
        owed = self._class_by_floor(now)
        if owed is not None:
            return owed
        return None if self._is_reserved_for_higher_tiers(top_class, now) else top_class

    def demote_late_requests(self, now: float) -> None:
        """Moves requests that miss their target behind the others of their class."""
        if not self._policy.late_last:
            return
        for queue in self._classes.values():
            queue.demote_late_requests(
                now, self._waits.first_token_seconds(queue.name), self._long_prompt_tokens
            )

    def is_target_at_risk(self, queue: ClassQueue, now: float) -> bool:
        """Returns whether waiting for a slot makes the oldest on-time request miss its target."""
        _, none_on_time, due = queue.dispatch_key()
        wait_seconds = len(queue.on_time) * self._waits.slot_turnover_seconds(self._slots.slots)
        return (
            not none_on_time
            and now + wait_seconds + self._waits.first_token_seconds(queue.name) > due
        )

    def _class_by_floor(self, now: float) -> ClassQueue | None:
        """Returns the class that its floor puts ahead of all tiers now, or None."""
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

    def _is_reserved_for_higher_tiers(self, queue: ClassQueue, now: float) -> bool:
        """Returns whether all free slots are reserved for tiers above that of the class."""
        if not self._policy.reserve:
            return False
        reserved = reserved_slots(queue.rank, self._classes.values(), self._slots, self._waits, now)
        return self._slots.free <= reserved
