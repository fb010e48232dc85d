"""Admission: how long a newcomer would wait, and which request goes where the queue is full."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from bilberryplank_core._estimates import ServiceRate
from bilberryplank_core._fairness import ClassQueue
from bilberryplank_core._queue_types import QueuedRequest

MIN_RETRY_AFTER = 0.1
"""Shortest time to come back, in seconds."""

MAX_RETRY_AFTER = 60.0
"""Longest time to come back, in seconds."""

DEFAULT_RETRY_AFTER = 1.0
"""Time to come back while the drain rate is unknown, in seconds."""


class WaitEstimator:
    """Estimates waits from the queued cost ahead and the measured service rates."""

    __slots__ = ("_overall", "_rates")

    def __init__(self) -> None:
        self._rates: dict[str, ServiceRate] = {}
        self._overall = ServiceRate()

    def observe(self, class_name: str, cost: float, seconds: float) -> None:
        """Learns from a finished request."""
        self._rates.setdefault(class_name, ServiceRate()).observe(cost, seconds)
        self._overall.observe(cost, seconds)

    def drain_rate(self, slots: int) -> float:
        """Returns the cost that all slots finish a second while busy; 0 while unknown."""
        return self._overall.cost_per_second() * slots

    def service(self, req: QueuedRequest) -> float:
        """Returns the seconds that a request will hold a slot; 0 while unknown."""
        return req.cost * self._seconds_per_cost(req.class_name)

    def class_rate(self, class_name: str) -> float:
        """Returns the cost that one slot finishes a second in a class; 0 while unknown."""
        seconds = self._seconds_per_cost(class_name)
        return 1.0 / seconds if seconds > 0 else 0.0

    def next_free(self, slots: int) -> float:
        """Returns the mean seconds between two ends of requests while all slots are busy."""
        return self._overall.seconds_per_request() / slots

    def wait(
        self, req: QueuedRequest, classes: Iterable[ClassQueue], slots: int, free: int
    ) -> float:
        """Returns the seconds until a newcomer would start, were it queued now."""
        ahead = 0.0
        for queue in classes:
            if queue.name == req.class_name:
                ahead += self._share_ahead(req, queue)
            elif queue.rank <= req.rank:
                ahead += queue.cost * self._seconds_per_cost(queue.name)
        if ahead == 0.0 and free > 0:
            return 0.0
        return ahead / slots + self.next_free(slots)

    def retry_after(self, cost: float, slots: int) -> float:
        """Returns the seconds until `cost` has drained, within bounds."""
        rate = self.drain_rate(slots)
        if rate <= 0:
            return DEFAULT_RETRY_AFTER
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, cost / rate))

    def _share_ahead(self, req: QueuedRequest, queue: ClassQueue) -> float:
        """Returns the slot seconds that round robin serves before the newcomer's turn ends."""
        own = queue.backlog(req.organisation) + req.cost / req.weight
        cost = sum(
            min(other.backlog(), own) * other.weight
            for other in queue.organisations()
            if other.name != req.organisation
        )
        cost += queue.backlog(req.organisation) * req.weight
        return cost * self._seconds_per_cost(queue.name)

    def _seconds_per_cost(self, class_name: str) -> float:
        rate = self._rates.get(class_name)
        if rate is not None and rate.known:
            return rate.seconds_per_cost()
        return self._overall.seconds_per_cost()


def shed_victim(classes: Mapping[str, ClassQueue], fair: bool) -> QueuedRequest:
    """Returns the queued request that goes first: from the lowest tier present.

    Within the tier it is the newest of the organisation with the largest backlog per weight (buffer
    stealing, McKenney, "Stochastic Fairness Queueing", INFOCOM 1990), or the newest of all where
    not `fair`. At least one request must be queued.
    """
    lowest = max(queue.rank for queue in classes.values() if len(queue))
    holders = [
        organisation
        for queue in classes.values()
        if queue.rank == lowest
        for organisation in queue.organisations()
    ]
    if fair:
        return max(holders, key=lambda holder: holder.backlog()).newest()
    return max((holder.newest() for holder in holders), key=lambda req: req.arrived)
