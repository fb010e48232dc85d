"""Which engines read long prompts, and which keep the pauses of short-paused streams short.

While an engine reads prompts, each step of all streams on it carries a chunk of prompt and takes
several times as long. Streams that may pause for long bear that; others are late by a single such
pause. So the engines of a service are divided by the work of both kinds: prompts whose streams bear
it are read on one part, and the rest of the requests run on the other.

The order of engines is the same at every entry, so that entries with about the same share agree.

Load pattern: bursts of long prompts beside steady streams with short pauses.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from bilberryplank_core._direct_world import DirectUpstream
from bilberryplank_core._ranking import weight

READING_STEP_SECONDS = 0.06
"""Longest step of an engine that reads a chunk of a long prompt, from the users' sheet."""

MEMORY_SECONDS = 12.0
"""Work counts less with its age, by half in about this long: longer than a burst."""

STEADY_USE = 0.5
"""Share of its time that an engine of short-paused streams should read prompts at the most."""

READING_USE = 0.9
"""The same share for an engine of long prompts."""

HYSTERESIS_ENGINES = 0.7
"""The division moves once the wanted number of engines is further off than this."""


def bears_reading(gap_objective: float, stride: int) -> bool:
    """Returns True for streams whose pauses may be as long as on an engine that reads.

    Args:
        gap_objective: Longest pause in seconds between events; 0 where none is set.
        stride: Tokens of one event.
    """
    return gap_objective <= 0 or gap_objective > stride * READING_STEP_SECONDS


class EngineSplit:
    """Divides the engines of a service, by the work that one entry saw."""

    __slots__ = ("_at", "_reading", "_size", "_steady")

    def __init__(self) -> None:
        self._reading = 0.0
        self._steady = 0.0
        self._at = float("-inf")
        self._size: int | None = None

    def observe(self, bears: bool, seconds: float, now: float) -> None:
        """Takes in the reading time of a request."""
        if math.isfinite(self._at):
            kept = 0.5 ** ((now - self._at) / MEMORY_SECONDS)
            self._reading *= kept
            self._steady *= kept
        self._at = now
        if bears:
            self._reading += seconds / READING_USE
        else:
            self._steady += seconds / STEADY_USE

    def part(self, bears: bool, engines: Sequence[DirectUpstream]) -> list[DirectUpstream]:
        """Returns the engines for requests of one kind, in the order of all entries."""
        ordered = sorted(engines, key=lambda each: weight("split", each.name))
        if len(ordered) < 2:
            return ordered
        size = self._reading_engines(len(ordered))
        return ordered[:size] if bears else ordered[size:]

    def _reading_engines(self, count: int) -> int:
        total = self._reading + self._steady
        wanted = count * (self._reading / total if total else 0.5)
        if self._size is None or abs(wanted - self._size) > HYSTERESIS_ENGINES:
            self._size = round(wanted)
        return max(1, min(count - 1, self._size))
