"""Straight lines through measured points, with their spread over repeats."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from statistics import linear_regression, median
from typing import Any


@dataclass(slots=True, frozen=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


@dataclass(slots=True)
class Slope:
    """A line fitted by least squares to each repeat.

    Attributes:
        name: What was measured.
        unit: Unit of the slopes.
        scale: Factor from the values' unit to the shown one.
        per: Sizes to which the slopes refer, as in "per 1,000 organisations".
        repeats: Points of each repeat.
    """

    name: str
    unit: str
    scale: float = 1.0
    per: float = 1.0
    repeats: list[list[Point]] = field(default_factory=list)

    @property
    def slopes(self) -> list[float]:
        """Slope of each repeat, in the slope's unit."""
        return [self._line(points)[0] * self.scale * self.per for points in self.repeats]

    @property
    def bases(self) -> list[float]:
        """Value at size 0 of each repeat."""
        return [self._line(points)[1] * self.scale for points in self.repeats]

    def format(self) -> str:
        """Returns the slope and its points as text; least/middle/greatest of the repeats."""
        rows = [f"{self.name}: {_spread(self.slopes)} {self.unit}, base {_spread(self.bases)}"]
        for points in zip(*self.repeats, strict=True):
            size = median(point.size for point in points)
            rows.append(f"    at {size:.4g}: {_spread([p.value * self.scale for p in points])}")
        return "\n".join(rows)

    def to_document(self) -> dict[str, Any]:
        """Returns JSON values."""
        return {**asdict(self), "slopes": self.slopes, "bases": self.bases}

    def _line(self, points: list[Point]) -> tuple[float, float]:
        line = linear_regression([p.size for p in points], [p.value for p in points])
        return line.slope, line.intercept


def _spread(values: list[float]) -> str:
    return "/".join(f"{item:.4g}" for item in (min(values), median(values), max(values)))
