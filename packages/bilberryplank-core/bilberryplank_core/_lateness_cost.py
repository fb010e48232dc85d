"""What a request costs at an engine, in seconds: for itself, and for the streams that run there.

Engines are divided between streams that bear the reading of long prompts and streams that do not
(`EnginePartition`). The border is a price and no wall: a request crosses it where that makes fewer
requests late than staying. A request that is likely to be late counts as so many seconds of
waiting; so does one that it makes late.

Load pattern: a burst of one kind that fills its engines while those of the other kind have room.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bilberryplank_core._engine_performance import LatencyObjective

LATE_SECONDS = 1.0
"""Cost of one late request: as much as the failure of one."""

SURELY_IN_TIME, SURELY_LATE = 0.6, 1.2
"""Shares of the objective between which the chance of a late first token rises from 0 to 1:
expected waits are off by a third."""

FLOW_SECONDS = 2.0
"""A request counts half in the flow of its kind after this long: bursts begin within a second."""


def late_chance(wait: float, objective: float) -> float:
    """Returns the chance that a first token expected after `wait` seconds is late.

    Args:
        wait: Expected seconds to the first token.
        objective: Seconds that earn the full benefit; 0 for any.
    """
    if objective <= 0:
        return 0.0
    rise = (wait / objective - SURELY_IN_TIME) / (SURELY_LATE - SURELY_IN_TIME)
    return min(1.0, max(0.0, rise))


@dataclass(slots=True)
class _Flow:
    count: float = 0.0
    at: float = 0.0

    def add(self, now: float) -> None:
        self.count = self.left(now) + 1.0
        self.at = now

    def left(self, now: float) -> float:
        return self.count * 0.5 ** (max(0.0, now - self.at) / FLOW_SECONDS)

    def per_second(self, now: float) -> float:
        return self.left(now) * 0.693 / FLOW_SECONDS


class ArrivalRates:
    """How many requests of each objective one entry sent lately."""

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        self._flows: dict[LatencyObjective, _Flow] = {}

    def sent(self, objective: LatencyObjective, now: float) -> None:
        """Takes in that a request was sent."""
        self._flows.setdefault(objective, _Flow(at=now)).add(now)

    def known(self) -> Iterable[LatencyObjective]:
        """Returns what streams bear, as far as met."""
        return self._flows

    def per_second(self, objective: LatencyObjective, now: float) -> float:
        """Returns the requests a second whose streams bear so much."""
        flow = self._flows.get(objective)
        return flow.per_second(now) if flow else 0.0


def made_late(
    reading: float, start: float, flows: Iterable[tuple[LatencyObjective, float]]
) -> float:
    """Returns how many requests find too much left of a prompt that an engine reads.

    A request that comes while the prompt is read waits for the rest of it.

    Args:
        reading: Seconds for which the engine reads the prompt.
        start: Seconds to the first token of a short prompt at an idle engine.
        flows: What streams bear, and how many a second come to the engine.
    """
    found = 0.0
    for objective, rate in flows:
        if objective.first_event > 0:
            bearable = max(0.0, SURELY_IN_TIME * objective.first_event - start)
            found += rate * max(0.0, reading - bearable)
    return found
