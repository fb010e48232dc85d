"""Order between classes (tiers and floors) and between organisations (deficit round robin).

Deficit round robin is from Shreedhar and Varghese, "Efficient Fair Queueing using Deficit Round
Robin" (SIGCOMM 1995). Here the deficit counts estimated cost, and is corrected when an answer ends.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from bilberryplank_core._messages import AttemptId
from bilberryplank_core._queue_types import QueuedRequest

QUANTUM = 256.0
"""Cost that an organisation of weight 1 earns in a round, in generated tokens."""

MIN_WEIGHT = 0.01
MAX_FLOOR_TOTAL = 0.25
"""Most of the dispatches that floors may take together; above it they shrink in proportion."""

MAX_CREDIT = 2.0
"""Dispatches that a class may be owed at most."""

ROUNDING = 1e-9


class OrganisationQueue:
    """Queued requests of one organisation in one class, in order of arrival."""

    __slots__ = ("cost", "deficit", "long", "name", "short", "weight")

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        self.deficit = 0.0
        self.cost = 0.0
        self.short: OrderedDict[AttemptId, QueuedRequest] = OrderedDict()
        self.long: OrderedDict[AttemptId, QueuedRequest] = OrderedDict()

    def head(self, long_allowed: bool) -> QueuedRequest | None:
        """Returns the oldest request that may run now, or None."""
        short = next(iter(self.short.values()), None)
        long = next(iter(self.long.values()), None) if long_allowed else None
        if short is None or long is None:
            return short or long
        return short if short.arrived <= long.arrived else long

    def newest(self) -> QueuedRequest:
        """Returns the request that came last."""
        short = next(reversed(self.short.values()), None)
        long = next(reversed(self.long.values()), None)
        if short is None or long is None:
            return short or long
        return short if short.arrived > long.arrived else long

    def backlog(self) -> float:
        """Returns the queued cost per weight."""
        return self.cost / self.weight


class ClassQueue:
    """Queued requests of one class; deficit round robin over its organisations.

    Attributes:
        name: Name of the class.
        rank: Rank of its tier.
        floor_share: Least share of dispatches.
        credit: Dispatches that the class is owed by its floor.
        turned_away: True where one of its requests was refused since its last dispatch.
        last_offer: When a request was last offered, in seconds.
        cost: Queued cost.
        short_count: Queued requests with short prompts.
        long_count: Queued requests with long prompts.
    """

    __slots__ = (
        "_ring",
        "cost",
        "credit",
        "floor_share",
        "last_offer",
        "long_count",
        "name",
        "rank",
        "short_count",
        "turned_away",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.rank = 0
        self.floor_share = 0.0
        self.credit = 0.0
        self.turned_away = False
        self.last_offer = 0.0
        self.cost = 0.0
        self.short_count = 0
        self.long_count = 0
        self._ring: OrderedDict[str, OrganisationQueue] = OrderedDict()

    def __len__(self) -> int:
        return self.short_count + self.long_count

    def may_run(self, long_allowed: bool) -> bool:
        """Returns whether a queued request may run now."""
        return self.short_count > 0 or (long_allowed and self.long_count > 0)

    def organisations(self) -> Iterable[OrganisationQueue]:
        """Returns the organisations that have queued requests."""
        return self._ring.values()

    def backlog(self, organisation: str) -> float:
        """Returns the queued cost per weight of an organisation."""
        queue = self._ring.get(organisation)
        return queue.backlog() if queue is not None else 0.0

    def push(self, req: QueuedRequest, long: bool) -> None:
        """Queues a request behind its organisation's others."""
        queue = self._ring.get(req.organisation)
        if queue is None:
            queue = self._ring[req.organisation] = OrganisationQueue(req.organisation)
        queue.weight = max(MIN_WEIGHT, req.weight)
        queue.cost += req.cost
        self.cost += req.cost
        if long:
            queue.long[req.attempt] = req
            self.long_count += 1
        else:
            queue.short[req.attempt] = req
            self.short_count += 1

    def remove(self, req: QueuedRequest) -> None:
        """Removes a queued request."""
        queue = self._ring[req.organisation]
        if queue.short.pop(req.attempt, None) is not None:
            self.short_count -= 1
        else:
            del queue.long[req.attempt]
            self.long_count -= 1
        queue.cost -= req.cost
        self.cost -= req.cost
        if not queue.short and not queue.long:
            del self._ring[req.organisation]

    def select(self, long_allowed: bool) -> QueuedRequest:
        """Returns the next request by deficit round robin, charged and removed.

        `may_run` must hold.
        """
        while True:
            rounds = math.inf
            for _ in range(len(self._ring)):
                queue = next(iter(self._ring.values()))
                head = queue.head(long_allowed)
                if head is not None:
                    if queue.deficit >= head.cost:
                        queue.deficit -= head.cost
                        self.remove(head)
                        return head
                    missing = head.cost - queue.deficit
                    rounds = min(rounds, missing / (QUANTUM * queue.weight))
                self._ring.move_to_end(queue.name)
            self._earn(max(1, math.ceil(rounds)), long_allowed)

    def oldest(self, long_allowed: bool) -> QueuedRequest:
        """Returns the request that came first; `may_run` must hold."""
        heads = (queue.head(long_allowed) for queue in self._ring.values())
        return min((head for head in heads if head is not None), key=lambda head: head.arrived)

    def correct(self, organisation: str, excess: float) -> None:
        """Charges an organisation what an answer cost beyond its estimate."""
        queue = self._ring.get(organisation)
        if queue is not None:
            queue.deficit -= excess

    def _earn(self, rounds: int, long_allowed: bool) -> None:
        for queue in self._ring.values():
            if queue.head(long_allowed) is not None:
                queue.deficit += rounds * QUANTUM * queue.weight


def is_owed(queue: ClassQueue) -> bool:
    """Returns whether a class has earned a dispatch by its floor."""
    return queue.credit >= 1.0 - ROUNDING


def owed_class(classes: Iterable[ClassQueue], long_allowed: bool) -> ClassQueue | None:
    """Returns the class that its floor entitles most to the next dispatch, or None."""
    best = None
    for queue in classes:
        if not is_owed(queue) or not queue.may_run(long_allowed):
            continue
        if best is None or queue.credit > best.credit:
            best = queue
    return best


def count_dispatch(classes: list[ClassQueue], dispatched: ClassQueue) -> None:
    """Lets every class with demand earn its floor share, and charges the dispatched one."""
    demand = [queue for queue in classes if len(queue) or queue.turned_away]
    total = sum(queue.floor_share for queue in demand)
    scale = min(1.0, MAX_FLOOR_TOTAL / total) if total > 0 else 1.0
    for queue in demand:
        queue.credit = min(MAX_CREDIT, queue.credit + queue.floor_share * scale)
    dispatched.credit = max(0.0, dispatched.credit - 1.0)
    dispatched.turned_away = False
