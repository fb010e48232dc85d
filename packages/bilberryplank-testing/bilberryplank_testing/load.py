"""Measures the whole system under load: `python -m bilberryplank_testing.load`."""

from __future__ import annotations

import asyncio
import os
import sys
from json import dumps
from pathlib import Path

import defopt

from bilberryplank_testing._load_figures import Targets, figures_of
from bilberryplank_testing._load_plan import EngineFleet, bounded_document
from bilberryplank_testing._load_spread import Cell
from bilberryplank_testing._load_trial import LoadFault, Policy, TrialPlan, TrialRecord, run_trial
from bilberryplank_testing._workloads import Workload, maclarty, rarangi
from bilberryplank_testing.engine import EngineOptions

WORKLOADS = {"rarangi": rarangi, "maclarty": maclarty}
POLICIES = {
    "tiered": [Policy.TIERED],
    "baseline": [Policy.BASELINE],
    "both": [Policy.TIERED, Policy.BASELINE],
}
MAX_SECONDS = 60.0


async def measure(
    workload: Workload,
    policies: list[Policy],
    fleet: EngineFleet,
    factors: list[float],
    faults: list[LoadFault],
    seeds: range,
    seconds: float,
) -> list[Cell]:
    """Runs every rate, fault and seed, one after another, and returns the spreads."""
    targets = Targets.from_document(bounded_document(workload))
    cells = []
    for fault in faults:
        for factor in factors:
            records: list[TrialRecord] = []
            for seed in seeds:
                plan = TrialPlan(workload, fleet, factor, seed, seconds, fault)
                records += await run_trial(plan, policies)
            for policy in policies:
                own = [record for record in records if record.policy is policy]
                cell = Cell.of(own, [figures_of(record, targets) for record in own], targets)
                print(cell.format(), flush=True)
                cells.append(cell)
    return cells


def main(
    *,
    workload: str = "rarangi",
    policy: str = "both",
    rate_factor: str = "0.7,1,2",
    seeds: int = 5,
    first_seed: int = 1,
    seconds: float = 20.0,
    fault: str = "none",
    engines: int = 6,
    slots: int = 8,
    step_seconds: float = 0.02,
    json: Path | None = None,
    plot: Path | None = None,
) -> None:
    """Runs the arrivals of a workload against real processes and fakes.

    Args:
        workload: `rarangi` or `maclarty`.
        policy: `tiered`, `baseline` or `both` side by side.
        rate_factor: Arrivals within the burst as shares of the engines' capacity, with commas.
        seeds: Number of seeds.
        first_seed: First seed.
        seconds: Length of the arrivals of one run.
        fault: `none`, `straggler` or `kill`, with commas.
        engines: Number of engines.
        slots: Requests that an engine runs at once.
        step_seconds: Duration of an engine's step with an empty batch.
        json: Where the figures go as JSON.
        plot: Where the plot goes.
    """
    if not 0 < seconds <= MAX_SECONDS:
        sys.exit(f"--seconds must be above 0 and at most {MAX_SECONDS:g}")
    fleet = EngineFleet(engines, EngineOptions(slots=slots, step_seconds=step_seconds))
    chosen = WORKLOADS[workload]()
    print(f"capacity {fleet.capacity(chosen.kinds):.1f} requests/s, {os.cpu_count()} processors")
    cells = asyncio.run(
        measure(
            chosen,
            POLICIES[policy],
            fleet,
            [float(item) for item in rate_factor.split(",")],
            [LoadFault(item) for item in fault.split(",")],
            range(first_seed, first_seed + seeds),
            seconds,
        )
    )
    if json is not None:
        json.write_text(dumps([cell.to_document() for cell in cells], indent=1) + "\n")
    if plot is not None:
        _plot(cells, plot)


def _plot(cells: list[Cell], path: Path) -> None:
    from bilberryplank_testing._plots import plot_cells  # slow to import

    plot_cells(cells, path)


if __name__ == "__main__":
    defopt.run(main)
