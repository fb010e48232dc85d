"""Spread of the measures over the seeds of a load run, as text and as JSON."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from statistics import median

from bilberryplank_testing._load_figures import (
    ClassFigures,
    Targets,
    TrialFigures,
    class_figures,
    worst_organisation,
)
from bilberryplank_testing._load_trial import TrialRecord


@dataclass(slots=True, frozen=True)
class Spread:
    """Least, middle and greatest of some values; `count` says how many there were."""

    least: float
    middle: float
    greatest: float
    count: int

    @classmethod
    def of(cls, values: Iterable[float | None]) -> Spread | None:
        """Returns the spread of the values that exist; None without any."""
        known = [value for value in values if value is not None]
        if not known:
            return None
        return cls(min(known), median(known), max(known), len(known))

    def format(self, digits: int = 1) -> str:
        """Returns `least/middle/greatest`."""
        numbers = (self.least, self.middle, self.greatest)
        return "/".join(f"{number:.{digits}f}" for number in numbers)


@dataclass(slots=True, frozen=True)
class Measure:
    """One measure of a run: its name, unit and value."""

    name: str
    unit: str
    value: Callable[[TrialFigures], float | None]
    digits: int = 1


@dataclass(slots=True)
class Cell:
    """All seeds of one policy at one rate under one fault.

    Attributes:
        workload: Name of the workload.
        policy: Who decided.
        rate_factor: Arrivals within the burst as a share of the engines' capacity.
        fault: What befell one engine.
        seeds: Seeds that were run.
        measures: Spread by measure.
        classes: Spread of attainment by class, in percent.
        bursts: The same of what was sent within the burst.
        answered: Spread of whole answers by class, in percent of those sent.
        first_p95: Spread of the 95th percentile to the first byte by class, in milliseconds.
        refused: Refusals by class and code, over all seeds.
        broken: Cut or missing answers by class, over all seeds.
        late: Whole answers with a late first byte by class, over all seeds.
        slow: Whole answers in time with slow tokens by class, over all seeds.
        pooled_worst: Worst-served organisation relative to the median, all seeds taken as one run.
        retries: Further attempts by reason, over all seeds.
    """

    workload: str
    policy: str
    rate_factor: float
    fault: str
    seeds: list[int] = field(default_factory=list)
    measures: dict[str, Spread | None] = field(default_factory=dict)
    classes: dict[str, Spread | None] = field(default_factory=dict)
    bursts: dict[str, Spread | None] = field(default_factory=dict)
    answered: dict[str, Spread | None] = field(default_factory=dict)
    first_p95: dict[str, Spread | None] = field(default_factory=dict)
    refused: dict[str, dict[str, int]] = field(default_factory=dict)
    broken: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    slow: dict[str, int] = field(default_factory=dict)
    pooled_worst: float | None = None
    retries: dict[str, int] = field(default_factory=dict)

    @classmethod
    def of(cls, records: list[TrialRecord], figures: list[TrialFigures], targets: Targets) -> Cell:
        """Returns the spread over runs that differ in their seed only."""
        plan = records[0].plan
        cell = cls(
            plan.workload.name,
            records[0].policy.value,
            plan.rate_factor,
            plan.fault.value,
            [record.plan.seed for record in records],
        )
        for measure in MEASURES:
            cell.measures[measure.name] = Spread.of(measure.value(item) for item in figures)
        cell._add_classes(figures)
        outcomes = [item for record in records for item in record.outcomes]
        for name, item in class_figures(outcomes, targets).items():
            cell.refused[name] = item.summary.refused
            cell.broken[name] = item.summary.broken
            cell.late[name] = item.late
            cell.slow[name] = item.slow
        cell.pooled_worst = worst_organisation(outcomes, targets)
        for record in records:
            for reason, count in record.retries.items():
                cell.retries[reason] = cell.retries.get(reason, 0) + count
        return cell

    def to_document(self) -> dict[str, object]:
        """Returns JSON values."""
        return asdict(self)

    def format(self) -> str:
        """Returns the cell as text."""
        title = f"{self.workload} {self.policy} rate={self.rate_factor:g} fault={self.fault}"
        rows = [f"== {title} seeds={len(self.seeds)} (least/middle/greatest)"]
        for name, spread in self.classes.items():
            rows.append(f"  {name:<22} {self._format_class(name, spread)}")
        units = {item.name: item for item in MEASURES}
        for name, spread in self.measures.items():
            text = spread.format(units[name].digits) if spread else "-"
            rows.append(f"  {name:<22} {text} {units[name].unit}")
        worst = "-" if self.pooled_worst is None else f"{self.pooled_worst:.2f}"
        rows.append(f"  {'worst org., all seeds':<22} {worst} of the median")
        retries = " ".join(f"{key}={count}" for key, count in sorted(self.retries.items()) if count)
        rows.append(f"  {'retries':<22} {retries or '0'}")
        return "\n".join(rows)

    def _add_classes(self, figures: list[TrialFigures]) -> None:
        for name in sorted({name for item in figures for name in item.classes}):
            found = [item.classes[name] for item in figures if name in item.classes]
            self.classes[name] = Spread.of(item.attainment for item in found)
            self.bursts[name] = Spread.of(item.burst_attainment.get(name) for item in figures)
            self.answered[name] = Spread.of(_answered_percent(item) for item in found)
            self.first_p95[name] = Spread.of(_first_p95(item) for item in found)

    def _format_class(self, name: str, spread: Spread | None) -> str:
        burst, answered, first = self.bursts[name], self.answered[name], self.first_p95[name]
        codes = " ".join(f"{key}={count}" for key, count in sorted(self.refused[name].items()))
        parts = [
            f"in target {spread.format() if spread else '-'} %",
            f"in burst {burst.format() if burst else '-'} %",
            f"whole {answered.format() if answered else '-'} %",
            f"first byte p95 {first.format(0) if first else '-'} ms",
            f"late={self.late[name]} slow={self.slow[name]}",
            f"broken={self.broken[name]} {codes}".rstrip(),
        ]
        return "  ".join(parts)


def _answered_percent(item: ClassFigures) -> float:
    return 100.0 * item.summary.answered / item.summary.sent


def _first_p95(item: ClassFigures) -> float | None:
    first = item.summary.first_p95
    return None if first is None else first * 1000


def _milliseconds(seconds: float | None) -> float | None:
    return None if seconds is None else seconds * 1000


MEASURES = (
    Measure("goodput", "answers in target/s", lambda item: item.goodput, 2),
    Measure("throughput", "whole answers/s", lambda item: item.throughput, 2),
    Measure("wasted work", "% of tokens", lambda item: item.wasted_percent, 2),
    Measure("worst organisation", "of the median", lambda item: item.worst_organisation, 2),
    Measure("cost", "engine-s/answer in target", lambda item: item.engine_seconds, 3),
    Measure("refusal p95", "ms after sending", lambda item: _milliseconds(item.refusal_p95)),
    Measure(
        "refusal delay p95",
        "ms after the entry decided",
        lambda item: _milliseconds(item.refusal_delay_p95),
    ),
    Measure(
        "verdict delay p95",
        "ms after the last sidecar decided",
        lambda item: _milliseconds(item.verdict_delay_p95),
    ),
    Measure("retried", "attempts", lambda item: float(item.retries), 0),
    Measure("entry processor", "ms/request", lambda item: item.entry_milliseconds, 2),
    Measure("sidecar processor", "ms/request", lambda item: item.sidecar_milliseconds, 2),
    Measure("machine load", "load average", lambda item: item.machine_load),
)
