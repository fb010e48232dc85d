"""Queue of one request class, and the order between classes.

Tiers have strict priority, except that each class earns a floor share of dispatches. Within a
tier, the class whose oldest request is due first goes first.

Within a class, requests that have already missed their first token target go behind those that
have not: under overload a queue in order of arrival is late for everyone (as in Maurer, "Fail at
Scale", ACM Queue 2015). They still go before lower tiers.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from bilberryplank_core._fairness import FairQueue, OrganisationQueue, UsageCounters
from bilberryplank_core._messages import AttemptId
from bilberryplank_core._queue_types import QueuedRequest

MAX_TOTAL_FLOOR_SHARE = 0.25
"""Largest sum of floor shares in use; if the floors exceed it, all are scaled down."""

MAX_FLOOR_CREDIT_DISPATCHES = 3.0
"""Maximum floor credit that a class can accumulate, in dispatches."""

RESERVE_OVERRIDE_DISPATCHES = 2.0
"""Floor credit, in dispatches, from which a class may take even slots reserved for others."""

REJECTED_DEMAND_SECONDS = 60.0
"""How long a class counts as having demand after one of its requests was rejected."""

ROUNDING_TOLERANCE = 1e-9
"""Rounding error of floor credit that is ignored when it reaches one dispatch."""


class ClassQueue:
    """Queued requests of one class.

    Attributes:
        name: Name of the class.
        rank: Rank of its tier.
        floor_share: Minimum share of dispatches, 0 to 1.
        first_token_target: Target for the time from arrival to the first token, in seconds.
        floor_credit: Dispatches that the floor owes to the class.
        last_rejected_at: Time at which one of its requests was last rejected.
        on_time: Requests that can still meet their first token target.
        late: Requests that can no longer meet it.
        usage: Recent usage of each organisation.
    """

    __slots__ = (
        "_by_arrival",
        "floor_credit",
        "floor_share",
        "late",
        "name",
        "rank",
        "first_token_target",
        "on_time",
        "last_rejected_at",
        "usage",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.rank = 0
        self.floor_share = 0.0
        self.first_token_target = 0.0
        self.floor_credit = 0.0
        self.last_rejected_at = -math.inf
        self.on_time = FairQueue()
        self.late = FairQueue()
        self.usage = UsageCounters()
        self._by_arrival: OrderedDict[AttemptId, QueuedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self.on_time) + len(self.late)

    @property
    def queued_cost(self) -> float:
        """Total cost of the queued requests."""
        return self.on_time.queued_cost + self.late.queued_cost

    @property
    def short_prompt_count(self) -> int:
        """Number of queued requests with short prompts."""
        return self.on_time.short_prompt_count + self.late.short_prompt_count

    def has_eligible(self, long_allowed: bool) -> bool:
        """Returns whether a queued request may be selected; long prompts only if allowed."""
        return self.on_time.has_eligible(long_allowed) or self.late.has_eligible(long_allowed)

    def organisations(self) -> Iterable[OrganisationQueue]:
        """Returns the queues of the organisations, those with late requests first."""
        yield from self.late.organisations()
        yield from self.on_time.organisations()

    def has_queued(self, organisation: str) -> bool:
        """Returns whether an organisation has a queued request."""
        return (self.on_time.get(organisation) or self.late.get(organisation)) is not None

    def dispatch_key(self) -> tuple[int, bool, float]:
        """Returns a sort key: rank, whether nothing is on time, and when the oldest is due.

        The class with the smallest key is served first.
        """
        oldest = next(iter(self._by_arrival.values()), None)
        if oldest is None:
            return self.rank, True, self.first_token_target
        return self.rank, False, oldest.arrived + oldest.first_token_target

    def update_from(self, req: QueuedRequest) -> None:
        """Copies the attributes of the class from a new request."""
        self.rank = req.rank
        self.floor_share = req.floor_share
        self.first_token_target = req.first_token_target

    def push(self, req: QueuedRequest, is_long: bool) -> None:
        """Queues a request as on time."""
        self.on_time.push(req, is_long)
        self._by_arrival[req.attempt] = req

    def remove(self, req: QueuedRequest) -> None:
        """Removes a queued request."""
        on_time = self._by_arrival.pop(req.attempt, None) is not None
        (self.on_time if on_time else self.late).remove(req)

    def demote_late_requests(
        self, now: float, first_token_seconds: float, long_tokens: int
    ) -> None:
        """Moves requests to `late` whose first token would miss its target.

        Args:
            now: Time in seconds.
            first_token_seconds: Estimated seconds from dispatch to the first token.
            long_tokens: Prompt tokens from which a prompt is long.
        """
        while self._by_arrival:
            req = next(iter(self._by_arrival.values()))
            if now + first_token_seconds <= req.arrived + req.first_token_target:
                return
            self.remove(req)
            self.late.push(req, req.prompt_tokens >= long_tokens)

    def dequeue(self, long_allowed: bool, fair: bool, now: float) -> QueuedRequest:
        """Removes and returns the next request, by fair share or else the oldest.

        On-time requests go before late ones. Call only if `has_eligible(long_allowed)` is true.
        """
        fair_queue = self.on_time if self.on_time.has_eligible(long_allowed) else self.late
        if fair:
            req = fair_queue.select_fair(long_allowed, self.usage, now)
        else:
            req = fair_queue.oldest(long_allowed)
        self.remove(req)
        self.usage.charge(req.organisation, req.cost, now)
        return req

    def weighted_demand(self, organisation: OrganisationQueue, now: float) -> float:
        """Returns the recent usage plus the queued cost of an organisation, per weight."""
        return (
            self.usage.usage_of(organisation.name, now) + organisation.queued_cost
        ) / organisation.weight


def is_owed_dispatch(queue: ClassQueue) -> bool:
    """Returns whether the floor of a class entitles it to a dispatch."""
    return queue.floor_credit >= 1.0 - ROUNDING_TOLERANCE


def has_floor_exemption(queue: ClassQueue) -> bool:
    """Returns whether one queued request of the class is exempt from the limit of the queue.

    A class that its floor owes a dispatch has this exemption. Without it, a queue full of higher
    tiers would starve the class; with it, the class takes no place from them.
    """
    return is_owed_dispatch(queue) and len(queue) > 0


def most_owed_class(classes: Iterable[ClassQueue], long_allowed: bool) -> ClassQueue | None:
    """Returns the class with the most floor credit of those owed a dispatch, or None."""
    owed = (
        queue for queue in classes if is_owed_dispatch(queue) and queue.has_eligible(long_allowed)
    )
    return max(owed, key=lambda queue: queue.floor_credit, default=None)


def update_floor_credit(classes: Iterable[ClassQueue], dispatched: ClassQueue, now: float) -> None:
    """Credits each class with demand its floor share, and debits the dispatched class.

    A class has demand while it has queued requests, and for a time after one was rejected. The
    highest tier with demand earns no credit, because it goes first anyway.
    """
    since = now - REJECTED_DEMAND_SECONDS
    classes_with_demand = [
        queue
        for queue in classes
        if queue is dispatched or len(queue) or queue.last_rejected_at > since
    ]
    highest_rank = min(queue.rank for queue in classes_with_demand)
    lower_classes = [queue for queue in classes_with_demand if queue.rank > highest_rank]
    total_share = sum(queue.floor_share for queue in lower_classes)
    scale = min(1.0, MAX_TOTAL_FLOOR_SHARE / total_share) if total_share > 0 else 1.0
    for queue in lower_classes:
        queue.floor_credit = min(
            MAX_FLOOR_CREDIT_DISPATCHES, queue.floor_credit + queue.floor_share * scale
        )
    dispatched.floor_credit = max(0.0, dispatched.floor_credit - 1.0)
