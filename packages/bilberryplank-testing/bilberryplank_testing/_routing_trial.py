"""One trial of routing in virtual time: entries, upstreams, arrivals and a fault."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from bilberryplank_core.errors import RefusalReason
from bilberryplank_core.routing import (
    Deliver,
    GiveUp,
    InformedChooser,
    RequestAttempts,
    RequestTraits,
    RetryBudget,
    RoundRobinChooser,
    SendTo,
    SettleWith,
    Step,
    UpstreamChooser,
    affinity_key,
)
from bilberryplank_core.settings import RoutingSettings
from bilberryplank_core.world import Upstream, UpstreamKind
from bilberryplank_testing._routing_clock import VirtualClock
from bilberryplank_testing._routing_engine import VirtualUpstream, Work

ZONES = ("a", "b", "c")
ENTRIES = 3
UPSTREAMS = 6
CAPACITY_PER_UPSTREAM = 3.0
ORGANISATIONS = 10
PREFIXES_PER_ORGANISATION = 3
FAULT_AT = 40.0
DURATION = 120.0
WARM_UP = 10.0
DEADLINE = 30.0
HEARTBEAT_SECONDS = 5.0
HOP_SECONDS = 0.001
WATCH_SECONDS = 0.25
TARGET_SECONDS = 0.38
TOP_TIER_SHARE = 0.3


class FaultKind(Enum):
    """What happens to one upstream during a trial."""

    NONE = "none"
    STRAGGLER = "straggler"
    DEAD = "dead"


@dataclass(slots=True, frozen=True)
class TrialOptions:
    """Options of a trial.

    Attributes:
        policy: `informed` or `round_robin`.
        lag: Seconds by which load hints lag.
        fault: What happens to one upstream.
        affinity: True where requests carry the key of their prefix.
        load: Offered load as a share of capacity.
    """

    policy: str
    lag: float = 0.0
    fault: FaultKind = FaultKind.NONE
    affinity: bool = False
    load: float = 0.7


@dataclass(slots=True)
class TrialResult:
    """Figures of a trial; seconds where not said otherwise.

    Attributes:
        waits: First-token waits of requests that arrived after the warm-up.
        top_waits: Those of them of the top tier.
        offered: Requests that arrived after the warm-up.
        top_offered: Those of them of the top tier.
        refused: Those of them that were given up.
        attempts: Attempts for them.
        cancelled: Attempts that were cancelled to be made elsewhere.
        shares: Requests begun by each healthy upstream after the warm-up.
        cache_hits: Share of requests begun whose prefix was cached.
    """

    waits: list[float] = field(default_factory=list)
    top_waits: list[float] = field(default_factory=list)
    offered: int = 0
    top_offered: int = 0
    refused: int = 0
    attempts: int = 0
    cancelled: int = 0
    shares: list[int] = field(default_factory=list)
    cache_hits: float = 0.0

    def quantile(self, share: float) -> float:
        """Returns a quantile of the waits; a request without a first token counts as `DEADLINE`."""
        return _quantile(self.waits, self.offered, share)

    def top_quantile(self, share: float) -> float:
        """Returns a quantile of the top tier's waits."""
        return _quantile(self.top_waits, self.top_offered, share)

    @property
    def attained(self) -> float:
        """Share of requests whose first token came within its target."""
        return sum(wait <= TARGET_SECONDS for wait in self.waits) / max(self.offered, 1)

    @property
    def spread(self) -> float:
        """The busiest healthy upstream's requests over the mean."""
        return max(self.shares) * len(self.shares) / max(sum(self.shares), 1)


class Trial:
    """Runs one trial with a seed."""

    def __init__(self, opts: TrialOptions, seed: int) -> None:
        self.opts = opts
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.result = TrialResult()
        self.upstreams = [
            Upstream(f"up-{index}", ZONES[index % 3], UpstreamKind.ENGINE, f"127.0.0.1:{index + 1}")
            for index in range(UPSTREAMS)
        ]
        self.engines = {item.name: VirtualUpstream(self.clock) for item in self.upstreams}
        self.entries = [_Entry(self, ZONES[index % 3], seed + index) for index in range(ENTRIES)]

    def run(self) -> TrialResult:
        """Returns the figures of the trial."""
        rate = self.opts.load * UPSTREAMS * CAPACITY_PER_UPSTREAM
        self._arrive(rate)
        self.clock.at(FAULT_AT, self._inject)
        self.clock.at(WARM_UP, self._reset_counts)
        self.clock.run(DURATION + DEADLINE)
        healthy = [item for item in self.engines.values() if item.alive and item.speed == 1.0]
        self.result.shares = [item.started for item in healthy]
        started = sum(item.started for item in self.engines.values())
        hits = sum(item.cache_hits for item in self.engines.values())
        self.result.cache_hits = hits / max(started, 1)
        return self.result

    def _arrive(self, rate: float) -> None:
        when = self.clock.now + self.rng.expovariate(rate)
        if when < DURATION:
            self.clock.at(
                when, lambda: (self.rng.choice(self.entries).receive(), self._arrive(rate))
            )

    def _inject(self) -> None:
        engine = self.engines["up-0"]
        match self.opts.fault:
            case FaultKind.STRAGGLER:
                engine.speed = 0.1
            case FaultKind.DEAD:
                engine.die()

    def _reset_counts(self) -> None:
        for engine in self.engines.values():
            engine.started = engine.cache_hits = 0


