"""How long work takes at each engine now, beside what it takes at the others of its service.

Engines tell it with their answers where they share hosts with others. The figure changes many
times a second, so each answer moves what an engine usually takes a little, and stands for the
present only while it is fresh.

Motivating load: engines of one service that differ in speed by more than two to one, and neighbours
that slow single ones by as much for a while.
"""

from __future__ import annotations

import math
from collections.abc import Collection

FRESH_SECONDS = 0.5
"""The weight of the last figure falls with its age and is zero after this time."""

USUAL_WEIGHT = 0.2
"""Weight of one figure in what an engine usually takes."""

LEAST_RATIO, MOST_RATIO = 0.25, 4.0
"""Bounds on what one engine's work may take beside that of the others."""


class EnginePaces:
    """Paces of the engines of one service: multiples of the time that work takes as a rule."""

    __slots__ = ("_fresh", "_usual")

    def __init__(self) -> None:
        self._fresh: dict[str, tuple[float, float]] = {}
        self._usual: dict[str, float] = {}

    def record(self, name: str, pace: float, now: float) -> None:
        """Records the pace that an engine told."""
        usual = self._usual.get(name, pace)
        self._usual[name] = usual + USUAL_WEIGHT * (pace - usual)
        self._fresh[name] = (pace, now)

    def ratios(self, names: Collection[str], now: float) -> dict[str, float]:
        """Returns for each engine the time that its work takes, as a multiple of the others'.

        An engine that told nothing is taken for a middle one.
        """
        if not self._usual:
            return dict.fromkeys(names, 1.0)
        middle = math.exp(sum(map(math.log, self._usual.values())) / len(self._usual))
        return {
            name: min(max(self._pace(name, now, middle) / middle, LEAST_RATIO), MOST_RATIO)
            for name in names
        }

    def forget(self, name: str) -> None:
        """Drops what an engine told."""
        self._fresh.pop(name, None)
        self._usual.pop(name, None)

    def engines(self) -> Collection[str]:
        """Returns the engines that told their pace."""
        return self._usual.keys()

    def _pace(self, name: str, now: float, middle: float) -> float:
        usual = self._usual.get(name)
        if usual is None:
            return middle
        pace, told_at = self._fresh[name]
        weight = max(0.0, 1.0 - (now - told_at) / FRESH_SECONDS)
        return usual + weight * (pace - usual)
