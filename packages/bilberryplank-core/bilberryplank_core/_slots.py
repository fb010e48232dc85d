"""The slots of an upstream and what runs in them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from bilberryplank_core._messages import AttemptId
from bilberryplank_core._queue_types import QueuedRequest


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request that holds a slot.

    Attributes:
        req: The request.
        long: True while a long prompt of it is being read.
        by_floor: True where its class's floor put it ahead of a higher tier.
        sent_at: When it was sent to the upstream; None before.
        reserved_waste: Tokens set aside in the budget once it is being preempted; None before.
    """

    req: QueuedRequest
    long: bool
    by_floor: bool
    sent_at: float | None = None
    reserved_waste: float | None = None


class SlotTable:
    """Counts free slots, and those that long prompts may still take."""

    __slots__ = ("_by_class", "_long_prefills", "_long_share", "_running", "slots")

    def __init__(self, slots: int, long_share: float) -> None:
        self.slots = slots
        self._long_share = long_share
        self._running: dict[AttemptId, RunningRequest] = {}
        self._long_prefills = 0
        self._by_class: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._running)

    @property
    def free(self) -> int:
        """Slots that nothing holds."""
        return self.slots - len(self._running)

    @property
    def long_prefill_limit(self) -> int:
        """Slots that long prompts may hold together; at least one."""
        return max(1, int(self.slots * self._long_share))

    @property
    def long_prefill_headroom(self) -> int:
        """Long prompts that may still run within their bound, free slots or not."""
        return self.long_prefill_limit - self._long_prefills

    def add(self, running: RunningRequest) -> None:
        """Gives a slot to a request."""
        self._running[running.req.attempt] = running
        self._long_prefills += running.long
        self._by_class[running.req.class_name] += 1

    def get(self, attempt: AttemptId) -> RunningRequest | None:
        """Returns the request that holds a slot, or None."""
        return self._running.get(attempt)

    def remove(self, attempt: AttemptId) -> RunningRequest | None:
        """Frees the slot of a request; returns None where it held none."""
        running = self._running.pop(attempt, None)
        if running is not None:
            self._long_prefills -= running.long
            self._by_class[running.req.class_name] -= 1
        return running

    def end_prefill(self, running: RunningRequest) -> None:
        """Notes that a prompt was read: from here on it is no burden to others as a long one."""
        if running.long:
            running.long = False
            self._long_prefills -= 1

    def running_in_class(self, class_name: str) -> int:
        """Returns how many requests of a class hold a slot."""
        return self._by_class[class_name]

    def running(self) -> list[RunningRequest]:
        """Returns all requests that hold a slot."""
        return list(self._running.values())
