"""Tiered request queue of a sidecar, for upstreams that are offered more than they can serve.

Decides which queued request runs next, which ones are rejected and which running ones are
preempted. Tiers have strict priority, each class has a floor, organisations share their class
fairly, and preemption may waste only a bounded share of the work.
"""

from __future__ import annotations

from collections.abc import Iterable

from bilberryplank_core._admission import AdmissionControl
from bilberryplank_core._class_queue import ClassQueue, update_floor_credit
from bilberryplank_core._deadlines import DeadlineHeap
from bilberryplank_core._dispatch_order import DispatchOrder
from bilberryplank_core._errors import RefusalReason
from bilberryplank_core._estimates import OutputLengthEstimator, cost_of
from bilberryplank_core._messages import AttemptId, Load
from bilberryplank_core._preemption import Preemption, WasteBudget
from bilberryplank_core._queue_policy import TieredQueuePolicy
from bilberryplank_core._queue_types import QueuedRequest, Rejection, RequestQueue
from bilberryplank_core._settings import QueueSettings
from bilberryplank_core._slots import RunningRequest, SlotTable
from bilberryplank_core._waits import WaitEstimator

UNFINISHABLE_SERVICE_TIMES = 1.5
"""A queued request expires once its deadline is nearer than this many estimated service times."""


