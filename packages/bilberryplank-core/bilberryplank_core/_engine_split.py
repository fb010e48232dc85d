"""Which engines read long prompts, and which keep the pauses of short-paused streams short.

While an engine reads prompts, each step of all streams on it carries a chunk of prompt and takes
several times as long. Streams that may pause for long bear that; others are late by a single such
pause. So the engines of a service are divided among kinds of streams by the pause that they bear,
in proportion to the engines that each kind needs, for its prompts or for its running streams.

Only requests that were sent count. A backlog of long prompts that is turned away would else take
engines from streams that are served in full.

The order of engines is the same at every entry, so entries that saw about the same shares agree.

Load pattern: bursts of long prompts beside steady streams with short pauses.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryplank_core._direct_world import DirectUpstream, EngineShape
from bilberryplank_core._ranking import weight

READING_STEP_SECONDS = 0.055
"""Longest step of an engine that reads a chunk of a long prompt, from the users' sheet."""

MEMORY_SECONDS = 12.0
"""Work counts half after this long: longer than a burst, so that the engines that keep shared parts
seldom change."""

READING_USE = 0.75
"""Share of its time that an engine may read prompts where its streams bear it."""

STEADY_USE = 0.35
"""The same share where streams bear just one event's worth of reading steps; less with less."""

SLOT_USE = 0.5
"""Share of an engine's slots to plan with; the rest bears bursts."""

ANSWER_TOKEN_SECONDS = 0.005
"""Time of a token of an answer at a busy engine, from the users' sheet of their engines."""

FIRST_WORK = 1.0
"""Engine-seconds that an entry must have sent before it divides engines; less tells no shares."""

ASSUMED_WORK = 0.1
"""Engine-seconds assumed of each kind, so that the first of a kind do not all get one engine."""

HYSTERESIS_ENGINES = 0.7
"""A border moves once the wanted place is further off than this."""

ANY_PAUSE = math.inf
"""Kind of the streams that bear the pauses of an engine that reads all the time."""


def reading_use(kind: float, stride: int) -> float:
    """Returns the share of its time that an engine of one kind of streams should read prompts."""
    if kind == ANY_PAUSE:
        return READING_USE
    return STEADY_USE * kind / (stride * READING_STEP_SECONDS)


def pause_kind(gap_objective: float, stride: int) -> float:
    """Returns the kind of a stream: the pause that it bears, or `ANY_PAUSE`.

    Args:
        gap_objective: Longest pause in seconds between events; 0 where none is set.
        stride: Tokens of one event.
    """
    if gap_objective <= 0 or gap_objective > stride * READING_STEP_SECONDS:
        return ANY_PAUSE
    return gap_objective


@dataclass(slots=True)
class _Work:
    reading: float = 0.0
    answering: float = 0.0
    at: float = 0.0

    def add(self, reading: float, answering: float, now: float) -> None:
        fade = self._fade(now)
        self.reading = self.reading * fade + reading
        self.answering = self.answering * fade + answering
        self.at = now

    def engines(self, now: float) -> float:
        return max(self.reading, self.answering) * self._fade(now)

    def _fade(self, now: float) -> float:
        return 0.5 ** (max(0.0, now - self.at) / MEMORY_SECONDS)


class EngineSplit:
    """Divides the engines of a service, by the work that one entry sent.

    Args:
        shape: Size of the engines.
    """

    __slots__ = ("_borders", "_shape", "_work")

    def __init__(self, shape: EngineShape) -> None:
        self._shape = shape
        self._work: dict[float, _Work] = {}
        self._borders: list[int] = []

    def observe(self, kind: float, reading: float, answer_tokens: int, now: float) -> None:
        """Takes in a request that was sent.

        Args:
            kind: Kind of its stream.
            reading: Seconds that reading its prompt takes.
            answer_tokens: Tokens that its answer is likely to have.
            now: Seconds on the boot clock.
        """
        if kind not in self._work:
            self._work[kind] = _Work(at=now)
        answering = answer_tokens * ANSWER_TOKEN_SECONDS / (self._shape.slots * SLOT_USE)
        self._work[kind].add(reading / reading_use(kind, self._shape.stride), answering, now)

    def part(
        self, kind: float, engines: Sequence[DirectUpstream], now: float
    ) -> list[DirectUpstream]:
        """Returns the engines for requests of one kind."""
        ordered = sorted(engines, key=lambda each: weight("split", each.name))
        kinds = sorted({*self._work, kind}, reverse=True)
        sent = sum(each.engines(now) for each in self._work.values())
        if len(kinds) > len(ordered) or sent < FIRST_WORK:
            return ordered
        borders = self._settle(kinds, len(ordered), now)
        place = kinds.index(kind)
        return ordered[borders[place] : borders[place + 1]]

    def _settle(self, kinds: list[float], count: int, now: float) -> list[int]:
        """Returns where each kind's engines begin, the most patient kind first."""
        wanted = self._wanted(kinds, count, now)
        if len(self._borders) != len(wanted) or self._borders[-1] != count:
            self._borders = [round(each) for each in wanted]
        for place in range(1, len(wanted) - 1):
            if abs(wanted[place] - self._borders[place]) > HYSTERESIS_ENGINES:
                self._borders[place] = round(wanted[place])
        for place in range(1, len(wanted) - 1):
            lowest, highest = self._borders[place - 1] + 1, count - (len(kinds) - place)
            self._borders[place] = min(max(self._borders[place], lowest), highest)
        return self._borders

    def _wanted(self, kinds: list[float], count: int, now: float) -> list[float]:
        shares = [
            ASSUMED_WORK + (self._work[kind].engines(now) if kind in self._work else 0.0)
            for kind in kinds
        ]
        total = sum(shares)
        borders = [0.0]
        for share in shares:
            borders.append(borders[-1] + count * share / total)
        borders[-1] = float(count)
        return borders
