"""An entry in virtual time, with the requests on their way through it."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryplank_core.errors import RefusalReason
from bilberryplank_core.routing import (
    CompleteAnswer,
    GiveUp,
    InformedChooser,
    QueryOutcome,
    RequestAttempts,
    RequestKind,
    RequestTraits,
    RetryBudget,
    RoundRobinChooser,
    SendAttempt,
    Step,
    UpstreamChooser,
    affinity_key,
    cost_of,
)
from bilberryplank_core.settings import RoutingSettings
from bilberryplank_core.world import Upstream
from bilberryplank_testing._routing_clock import VirtualClock
from bilberryplank_testing._routing_engine import VirtualUpstream, Work
from bilberryplank_testing._routing_figures import DEADLINE, TrialOptions, TrialResult
from bilberryplank_testing._routing_tiers import (
    TierClass,
    draw_class,
    queued_request,
    without_ranks,
)

ORGANISATIONS = 10
PREFIXES_PER_ORGANISATION = 3
TOP_TIER_SHARE = 0.3
DURATION = 120.0
WARM_UP = 10.0
HEARTBEAT_SECONDS = 5.0
BURST = (40.0, 80.0)
HOP_SECONDS = 0.001
WATCH_SECONDS = 0.25


@dataclass(slots=True)
class TrialWorld:
    """What entries and requests of a trial share."""

    opts: TrialOptions
    clock: VirtualClock
    rng: random.Random
    result: TrialResult
    upstreams: Sequence[Upstream]
    engines: dict[str, VirtualUpstream]


class VirtualEntry:
    """An entry with its chooser."""

    def __init__(self, trial: TrialWorld, zone: str, seed: int) -> None:
        self.trial = trial
        self._seed = seed
        cfg = RoutingSettings()
        self.chooser: UpstreamChooser = RoundRobinChooser()
        if trial.opts.policy == "informed":
            self.chooser = InformedChooser.from_settings(cfg, zone, random.Random(seed))
        self.budget = RetryBudget.from_settings(cfg)
        self.max_attempts = cfg.max_attempts
        self.count = 0
        trial.clock.at(0.0, self._heartbeat)

    def receive(self) -> None:
        """Takes a request."""
        self.count += 1
        _Request(self, f"{self._seed}-{self.count}").start()

    def hear(self, name: str) -> None:
        """Takes in a load hint that comes with an answer."""
        engine = self.trial.engines[name]
        if engine.alive:
            load = engine.load(self.trial.opts.lag)
            if self.trial.opts.tiers and not self.trial.opts.told_apart:
                load = without_ranks(load)
            self.chooser.record_load(name, load, self.trial.clock.now)

    def probe(self) -> None:
        """Sends the probe that the chooser wants, if any."""
        name = self.chooser.upstream_to_probe(self.trial.clock.now)
        if name is not None:
            clock = self.trial.clock
            clock.at(clock.now + 2 * HOP_SECONDS, lambda: self.hear(name))

    def _heartbeat(self) -> None:
        for name in self.trial.engines:
            self.hear(name)
        clock = self.trial.clock
        if clock.now < DURATION:
            clock.at(clock.now + HEARTBEAT_SECONDS, self._heartbeat)


class _Request:
    """A request on its way."""

    def __init__(self, entry: VirtualEntry, request_id: str) -> None:
        self.entry = entry
        self.trial = entry.trial
        rng = self.trial.rng
        self.counted = self.trial.clock.now >= WARM_UP
        self.arrived = self.trial.clock.now
        organisation = min(int(rng.paretovariate(1.0)) - 1, ORGANISATIONS - 1)
        prefix = f"prefix {rng.randrange(PREFIXES_PER_ORGANISATION)}".encode()
        self.prefix = affinity_key(f"org-{organisation}", prefix)
        self.tier: TierClass | None = None
        self.kind: dict[str, RequestKind] = {}
        if self.trial.opts.tiers:
            self._draw_tier(rng)
        else:
            self.top = rng.random() < TOP_TIER_SHARE
            self.prompt_tokens = rng.randrange(1000, 6000)
            self.output_tokens = min(int(rng.lognormvariate(4.3, 0.6)) + 1, 600)
        traits = RequestTraits(
            request_id,
            "epoch",
            True,
            self.arrived + DEADLINE,
            affinity=self.prefix if self.trial.opts.affinity else None,
            may_try_ejected=not self.top,
            **self.kind,
        )
        self.attempts = RequestAttempts(
            traits, self.trial.upstreams, entry.chooser, entry.budget, entry.max_attempts
        )
        self.waited = False
        self.answered = 0

    def _draw_tier(self, rng: random.Random) -> None:
        self.tier = tier = draw_class(rng)
        self.counted = BURST[0] <= self.arrived < BURST[1]
        self.top = tier.rank == 0
        self.prompt_tokens = rng.randrange(*tier.prompt_tokens)
        self.output_tokens = max(1, int(rng.expovariate(1 / tier.output_tokens)))
        if self.trial.opts.told_apart:
            self.kind = {"kind": RequestKind(tier.rank, tier.name)}

    def start(self) -> None:
        """Makes the first attempt."""
        if self.tier is not None:
            self.trial.result.arrivals[self.tier.rank] += self.counted
        self.trial.result.offered += self.counted
        self.trial.result.top_offered += self.counted and self.top
        self._take(self.attempts.start(self.trial.clock.now))

    def _take(self, step: Step) -> None:
        match step:
            case SendAttempt():
                self._send(step)
            case GiveUp():
                self.trial.result.refused += self.counted and not self.waited
            case QueryOutcome():
                self._take(self.attempts.on_deadline_passed(self.trial.clock.now))
            case CompleteAnswer():
                pass

    def _send(self, step: SendAttempt) -> None:
        clock = self.trial.clock
        name = step.upstream.name
        self.trial.result.attempts += self.counted
        self.entry.chooser.record_sent(name, self._cost(), clock.now, **self.kind)
        self.entry.probe()
        clock.at(clock.now + HOP_SECONDS, lambda: self._arrive(step, clock.now))

    def _arrive(self, step: SendAttempt, sent: float) -> None:
        name = step.upstream.name
        engine = self.trial.engines[name]
        if not engine.alive:
            self._lose(step, sent, reached=False)
            return
        work = Work(
            self.prompt_tokens,
            self.prompt_tokens * 3 // 4,
            self.prefix,
            self.output_tokens,
            lambda: self._first_token(step, sent, work),
            lambda: self._end(step),
            lambda: self._lose(step, sent, reached=True),
            lambda: self._refuse(step, RefusalReason.SHED),
        )
        if self.tier is not None:
            now, deadline = self.trial.clock.now, self.arrived + DEADLINE
            work.queued = queued_request(step.attempt, self.tier, self.prompt_tokens, now, deadline)
        if not engine.submit(work):
            self._refuse(step, RefusalReason.QUEUE_FULL)
            return
        self._watch(step, work)

    def _watch(self, step: SendAttempt, work: Work) -> None:
        clock = self.trial.clock
        clock.at(clock.now + WATCH_SECONDS, lambda: self._check(step, work))

    def _check(self, step: SendAttempt, work: Work) -> None:
        now = self.trial.clock.now
        if self.attempts.current != step.attempt or self.answered == step.attempt.number:
            return
        if not self.attempts.should_cancel(now):
            self._watch(step, work)
            return
        self.trial.result.cancelled += self.counted
        name = step.upstream.name
        if self.trial.engines[name].cancel(work):
            self._refuse(step, RefusalReason.CANCELLED)
            return
        self.entry.chooser.record_outcome(name, None, False, now, **self.kind)
        self.entry.chooser.record_end(name, now, **self.kind)
        self._take(self.attempts.on_failed(step.attempt, RefusalReason.CANCELLED, now))

    def _cost(self) -> float:
        if self.tier is not None and self.trial.opts.told_apart:
            return cost_of(self.prompt_tokens, self.tier.output_tokens)
        return self.prompt_tokens + self.output_tokens

    def _first_token(self, step: SendAttempt, sent: float, work: Work) -> None:
        now = self.trial.clock.now
        if self.counted and not self.waited:
            if self.tier is not None:
                self.trial.result.timely[self.tier.rank] += now - self.arrived <= self.tier.target
            self.trial.result.waits.append(now - self.arrived)
            if self.top:
                self.trial.result.top_waits.append(now - self.arrived)
        self.waited = True
        self.answered = step.attempt.number
        told = self.trial.opts.told_apart and work.began is not None
        seconds = now - (work.began if told else sent)
        name = step.upstream.name
        self.entry.chooser.record_outcome(name, seconds, True, now, **self.kind)
        self.entry.hear(step.upstream.name)

    def _end(self, step: SendAttempt) -> None:
        now = self.trial.clock.now
        self.entry.chooser.record_end(step.upstream.name, now, **self.kind)
        self.entry.hear(step.upstream.name)
        self._take(self.attempts.on_delivered(step.attempt))

    def _refuse(self, step: SendAttempt, reason: RefusalReason) -> None:
        now = self.trial.clock.now
        self.entry.chooser.record_refused(step.upstream.name, now, **self.kind)
        self.entry.hear(step.upstream.name)
        self._take(self.attempts.on_not_run(step.attempt, reason, 1.0, now))

    def _lose(self, step: SendAttempt, sent: float, reached: bool) -> None:
        now = self.trial.clock.now
        chooser, name = self.entry.chooser, step.upstream.name
        answered = self.answered == step.attempt.number
        chooser.record_link_lost(name, now)
        if reached:
            if not answered:
                chooser.record_outcome(name, None, False, now, **self.kind)
            chooser.record_end(name, now, **self.kind)
            self._take(self.attempts.on_link_lost(step.attempt, now))
        else:
            chooser.record_refused(name, now, **self.kind)
            self._take(self.attempts.on_not_sent(step.attempt, now))
