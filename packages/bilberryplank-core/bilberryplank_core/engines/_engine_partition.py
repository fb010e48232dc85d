"""Partitions the engines of a service between latency-tolerant and latency-sensitive streams.

While an engine prefills long prompts, each step of all its streams carries a chunk of prompt and
takes several times as long, and a request that arrives waits for the end of the prefill in
progress. Latency-tolerant streams stay within their objectives; latency-sensitive ones are late
after a single such gap or wait. So the engines of a service are partitioned between the two kinds
in proportion to the engines that each needs, for its prefill or for its running streams.

Only requests that were sent count. Otherwise a backlog of long prompts that is refused would take
engines from streams that are served in full.

The order of engines is the same at every entry, so entries with similar demand shares agree.

Motivating load: bursts of long prompts next to steady streams with short gaps or early first
tokens.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

from bilberryplank_core._direct_types import DirectUpstream
from bilberryplank_core._rendezvous import rendezvous_weight
from bilberryplank_core.engines._engine_performance import EnginePerformance, LatencyObjective

DEMAND_HALF_LIFE_SECONDS = 12.0
"""Half-life of a request in the demand: longer than a burst, so that the engines with cached shared
segments seldom change."""

TOLERANT_PREFILL_SHARE = 0.75
"""Share of its time that an engine of latency-tolerant streams may spend on prefill."""

GAP_SENSITIVE_PREFILL_SHARE = 0.32
"""The same share for streams whose gap objective equals the prefill gap; proportionally less for a
shorter one."""

FIRST_EVENT_SENSITIVE_PREFILL_SHARE = 0.6
"""The same share for streams that tolerate the prefill gap but not the wait for the prefill of a
long prompt: the prompts at their own engines are short."""

PLANNED_SLOT_SHARE = 0.5
"""Share of an engine's batch slots in the plan; the rest is headroom for bursts."""

MIN_DEMAND_ENGINE_SECONDS = 1.0
"""Demand that an entry must have sent before it partitions engines; less is no basis for shares."""

PRIOR_DEMAND_ENGINE_SECONDS = 0.1
"""Prior demand of each kind, so that the first requests of a kind do not all get one engine."""

MAX_CACHED_POSITIONS = 4096
"""Engines whose positions are cached between requests: all of several large services."""

HYSTERESIS_ENGINES = 0.7
"""A boundary moves once its target is further away than this."""


def max_prefill_share(objective: LatencyObjective, performance: EnginePerformance) -> float:
    """Returns the share of its time that an engine of such streams may spend on prefill."""
    if performance.tolerates_prefill(objective):
        return TOLERANT_PREFILL_SHARE
    if objective.event_gap <= 0 or objective.event_gap > performance.prefill_gap_seconds:
        return FIRST_EVENT_SENSITIVE_PREFILL_SHARE
    return GAP_SENSITIVE_PREFILL_SHARE * objective.event_gap / performance.prefill_gap_seconds


@dataclass(slots=True)
class _Demand:
    """Decaying sums of the engine time that streams of one objective need, in seconds."""

    prefill_seconds: float = 0.0
    decode_seconds: float = 0.0
    updated_at: float = 0.0

    def add(self, prefill_seconds: float, decode_seconds: float, now: float) -> None:
        decay = self._decay(now)
        self.prefill_seconds = self.prefill_seconds * decay + prefill_seconds
        self.decode_seconds = self.decode_seconds * decay + decode_seconds
        self.updated_at = now

    def engines(self, now: float) -> float:
        return max(self.prefill_seconds, self.decode_seconds) * self._decay(now)

    def _decay(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self.updated_at) / DEMAND_HALF_LIFE_SECONDS)


class EnginePartition:
    """Partitions the engines of a service by the demand that one entry sent.

    Demand is kept by latency objective; which objectives are latency-sensitive follows from the
    performance estimates of the engines, which change meanwhile.

    Args:
        slots: Requests in one batch of an engine.
        performance: Performance estimates of the engines.
    """

    __slots__ = ("_boundaries", "_performance", "_slots", "_demand")

    def __init__(self, slots: int, performance: EnginePerformance) -> None:
        self._slots = slots
        self._performance = performance
        self._demand: dict[LatencyObjective, _Demand] = {}
        self._boundaries: list[int] = []

    def record_request(
        self, objective: LatencyObjective, prefill_seconds: float, answer_tokens: int, now: float
    ) -> None:
        """Records a request that was sent.

        Args:
            objective: Latency objective of its stream.
            prefill_seconds: Duration of its prefill.
            answer_tokens: Expected output tokens.
            now: Seconds on the boot clock.
        """
        if objective not in self._demand:
            self._demand[objective] = _Demand(updated_at=now)
        decode_seconds = (
            answer_tokens
            * self._performance.output_token_seconds
            / (self._slots * PLANNED_SLOT_SHARE)
        )
        self._demand[objective].add(
            prefill_seconds / max_prefill_share(objective, self._performance), decode_seconds, now
        )

    def engines_for(
        self, objective: LatencyObjective, engines: Sequence[DirectUpstream], now: float
    ) -> list[DirectUpstream]:
        """Returns the engines for requests with a latency objective."""
        ordered = sorted(engines, key=lambda engine: _position(engine.name))
        tolerant = self._performance.tolerates_prefill(objective)
        demand = self._demand_of_kinds(now)
        kinds = sorted({*demand, tolerant}, reverse=True)
        if len(kinds) > len(ordered) or sum(demand.values()) < MIN_DEMAND_ENGINE_SECONDS:
            return ordered
        boundaries = self._update_boundaries(
            [demand.get(kind, 0.0) for kind in kinds], len(ordered)
        )
        index = kinds.index(tolerant)
        return ordered[boundaries[index] : boundaries[index + 1]]

    def _demand_of_kinds(self, now: float) -> dict[bool, float]:
        """Returns the demand of latency-tolerant (True) and of latency-sensitive streams."""
        demand: dict[bool, float] = {}
        for objective, objective_demand in self._demand.items():
            tolerant = self._performance.tolerates_prefill(objective)
            demand[tolerant] = demand.get(tolerant, 0.0) + objective_demand.engines(now)
        return demand

    def _update_boundaries(self, demand: list[float], count: int) -> list[int]:
        """Returns the index of each kind's first engine, latency-tolerant streams first."""
        targets = _target_boundaries(demand, count)
        if len(self._boundaries) != len(targets) or self._boundaries[-1] != count:
            self._boundaries = [round(target) for target in targets]
        for index in range(1, len(targets) - 1):
            if abs(targets[index] - self._boundaries[index]) > HYSTERESIS_ENGINES:
                self._boundaries[index] = round(targets[index])
        for index in range(1, len(targets) - 1):
            lowest, highest = self._boundaries[index - 1] + 1, count - (len(demand) - index)
            self._boundaries[index] = min(max(self._boundaries[index], lowest), highest)
        return self._boundaries


def _target_boundaries(demand: list[float], count: int) -> list[float]:
    """Returns the boundaries between kinds in proportion to their demand."""
    shares = [PRIOR_DEMAND_ENGINE_SECONDS + kind_demand for kind_demand in demand]
    total = sum(shares)
    boundaries = [0.0]
    for share in shares:
        boundaries.append(boundaries[-1] + count * share / total)
    boundaries[-1] = float(count)
    return boundaries


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def _position(name: str) -> int:
    """Returns the position of an engine in the order that is partitioned."""
    return rendezvous_weight("split", name)
