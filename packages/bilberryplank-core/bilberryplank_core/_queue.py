"""The tiered queue of a sidecar: strict tiers with floors, fair shares, bounded waste."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryplank_core._admission import WaitEstimator, shed_victim
from bilberryplank_core._errors import RefusalReason
from bilberryplank_core._estimates import OutputEstimator, cost_of
from bilberryplank_core._fairness import ClassQueue, count_dispatch, is_owed, owed_class
from bilberryplank_core._messages import AttemptId, Load
from bilberryplank_core._preemption import WasteBudget, choose_victim
from bilberryplank_core._queue_types import QueuedRequest, Rejection, RequestQueue
from bilberryplank_core._settings import QueueSettings
from bilberryplank_core._slots import RunningRequest, SlotTable

RESERVE_SECONDS = 30.0
"""Slots stay reserved for a tier this long after its last request."""

FLOOR_PLACES = 1
"""Places beyond the queue's bound that only a class owed its floor may take."""


@dataclass(slots=True, frozen=True)
class TieredPolicy:
    """Mechanisms of the tiered queue, each of which a measurement can turn off.

    Attributes:
        floors: Every class gets its floor share of dispatches.
        fair_order: Organisations of a class take turns by cost.
        fair_shedding: The organisation with the largest backlog is shed first in its tier.
        early_refusal: What cannot meet its target is refused at once.
        first_token_slack: Multiple of the first token target that an estimated wait may reach.
        long_bound: Long prompts hold a bounded share of the slots.
        preemption: A running request of a lower tier may be stopped for a higher one.
        long_work_conserving: Long prompts pass their bound while no short one waits.
        reserved_slots: Free slots that only the highest tier seen lately may take.
    """

    floors: bool = True
    fair_order: bool = True
    fair_shedding: bool = True
    early_refusal: bool = True
    first_token_slack: float = 1.0
    long_bound: bool = True
    preemption: bool = True
    long_work_conserving: bool = False
    reserved_slots: int = 1


