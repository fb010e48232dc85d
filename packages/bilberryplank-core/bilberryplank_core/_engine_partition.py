"""Which engines read long prompts, and which keep streams in time that cannot wait for that.

While an engine reads prompts, each step of all streams on it carries a chunk of prompt and takes
several times as long, and whoever comes then waits for the end of the prompt that is read. Patient
streams bear both; hasty ones are late by a single such pause or turn. So the engines of a service
are divided between them in proportion to the engines that each kind needs, for its prompts or for
its running streams.

Only requests that were sent count. A backlog of long prompts that is turned away would else take
engines from streams that are served in full.

The order of engines is the same at every entry, so entries that saw about the same shares agree.

Load pattern: bursts of long prompts beside steady streams with short pauses or early first tokens.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

from bilberryplank_core._direct_types import DirectUpstream
from bilberryplank_core._engine_performance import EnginePerformance, LatencyObjective
from bilberryplank_core._rendezvous import rendezvous_weight

MEMORY_SECONDS = 12.0
"""Work counts half after this long: longer than a burst, so that the engines that keep shared parts
seldom change."""

READING_USE = 0.75
"""Share of its time that an engine may read prompts where its streams bear it."""

STEADY_USE = 0.32
"""The same share for hasty streams that bear one event's worth of reading steps; less with less."""

PROMPT_USE = 0.6
"""The same share for hasty streams that bear the pauses but not the turn of a long prompt: what is
read at their own engines is short."""

SLOT_USE = 0.5
"""Share of an engine's slots to plan with; the rest bears bursts."""

FIRST_WORK = 1.0
"""Engine-seconds that an entry must have sent before it divides engines; less tells no shares."""

ASSUMED_WORK = 0.1
"""Engine-seconds assumed of each kind, so that the first of a kind do not all get one engine."""

MOST_PLACES = 4096
"""Engines whose places are kept from one request to the next: all of several large services."""

HYSTERESIS_ENGINES = 0.7
"""A border moves once the wanted place is further off than this."""


def reading_use(objective: LatencyObjective, performance: EnginePerformance) -> float:
    """Returns the share of its time that an engine of such streams should read prompts."""
    if performance.tolerates_prefill(objective):
        return READING_USE
    if objective.event_gap <= 0 or objective.event_gap > performance.prefill_gap_seconds:
        return PROMPT_USE
    return STEADY_USE * objective.event_gap / performance.prefill_gap_seconds


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


class EnginePartition:
    """Divides the engines of a service, by the work that one entry sent.

    Work is remembered by what streams bear; which of them are hasty follows from the speeds of the
    engines, which are learnt meanwhile.

    Args:
        slots: Requests in one batch of an engine.
        performance: Speeds of the engines.
    """

    __slots__ = ("_borders", "_performance", "_slots", "_work")

    def __init__(self, slots: int, performance: EnginePerformance) -> None:
        self._slots = slots
        self._performance = performance
        self._work: dict[LatencyObjective, _Work] = {}
        self._borders: list[int] = []

    def observe(
        self, objective: LatencyObjective, reading: float, answer_tokens: int, now: float
    ) -> None:
        """Takes in a request that was sent.

        Args:
            objective: What its stream bears.
            reading: Seconds that reading its prompt takes.
            answer_tokens: Tokens that its answer is likely to have.
            now: Seconds on the boot clock.
        """
        if objective not in self._work:
            self._work[objective] = _Work(at=now)
        answering = (
            answer_tokens * self._performance.output_token_seconds / (self._slots * SLOT_USE)
        )
        self._work[objective].add(
            reading / reading_use(objective, self._performance), answering, now
        )

    def part(
        self, objective: LatencyObjective, engines: Sequence[DirectUpstream], now: float
    ) -> list[DirectUpstream]:
        """Returns the engines for requests whose streams bear so much."""
        ordered = sorted(engines, key=lambda each: _place(each.name))
        patient = self._performance.tolerates_prefill(objective)
        work = self._work_of_kinds(now)
        kinds = sorted({*work, patient}, reverse=True)
        if len(kinds) > len(ordered) or sum(work.values()) < FIRST_WORK:
            return ordered
        borders = self._settle([work.get(each, 0.0) for each in kinds], len(ordered))
        place = kinds.index(patient)
        return ordered[borders[place] : borders[place + 1]]

    def _work_of_kinds(self, now: float) -> dict[bool, float]:
        """Returns the engines that patient and hasty streams need."""
        work: dict[bool, float] = {}
        for objective, each in self._work.items():
            patient = self._performance.tolerates_prefill(objective)
            work[patient] = work.get(patient, 0.0) + each.engines(now)
        return work

    def _settle(self, work: list[float], count: int) -> list[int]:
        """Returns where each kind's engines begin, the most patient kind first."""
        wanted = _wanted(work, count)
        if len(self._borders) != len(wanted) or self._borders[-1] != count:
            self._borders = [round(each) for each in wanted]
        for place in range(1, len(wanted) - 1):
            if abs(wanted[place] - self._borders[place]) > HYSTERESIS_ENGINES:
                self._borders[place] = round(wanted[place])
        for place in range(1, len(wanted) - 1):
            lowest, highest = self._borders[place - 1] + 1, count - (len(work) - place)
            self._borders[place] = min(max(self._borders[place], lowest), highest)
        return self._borders


def _wanted(work: list[float], count: int) -> list[float]:
    """Returns the borders between kinds in proportion to their work."""
    shares = [ASSUMED_WORK + each for each in work]
    total = sum(shares)
    borders = [0.0]
    for share in shares:
        borders.append(borders[-1] + count * share / total)
    borders[-1] = float(count)
    return borders


@lru_cache(maxsize=MOST_PLACES)
def _place(name: str) -> int:
    """Returns the place of an engine on the line that is divided."""
    return rendezvous_weight("split", name)
