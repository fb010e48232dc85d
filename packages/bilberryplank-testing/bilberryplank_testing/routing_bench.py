"""Measures the decisions of entries: `python -m bilberryplank_testing.routing_bench`.

The choice of upstreams is measured in virtual time; round robin and the informed policy get the
same arrivals, retries and faults. Links, limits and processor time follow in tables of their own.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from statistics import mean

import defopt

from bilberryplank_testing._routing_costs import cost_rows
from bilberryplank_testing._routing_figures import FaultKind, TrialOptions, TrialResult
from bilberryplank_testing._routing_limits import limit_rows
from bilberryplank_testing._routing_links import link_rows
from bilberryplank_testing._routing_trial import Trial

POLICIES = ("round_robin", "informed")
LAGS_SECONDS = (0.0, 1.0, 3.0)
LOADS = (0.3, 0.7, 0.9)
TIER_ENTRIES = (3, 12)
TIER_LAG_SECONDS = 0.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """Options under a name."""

    name: str
    opts: TrialOptions


def scenarios() -> Iterator[Scenario]:
    """Yields what is measured."""
    for fault in FaultKind:
        yield Scenario(f"{fault.value}, round robin", TrialOptions("round_robin", fault=fault))
        for lag in LAGS_SECONDS:
            name = f"{fault.value}, informed, lag {lag:g} s"
            yield Scenario(name, TrialOptions("informed", lag, fault))
    for load in LOADS:
        yield Scenario(f"load {load:g}, round robin", TrialOptions("round_robin", load=load))
        for lag in LAGS_SECONDS:
            for affinity in (False, True):
                word = "on" if affinity else "off"
                name = f"load {load:g}, lag {lag:g} s, affinity {word}"
                yield Scenario(name, TrialOptions("informed", lag, affinity=affinity, load=load))


def main(*, seeds: int = 5) -> None:
    """Prints the tables.

    Args:
        seeds: Trials for each scenario, with seeds from 1.
    """
    _print_choice(seeds)
    _print_tiers(seeds)
    print("\nlinks | links a sidecar | links an entry | changed, entry leaves | upstream leaves")
    print("--- | --- | --- | --- | ---")
    for row in link_rows():
        print(row)
    print("\nentries | demand | shares | admitted of the limit (least to most)")
    print("--- | --- | --- | ---")
    for row in limit_rows(seeds):
        print(row)
    print("\ndecision | microseconds of one core")
    print("--- | ---")
    for row in cost_rows():
        print(row)


def _print_choice(seeds: int) -> None:
    columns = "p50 s | p95 s (least to most) | p99 s | top tier p99 s | within 0.38 s"
    print(f"scenario | {columns} | refused | attempts | spread | cache hits")
    print("--- | --- | --- | --- | --- | --- | --- | --- | --- | ---")
    for scenario in scenarios():
        results = [Trial(scenario.opts, seed).run() for seed in range(1, seeds + 1)]
        print(_row(scenario.name, results))


def tier_scenarios() -> Iterator[Scenario]:
    """Yields what is measured within a burst of twice the capacity."""
    for fault in FaultKind:
        for entries in TIER_ENTRIES:
            base = TrialOptions("informed", TIER_LAG_SECONDS, fault, tiers=True, entries=entries)
            word = f"{fault.value}, {entries} entries"
            yield Scenario(f"{word}, round robin", replace(base, policy="round_robin"))
            yield Scenario(f"{word}, tiers not told apart", replace(base, told_apart=False))
            yield Scenario(f"{word}, informed", base)


def _print_tiers(seeds: int) -> None:
    print("\nburst of 2 | urgent in target (least to most) | chat | bulk | attempts | spread")
    print("--- | --- | --- | --- | --- | ---")
    for scenario in tier_scenarios():
        results = [Trial(scenario.opts, seed).run() for seed in range(1, seeds + 1)]
        top = [item.in_target(0) for item in results]
        cells = [scenario.name, f"{mean(top):.1%} ({min(top):.1%} to {max(top):.1%})"]
        for rank in (1, 2):
            cells.append(f"{mean(item.in_target(rank) for item in results):.1%}")
        cells.append(f"{mean(item.attempts / max(item.offered, 1) for item in results):.2f}")
        cells.append(f"{mean(item.spread for item in results):.2f}")
        print(" | ".join(cells))


def _row(name: str, results: list[TrialResult]) -> str:
    tails = [item.quantile(0.95) for item in results]
    cells = [
        name,
        f"{mean(item.quantile(0.5) for item in results):.3f}",
        f"{mean(tails):.3f} ({min(tails):.3f} to {max(tails):.3f})",
        f"{mean(item.quantile(0.99) for item in results):.3f}",
        f"{mean(item.top_quantile(0.99) for item in results):.3f}",
        f"{mean(item.attained for item in results):.1%}",
        f"{mean(item.refused / max(item.offered, 1) for item in results):.2%}",
        f"{mean(item.attempts / max(item.offered, 1) for item in results):.3f}",
        f"{mean(item.spread for item in results):.2f}",
        f"{mean(item.cache_hits for item in results):.0%}",
    ]
    return " | ".join(cells)


if __name__ == "__main__":
    defopt.run(main)