class TieredQueue(RequestQueue):
    """Strict priority by rank, floors for each class, deficit round robin within a class.

    No request is refused while one of a lower tier is queued, or runs where preemption may stop it.
    Its own deadline passing is the one exception: that refuses a request for nobody's sake.
    """

    def __init__(self, settings: QueueSettings, policy: TieredPolicy) -> None:
        self._policy = policy
        self._max_queued = settings.max_queued
        self._long_tokens = settings.long_prefill_tokens
        share = settings.long_prefill_share if policy.long_bound else 1.0
        self._slots = SlotTable(settings.slots, share)
        self._budget = WasteBudget(settings.wasted_work_budget)
        self._lengths = OutputEstimator()
        self._waits = WaitEstimator()
        self._classes: dict[str, ClassQueue] = {}
        self._waiting: dict[AttemptId, QueuedRequest] = {}
        self._deadlines: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = 0

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
        if req.deadline <= now:
            return [self._rejection(req, RefusalReason.DEADLINE_PASSED)]
        if self._unreachable(req, now) and not self._lower_tier_yields(req.rank, now):
            self._class_of(req).turned_away = True
            return [self._rejection(req, RefusalReason.DEADLINE_UNREACHABLE)]
        self._push(req, now)
        if len(self._waiting) <= self._max_queued or self._may_overflow(req, now):
            return []
        victim = shed_victim(self._classes, self._policy.fair_shedding)
        self._remove(victim)
        self._classes[victim.class_name].turned_away = True
        reason = RefusalReason.QUEUE_FULL if victim is req else RefusalReason.SHED
        return [self._rejection(victim, reason)]

    def take(self, now: float) -> QueuedRequest | None:
        """Returns the request to dispatch now, which holds a slot from here on, or None."""
        if self._slots.free <= 0:
            return None
        long_allowed = self._long_allowed()
        best = self._best_class(long_allowed)
        if best is None:
            return None
        owed = owed_class(self._classes.values(), long_allowed) if self._policy.floors else None
        chosen = owed or best
        if self._held_back(chosen, now):
            return None
        if self._policy.fair_order:
            req = chosen.select(long_allowed)
        else:
            req = chosen.oldest(long_allowed)
            chosen.remove(req)
        del self._waiting[req.attempt]
        count_dispatch(list(self._classes.values()), chosen)
        self._slots.add(RunningRequest(req, self._is_long(req), chosen.rank > best.rank))
        return req

    def started(self, attempt: AttemptId, now: float) -> None:
        """Notes that a taken request was sent to the upstream."""
        entry = self._slots.get(attempt)
        if entry is not None:
            entry.started = now

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
        self._class_of(req).correct(req.organisation, cost - req.cost)
        self._waits.observe(req.class_name, cost, now - entry.started)
        if entry.reserved_waste is not None:
            wasted = 0 if whole else prompt_tokens + completion_tokens
            self._budget.settle(entry.reserved_waste, wasted)
        if not whole:
            return
        self._lengths.observe(req.class_name, req.organisation, completion_tokens)
        self._budget.earn(prompt_tokens + completion_tokens)

    def cancel(self, attempt: AttemptId) -> bool:
        """Removes a queued request; True only where it was still queued and never will run."""
        req = self._waiting.get(attempt)
        if req is None:
            return False
        self._remove(req)
        return True

    def expire(self, now: float) -> list[Rejection]:
        """Removes the queued requests whose deadline has passed."""
        rejections = []
        while (deadline := self.next_expiry()) is not None and deadline <= now:
            req = heapq.heappop(self._deadlines)[2]
            self._remove(req)
            rejections.append(self._rejection(req, RefusalReason.DEADLINE_PASSED))
        return rejections

    def next_expiry(self) -> float | None:
        """Returns the earliest deadline of a queued request, or None."""
        while self._deadlines and not self._is_waiting(self._deadlines[0][2]):
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

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
        if self._slots.free > 0:
            return None
        best = self._best_class(self._slots.long_room > 0)
        if best is None or len(best) <= self._pending_preemptions():
            return None
        if not self._at_risk(best, now):
            return None
        entry = self._victim(best.rank, now)
        if entry is None:
            return None
        entry.reserved_waste = self._work_done(entry, now)
        self._budget.reserve(entry.reserved_waste)
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

    def _push(self, req: QueuedRequest, now: float) -> None:
        queue = self._class_of(req)
        queue.rank = req.rank
        queue.floor_share = req.floor_share
        queue.last_offer = now
        queue.push(req, self._is_long(req))
        self._waiting[req.attempt] = req
        self._sequence += 1
        heapq.heappush(self._deadlines, (req.deadline, self._sequence, req))

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

    def _is_waiting(self, req: QueuedRequest) -> bool:
        return self._waiting.get(req.attempt) is req

    def _best_class(self, long_allowed: bool) -> ClassQueue | None:
        eligible = (queue for queue in self._classes.values() if queue.may_run(long_allowed))
        return min(eligible, key=lambda queue: queue.rank, default=None)

    def _long_allowed(self) -> bool:
        if self._slots.long_room > 0:
            return True
        if not self._policy.long_work_conserving:
            return False
        return not any(queue.short_count for queue in self._classes.values())

    def _held_back(self, chosen: ClassQueue, now: float) -> bool:
        """Returns whether the last free slots are kept for a higher tier that came lately."""
        if self._slots.free > self._policy.reserved_slots:
            return False
        return any(
            queue.rank < chosen.rank and now - queue.last_offer < RESERVE_SECONDS
            for queue in self._classes.values()
        )

    def _unreachable(self, req: QueuedRequest, now: float) -> bool:
        if not self._policy.early_refusal:
            return False
        slots = self._slots
        wait = self._waits.wait(req, self._classes.values(), slots.slots, slots.free)
        if wait == 0.0:
            return False
        start = now + wait
        late = start > req.arrived + req.first_token_target * self._policy.first_token_slack
        return late or start + self._waits.service(req) > req.deadline

    def _lower_tier_yields(self, rank: int, now: float) -> bool:
        """Returns whether a request below `rank` is queued, or runs and may be stopped."""
        if any(len(queue) and queue.rank > rank for queue in self._classes.values()):
            return True
        return self._victim(rank, now) is not None

    def _may_overflow(self, req: QueuedRequest, now: float) -> bool:
        """Returns whether a request may wait beyond the queue's bound, where nothing is shed.

        Either its class is owed its floor, or a running request of a lower tier will make room.
        """
        over = len(self._waiting) - self._max_queued
        queue = self._class_of(req)
        if over <= FLOOR_PLACES and len(queue) == 1 and is_owed(queue):
            return True
        if any(len(other) and other.rank > req.rank for other in self._classes.values()):
            return False
        return over <= self._slots.slots and self._victim(req.rank, now) is not None

    def _pending_preemptions(self) -> int:
        return sum(entry.reserved_waste is not None for entry in self._slots.running())

    def _victim(self, rank: int, now: float) -> RunningRequest | None:
        if not self._policy.preemption:
            return None
        entry = choose_victim(self._slots.running(), rank)
        if entry is None or not self._budget.allows(self._work_done(entry, now)):
            return None
        return entry

    def _work_done(self, entry: RunningRequest, now: float) -> float:
        """Returns the estimated tokens that a running request has used."""
        rate = self._waits.class_rate(entry.req.class_name)
        generated = (now - entry.started) * rate if rate > 0 else entry.req.cost
        return entry.req.prompt_tokens + generated

    def _at_risk(self, queue: ClassQueue, now: float) -> bool:
        """Returns whether waiting for a slot would cost the oldest request its target."""
        oldest = queue.oldest(long_allowed=True)
        wait = len(queue) * self._waits.next_free(self._slots.slots)
        return now + wait > oldest.arrived + oldest.first_token_target

    def _queued_cost(self) -> float:
        return sum(queue.cost for queue in self._classes.values())

    def _rejection(self, req: QueuedRequest, reason: RefusalReason) -> Rejection:
        retry_after = self._waits.retry_after(self._queued_cost(), self._slots.slots)
        return Rejection(req.attempt, reason, retry_after)
