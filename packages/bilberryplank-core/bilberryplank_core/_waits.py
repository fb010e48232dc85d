"""How long a newcomer would wait, from the cost ahead of it and measured service rates."""

from __future__ import annotations

from collections.abc import Iterable

from bilberryplank_core._class_queue import ClassQueue
from bilberryplank_core._estimates import OfferedLoad, ServiceRate
from bilberryplank_core._fairness import MIN_ORGANISATION_WEIGHT
from bilberryplank_core._queue_types import QueuedRequest
from bilberryplank_core._slots import SlotTable

MIN_RETRY_AFTER_SECONDS = 0.1
"""Shortest time to come back, in seconds."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Longest time to come back, in seconds."""

DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Time to come back while the drain rate is unknown, in seconds."""

LOAD_WINDOW_SECONDS = 15.0
"""Seconds over which offered load is averaged."""

MIN_TIER_SLOT_SHARE = 0.05
"""Share of the slots that a tier gets at least, however much the higher ones offer."""


class WaitEstimator:
    """Estimates waits from the queued cost ahead, measured service rates and offered load."""

    __slots__ = ("_first_token_rates", "_offered_loads", "_overall_rate", "_class_rates")

    def __init__(self) -> None:
        self._class_rates: dict[str, ServiceRate] = {}
        self._first_token_rates: dict[str, ServiceRate] = {}
        self._offered_loads: dict[str, OfferedLoad] = {}
        self._overall_rate = ServiceRate()

    def observe_completion(self, class_name: str, cost: float, seconds: float) -> None:
        """Learns from a finished request."""
        self._class_rates.setdefault(class_name, ServiceRate()).observe(cost, seconds)
        self._overall_rate.observe(cost, seconds)

    def observe_first_token(self, class_name: str, seconds: float) -> None:
        """Learns how long after its dispatch a request had its first token."""
        self._first_token_rates.setdefault(class_name, ServiceRate()).observe(1.0, seconds)

    def observe_arrival(self, req: QueuedRequest, now: float) -> None:
        """Learns from an arrival."""
        load = self._offered_loads.setdefault(req.class_name, OfferedLoad(LOAD_WINDOW_SECONDS))
        load.observe(self.service_seconds(req), now)

    def offered_load(self, class_name: str, now: float) -> float:
        """Returns the slots that the arrivals of a class keep busy."""
        load = self._offered_loads.get(class_name)
        return load.erlangs(now) if load is not None else 0.0

    def total_offered_load(self, now: float) -> float:
        """Returns the slots that all arrivals keep busy."""
        return sum(load.erlangs(now) for load in self._offered_loads.values())

    def drain_rate(self, slots: int) -> float:
        """Returns the cost that all slots finish a second while busy; 0 while unknown."""
        return self._overall_rate.cost_per_second() * slots

    def first_token_seconds(self, class_name: str) -> float:
        """Returns the seconds from dispatch to the first token; 0 while unknown."""
        rate = self._first_token_rates.get(class_name)
        return rate.seconds_per_request() if rate is not None else 0.0

    def service_seconds(self, req: QueuedRequest) -> float:
        """Returns the seconds that a request will hold a slot; 0 while unknown."""
        return req.cost * self._seconds_per_cost(req.class_name)

    def class_cost_per_second(self, class_name: str) -> float:
        """Returns the cost that one slot finishes a second in a class; 0 while unknown."""
        seconds = self._seconds_per_cost(class_name)
        return 1.0 / seconds if seconds > 0 else 0.0

    def slot_turnover_seconds(self, slots: int) -> float:
        """Returns the mean seconds between two ends of requests while all slots are busy."""
        return self._overall_rate.seconds_per_request() / slots

    def wait_seconds(
        self, req: QueuedRequest, classes: Iterable[ClassQueue], slots: SlotTable, now: float
    ) -> float:
        """Returns the seconds until a newcomer would start, were it queued now."""
        ahead = 0.0
        higher = 0.0
        for queue in classes:
            if queue.name == req.class_name:
                ahead += self._fair_share_seconds_ahead(req, queue)
            elif queue.rank == req.rank:
                ahead += _cost_due_before(req, queue) * self._seconds_per_cost(queue.name)
            elif queue.rank < req.rank:
                ahead += queue.cost * self._seconds_per_cost(queue.name)
                higher += self.offered_load(queue.name, now)
        if ahead == 0.0 and slots.free > 0:
            return 0.0
        left = max(slots.slots * MIN_TIER_SLOT_SHARE, slots.slots - higher)
        return ahead / left + self.slot_turnover_seconds(slots.slots)

    def retry_after(self, cost: float, slots: int) -> float:
        """Returns the seconds until `cost` has drained, within bounds."""
        rate = self.drain_rate(slots)
        if rate <= 0:
            return DEFAULT_RETRY_AFTER_SECONDS
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, cost / rate))

    def _fair_share_seconds_ahead(self, req: QueuedRequest, queue: ClassQueue) -> float:
        """Returns the slot seconds that fair shares serve before the newcomer's turn ends."""
        fair_queue = queue.on_time
        own = fair_queue.get(req.organisation)
        backlog = own.cost if own is not None else 0.0
        turn = (backlog + req.cost) / max(MIN_ORGANISATION_WEIGHT, req.weight)
        cost = backlog + sum(
            min(other.cost, turn * other.weight)
            for other in fair_queue.organisations()
            if other is not own
        )
        return cost * self._seconds_per_cost(queue.name)

    def _seconds_per_cost(self, class_name: str) -> float:
        rate = self._class_rates.get(class_name)
        if rate is not None and rate.known:
            return rate.seconds_per_cost()
        return self._overall_rate.seconds_per_cost()


def _cost_due_before(req: QueuedRequest, queue: ClassQueue) -> float:
    """Returns about how much cost of a class of the same tier is due before a newcomer."""
    if queue.first_token_target <= req.first_token_target:
        return queue.on_time.cost
    return queue.on_time.cost * req.first_token_target / queue.first_token_target
