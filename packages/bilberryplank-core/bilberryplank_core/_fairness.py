"""Order between the organisations of a class: the one served least lately goes first.

Deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) forgets an organisation whose queue ran
empty, and with first token targets of seconds most queues run empty between two requests. So each
organisation has a counter of the cost it was served, as in Sheng et al., "Fairness in Serving
Large Language Models" (OSDI 2024), that decays as in Kay and Lauder, "A Fair Share Scheduler"
(CACM 1988). Between organisations that always wait, counters per weight differ by one request.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from bilberryplank_core._messages import AttemptId
from bilberryplank_core._queue_types import QueuedRequest

USAGE_DECAY_SECONDS = 60.0
"""Time constant with which served cost is forgotten."""

MAX_TRACKED_ORGANISATIONS = 1024
"""Organisations whose served cost is remembered."""

MIN_ORGANISATION_WEIGHT = 0.01


class UsageCounters:
    """Cost that organisations were served in a class, forgotten exponentially with time."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def charge(self, organisation: str, cost: float, now: float) -> None:
        """Adds a served cost, or takes back what an estimate was too high."""
        served_cost = max(0.0, self.served_cost(organisation, now) + cost)
        self._entries[organisation] = (served_cost, now)
        self._entries.move_to_end(organisation)
        if len(self._entries) > MAX_TRACKED_ORGANISATIONS:
            self._entries.popitem(last=False)

    def served_cost(self, organisation: str, now: float) -> float:
        """Returns the cost that is not yet forgotten."""
        entry = self._entries.get(organisation)
        if entry is None:
            return 0.0
        served_cost, since = entry
        return served_cost * math.exp((since - now) / USAGE_DECAY_SECONDS)


class OrganisationQueue:
    """Queued requests of one organisation in one class, in order of arrival."""

    __slots__ = ("cost", "long", "name", "short", "weight")

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
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


class FairQueue:
    """The organisations that have queued requests.

    Attributes:
        cost: Queued cost.
        short_prompt_count: Queued requests with short prompts.
        long_prompt_count: Queued requests with long prompts.
    """

    __slots__ = ("_by_organisation", "cost", "long_prompt_count", "short_prompt_count")

    def __init__(self) -> None:
        self.cost = 0.0
        self.short_prompt_count = 0
        self.long_prompt_count = 0
        self._by_organisation: OrderedDict[str, OrganisationQueue] = OrderedDict()

    def __len__(self) -> int:
        return self.short_prompt_count + self.long_prompt_count

    def may_run(self, long_allowed: bool) -> bool:
        """Returns whether a queued request may run now."""
        return self.short_prompt_count > 0 or (long_allowed and self.long_prompt_count > 0)

    def organisations(self) -> Iterable[OrganisationQueue]:
        """Returns the organisations that have queued requests."""
        return self._by_organisation.values()

    def get(self, organisation: str) -> OrganisationQueue | None:
        """Returns an organisation's queue, or None where it has no queued request."""
        return self._by_organisation.get(organisation)

    def push(self, req: QueuedRequest, long: bool) -> None:
        """Queues a request behind its organisation's others."""
        queue = self._by_organisation.get(req.organisation)
        if queue is None:
            queue = self._by_organisation[req.organisation] = OrganisationQueue(req.organisation)
        queue.weight = max(MIN_ORGANISATION_WEIGHT, req.weight)
        queue.cost += req.cost
        self.cost += req.cost
        if long:
            queue.long[req.attempt] = req
            self.long_prompt_count += 1
        else:
            queue.short[req.attempt] = req
            self.short_prompt_count += 1

    def remove(self, req: QueuedRequest) -> None:
        """Removes a queued request."""
        queue = self._by_organisation[req.organisation]
        if queue.short.pop(req.attempt, None) is not None:
            self.short_prompt_count -= 1
        else:
            del queue.long[req.attempt]
            self.long_prompt_count -= 1
        queue.cost -= req.cost
        self.cost -= req.cost
        if not queue.short and not queue.long:
            del self._by_organisation[req.organisation]

    def select_fair(self, long_allowed: bool, usage: UsageCounters, now: float) -> QueuedRequest:
        """Returns the oldest request of the organisation served least; `may_run` must hold."""
        best, least = None, math.inf
        for queue in self._by_organisation.values():
            head = queue.head(long_allowed)
            if head is None:
                continue
            served_cost = usage.served_cost(queue.name, now) / queue.weight
            if served_cost < least:
                best, least = head, served_cost
        return best

    def oldest(self, long_allowed: bool) -> QueuedRequest:
        """Returns the request that came first; `may_run` must hold."""
        heads = (queue.head(long_allowed) for queue in self._by_organisation.values())
        return min((head for head in heads if head is not None), key=lambda head: head.arrived)
