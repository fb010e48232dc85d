"""Measures of a run of a queue in virtual time."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

from bilberryplank_testing._queue_simulation import Outcome


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


def measure(outcomes: list[Outcome], seconds: float) -> dict[str, float]:
    """Returns every measure of a run with arrivals over so many seconds, by name."""
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
    figures["goodput tokens/s"] = _delivered(outcomes) / seconds
    figures["attained goodput tokens/s"] = (
        sum(outcome.tokens for outcome in outcomes if outcome.attained) / seconds
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
    entitled = max_min(demands, sum(served))
    shares = [got / due if due > 0 else 1.0 for got, due in zip(served, entitled, strict=True)]
    return _worst_to_median(shares)


def _work(outcome: Outcome) -> float:
    return outcome.arrival.req.prompt_tokens * 0.1 + outcome.arrival.output_tokens


def _worst_to_median(values: list[float]) -> float:
    median = statistics.median(values)
    return min(values) / median if median > 0 else 1.0


def max_min(demands: list[float], total: float) -> list[float]:
    """Returns the max-min fair split of a total over demands."""
    split = [0.0] * len(demands)
    left = total
    order = sorted(range(len(demands)), key=lambda index: demands[index])
    for position, index in enumerate(order):
        split[index] = min(demands[index], left / (len(order) - position))
        left -= split[index]
    return split
