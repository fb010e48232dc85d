"""Cost of late requests in seconds: of the request itself, and of streams that it makes late.

Engines are partitioned between latency-tolerant and latency-sensitive streams (`EnginePartition`).
The boundary is a cost and not a barrier: a request crosses it where that makes fewer requests late.
A request that is likely to be late counts as so many seconds of waiting; so does one that it makes
late.

Motivating load: a burst that fills the engines of one partition while the other has room.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bilberryplank_core.engines._engine_performance import EnginePerformance, LatencyObjective

LATE_REQUEST_COST_SECONDS = 1.0
"""Cost of one late request: the same as of a failed one."""

IN_TIME_OBJECTIVE_SHARE, LATE_OBJECTIVE_SHARE = 0.6, 1.2
"""Shares of the objective between which the probability of a late first token rises from 0 to 1:
expected waits are off by a third."""

ARRIVAL_HALF_LIFE_SECONDS = 2.0
"""Half-life of a request in the arrival rate: bursts begin within a second."""


def late_probability(wait: float, objective_seconds: float) -> float:
    """Returns the probability that a first token expected after `wait` seconds is late.

    Args:
        wait: Expected seconds to the first token.
        objective_seconds: Objective of the time to the first token; 0 for none.
    """
    if objective_seconds <= 0:
        return 0.0
    probability = (wait / objective_seconds - IN_TIME_OBJECTIVE_SHARE) / (
        LATE_OBJECTIVE_SHARE - IN_TIME_OBJECTIVE_SHARE
    )
    return min(1.0, max(0.0, probability))


@dataclass(slots=True)
class _DecayingCount:
    count: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.count = self.value(now) + 1.0
        self.updated_at = now

    def value(self, now: float) -> float:
        return self.count * 0.5 ** (max(0.0, now - self.updated_at) / ARRIVAL_HALF_LIFE_SECONDS)

    def per_second(self, now: float) -> float:
        return self.value(now) * 0.693 / ARRIVAL_HALF_LIFE_SECONDS


class ArrivalRates:
    """Rates at which one entry sends requests, by latency objective."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[LatencyObjective, _DecayingCount] = {}

    def record_sent(self, objective: LatencyObjective, now: float) -> None:
        """Records that a request was sent."""
        self._counts.setdefault(objective, _DecayingCount(updated_at=now)).add(now)

    def objectives(self) -> Iterable[LatencyObjective]:
        """Returns the objectives of all requests sent."""
        return self._counts

    def per_second(self, objective: LatencyObjective, now: float) -> float:
        """Returns the requests per second with an objective."""
        count = self._counts.get(objective)
        return count.per_second(now) if count else 0.0


def expected_late_arrivals(
    prefill_seconds: float,
    idle_first_token_seconds: float,
    rates: Iterable[tuple[LatencyObjective, float]],
) -> float:
    """Returns how many arriving requests are expected to be late because of one prefill.

    A request that arrives during the prefill waits for the rest of it.

    Args:
        prefill_seconds: Duration of the prefill.
        idle_first_token_seconds: Time to the first token of a short prompt at an idle engine.
        rates: Latency objectives, and arrivals per second at the engine.
    """
    late_arrivals = 0.0
    for objective, rate in rates:
        if objective.first_event > 0:
            tolerated_seconds = max(
                0.0, IN_TIME_OBJECTIVE_SHARE * objective.first_event - idle_first_token_seconds
            )
            late_arrivals += rate * max(0.0, prefill_seconds - tolerated_seconds)
    return late_arrivals


def expected_late_requests(
    performance: EnginePerformance,
    objective: LatencyObjective,
    prefill_seconds: float,
    rates: Sequence[tuple[LatencyObjective, float]],
    service_seconds: float,
) -> float:
    """Returns the expected number of late requests if this one goes to the other partition.

    Args:
        performance: Performance estimates of the engines.
        objective: Latency objective of its stream.
        prefill_seconds: Duration of its prefill.
        rates: Objectives of latency-sensitive streams, and their arrivals per second at one
            engine.
        service_seconds: Mean time that a request spends in an engine's batch.
    """
    if not performance.tolerates_prefill(objective):
        return performance.late_share_during_prefill(objective)
    late_streams = sum(
        rate * service_seconds * performance.late_gap_share(stream_objective)
        for stream_objective, rate in rates
        if prefill_seconds > stream_objective.event_gap > 0
    )
    return late_streams + expected_late_arrivals(
        prefill_seconds, performance.idle_first_token_seconds, rates
    )
