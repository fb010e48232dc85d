"""The measures of a load run."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from bilberryplank_testing._caller import Outcome
from bilberryplank_testing._load_trial import TrialRecord
from bilberryplank_testing._report import ClassSummary, quantile, summarize

TOKEN_GAP_TARGET_SECONDS = 0.048
MIN_EXPECTED_ANSWERS = 3.0
PERCENT = 100.0


@dataclass(slots=True, frozen=True)
class Targets:
    """Latency targets of the classes, in seconds to the first byte, by name."""

    first_token: dict[str, float]

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> Targets:
        """Returns the targets in a configuration."""
        return cls({item["name"]: item["first_token_target"] for item in document["classes"]})

    def met(self, outcome: Outcome) -> bool:
        """Returns whether an answer is whole and met its class's targets."""
        return outcome.answered and not self.late(outcome) and not self.slow(outcome)

    def late(self, outcome: Outcome) -> bool:
        """Returns whether the first byte came too late, or never."""
        return outcome.first is None or outcome.first > self.first_token[outcome.class_name]

    def slow(self, outcome: Outcome) -> bool:
        """Returns whether the tokens came too slowly."""
        return (outcome.token_gap or 0.0) > TOKEN_GAP_TARGET_SECONDS


@dataclass(slots=True)
class ClassFigures:
    """What one class got.

    Attributes:
        summary: Counts and latencies.
        in_target: Answers that met the targets.
        attainment: Their share of the requests sent, in percent.
        late: Whole answers whose first byte came too late.
        slow: Whole answers in time whose tokens came too slowly.
    """

    summary: ClassSummary
    in_target: int
    attainment: float
    late: int
    slow: int


@dataclass(slots=True)
class TrialFigures:
    """The measures of one policy in one run.

    Attributes:
        classes: By class.
        burst_attainment: Attainment of what was sent within the burst by class, in percent.
        goodput: Answers in target a second of arrivals.
        throughput: Whole answers a second of arrivals.
        wasted_percent: Generated tokens that reached no caller in a whole answer.
        worst_organisation: Its service relative to the median organisation.
        engine_seconds: Engine-seconds paid for each answer in target.
        refusal_p95: Seconds from sending to receiving a refusal; None without any.
        refusal_delay_p95: Seconds from the entry's decision to the caller.
        verdict_delay_p95: Seconds from the sidecar's decision to the caller.
        retries: Further attempts.
        entry_milliseconds: Processor time of the entries for each request.
        sidecar_milliseconds: Processor time of the sidecars for each request.
        machine_load: Load average of the machine.
    """

    classes: dict[str, ClassFigures] = field(default_factory=dict)
    burst_attainment: dict[str, float] = field(default_factory=dict)
    goodput: float = 0.0
    throughput: float = 0.0
    wasted_percent: float = 0.0
    worst_organisation: float | None = None
    engine_seconds: float | None = None
    refusal_p95: float | None = None
    refusal_delay_p95: float | None = None
    verdict_delay_p95: float | None = None
    retries: int = 0
    entry_milliseconds: float = 0.0
    sidecar_milliseconds: float = 0.0
    machine_load: float = 0.0


def figures_of(record: TrialRecord, targets: Targets) -> TrialFigures:
    """Returns the measures of a run."""
    plan, outcomes = record.plan, record.outcomes
    met = sum(targets.met(item) for item in outcomes)
    answered = sum(item.answered for item in outcomes)
    count = max(len(outcomes), 1)
    burst = [item for item, inside in zip(outcomes, record.in_burst, strict=True) if inside]
    refusals = [item.total for item in outcomes if item.refusal]
    return TrialFigures(
        classes=class_figures(outcomes, targets),
        burst_attainment={k: v.attainment for k, v in class_figures(burst, targets).items()},
        goodput=met / plan.seconds,
        throughput=answered / plan.seconds,
        wasted_percent=wasted_percent(record),
        worst_organisation=worst_organisation(outcomes, targets),
        engine_seconds=plan.fleet.count * plan.seconds / met if met else None,
        refusal_p95=quantile(refusals, 0.95),
        refusal_delay_p95=quantile(record.refusal_delays, 0.95),
        verdict_delay_p95=quantile(record.verdict_delays, 0.95),
        retries=sum(record.retries.values()),
        entry_milliseconds=record.entry_seconds * 1000 / count,
        sidecar_milliseconds=record.sidecar_seconds * 1000 / count,
        machine_load=record.machine_load,
    )


def class_figures(outcomes: Iterable[Outcome], targets: Targets) -> dict[str, ClassFigures]:
    """Returns the measures of each class."""
    items = list(outcomes)
    figures = {}
    for summary in summarize(items):
        own = [item for item in items if item.class_name == summary.class_name]
        answered = [item for item in own if item.answered]
        met = sum(targets.met(item) for item in answered)
        late = sum(targets.late(item) for item in answered)
        slow = len(answered) - met - late
        attainment = PERCENT * met / summary.sent
        figures[summary.class_name] = ClassFigures(summary, met, attainment, late, slow)
    return figures


def wasted_percent(record: TrialRecord) -> float:
    """Returns the share of generated tokens that reached no caller in a whole answer."""
    generated = sum(run["tokens"] for run in record.runs)
    delivered = sum(item.tokens for item in record.outcomes if item.answered)
    return PERCENT * max(0, generated - delivered) / generated if generated else 0.0


def worst_organisation(outcomes: Iterable[Outcome], targets: Targets) -> float | None:
    """Returns the service of the worst-served organisation relative to the median one.

    Service is the number of answers in target over the number that an organisation's mix of classes
    would get at each class's attainment. Organisations that expect too few are left out.
    """
    items = list(outcomes)
    shares = {name: item.attainment for name, item in class_figures(items, targets).items()}
    expected: dict[str, float] = {}
    got: dict[str, int] = {}
    for item in items:
        name = item.organisation
        expected[name] = expected.get(name, 0.0) + shares[item.class_name] / PERCENT
        got[name] = got.get(name, 0) + targets.met(item)
    service = [got[k] / v for k, v in expected.items() if v >= MIN_EXPECTED_ANSWERS]
    middle = median(service) if service else 0.0
    return min(service) / middle if middle else None