class _Entry:
    """An entry with its chooser."""

    def __init__(self, trial: Trial, zone: str, seed: int) -> None:
        self.trial = trial
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
        _Request(self, f"r{self.count}").start()

    def hear(self, name: str) -> None:
        """Takes in a load hint that comes with an answer."""
        engine = self.trial.engines[name]
        if engine.alive:
            load = engine.load(self.trial.opts.lag)
            self.chooser.record_load(name, load, self.trial.clock.now)

    def probe(self) -> None:
        """Sends the probe that the chooser wants, if any."""
        name = self.chooser.wants_probe(self.trial.clock.now)
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

    def __init__(self, entry: _Entry, request_id: str) -> None:
        self.entry = entry
        self.trial = entry.trial
        rng = self.trial.rng
        self.counted = self.trial.clock.now >= WARM_UP
        self.arrived = self.trial.clock.now
        organisation = min(int(rng.paretovariate(1.0)) - 1, ORGANISATIONS - 1)
        prefix = f"prefix {rng.randrange(PREFIXES_PER_ORGANISATION)}".encode()
        self.top = rng.random() < TOP_TIER_SHARE
        self.prefix = affinity_key(f"org-{organisation}", prefix)
        self.prompt_tokens = rng.randrange(1000, 6000)
        self.output_tokens = min(int(rng.lognormvariate(4.3, 0.6)) + 1, 600)
        traits = RequestTraits(
            request_id,
            "epoch",
            True,
            self.arrived + DEADLINE,
            affinity=self.prefix if self.trial.opts.affinity else None,
            tries_ejected=not self.top,
        )
        self.attempts = RequestAttempts(
            traits, self.trial.upstreams, entry.chooser, entry.budget, entry.max_attempts
        )
        self.waited = False
        self.answered = 0

    def start(self) -> None:
        """Makes the first attempt."""
        self.trial.result.offered += self.counted
        self.trial.result.top_offered += self.counted and self.top
        self._take(self.attempts.start(self.trial.clock.now))

    def _take(self, step: Step) -> None:
        match step:
            case SendTo():
                self._send(step)
            case GiveUp():
                self.trial.result.refused += self.counted and not self.waited
            case SettleWith():
                self._take(self.attempts.expired(self.trial.clock.now))
            case Deliver():
                pass

    def _send(self, step: SendTo) -> None:
        clock = self.trial.clock
        name = step.upstream.name
        self.trial.result.attempts += self.counted
        self.entry.chooser.record_sent(name, self.prompt_tokens + self.output_tokens, clock.now)
        self.entry.probe()
        clock.at(clock.now + HOP_SECONDS, lambda: self._arrive(step, clock.now))

    def _arrive(self, step: SendTo, sent: float) -> None:
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
            lambda: self._first_token(step, sent),
            lambda: self._end(step),
            lambda: self._lose(step, sent, reached=True),
        )
        if not engine.submit(work):
            self._refuse(step, RefusalReason.QUEUE_FULL)
            return
        self._watch(step, work)

    def _watch(self, step: SendTo, work: Work) -> None:
        clock = self.trial.clock
        clock.at(clock.now + WATCH_SECONDS, lambda: self._check(step, work))

    def _check(self, step: SendTo, work: Work) -> None:
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
        self.entry.chooser.record_answer(name, None, False, now)
        self.entry.chooser.record_end(name, now)
        self._take(self.attempts.failed(step.attempt, RefusalReason.CANCELLED, now))

    def _first_token(self, step: SendTo, sent: float) -> None:
        now = self.trial.clock.now
        if self.counted and not self.waited:
            self.trial.result.waits.append(now - self.arrived)
            if self.top:
                self.trial.result.top_waits.append(now - self.arrived)
        self.waited = True
        self.answered = step.attempt.number
        self.entry.chooser.record_answer(step.upstream.name, now - sent, True, now)
        self.entry.hear(step.upstream.name)

    def _end(self, step: SendTo) -> None:
        self.entry.chooser.record_end(step.upstream.name, self.trial.clock.now)
        self.entry.hear(step.upstream.name)
        self._take(self.attempts.finished(step.attempt))

    def _refuse(self, step: SendTo, reason: RefusalReason) -> None:
        now = self.trial.clock.now
        self.entry.chooser.record_refused(step.upstream.name, now)
        self.entry.hear(step.upstream.name)
        self._take(self.attempts.not_run(step.attempt, reason, 1.0, now))

    def _lose(self, step: SendTo, sent: float, reached: bool) -> None:
        now = self.trial.clock.now
        chooser, name = self.entry.chooser, step.upstream.name
        answered = self.answered == step.attempt.number
        chooser.record_lost(name, now)
        if reached:
            if not answered:
                chooser.record_answer(name, None, False, now)
            chooser.record_end(name, now)
            self._take(self.attempts.link_lost(step.attempt, now))
        else:
            chooser.record_refused(name, now)
            self._take(self.attempts.not_sent(step.attempt, now))


def _quantile(waits: list[float], offered: int, share: float) -> float:
    ordered = sorted(waits) + [DEADLINE] * (offered - len(waits))
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else DEADLINE
