"""Measures the tiered queue against the baseline in virtual time.

Run as `python -m bilberryplank_testing.queue_bench --seeds 5 [--mix NAME] [--json FILE]`. All
queues of a run get the same arrivals. `--ablate` turns each mechanism off in turn; `--cost` times
the processor per request instead. `--serial-prefill` has the engine read one prompt at a time.
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

from bilberryplank_core.scheduling import FifoQueue, RequestQueue, TieredQueue, TieredQueuePolicy
from bilberryplank_core.settings import QueueSettings
from bilberryplank_testing._queue_measures import Spread, measure
from bilberryplank_testing._queue_simulation import Simulation
from bilberryplank_testing._queue_workloads import WORKLOADS, ClassProfile, generate

LOADS = (0.7, 1.0, 2.0, 5.0)
"""Mean arrival rates as multiples of the capacity."""

SECONDS = 3600.0
"""Virtual seconds of arrivals in a run."""

CALIBRATION_RATE = 10.0
"""Arrival rate, in requests a second, that keeps every slot busy."""

CALIBRATION_SECONDS = 3000.0

QueueFactory = Callable[[], RequestQueue]

MECHANISMS = tuple(TieredQueuePolicy.__dataclass_fields__)


def capacity(
    profiles: tuple[ClassProfile, ...], settings: QueueSettings, serial_prefill: bool = False
) -> float:
    """Returns the requests a second that the baseline finishes with every slot busy."""
    arrivals = generate(profiles, CALIBRATION_RATE, CALIBRATION_SECONDS, seed=0)
    for arrival in arrivals:
        arrival.req.deadline = float("inf")
    simulation = Simulation(FifoQueue.from_settings(settings), arrivals, serial_prefill)
    outcomes = simulation.run(CALIBRATION_SECONDS)
    ended = sum(outcome.ended is not None for outcome in outcomes)
    return ended / CALIBRATION_SECONDS


def compare(
    factories: dict[str, QueueFactory],
    profiles: tuple[ClassProfile, ...],
    rate: float,
    seeds: int,
    serial_prefill: bool = False,
) -> dict[str, dict[str, Spread]]:
    """Returns the spread of each measure for each queue, over the same arrivals."""
    figures: dict[str, list[dict[str, float]]] = {name: [] for name in factories}
    for seed in range(1, seeds + 1):
        arrivals = generate(profiles, rate, SECONDS, seed)
        for name, factory in factories.items():
            outcomes = Simulation(factory(), arrivals, serial_prefill).run()
            figures[name].append(measure(outcomes, SECONDS))
        baseline = figures["fifo"][-1]["attained goodput tokens/s"]
        for runs in figures.values():
            ratio = runs[-1]["attained goodput tokens/s"] / max(1.0, baseline)
            runs[-1]["attained goodput to fifo"] = ratio
    return {
        name: {key: Spread.of([run[key] for run in runs]) for key in runs[0]}
        for name, runs in figures.items()
    }


def _factories(settings: QueueSettings, ablate: bool) -> dict[str, QueueFactory]:
    factories: dict[str, QueueFactory] = {
        "fifo": partial(FifoQueue.from_settings, settings),
        "tiered": partial(TieredQueue.from_settings, settings),
    }
    for name in MECHANISMS if ablate else ():
        policy = replace(TieredQueuePolicy(), **{name: False})
        make = partial(TieredQueue.from_settings, settings, policy)
        factories["no " + name.replace("_", " ")] = make
    return factories


def cost_per_request(factory: QueueFactory, queued: int, requests: int) -> float:
    """Returns processor seconds per request with `queued` requests always waiting."""
    arrivals = generate(WORKLOADS["maclarty"], 1000.0, (queued + requests) / 800.0, seed=1)
    reqs = [replace(arrival.req, deadline=1e9, first_token_target=1e9) for arrival in arrivals]
    queue = factory()
    for req in reqs[:queued]:
        queue.offer(req, 0.0)
    begin = time.process_time()
    for number, req in enumerate(reqs[queued : queued + requests]):
        now = number * 0.01
        queue.offer(req, now)
        queue.expire(now)
        queue.preempt(now)
        taken = queue.dequeue(now)
        queue.record_sent(taken.attempt, now)
        queue.release(taken.attempt, now + 0.5, taken.prompt_tokens, 100)
    return (time.process_time() - begin) / min(requests, len(reqs) - queued)


def _measure_cost(repeats: int) -> dict[str, dict[str, Spread]]:
    results = {}
    for queued in (10, 100, 1000):
        settings = QueueSettings(max_queued=queued + 10)
        factories = _factories(settings, ablate=False)
        samples: dict[str, list[float]] = {"fifo us": [], "tiered us": [], "ratio": []}
        for _ in range(repeats):
            fifo, tiered = (cost_per_request(make, queued, 2000) for make in factories.values())
            samples["fifo us"].append(fifo * 1e6)
            samples["tiered us"].append(tiered * 1e6)
            samples["ratio"].append(tiered / fifo)
        results[f"{queued} queued"] = {key: Spread.of(value) for key, value in samples.items()}
    return results


def _print(title: str, results: dict[str, dict[str, Spread]]) -> None:
    print(f"\n{title}")
    for key in next(iter(results.values())):
        row = "  ".join(f"{name}: {spreads[key]}" for name, spreads in results.items())
        print(f"  {key:34} {row}")


def _as_json(results: dict[str, dict[str, Spread]]) -> dict[str, dict[str, list[float]]]:
    return {
        name: {key: [sp.mean, sp.least, sp.largest] for key, sp in spreads.items()}
        for name, spreads in results.items()
    }


def main() -> None:
    """Runs the measurement that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--mix", choices=sorted(WORKLOADS), action="append")
    parser.add_argument("--load", type=float, action="append")
    parser.add_argument("--ablate", action="store_true")
    parser.add_argument("--cost", action="store_true")
    parser.add_argument("--serial-prefill", action="store_true")
    parser.add_argument("--long-share", type=float, default=QueueSettings().long_prefill_share)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    document = {}
    if args.cost:
        results = _measure_cost(args.seeds)
        _print("processor per request", results)
        document["cost"] = _as_json(results)
    for mix in () if args.cost else args.mix or sorted(WORKLOADS):
        settings = QueueSettings(long_prefill_share=args.long_share)
        rate = capacity(WORKLOADS[mix], settings, args.serial_prefill)
        factories = _factories(settings, args.ablate)
        for load in args.load or LOADS:
            results = compare(
                factories, WORKLOADS[mix], rate * load, args.seeds, args.serial_prefill
            )
            _print(f"{mix}, {load}x of {rate:.2f} requests/s, {args.seeds} seeds", results)
            document[f"{mix} {load}"] = _as_json(results)
    if args.json:
        args.json.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
