"""Summaries of outcomes by class."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil

from bilberryplank_testing._caller import Outcome


@dataclass(slots=True)
class ClassSummary:
    """What the requests of one class got.

    Attributes:
        class_name: Name of the class.
        sent: Requests sent.
        answered: Requests answered whole.
        refused: Refusals by code.
        broken: Answers that were cut off or never came.
        first_p50: Median seconds until the first byte, of answered ones; None without any.
        first_p95: The same for 95 in 100.
        gap_p95: Seconds between tokens for 95 in 100; None without streams.
    """

    class_name: str
    sent: int
    answered: int
    refused: dict[str, int]
    broken: int
    first_p50: float | None
    first_p95: float | None
    gap_p95: float | None

    @classmethod
    def from_outcomes(cls, class_name: str, outcomes: Sequence[Outcome]) -> ClassSummary:
        """Returns the summary of the outcomes of one class."""
        answered = [item for item in outcomes if item.answered]
        refused = Counter(item.refusal for item in outcomes if item.refusal)
        firsts = [item.first for item in answered if item.first is not None]
        gaps = [item.token_gap for item in answered if item.token_gap is not None]
        return cls(
            class_name,
            len(outcomes),
            len(answered),
            dict(refused),
            len(outcomes) - len(answered) - sum(refused.values()),
            quantile(firsts, 0.5),
            quantile(firsts, 0.95),
            quantile(gaps, 0.95),
        )


def summarize(outcomes: Iterable[Outcome]) -> list[ClassSummary]:
    """Returns one summary per class, by name."""
    by_class: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_class.setdefault(outcome.class_name, []).append(outcome)
    return [ClassSummary.from_outcomes(name, by_class[name]) for name in sorted(by_class)]


def format_summaries(summaries: Iterable[ClassSummary]) -> str:
    """Returns a table as text; times in milliseconds."""
    rows = ["class                   sent answered refused broken  first50  first95    gap95"]
    for item in summaries:
        times = (_milliseconds(v) for v in (item.first_p50, item.first_p95, item.gap_p95))
        refused = sum(item.refused.values())
        counts = f"{item.sent:>5} {item.answered:>8} {refused:>7} {item.broken:>6}"
        codes = " ".join(f"{code}={count}" for code, count in sorted(item.refused.items()))
        rows.append(f"{item.class_name:<22} {counts} " + " ".join((*times, codes)).rstrip())
    return "\n".join(rows)


def quantile(values: Sequence[float], share: float) -> float | None:
    """Returns the smallest value that `share` of the values do not exceed; None without any."""
    if not values:
        return None
    return sorted(values)[max(0, ceil(share * len(values)) - 1)]


def _milliseconds(seconds: float | None) -> str:
    return "       -" if seconds is None else f"{seconds * 1000:8.1f}"
