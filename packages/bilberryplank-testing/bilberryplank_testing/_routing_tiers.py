"""Classes of a trial with tiers, and an upstream in virtual time with the tiered queue."""

from __future__ import annotations

import random
from dataclasses import dataclass

from bilberryplank_core.messages import AttemptId, Load
from bilberryplank_core.scheduling import QueuedRequest, TieredQueue
from bilberryplank_core.settings import QueueSettings
from bilberryplank_testing._routing_clock import VirtualClock
from bilberryplank_testing._routing_engine import (
    PREFILL_RATE,
    SLOTS,
    TOKEN_SECONDS,
    VirtualUpstream,
    Work,
)


@dataclass(slots=True, frozen=True)
class TierClass:
    """A class of requests in a trial.

    Attributes:
        name: Name of the class.
        rank: Rank of its tier.
        share: Share of the arrivals.
        prompt_tokens: Least and most tokens of a prompt.
        output_tokens: Mean tokens of an answer.
        target: Seconds until the first token that it should have.
    """

    name: str
    rank: int
    share: float
    prompt_tokens: tuple[int, int]
    output_tokens: int
    target: float

    @property
    def seconds(self) -> float:
        """Mean seconds that a request holds a slot."""
        return sum(self.prompt_tokens) / 2 / PREFILL_RATE + self.output_tokens * TOKEN_SECONDS


CLASSES = (
    TierClass("urgent", 0, 0.3, (200, 800), 40, 1.0),
    TierClass("chat", 1, 0.35, (500, 1500), 100, 3.0),
    TierClass("bulk", 2, 0.35, (1000, 3000), 150, 20.0),
)

CAPACITY = SLOTS / sum(item.share * item.seconds for item in CLASSES)
"""Requests that an upstream ends a second."""


def draw_class(rng: random.Random) -> TierClass:
    """Returns the class of the next arrival."""
    return rng.choices(CLASSES, [item.share for item in CLASSES])[0]


class TieredUpstream(VirtualUpstream):
    """An upstream behind a tiered queue."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(clock)
        self._tiers = TieredQueue.from_settings(QueueSettings(slots=SLOTS))
        self._works: dict[AttemptId, Work] = {}

    def submit(self, work: Work) -> bool:
        """Takes a request, or returns False where the queue refuses it."""
        req = work.queued
        self._works[req.attempt] = work
        rejections = self._tiers.offer(req, self._clock.now)
        refused = [self._works.pop(item.attempt) for item in rejections]
        for other in refused:
            if other is not work:
                other.on_refused()
        self._pump()
        return work not in refused

    def cancel(self, work: Work) -> bool:
        """Takes a request out; returns False where it had begun."""
        self._works.pop(work.queued.attempt, None)
        if self._tiers.cancel(work.queued.attempt):
            self._note_load()
            return True
        self._running.remove(work)
        self._tiers.release(work.queued.attempt, self._clock.now, work.prompt_tokens, 0, False)
        self._pump()
        return False

    def die(self) -> None:
        """Loses every request."""
        self.alive = False
        self._running.clear()
        lost, self._works = list(self._works.values()), {}
        for work in lost:
            work.on_lost()

    def _pump(self) -> None:
        while (req := self._tiers.dequeue(self._clock.now)) is not None:
            self._tiers.record_sent(req.attempt, self._clock.now)
            work = self._works[req.attempt]
            self._start(work)
        self._expire()
        self._note_load()

    def _expire(self) -> None:
        for item in self._tiers.expire(self._clock.now):
            self._works.pop(item.attempt).on_refused()

    def _end(self, work: Work, seconds: float) -> None:
        if work not in self._running:
            return
        self._running.remove(work)
        attempt = work.queued.attempt
        del self._works[attempt]
        self._tiers.release(attempt, self._clock.now, work.prompt_tokens, work.output_tokens)
        self._pump()
        work.on_end()

    def _note_load(self) -> None:
        self._history.append((self._clock.now, self._tiers.load(self._clock.now)))


def queued_request(
    attempt: AttemptId, kind: TierClass, prompt_tokens: int, now: float, deadline: float
) -> QueuedRequest:
    """Returns a request as the queue sees it."""
    return QueuedRequest(
        attempt, "org", "key", kind.name, kind.rank, prompt_tokens, 0, now, deadline, kind.target
    )


def without_ranks(load: Load) -> Load:
    """Returns a hint that tells no tiers apart."""
    return Load(load.queued, load.running, load.slots, load.queued_cost, load.drain_rate)
