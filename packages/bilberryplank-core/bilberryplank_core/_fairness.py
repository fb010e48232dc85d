"""Fair shares between the organisations of a class: the one with the least recent usage goes first.

Deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) resets the deficit of an organisation
whose queue runs empty, and with first token targets of seconds most queues run empty between two
requests. So each organisation has a counter of its usage: the cost of its served requests, in units
of generated tokens, as in Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024). It
decays as in Kay and Lauder, "A Fair Share Scheduler" (CACM 1988). For organisations that always
have queued requests, usage per weight differs by at most the cost of one request.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from bilberryplank_core._messages import AttemptId
from bilberryplank_core._queue_types import QueuedRequest

USAGE_DECAY_SECONDS = 60.0
"""Time constant of the exponential decay of usage."""

MAX_TRACKED_ORGANISATIONS = 1024
"""Organisations whose usage is kept; beyond it the least recently charged are dropped, and their
usage counts as zero."""

MIN_ORGANISATION_WEIGHT = 0.01


class UsageCounters:
    """Usage of each organisation in a class, decaying exponentially with time."""

    __slots__ = ("_counters",)

    def __init__(self) -> None:
        self._counters: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def charge(self, organisation: str, cost: float, now: float) -> None:
        """Adds to the usage; `cost` is negative to correct an estimate that was too high."""
        usage = max(0.0, self.usage_of(organisation, now) + cost)
        self._counters[organisation] = (usage, now)
        self._counters.move_to_end(organisation)
        if len(self._counters) > MAX_TRACKED_ORGANISATIONS:
            self._counters.popitem(last=False)

    def usage_of(self, organisation: str, now: float) -> float:
        """Returns the usage of an organisation, decayed up to now."""
        counter = self._counters.get(organisation)
        if counter is None:
            return 0.0
        usage, updated_at = counter
        return usage * math.exp((updated_at - now) / USAGE_DECAY_SECONDS)


class OrganisationQueue:
    """Queued requests of one organisation in one class, in order of arrival.

    Long prompts are queued apart: while as many of them run as their limit allows, only short
    prompts may be selected.

    Attributes:
        name: The organisation.
        weight: Weight of the organisation, from the request queued last.
        queued_cost: Total cost of the queued requests.
        short_prompts: Queued requests with short prompts.
        long_prompts: Queued requests with long prompts.
    """

    __slots__ = ("long_prompts", "name", "queued_cost", "short_prompts", "weight")

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        self.queued_cost = 0.0
        self.short_prompts: OrderedDict[AttemptId, QueuedRequest] = OrderedDict()
        self.long_prompts: OrderedDict[AttemptId, QueuedRequest] = OrderedDict()

    def head(self, long_allowed: bool) -> QueuedRequest | None:
        """Returns the oldest request, or None; long prompts only if allowed."""
        short = next(iter(self.short_prompts.values()), None)
        long = next(iter(self.long_prompts.values()), None) if long_allowed else None
        if short is None or long is None:
            return short or long
        return short if short.arrived <= long.arrived else long

    def newest(self) -> QueuedRequest:
        """Returns the request that arrived last."""
        short = next(reversed(self.short_prompts.values()), None)
        long = next(reversed(self.long_prompts.values()), None)
        if short is None or long is None:
            return short or long
        return short if short.arrived > long.arrived else long


class FairQueue:
    """Queued requests of a class by organisation, for selection by fair share.

    Attributes:
        queued_cost: Total cost of the queued requests.
        short_prompt_count: Number of queued requests with short prompts.
        long_prompt_count: Number of queued requests with long prompts.
    """

    __slots__ = ("_by_organisation", "long_prompt_count", "queued_cost", "short_prompt_count")

    def __init__(self) -> None:
        self.queued_cost = 0.0
        self.short_prompt_count = 0
        self.long_prompt_count = 0
        self._by_organisation: OrderedDict[str, OrganisationQueue] = OrderedDict()

    def __len__(self) -> int:
        return self.short_prompt_count + self.long_prompt_count

    def has_eligible(self, long_allowed: bool) -> bool:
        """Returns whether a queued request may be selected; long prompts only if allowed."""
        return self.short_prompt_count > 0 or (long_allowed and self.long_prompt_count > 0)

    def organisations(self) -> Iterable[OrganisationQueue]:
        """Returns the queues of the organisations that have queued requests."""
        return self._by_organisation.values()

    def get(self, organisation: str) -> OrganisationQueue | None:
        """Returns an organisation's queue, or None if it has no queued request."""
        return self._by_organisation.get(organisation)

    def push(self, req: QueuedRequest, is_long: bool) -> None:
        """Queues a request behind the others of its organisation."""
        queue = self._by_organisation.get(req.organisation)
        if queue is None:
            queue = self._by_organisation[req.organisation] = OrganisationQueue(req.organisation)
        queue.weight = max(MIN_ORGANISATION_WEIGHT, req.weight)
        queue.queued_cost += req.cost
        self.queued_cost += req.cost
        if is_long:
            queue.long_prompts[req.attempt] = req
            self.long_prompt_count += 1
        else:
            queue.short_prompts[req.attempt] = req
            self.short_prompt_count += 1

    def remove(self, req: QueuedRequest) -> None:
        """Removes a queued request."""
        queue = self._by_organisation[req.organisation]
        if queue.short_prompts.pop(req.attempt, None) is not None:
            self.short_prompt_count -= 1
        else:
            del queue.long_prompts[req.attempt]
            self.long_prompt_count -= 1
        queue.queued_cost -= req.cost
        self.queued_cost -= req.cost
        if not queue.short_prompts and not queue.long_prompts:
            del self._by_organisation[req.organisation]

    def select_fair(self, long_allowed: bool, usage: UsageCounters, now: float) -> QueuedRequest:
        """Returns the oldest request of the organisation with the least usage per weight.

        Long prompts are passed over unless allowed. The request stays queued. Call only if
        `has_eligible(long_allowed)` is true.
        """
        selected, least_usage = None, math.inf
        for queue in self._by_organisation.values():
            head = queue.head(long_allowed)
            if head is None:
                continue
            weighted_usage = usage.usage_of(queue.name, now) / queue.weight
            if weighted_usage < least_usage:
                selected, least_usage = head, weighted_usage
        return selected

    def oldest(self, long_allowed: bool) -> QueuedRequest:
        """Returns the request that arrived first; long prompts only if allowed.

        Call only if `has_eligible(long_allowed)` is true.
        """
        heads = (queue.head(long_allowed) for queue in self._by_organisation.values())
        return min((head for head in heads if head is not None), key=lambda head: head.arrived)