class TieredQueue(RequestQueue):
    """Strict priority by rank, floors for each class, fair shares within a class.

    No request is rejected in favour of one of a lower tier, whether that one is queued or is
    running and may be preempted. A request's own deadline can still cause its rejection, and so can
    the limit of the queue if that is reached without the lower tiers too. The one request of a
    class that a floor exempts does not count towards this limit.
    """

    def __init__(self, settings: QueueSettings, policy: TieredQueuePolicy) -> None:
        self._policy = policy
        self._long_prompt_tokens = settings.long_prefill_tokens
        share = settings.long_prefill_share if policy.long_bound else 1.0
        self._slots = SlotTable(settings.slots, share)
        self._output_lengths = OutputLengthEstimator()
        self._waits = WaitEstimator()
        budget = WasteBudget(settings.wasted_work_budget)
        self._preemption = Preemption(budget, self._slots, self._waits)
        self._classes: dict[str, ClassQueue] = {}
        self._waiting: dict[AttemptId, QueuedRequest] = {}
        self._deadlines = DeadlineHeap(self._waiting)
        self._dispatch_order = DispatchOrder(
            policy, self._classes, self._slots, self._waits, self._long_prompt_tokens
        )
        self._admission = AdmissionControl(
            policy, self._classes, self._slots, self._waits, self._preemption, settings.max_queued
        )

    @classmethod
    def from_settings(
        cls, settings: QueueSettings, policy: TieredQueuePolicy | None = None
    ) -> TieredQueue:
        """Returns an empty queue."""
        return cls(settings, policy or TieredQueuePolicy())

    def offer(self, req: QueuedRequest, now: float) -> list[Rejection]:
        """Queues a request; returns the rejection of this one, or of one shed to make room."""
        output = self._output_lengths.estimate(req.class_name, req.organisation, req.output_limit)
        req.cost = cost_of(req.prompt_tokens, output)
        self._class_of(req).update_from(req)
        self._waits.observe_arrival(req, now)
        if req.deadline <= now:
            return [self._reject_with_demand(req, RefusalReason.DEADLINE_PASSED, now)]
        if self._admission.should_refuse(req, now):
            return [self._reject_with_demand(req, RefusalReason.DEADLINE_UNREACHABLE, now)]
        self._enqueue(req)
        victim = self._admission.request_to_shed(req, now)
        if victim is None:
            return []
        self._remove(victim)
        reason = RefusalReason.QUEUE_FULL if victim is req else RefusalReason.SHED
        return [self._reject_with_demand(victim, reason, now)]

    def dequeue(self, now: float) -> QueuedRequest | None:
        """Returns the request to dispatch now, or None; it holds a slot until `release`."""
        if self._slots.free <= 0:
            return None
        self._dispatch_order.demote_late_requests(now)
        top_class = self._dispatch_order.highest_priority_class()
        selected_class = (
            self._dispatch_order.next_class(top_class, now) if top_class is not None else None
        )
        if selected_class is None:
            return None
        req = selected_class.dequeue(
            self._slots.long_prefill_headroom > 0, self._policy.fair_order, now
        )
        del self._waiting[req.attempt]
        update_floor_credit(self._classes.values(), selected_class, now)
        self._slots.add(
            RunningRequest(req, self._is_long(req), selected_class.rank > top_class.rank)
        )
        return req

    def record_sent(self, attempt: AttemptId, now: float) -> None:
        """Records that a dequeued request was sent to the upstream."""
        running = self._slots.get(attempt)
        if running is not None:
            running.sent_at = now

    def record_first_token(self, attempt: AttemptId, now: float) -> None:
        """Records that the first byte of an answer arrived."""
        running = self._slots.get(attempt)
        if running is not None and running.sent_at is not None:
            self._waits.observe_first_token(running.req.class_name, now - running.sent_at)
            self._slots.end_prefill(running)

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
        if running is None or running.sent_at is None:
            return
        req = running.req
        cost = cost_of(prompt_tokens, completion_tokens)
        self._class_of(req).usage.charge(req.organisation, cost - req.cost, now)
        self._preemption.record_release(running, prompt_tokens + completion_tokens, completed)
        if completed:
            self._waits.observe_completion(req.class_name, cost, now - running.sent_at)
            self._output_lengths.observe(req.class_name, req.organisation, completion_tokens)

    def cancel(self, attempt: AttemptId) -> bool:
        """Removes a queued request; returns True only if it was still queued and so never runs."""
        req = self._waiting.get(attempt)
        if req is None:
            return False
        self._remove(req)
        return True

    def expire(self, now: float) -> list[Rejection]:
        """Removes the queued requests whose deadline has passed or can no longer be met."""
        rejections = []
        for req in self._deadlines.pop_due(now):
            self._remove(req)
            reason = RefusalReason.DEADLINE_PASSED
            if now < req.deadline:
                reason = RefusalReason.DEADLINE_UNREACHABLE
            rejections.append(self._reject_with_demand(req, reason, now))
        return rejections

    def next_expiry(self) -> float | None:
        """Returns the earliest time at which `expire` removes a request, or None."""
        return self._deadlines.next()

    def reject_withdrawn_keys(self, withdrawn: Iterable[str]) -> list[Rejection]:
        """Rejects the queued requests whose key was withdrawn."""
        keys = frozenset(withdrawn)
        withdrawn_requests = [req for req in self._waiting.values() if req.key_id in keys]
        for req in withdrawn_requests:
            self._remove(req)
        return [self._rejection(req, RefusalReason.KEY_WITHDRAWN) for req in withdrawn_requests]

    def preempt(self, now: float) -> AttemptId | None:
        """Selects a running request to stop so that one of a higher tier can start, or None.

        The caller stops it at the upstream and then calls `release` with the tokens used so far.
        """
        if self._slots.free > 0 or not self._policy.preemption:
            return None
        top_class = self._dispatch_order.highest_priority_class()
        if top_class is None or len(top_class) <= self._preemption.pending_count():
            return None
        if not self._dispatch_order.is_target_at_risk(top_class, now):
            return None
        running = self._preemption.select_victim(top_class.rank, now)
        if running is None:
            return None
        self._preemption.begin(running, now)
        return running.req.attempt

    def load(self, now: float) -> Load:
        """Returns queued, running, slots, queued cost and drain rate, the rest at its defaults."""
        return Load(
            queued=len(self._waiting),
            running=len(self._slots),
            slots=self._slots.slots,
            queued_cost=self._queued_cost(),
            drain_rate=self._waits.drain_rate(self._slots.slots),
            queued_by_rank=self._queued_by_rank(),
        )

    def set_slots(self, slots: int) -> None:
        """Sets how many requests the upstream runs at once; running requests are unaffected."""
        self._slots.slots = max(1, slots)

    def _enqueue(self, req: QueuedRequest) -> None:
        self._class_of(req).push(req, self._is_long(req))
        self._waiting[req.attempt] = req
        margin = 0.0
        if self._policy.drop_unfinishable:
            margin = self._waits.service_seconds(req) * UNFINISHABLE_SERVICE_TIMES
        self._deadlines.push(req, req.deadline - margin)

    def _remove(self, req: QueuedRequest) -> None:
        del self._waiting[req.attempt]
        self._class_of(req).remove(req)

    def _class_of(self, req: QueuedRequest) -> ClassQueue:
        queue = self._classes.get(req.class_name)
        if queue is None:
            queue = self._classes[req.class_name] = ClassQueue(req.class_name)
        return queue

    def _is_long(self, req: QueuedRequest) -> bool:
        return req.prompt_tokens >= self._long_prompt_tokens

    def _queued_cost(self) -> float:
        return sum(queue.queued_cost for queue in self._classes.values())

    def _queued_by_rank(self) -> list[float]:
        costs = [0.0] * (1 + max((queue.rank for queue in self._classes.values()), default=0))
        for queue in self._classes.values():
            costs[queue.rank] += queue.queued_cost
        return costs

    def _reject_with_demand(
        self, req: QueuedRequest, reason: RefusalReason, now: float
    ) -> Rejection:
        """Returns a rejection that counts as demand of its class (see `update_floor_credit`)."""
        self._class_of(req).last_rejected_at = now
        return self._rejection(req, reason)

    def _rejection(self, req: QueuedRequest, reason: RefusalReason) -> Rejection:
        retry_after = self._waits.retry_after(self._queued_cost(), self._slots.slots)
        return Rejection(req.attempt, reason, retry_after)
