"""Arrivals of a load run: open loop, with bursts, the same for every policy."""

from __future__ import annotations

import copy
import random
from dataclasses import dataclass
from typing import Any

from bilberryplank_testing._caller import PlannedRequest
from bilberryplank_testing._workloads import RequestKind, Workload
from bilberryplank_testing.engine import EngineOptions

BURST_PERIOD_SECONDS = 5.0
BURST_SECONDS = 1.0
BURST_FACTOR = 2.0
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


def plan_arrivals(workload: Workload, rate: float, seconds: float, seed: int) -> list[Any]:
    """Returns the requests of a run by their times; `rate` is the mean a second.

    Every `BURST_PERIOD_SECONDS` there is a burst at `BURST_FACTOR` times the quiet rate.
    """
    rng = random.Random(f"{seed}/{workload.name}")
    peak = rate * BURST_FACTOR / _mean_factor()
    planned: list[PlannedRequest] = []
    at = rng.expovariate(peak)
    while at < seconds and len(planned) < MAX_ARRIVALS:
        if rng.random() < _factor(at) / BURST_FACTOR:
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


def _mean_factor() -> float:
    return 1 + (BURST_FACTOR - 1) * BURST_SECONDS / BURST_PERIOD_SECONDS


def _factor(at: float) -> float:
    quiet = BURST_PERIOD_SECONDS - BURST_SECONDS
    return BURST_FACTOR if at % BURST_PERIOD_SECONDS >= quiet else 1.0
