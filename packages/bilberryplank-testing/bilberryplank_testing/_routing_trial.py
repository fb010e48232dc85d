"""One trial of routing in virtual time: entries, upstreams, arrivals and a fault."""

from __future__ import annotations

import random

from bilberryplank_core.world import Upstream, UpstreamKind
from bilberryplank_testing._routing_clock import VirtualClock
from bilberryplank_testing._routing_engine import VirtualUpstream
from bilberryplank_testing._routing_entry import BURST, DURATION, WARM_UP, TrialWorld, VirtualEntry
from bilberryplank_testing._routing_figures import DEADLINE, FaultKind, TrialOptions, TrialResult
from bilberryplank_testing._routing_tiers import CAPACITY, TieredUpstream

ZONES = ("a", "b", "c")
UPSTREAMS = 6
CAPACITY_PER_UPSTREAM = 3.0
FAULT_AT = 40.0


class Trial:
    """Runs one trial with a seed."""

    def __init__(self, opts: TrialOptions, seed: int) -> None:
        self._opts = opts
        self._clock = clock = VirtualClock()
        self._rng = rng = random.Random(seed)
        self._result = TrialResult()
        upstreams = [
            Upstream(f"up-{index}", ZONES[index % 3], UpstreamKind.ENGINE, f"127.0.0.1:{index + 1}")
            for index in range(UPSTREAMS)
        ]
        kind = TieredUpstream if opts.tiers else VirtualUpstream
        self._engines = {item.name: kind(clock) for item in upstreams}
        world = TrialWorld(opts, clock, rng, self._result, upstreams, self._engines)
        self._entries = [
            VirtualEntry(world, ZONES[index % 3], seed + index) for index in range(opts.entries)
        ]

    def run(self) -> TrialResult:
        """Returns the figures of the trial."""
        self._arrive()
        self._clock.at(FAULT_AT, self._inject)
        self._clock.at(WARM_UP, self._reset_counts)
        self._clock.run(DURATION + DEADLINE)
        healthy = [item for item in self._engines.values() if item.alive and item.speed == 1.0]
        self._result.shares = [item.started for item in healthy]
        started = sum(item.started for item in self._engines.values())
        hits = sum(item.cache_hits for item in self._engines.values())
        self._result.cache_hits = hits / max(started, 1)
        return self._result

    def _arrive(self) -> None:
        when = self._clock.now + self._rng.expovariate(self._rate())
        if when < DURATION:
            self._clock.at(
                when, lambda: (self._rng.choice(self._entries).receive(), self._arrive())
            )

    def _rate(self) -> float:
        opts = self._opts
        if not opts.tiers:
            return opts.load * UPSTREAMS * CAPACITY_PER_UPSTREAM
        load = opts.burst if BURST[0] <= self._clock.now < BURST[1] else opts.load
        return load * UPSTREAMS * CAPACITY

    def _inject(self) -> None:
        engine = self._engines["up-0"]
        match self._opts.fault:
            case FaultKind.STRAGGLER:
                engine.speed = 0.1
            case FaultKind.DEAD:
                engine.die()

    def _reset_counts(self) -> None:
        for engine in self._engines.values():
            engine.started = engine.cache_hits = 0
