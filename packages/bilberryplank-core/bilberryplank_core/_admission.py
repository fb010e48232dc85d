"""Admission control: which new requests are rejected, and which one is shed from a full queue."""

from __future__ import annotations

from collections.abc import Mapping

from bilberryplank_core._class_queue import ClassQueue, has_floor_exemption
from bilberryplank_core._preemption import Preemption
from bilberryplank_core._queue_policy import TieredQueuePolicy
from bilberryplank_core._queue_types import QueuedRequest
from bilberryplank_core._slots import SlotTable
from bilberryplank_core._waits import WaitEstimator


class AdmissionControl:
    """Decides on new requests; none is rejected in favour of a lower tier."""

    __slots__ = ("_classes", "_max_queued", "_policy", "_preemption", "_slots", "_waits")

    def __init__(
        self,
        policy: TieredQueuePolicy,
        classes: Mapping[str, ClassQueue],
        slots: SlotTable,
        waits: WaitEstimator,
        preemption: Preemption,
        max_queued: int,
    ) -> None:
        self._policy = policy
        self._classes = classes
        self._slots = slots
        self._waits = waits
        self._preemption = preemption
        self._max_queued = max_queued

    def should_refuse(self, req: QueuedRequest, now: float) -> bool:
        """Returns whether a new request would miss its deadline and no lower tier can give way.

        An organisation may always have one queued request in a class. So the dispatches of a floor
        are shared fairly, instead of going to whoever arrives when the class is owed one.
        """
        queue = self._classes[req.class_name]
        if not self._policy.early_refusal or not queue.has_queued(req.organisation):
            return False
        wait_seconds = self._waits.wait_seconds(req, self._classes.values(), self._slots, now)
        if now + wait_seconds + self._waits.service_seconds(req) <= req.deadline:
            return False
        return not self._lower_tier_queued(req.rank) and not self._may_preempt(req.rank, now)

    def request_to_shed(self, req: QueuedRequest, now: float) -> QueuedRequest | None:
        """Returns the queued request to shed now that a new one was queued, or None."""
        requests_over_limit = self._requests_over_limit()
        if requests_over_limit <= 0:
            return None
        in_lowest_tier = not self._lower_tier_queued(req.rank)
        if (
            in_lowest_tier
            and requests_over_limit <= self._slots.slots
            and self._may_preempt(req.rank, now)
        ):
            return None
        return choose_shed_victim(self._classes, self._policy.fair_shedding, now)

    def _requests_over_limit(self) -> int:
        """Returns the queued requests above the limit, without those exempt by a floor."""
        counted = sum(len(queue) - has_floor_exemption(queue) for queue in self._classes.values())
        return counted - self._max_queued

    def _lower_tier_queued(self, rank: int) -> bool:
        return any(len(queue) and queue.rank > rank for queue in self._classes.values())

    def _may_preempt(self, rank: int, now: float) -> bool:
        return self._policy.preemption and self._preemption.select_victim(rank, now) is not None


def choose_shed_victim(classes: Mapping[str, ClassQueue], fair: bool, now: float) -> QueuedRequest:
    """Returns the queued request to shed, which is one of the lowest tier present.

    Within the tier it is the newest of the organisation with the most usage and backlog per weight
    (after buffer stealing in McKenney, "Stochastic Fairness Queueing", INFOCOM 1990), or the newest
    of all if not `fair`. There must be queued requests that no floor exempts.
    """
    sheddable = [queue for queue in classes.values() if len(queue) > has_floor_exemption(queue)]
    lowest_rank = max(queue.rank for queue in sheddable)
    candidates = [
        (queue.weighted_demand(organisation, now), organisation)
        for queue in sheddable
        if queue.rank == lowest_rank
        for organisation in queue.organisations()
    ]
    if fair:
        return max(candidates, key=lambda candidate: candidate[0])[1].newest()
    return max(
        (organisation.newest() for _, organisation in candidates), key=lambda req: req.arrived
    )
