"""Baseline queue for comparisons: first come, first served, rejects only when it is full."""

from __future__ import annotations

from collections.abc import Iterable

from bilberryplank_core._errors import RefusalReason
from bilberryplank_core._estimates import cost_of
from bilberryplank_core._messages import AttemptId, Load
from bilberryplank_core._queue_types import QueuedRequest, Rejection, RequestQueue
from bilberryplank_core._settings import QueueSettings
from bilberryplank_core._slots import RunningRequest, SlotTable
from bilberryplank_core._waits import WaitEstimator

BASELINE_OUTPUT_TOKENS = 128
"""Output tokens assumed for a request whose caller set no maximum."""


class FifoQueue(RequestQueue):
    """A single queue in order of arrival, without tiers, fair shares, shedding or preemption."""

    def __init__(self, settings: QueueSettings) -> None:
        self._max_queued = settings.max_queued
        self._slots = SlotTable(settings.slots, 1.0)
        self._waits = WaitEstimator()
        self._waiting: dict[AttemptId, QueuedRequest] = {}
        self._queued_cost = 0.0

    @classmethod
    def from_settings(cls, settings: QueueSettings) -> FifoQueue:
        """Returns an empty queue."""
        return cls(settings)

    def offer(self, req: QueuedRequest, now: float) -> list[Rejection]:
        """Queues a request, or rejects it if the queue is full."""
        if len(self._waiting) >= self._max_queued:
            return [self._rejection(req, RefusalReason.QUEUE_FULL)]
        req.cost = cost_of(req.prompt_tokens, req.output_limit or BASELINE_OUTPUT_TOKENS)
        self._queued_cost += req.cost
        self._waiting[req.attempt] = req
        return []

    def dequeue(self, now: float) -> QueuedRequest | None:
        """Returns the oldest queued request, or None; it holds a slot until `release`."""
        req = next(iter(self._waiting.values()), None)
        if req is None or self._slots.free <= 0:
            return None
        self._remove(req)
        self._slots.add(RunningRequest(req, long_prefill=False, by_floor=False))
        return req

    def record_sent(self, attempt: AttemptId, now: float) -> None:
        """Records that a dequeued request was sent to the upstream."""
        running = self._slots.get(attempt)
        if running is not None:
            running.sent_at = now

    def record_first_token(self, attempt: AttemptId, now: float) -> None:
        """Does nothing: the baseline does not estimate the time to the first token."""

    def release(
        self,
        attempt: AttemptId,
        now: float,
        prompt_tokens: int,
        completion_tokens: int,
        completed: bool = True,
    ) -> None:
        """Frees the slot of a dequeued request and records the tokens that it used."""
        running = self._slots.remove(attempt)
        if running is not None and running.sent_at is not None:
            cost = cost_of(prompt_tokens, completion_tokens)
            self._waits.observe_completion(running.req.class_name, cost, now - running.sent_at)

    def cancel(self, attempt: AttemptId) -> bool:
        """Removes a queued request; returns True only if it was still queued and so never runs."""
        req = self._waiting.get(attempt)
        if req is not None:
            self._remove(req)
        return req is not None

    def expire(self, now: float) -> list[Rejection]:
        """Removes the queued requests whose deadline has passed."""
        late = [req for req in self._waiting.values() if req.deadline <= now]
        return self._reject_all(late, RefusalReason.DEADLINE_PASSED)

    def next_expiry(self) -> float | None:
        """Returns the earliest deadline of a queued request, or None."""
        return min((req.deadline for req in self._waiting.values()), default=None)

    def reject_withdrawn_keys(self, withdrawn: Iterable[str]) -> list[Rejection]:
        """Rejects the queued requests whose key was withdrawn."""
        keys = frozenset(withdrawn)
        dropped = [req for req in self._waiting.values() if req.key_id in keys]
        return self._reject_all(dropped, RefusalReason.KEY_WITHDRAWN)

    def preempt(self, now: float) -> AttemptId | None:
        """Returns None: the baseline never preempts."""
        return None

    def load(self, now: float) -> Load:
        """Returns queued, running, slots, queued cost and drain rate, the rest at its defaults."""
        return Load(
            queued=len(self._waiting),
            running=len(self._slots),
            slots=self._slots.slots,
            queued_cost=self._queued_cost,
            drain_rate=self._waits.drain_rate(self._slots.slots),
        )

    def set_slots(self, slots: int) -> None:
        """Sets how many requests the upstream runs at once; running requests are unaffected."""
        self._slots.slots = max(1, slots)

    def _remove(self, req: QueuedRequest) -> None:
        del self._waiting[req.attempt]
        self._queued_cost -= req.cost

    def _reject_all(self, reqs: list[QueuedRequest], reason: RefusalReason) -> list[Rejection]:
        for req in reqs:
            self._remove(req)
        return [self._rejection(req, reason) for req in reqs]

    def _rejection(self, req: QueuedRequest, reason: RefusalReason) -> Rejection:
        retry_after = self._waits.retry_after(self._queued_cost, self._slots.slots)
        return Rejection(req.attempt, reason, retry_after)
