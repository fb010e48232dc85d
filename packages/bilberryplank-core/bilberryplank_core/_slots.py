"""The slots of an upstream and the requests that run in them."""

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
        long_prefill: True while it has a long prompt in prefill.
        by_floor: True if the floor of its class put it ahead of a higher tier.
        sent_at: Time at which it was sent to the upstream; None before.
        reserved_waste: Tokens reserved in the waste budget once it is being preempted; None before.
    """

    req: QueuedRequest
    long_prefill: bool
    by_floor: bool
    sent_at: float | None = None
    reserved_waste: float | None = None


class SlotTable:
    """Tracks which requests hold slots, and limits the long prompts in prefill.

    Attributes:
        slots: Number of requests that the upstream runs at once.
    """

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
        """Number of free slots; can be negative after the number of slots was lowered."""
        return self.slots - len(self._running)

    @property
    def long_prefill_limit(self) -> int:
        """Long prompts that may be in prefill at the same time; at least one."""
        return max(1, int(self.slots * self._long_share))

    @property
    def long_prefill_headroom(self) -> int:
        """Long prompts that may still start within their limit, regardless of free slots."""
        return self.long_prefill_limit - self._long_prefills

    def add(self, running: RunningRequest) -> None:
        """Assigns a slot to a request."""
        self._running[running.req.attempt] = running
        self._long_prefills += running.long_prefill
        self._by_class[running.req.class_name] += 1

    def get(self, attempt: AttemptId) -> RunningRequest | None:
        """Returns the request if it holds a slot, or None."""
        return self._running.get(attempt)

    def remove(self, attempt: AttemptId) -> RunningRequest | None:
        """Frees the slot of a request and returns the request; None if it held no slot."""
        running = self._running.pop(attempt, None)
        if running is not None:
            self._long_prefills -= running.long_prefill
            self._by_class[running.req.class_name] -= 1
        return running

    def end_prefill(self, running: RunningRequest) -> None:
        """Records the end of a prefill; a long prompt counts towards its limit until then."""
        if running.long_prefill:
            running.long_prefill = False
            self._long_prefills -= 1

    def running_in_class(self, class_name: str) -> int:
        """Returns the number of requests of a class that hold a slot."""
        return self._by_class[class_name]

    def running(self) -> list[RunningRequest]:
        """Returns all requests that hold a slot."""
        return list(self._running.values())
