"""Arrivals of a load run: open loop, with bursts, the same for every policy."""

from __future__ import annotations

import copy
import random
from dataclasses import dataclass
from typing import Any

from bilberryplank_testing._caller import PlannedRequest
from bilberryplank_testing._workloads import RequestKind, Workload
from bilberryplank_testing.engine import EngineOptions

QUIET_FACTOR = 0.7
BURST_BEGIN_SHARE = 0.25
BURST_END_SHARE = 0.75
MAX_ARRIVALS = 4000
LOWEST_TARGET_SECONDS = 10.0
LOWEST_DEADLINE_SECONDS = 20.0
ADMISSION_STEPS = 0.5


@dataclass(slots=True, frozen=True)
class EngineFleet:
    """Engines of a load run.

    Attributes:
        count: Number of engines.
        options: Size and speed of each.
    """

    count: int
    options: EngineOptions

    def command_line(self) -> list[str]:
        """Returns the options of the fake engine's command."""
        opts = self.options
        return [
            f"--slots={opts.slots}",
            f"--step-seconds={opts.step_seconds}",
            f"--prefill-rate={opts.prefill_rate}",
        ]

    def capacity(self, kinds: tuple[RequestKind, ...]) -> float:
        """Returns the requests of a mix a second that keep every slot busy."""
        opts = self.options
        step = opts.step_seconds * (1 + opts.batch_slowdown)
        busy = 0.0
        for kind in kinds:
            if kind.model:
                prefill = kind.prompt_tokens / (opts.prefill_rate * step)
                busy += kind.share * step * (kind.output_tokens + prefill + ADMISSION_STEPS)
        return self.count * opts.slots / busy


@dataclass(slots=True, frozen=True)
class ArrivalProfile:
    """Rates of arrival over a run: a burst in its middle half, at most `QUIET_FACTOR` around it.

    Attributes:
        capacity: Requests a second that keep every slot busy.
        burst_factor: Rate within the burst as a share of the capacity.
        seconds: Length of the run.
    """

    capacity: float
    burst_factor: float
    seconds: float

    def in_burst(self, at: float) -> bool:
        """Returns whether a time of the run lies in the burst."""
        return BURST_BEGIN_SHARE <= at / self.seconds < BURST_END_SHARE

    def rate(self, at: float) -> float:
        """Returns the arrivals a second at a time of the run."""
        quiet = min(QUIET_FACTOR, self.burst_factor)
        return self.capacity * (self.burst_factor if self.in_burst(at) else quiet)


def plan_arrivals(workload: Workload, profile: ArrivalProfile, seed: int) -> list[PlannedRequest]:
    """Returns the requests of a run by their times, as a Poisson process of the profile's rate."""
    rng = random.Random(f"{seed}/{workload.name}")
    peak = profile.capacity * profile.burst_factor
    planned: list[PlannedRequest] = []
    at = rng.expovariate(peak)
    while at < profile.seconds and len(planned) < MAX_ARRIVALS:
        if rng.random() < profile.rate(at) / peak:
            planned.append(PlannedRequest.draw(len(planned), at, workload.kinds, rng))
        at += rng.expovariate(peak)
    return planned


def bounded_document(workload: Workload) -> dict[str, Any]:
    """Returns the configuration with the lowest tier's times cut to the length of a run."""
    document = copy.deepcopy(workload.document)
    for item in document["classes"]:
        item["first_token_target"] = min(item["first_token_target"], LOWEST_TARGET_SECONDS)
        item["deadline"] = min(item["deadline"], LOWEST_DEADLINE_SECONDS)
    return document
