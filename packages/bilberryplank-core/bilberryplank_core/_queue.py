"""The tiered queue of a sidecar: strict tiers with floors, fair shares, bounded waste."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryplank_core._admission import WaitEstimator, shed_victim
from bilberryplank_core._classes import (
    FLOOR_PATIENCE,
    ClassQueue,
    count_dispatch,
    has_floor_place,
    is_owed,
    owed_class,
)
from bilberryplank_core._deadlines import DeadlineHeap
from bilberryplank_core._errors import RefusalReason
from bilberryplank_core._estimates import OutputEstimator, cost_of
from bilberryplank_core._messages import AttemptId, Load
from bilberryplank_core._preemption import Preemption, WasteBudget
from bilberryplank_core._queue_types import QueuedRequest, Rejection, RequestQueue
from bilberryplank_core._reservation import reserved_slots
from bilberryplank_core._settings import QueueSettings
from bilberryplank_core._slots import RunningRequest, SlotTable

UNFINISHABLE_FACTOR = 1.5
"""A request is given up once its deadline is nearer than this many times its service time."""


@dataclass(slots=True, frozen=True)
class TieredPolicy:
    """Mechanisms of the tiered queue, each of which a measurement can turn off.

    Attributes:
        floors: Every class gets its floor share of dispatches.
        fair_order: The organisation served least lately goes first within its class.
        fair_shedding: The organisation that wants most is shed first in its tier.
        early_refusal: What the estimated wait keeps from its deadline is refused at once.
        drop_unfinishable: What can no longer end before its deadline is not started.
        late_last: What has missed its first token target goes behind what has not.
        long_bound: Few long prompts are read at once.
        reserve: Free slots are held for tight targets while load is high.
        preemption: A running request of a lower tier may be stopped for a higher one.
    """

    floors: bool = True
    fair_order: bool = True
    fair_shedding: bool = True
    early_refusal: bool = True
    drop_unfinishable: bool = True
    late_last: bool = True
    long_bound: bool = True
    reserve: bool = True
    preemption: bool = True


class TieredQueue(RequestQueue):
    """Strict priority by rank, floors for each class, fair shares within a class.

    No request is refused for one of a lower tier, be it queued or running where preemption may stop
    it. Two refusals are for nobody's sake: by its own deadline, and by a bound of the queue that
    holds without the lower tiers too, for what waits by its class's floor has a place of its own.
    """

    def __init__(self, settings: QueueSettings, policy: TieredPolicy) -> None:
        self._policy = policy
        self._max_queued = settings.max_queued
        self._long_tokens = settings.long_prefill_tokens
        share = settings.long_prefill_share if policy.long_bound else 1.0
        self._slots = SlotTable(settings.slots, share)
        self._lengths = OutputEstimator()
        self._waits = WaitEstimator()
        budget = WasteBudget(settings.wasted_work_budget)
        self._preemption = Preemption(budget, self._slots, self._waits)
        self._classes: dict[str, ClassQueue] = {}
        self._waiting: dict[AttemptId, QueuedRequest] = {}
        self._deadlines = DeadlineHeap(self._waiting)

    @classmethod
    def from_settings(
        cls, settings: QueueSettings, policy: TieredPolicy | None = None
    ) -> TieredQueue:
        """Returns an empty queue."""
        return cls(settings, policy or TieredPolicy())

    def offer(self, req: QueuedRequest, now: float) -> list[Rejection]:
        """Queues a request; returns what is refused, be it this one or one that made room."""
        output = self._lengths.estimate(req.class_name, req.organisation, req.output_limit)
        req.cost = cost_of(req.prompt_tokens, output)
        self._class_of(req).describe(req)
        self._waits.observe_offer(req, now)
        if req.deadline <= now:
            return [self._refuse(req, RefusalReason.DEADLINE_PASSED, now)]
        if self._is_hopeless(req, now) and not self._lower_tier_yields(req.rank, now):
            return [self._refuse(req, RefusalReason.DEADLINE_UNREACHABLE, now)]
        self._push(req)
        if self._over_bound() <= 0 or self._may_overflow(req, now):
            return []
        victim = shed_victim(self._classes, self._policy.fair_shedding, now)
        self._remove(victim)
        reason = RefusalReason.QUEUE_FULL if victim is req else RefusalReason.SHED
        return [self._refuse(victim, reason, now)]

    def take(self, now: float) -> QueuedRequest | None:
        """Returns the request to dispatch now, which holds a slot from here on, or None."""
        if self._slots.free <= 0:
            return None
        self._set_late(now)
        long_allowed = self._slots.long_room > 0
        best = self._best_class(long_allowed)
        if best is None:
            return None
        chosen = self._owed_class(long_allowed, now) or best
        if chosen is best and self._held_back(best, now):
            return None
        req = chosen.take(long_allowed, self._policy.fair_order, now)
        del self._waiting[req.attempt]
        count_dispatch(self._classes.values(), chosen, now)
        self._slots.add(RunningRequest(req, self._is_long(req), chosen.rank > best.rank))
        return req

    def started(self, attempt: AttemptId, now: float) -> None:
        """Notes that a taken request was sent to the upstream."""
        entry = self._slots.get(attempt)
        if entry is not None:
            entry.started = now

    def first_token(self, attempt: AttemptId, now: float) -> None:
        """Notes that the first byte of an answer came."""
        entry = self._slots.get(attempt)
        if entry is not None and entry.started is not None:
            self._waits.observe_first_token(entry.req.class_name, now - entry.started)
            self._slots.end_prefill(entry)

    def finished(
        self,
        attempt: AttemptId,
        now: float,
        prompt_tokens: int,
        completion_tokens: int,
        whole: bool = True,
    ) -> None:
        """Frees the slot of a taken request, with the tokens it really used."""
        entry = self._slots.remove(attempt)
        if entry is None or entry.started is None:
            return
        req = entry.req
        cost = cost_of(prompt_tokens, completion_tokens)
        self._class_of(req).usage.charge(req.organisation, cost - req.cost, now)
        self._waits.observe(req.class_name, cost, now - entry.started)
        self._preemption.end(entry, prompt_tokens + completion_tokens, whole)
        if whole:
            self._lengths.observe(req.class_name, req.organisation, completion_tokens)

    def cancel(self, attempt: AttemptId) -> bool:
        """Removes a queued request; True only where it was still queued and never will run."""
        req = self._waiting.get(attempt)
        if req is None:
            return False
        self._remove(req)
        return True

    def expire(self, now: float) -> list[Rejection]:
        """Removes the queued requests whose deadline has passed or can't be met any more."""
        rejections = []
        for req in self._deadlines.pop_due(now):
            self._remove(req)
            reason = RefusalReason.DEADLINE_PASSED
            if now < req.deadline:
                reason = RefusalReason.DEADLINE_UNREACHABLE
            rejections.append(self._refuse(req, reason, now))
        return rejections

    def next_expiry(self) -> float | None:
        """Returns the earliest time at which `expire` has something to do, or None."""
        return self._deadlines.next()

    def drop_keys(self, withdrawn: Iterable[str]) -> list[Rejection]:
        """Removes the queued requests of withdrawn keys."""
        keys = frozenset(withdrawn)
        dropped = [req for req in self._waiting.values() if req.key_id in keys]
        for req in dropped:
            self._remove(req)
        return [self._rejection(req, RefusalReason.KEY_WITHDRAWN) for req in dropped]

    def preempt(self, now: float) -> AttemptId | None:
        """Returns a running request to stop so that one of a higher tier can start, or None.

        The caller stops it at the upstream and then calls `finished` with the tokens it had used.
        """
        if self._slots.free > 0 or not self._policy.preemption:
            return None
        best = self._best_class(self._slots.long_room > 0)
        if best is None or len(best) <= self._preemption.pending() or not self._at_risk(best, now):
            return None
        entry = self._preemption.victim(best.rank, now)
        if entry is None:
            return None
        self._preemption.begin(entry, now)
        return entry.req.attempt

    def load(self, now: float) -> Load:
        """Returns queued, running, slots, queued cost and drain rate; the rest at its defaults."""
        return Load(
            queued=len(self._waiting),
            running=len(self._slots),
            slots=self._slots.slots,
            queued_cost=self._queued_cost(),
            drain_rate=self._waits.drain_rate(self._slots.slots),
        )

    def set_slots(self, slots: int) -> None:
        """Sets the requests that the upstream runs at once; running ones stay."""
        self._slots.slots = max(1, slots)

    def _push(self, req: QueuedRequest) -> None:
        self._class_of(req).push(req, self._is_long(req))
        self._waiting[req.attempt] = req
        margin = 0.0
        if self._policy.drop_unfinishable:
            margin = self._waits.service(req) * UNFINISHABLE_FACTOR
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
        return req.prompt_tokens >= self._long_tokens

    def _best_class(self, long_allowed: bool) -> ClassQueue | None:
        eligible = (queue for queue in self._classes.values() if queue.may_run(long_allowed))
        return min(eligible, key=ClassQueue.urgency, default=None)

    def _owed_class(self, long_allowed: bool, now: float) -> ClassQueue | None:
        """Returns the class whose floor goes before all tiers now, or None."""
        if not self._policy.floors:
            return None
        owed = owed_class(self._classes.values(), long_allowed)
        if owed is not None and owed.credit < FLOOR_PATIENCE and self._held_back(owed, now):
            return None
        return owed

    def _set_late(self, now: float) -> None:
        if not self._policy.late_last:
            return
        for queue in self._classes.values():
            queue.set_late(now, self._waits.first_token(queue.name), self._long_tokens)

    def _held_back(self, chosen: ClassQueue, now: float) -> bool:
        """Returns whether the free slots are held for tiers above the chosen class."""
        if not self._policy.reserve:
            return False
        held = reserved_slots(chosen.rank, self._classes.values(), self._slots, self._waits, now)
        return self._slots.free <= held

    def _is_hopeless(self, req: QueuedRequest, now: float) -> bool:
        """Returns whether the estimated wait keeps a newcomer from its deadline.

        A class that is owed its floor and has nothing queued is always let in.
        """
        queue = self._class_of(req)
        if not self._policy.early_refusal or (is_owed(queue) and not len(queue)):
            return False
        wait = self._waits.wait(req, self._classes.values(), self._slots, now)
        return now + wait + self._waits.service(req) > req.deadline

    def _lower_tier_queued(self, rank: int) -> bool:
        return any(len(queue) and queue.rank > rank for queue in self._classes.values())

    def _may_preempt(self, rank: int, now: float) -> bool:
        return self._policy.preemption and self._preemption.victim(rank, now) is not None

    def _lower_tier_yields(self, rank: int, now: float) -> bool:
        """Returns whether a request below `rank` is queued, or runs and may be stopped."""
        return self._lower_tier_queued(rank) or self._may_preempt(rank, now)

    def _over_bound(self) -> int:
        """Returns how many requests wait beyond the bound, places of floors apart."""
        places = sum(has_floor_place(queue) for queue in self._classes.values())
        return len(self._waiting) - places - self._max_queued

    def _may_overflow(self, req: QueuedRequest, now: float) -> bool:
        """Returns whether preemption will make room for a request beyond the bound."""
        if self._over_bound() > self._slots.slots or self._lower_tier_queued(req.rank):
            return False
        return self._may_preempt(req.rank, now)

    def _at_risk(self, queue: ClassQueue, now: float) -> bool:
        """Returns whether waiting for a slot would cost the oldest request its target."""
        _, late, due = queue.urgency()
        wait = len(queue.timely) * self._waits.next_free(self._slots.slots)
        return not late and now + wait + self._waits.first_token(queue.name) > due

    def _queued_cost(self) -> float:
        return sum(queue.cost for queue in self._classes.values())

    def _refuse(self, req: QueuedRequest, reason: RefusalReason, now: float) -> Rejection:
        """Returns a rejection, noting that its class has demand."""
        self._class_of(req).turned_away = now
        return self._rejection(req, reason)

    def _rejection(self, req: QueuedRequest, reason: RefusalReason) -> Rejection:
        retry_after = self._waits.retry_after(self._queued_cost(), self._slots.slots)
        return Rejection(req.attempt, reason, retry_after)
