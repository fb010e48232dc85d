"""Estimates queueing delay from the cost ahead of a request and observed service rates."""

from __future__ import annotations

from collections.abc import Iterable

from bilberryplank_core._class_queue import ClassQueue
from bilberryplank_core._estimates import OfferedLoad, ServiceRate
from bilberryplank_core._fairness import MIN_ORGANISATION_WEIGHT
from bilberryplank_core._queue_types import QueuedRequest
from bilberryplank_core._slots import SlotTable

MIN_RETRY_AFTER_SECONDS = 0.1
"""Lower bound of the time to retry that a rejection carries."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Upper bound of the time to retry that a rejection carries."""

DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Time to retry while the drain rate is unknown."""

LOAD_WINDOW_SECONDS = 15.0
"""Time constant of the mean of the offered load."""

MIN_TIER_SLOT_SHARE = 0.05
"""Minimum share of the slots assumed for a tier, whatever load the higher tiers offer."""


class WaitEstimator:
    """Estimates queueing delays, service times and offered load for each class.

    A class without enough samples uses the service rate of all classes together.
    """

    __slots__ = ("_first_token_rates", "_offered_loads", "_overall_rate", "_class_rates")

    def __init__(self) -> None:
        self._class_rates: dict[str, ServiceRate] = {}
        self._first_token_rates: dict[str, ServiceRate] = {}
        self._offered_loads: dict[str, OfferedLoad] = {}
        self._overall_rate = ServiceRate()

    def observe_completion(self, class_name: str, cost: float, seconds: float) -> None:
        """Updates the service rates from a completed request and its service time."""
        self._class_rates.setdefault(class_name, ServiceRate()).observe(cost, seconds)
        self._overall_rate.observe(cost, seconds)

    def observe_first_token(self, class_name: str, seconds: float) -> None:
        """Updates the estimated time from dispatch to the first token."""
        self._first_token_rates.setdefault(class_name, ServiceRate()).observe(1.0, seconds)

    def observe_arrival(self, req: QueuedRequest, now: float) -> None:
        """Updates the offered load of the class from a new request."""
        load = self._offered_loads.setdefault(req.class_name, OfferedLoad(LOAD_WINDOW_SECONDS))
        load.observe(self.service_seconds(req), now)

    def offered_load(self, class_name: str, now: float) -> float:
        """Returns the mean number of slots that the arrivals of a class would keep busy."""
        load = self._offered_loads.get(class_name)
        return load.erlangs(now) if load is not None else 0.0

    def total_offered_load(self, now: float) -> float:
        """Returns the mean number of slots that all arrivals would keep busy."""
        return sum(load.erlangs(now) for load in self._offered_loads.values())

    def drain_rate(self, slots: int) -> float:
        """Returns the cost served per second while all slots are busy; 0 while unknown."""
        return self._overall_rate.cost_per_second() * slots

    def first_token_seconds(self, class_name: str) -> float:
        """Returns the seconds from dispatch to the first token; 0 while unknown."""
        rate = self._first_token_rates.get(class_name)
        return rate.seconds_per_request() if rate is not None else 0.0

    def service_seconds(self, req: QueuedRequest) -> float:
        """Returns the estimated service time of a request in seconds; 0 while unknown."""
        return req.cost * self._seconds_per_cost(req.class_name)

    def class_cost_per_second(self, class_name: str) -> float:
        """Returns the cost that a slot serves per second in a class; 0 while unknown."""
        seconds = self._seconds_per_cost(class_name)
        return 1.0 / seconds if seconds > 0 else 0.0

    def slot_turnover_seconds(self, slots: int) -> float:
        """Returns the mean seconds until the next slot becomes free while all are busy."""
        return self._overall_rate.seconds_per_request() / slots

    def wait_seconds(
        self, req: QueuedRequest, classes: Iterable[ClassQueue], slots: SlotTable, now: float
    ) -> float:
        """Returns the estimated queueing delay of a new request in seconds, if queued now."""
        slot_seconds_ahead = 0.0
        higher_tier_load = 0.0
        for queue in classes:
            if queue.name == req.class_name:
                slot_seconds_ahead += self._fair_share_seconds_ahead(req, queue)
            elif queue.rank == req.rank:
                slot_seconds_ahead += _cost_due_before(req, queue) * self._seconds_per_cost(
                    queue.name
                )
            elif queue.rank < req.rank:
                slot_seconds_ahead += queue.queued_cost * self._seconds_per_cost(queue.name)
                higher_tier_load += self.offered_load(queue.name, now)
        if slot_seconds_ahead == 0.0 and slots.free > 0:
            return 0.0
        available_slots = max(slots.slots * MIN_TIER_SLOT_SHARE, slots.slots - higher_tier_load)
        return slot_seconds_ahead / available_slots + self.slot_turnover_seconds(slots.slots)

    def retry_after(self, cost: float, slots: int) -> float:
        """Returns the seconds until so much queued cost is served, within bounds."""
        rate = self.drain_rate(slots)
        if rate <= 0:
            return DEFAULT_RETRY_AFTER_SECONDS
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, cost / rate))

    def _fair_share_seconds_ahead(self, req: QueuedRequest, queue: ClassQueue) -> float:
        """Returns the slot seconds of its class that fair shares serve before a new request."""
        fair_queue = queue.on_time
        own_queue = fair_queue.get(req.organisation)
        own_backlog = own_queue.queued_cost if own_queue is not None else 0.0
        weighted_share = (own_backlog + req.cost) / max(MIN_ORGANISATION_WEIGHT, req.weight)
        cost = own_backlog + sum(
            min(other.queued_cost, weighted_share * other.weight)
            for other in fair_queue.organisations()
            if other is not own_queue
        )
        return cost * self._seconds_per_cost(queue.name)

    def _seconds_per_cost(self, class_name: str) -> float:
        rate = self._class_rates.get(class_name)
        if rate is not None and rate.known:
            return rate.seconds_per_cost()
        return self._overall_rate.seconds_per_cost()


def _cost_due_before(req: QueuedRequest, queue: ClassQueue) -> float:
    """Estimates how much queued cost of another class of the tier is due before a new request."""
    if queue.first_token_target <= req.first_token_target:
        return queue.on_time.queued_cost
    return queue.on_time.queued_cost * req.first_token_target / queue.first_token_target
