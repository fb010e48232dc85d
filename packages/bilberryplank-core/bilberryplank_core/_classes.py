"""Order between classes: strict tiers, floors, and within a tier the earliest due first.

What has already missed its first token target goes behind what has not, within its class: under
overload a queue in order of arrival is late for everyone (as in Maurer, "Fail at Scale", ACM Queue
2015). It keeps its place before lower tiers.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from bilberryplank_core._fairness import FairRing, OrganisationQueue, UsageLedger
from bilberryplank_core._messages import AttemptId
from bilberryplank_core._queue_types import QueuedRequest

MAX_FLOOR_TOTAL = 0.25
"""Most of the dispatches that floors may take together; above it they shrink in proportion."""

MAX_CREDIT = 3.0
"""Dispatches that a class may be owed at most."""

FLOOR_PATIENCE = 2.0
"""Dispatches that a class must be owed before its floor takes even a slot held for others."""

DEMAND_SECONDS = 60.0
"""A class that refused a request this long ago still has demand."""

ROUNDING = 1e-9


class ClassQueue:
    """Queued requests of one class.

    Attributes:
        name: Name of the class.
        rank: Rank of its tier.
        floor_share: Least share of dispatches.
        target: Seconds until the first token that its requests should have.
        credit: Dispatches that the class is owed by its floor.
        turned_away: When one of its requests was last refused.
        timely: Requests that may still meet their first token target.
        late: Requests that have missed it.
        usage: Cost that organisations were served.
    """

    __slots__ = (
        "_by_arrival",
        "credit",
        "floor_share",
        "late",
        "name",
        "rank",
        "target",
        "timely",
        "turned_away",
        "usage",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.rank = 0
        self.floor_share = 0.0
        self.target = 0.0
        self.credit = 0.0
        self.turned_away = -math.inf
        self.timely = FairRing()
        self.late = FairRing()
        self.usage = UsageLedger()
        self._by_arrival: OrderedDict[AttemptId, QueuedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self.timely) + len(self.late)

    @property
    def cost(self) -> float:
        """Queued cost."""
        return self.timely.cost + self.late.cost

    @property
    def short_count(self) -> int:
        """Queued requests with short prompts."""
        return self.timely.short_count + self.late.short_count

    def may_run(self, long_allowed: bool) -> bool:
        """Returns whether a queued request may run now."""
        return self.timely.may_run(long_allowed) or self.late.may_run(long_allowed)

    def organisations(self) -> Iterable[OrganisationQueue]:
        """Returns the queues of organisations, those of late requests first."""
        yield from self.late.organisations()
        yield from self.timely.organisations()

    def has_queued(self, organisation: str) -> bool:
        """Returns whether an organisation has a queued request."""
        return (self.timely.get(organisation) or self.late.get(organisation)) is not None

    def urgency(self) -> tuple[int, bool, float]:
        """Returns a key by which the class to serve first is the least one."""
        oldest = next(iter(self._by_arrival.values()), None)
        if oldest is None:
            return self.rank, True, self.target
        return self.rank, False, oldest.arrived + oldest.first_token_target

    def describe(self, req: QueuedRequest) -> None:
        """Takes over what a newcomer says of its class."""
        self.rank = req.rank
        self.floor_share = req.floor_share
        self.target = req.first_token_target

    def push(self, req: QueuedRequest, long: bool) -> None:
        """Queues a request."""
        self.timely.push(req, long)
        self._by_arrival[req.attempt] = req

    def remove(self, req: QueuedRequest) -> None:
        """Removes a queued request."""
        timely = self._by_arrival.pop(req.attempt, None) is not None
        (self.timely if timely else self.late).remove(req)

    def set_late(self, now: float, lead: float, long_tokens: int) -> None:
        """Moves requests whose first token, `lead` seconds from now, would be late."""
        while self._by_arrival:
            req = next(iter(self._by_arrival.values()))
            if now + lead <= req.arrived + req.first_token_target:
                return
            self.remove(req)
            self.late.push(req, req.prompt_tokens >= long_tokens)

    def dequeue(self, long_allowed: bool, fair: bool, now: float) -> QueuedRequest:
        """Removes and returns the next request; `may_run` must hold."""
        ring = self.timely if self.timely.may_run(long_allowed) else self.late
        if fair:
            req = ring.select(long_allowed, self.usage, now)
        else:
            req = ring.oldest(long_allowed)
        self.remove(req)
        self.usage.charge(req.organisation, req.cost, now)
        return req

    def excess(self, organisation: OrganisationQueue, now: float) -> float:
        """Returns what an organisation was served and still wants, per weight."""
        return (self.usage.level(organisation.name, now) + organisation.cost) / organisation.weight


def is_owed(queue: ClassQueue) -> bool:
    """Returns whether a class has earned a dispatch by its floor."""
    return queue.credit >= 1.0 - ROUNDING


def has_floor_place(queue: ClassQueue) -> bool:
    """Returns whether one request of the class waits outside the queue's bound, for its floor.

    Else a queue full of higher tiers would starve it; so it takes no place from them.
    """
    return is_owed(queue) and len(queue) > 0


def owed_class(classes: Iterable[ClassQueue], long_allowed: bool) -> ClassQueue | None:
    """Returns the class that its floor entitles most to the next dispatch, or None."""
    owed = (queue for queue in classes if is_owed(queue) and queue.may_run(long_allowed))
    return max(owed, key=lambda queue: queue.credit, default=None)


def count_dispatch(classes: Iterable[ClassQueue], dispatched: ClassQueue, now: float) -> None:
    """Lets every class with demand earn its floor share, and charges the dispatched one.

    A class has demand while it has queued requests, and for a time after one was refused. The
    highest tier with demand earns nothing, for it goes first anyway.
    """
    since = now - DEMAND_SECONDS
    demand = [
        queue for queue in classes if queue is dispatched or len(queue) or queue.turned_away > since
    ]
    highest = min(queue.rank for queue in demand)
    lower = [queue for queue in demand if queue.rank > highest]
    total = sum(queue.floor_share for queue in lower)
    scale = min(1.0, MAX_FLOOR_TOTAL / total) if total > 0 else 1.0
    for queue in lower:
        queue.credit = min(MAX_CREDIT, queue.credit + queue.floor_share * scale)
    dispatched.credit = max(0.0, dispatched.credit - 1.0)
