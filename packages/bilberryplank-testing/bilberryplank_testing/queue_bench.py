"""Measures the tiered queue against the baseline in virtual time.

Run as `python -m bilberryplank_testing.queue_bench --seeds 5 [--mix NAME] [--json FILE]`. All
queues of a run get the same arrivals. `--ablate` turns each mechanism off in turn; `--cost` times
the processor per request instead.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path

from bilberryplank_core.scheduling import FifoQueue, RequestQueue, TieredPolicy, TieredQueue
from bilberryplank_core.settings import QueueSettings
from bilberryplank_testing._queue_simulation import Outcome, Simulation
from bilberryplank_testing._queue_workloads import WORKLOADS, ClassProfile, generate

LOADS = (0.7, 1.0, 2.0, 5.0)
"""Mean arrival rates as multiples of the capacity."""

SECONDS = 1800.0
"""Virtual seconds of arrivals in a run."""

CALIBRATION_RATE = 10.0
"""Arrival rate, in requests a second, that keeps every slot busy."""

CALIBRATION_SECONDS = 3000.0

QueueFactory = Callable[[], RequestQueue]

MECHANISMS = tuple(TieredPolicy.__dataclass_fields__)


@dataclass(slots=True)
class Spread:
    """Mean, least and largest value over seeds."""

    mean: float
    least: float
    largest: float

    @classmethod
    def of(cls, values: list[float]) -> Spread:
        """Returns the spread of at least one value."""
        return cls(statistics.fmean(values), min(values), max(values))

    def __str__(self) -> str:
        return f"{self.mean:.3f} [{self.least:.3f}..{self.largest:.3f}]"


def capacity(profiles: tuple[ClassProfile, ...], settings: QueueSettings) -> float:
    """Returns the requests a second that the baseline finishes with every slot busy."""
    arrivals = generate(profiles, CALIBRATION_RATE, CALIBRATION_SECONDS, seed=0)
    for arrival in arrivals:
        arrival.req.deadline = float("inf")
    outcomes = Simulation(FifoQueue.from_settings(settings), arrivals).run(CALIBRATION_SECONDS)
    ended = sum(outcome.ended is not None for outcome in outcomes)
    return ended / CALIBRATION_SECONDS


def measure(outcomes: list[Outcome]) -> dict[str, float]:
    """Returns every measure of one run, by name."""
    figures: dict[str, float] = {}
    dispatched = sum(outcome.dispatched is not None for outcome in outcomes)
    names = sorted({outcome.arrival.req.class_name for outcome in outcomes})
    for name in names:
        own = [outcome for outcome in outcomes if outcome.arrival.req.class_name == name]
        attained = sum(outcome.attained for outcome in own)
        taken = sum(outcome.dispatched is not None for outcome in own)
        figures[f"attainment {name}"] = attained / len(own)
        figures[f"whole {name}"] = sum(_in_time(outcome) for outcome in own) / len(own)
        figures[f"dispatches {name}"] = taken / max(1, dispatched)
    figures["goodput tokens/s"] = _delivered(outcomes) / SECONDS
    figures["attained goodput tokens/s"] = (
        sum(outcome.tokens for outcome in outcomes if outcome.attained) / SECONDS
    )
    wasted = sum(outcome.wasted_tokens for outcome in outcomes)
    figures["wasted share"] = wasted / max(1.0, wasted + _delivered(outcomes))
    waits = [outcome.refused_after for outcome in outcomes if outcome.refused_after is not None]
    figures["seconds to refusal"] = statistics.fmean(waits) if waits else 0.0
    figures.update(_organisations(outcomes))
    return figures


def _in_time(outcome: Outcome) -> bool:
    return outcome.ended is not None and outcome.ended <= outcome.arrival.req.deadline


def _delivered(outcomes: list[Outcome]) -> float:
    return sum(outcome.tokens for outcome in outcomes if _in_time(outcome))


def _organisations(outcomes: list[Outcome]) -> dict[str, float]:
    """Returns the worst-served organisation relative to the median, by two measures.

    By attainment over all classes; and within each class by delivered work relative to what max-min
    fairness would deliver to it: the lesser of its demand and an equal share of what was delivered.
    """
    groups = _by_organisation(outcomes)
    attainments = [sum(outcome.attained for outcome in group) / len(group) for group in groups]
    figures = {"worst organisation, attainment": _worst_to_median(attainments)}
    for name in sorted({outcome.arrival.req.class_name for outcome in outcomes}):
        own = [outcome for outcome in outcomes if outcome.arrival.req.class_name == name]
        figures[f"worst organisation, share of {name}"] = _worst_share(own)
    return figures


def _by_organisation(outcomes: list[Outcome]) -> list[list[Outcome]]:
    groups: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(outcome.arrival.req.organisation, []).append(outcome)
    return list(groups.values())


def _worst_share(outcomes: list[Outcome]) -> float:
    groups = _by_organisation(outcomes)
    demands = [sum(_work(outcome) for outcome in group) for group in groups]
    served = [sum(_work(outcome) for outcome in group if _in_time(outcome)) for group in groups]
    entitled = _max_min(demands, sum(served))
    shares = [got / due if due > 0 else 1.0 for got, due in zip(served, entitled, strict=True)]
    return _worst_to_median(shares)


def _work(outcome: Outcome) -> float:
    return outcome.arrival.req.prompt_tokens * 0.1 + outcome.arrival.output_tokens


def _worst_to_median(values: list[float]) -> float:
    median = statistics.median(values)
    return min(values) / median if median > 0 else 1.0


def _max_min(demands: list[float], total: float) -> list[float]:
    """Returns the max-min fair split of a total over demands."""
    split = [0.0] * len(demands)
    left = total
    order = sorted(range(len(demands)), key=lambda index: demands[index])
    for position, index in enumerate(order):
        split[index] = min(demands[index], left / (len(order) - position))
        left -= split[index]
    return split


def compare(
    factories: dict[str, QueueFactory], profiles: tuple[ClassProfile, ...], rate: float, seeds: int
) -> dict[str, dict[str, Spread]]:
    """Returns the spread of each measure for each queue, over the same arrivals."""
    figures: dict[str, list[dict[str, float]]] = {name: [] for name in factories}
    for seed in range(1, seeds + 1):
        arrivals = generate(profiles, rate, SECONDS, seed)
        for name, factory in factories.items():
            figures[name].append(measure(Simulation(factory(), arrivals).run()))
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
        policy = replace(TieredPolicy(), **{name: False})
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
        taken = queue.take(now)
        queue.started(taken.attempt, now)
        queue.finished(taken.attempt, now + 0.5, taken.prompt_tokens, 100)
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
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    document = {}
    if args.cost:
        results = _measure_cost(args.seeds)
        _print("processor per request", results)
        document["cost"] = _as_json(results)
    for mix in () if args.cost else args.mix or sorted(WORKLOADS):
        settings = QueueSettings()
        rate = capacity(WORKLOADS[mix], settings)
        factories = _factories(settings, args.ablate)
        for load in args.load or LOADS:
            results = compare(factories, WORKLOADS[mix], rate * load, args.seeds)
            _print(f"{mix}, {load}x of {rate:.2f} requests/s, {args.seeds} seeds", results)
            document[f"{mix} {load}"] = _as_json(results)
    if args.json:
        args.json.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
