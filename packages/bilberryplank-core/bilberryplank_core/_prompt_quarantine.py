"""Decides which requests are withheld from engines because a segment of their prompt crashes them.

A segment is quarantined once it is suspected of several crashes and has begun no response since the
first. Crashes within a moment of each other count as one: a rack that fails ends many engines at
once, and no prompt did that. They count apart if the later one had a request that was sent after
the earlier one. A segment that was sound before needs one crash more, and its quarantine is
shorter.

Requests that crash engines share more than one segment, and all of these look alike at first. So a
request is withheld only if one of its own segments must have caused a crash. If other segments
explain all crashes of its quarantined ones as well, one request at a time is let through as a
trial: a response clears its segments, a crash singles them out. The same goes for a quarantine that
has ended, which the entries of a fleet try in turn; a further crash doubles it.

Motivating load: see `_crash_evidence`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from bilberryplank_core._crash_evidence import CrashEvidence, CrashRecord
from bilberryplank_core._direct_types import RequestHead

QUARANTINE_CRASHES = 2
SOUND_QUARANTINE_CRASHES = 3
"""Separate crashes that quarantine a segment that is not known to be sound, or that is."""

COINCIDENCE_SECONDS = 0.15
"""Crashes that follow the first of a group within this time count as one."""

QUARANTINE_SECONDS = 120.0
SOUND_QUARANTINE_SECONDS = 10.0
MAX_QUARANTINE_SECONDS = 900.0

TRIAL_RETRY_SECONDS = 1.0
"""When to come back while another request tries a segment."""

TURN_SECONDS = 2.0
"""After a quarantine, each entry waits this much longer than the one before it to try the segment:
by then a crash is known to all."""

MAX_TURNS = 8
"""Turns before all other entries may try: none of those before had a request with the segment."""

SETTLED_SECONDS = 0.5
"""An engine that still sends events this long after the first did not crash on the prompt."""


MAX_SEGMENTS = 64
MAX_SEGMENT_CHARS = 120
"""Segments of a prompt that are examined, and characters kept of the name of each."""


@dataclass(slots=True, frozen=True)
class Quarantine:
    """A segment that is withheld from engines.

    Attributes:
        segment: The segment.
        since: Time of the crash that quarantined it.
        until: End of the quarantine; it has ended if this is past.
        engines: Engines that crashed, oldest first.
    """

    segment: str
    since: float
    until: float
    engines: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Withheld:
    """Why a request is withheld.

    Attributes:
        quarantine: The quarantine of one of its segments.
        retry_after: Seconds after which it is worth sending again.
    """

    quarantine: Quarantine
    retry_after: float


class PromptQuarantine:
    """Quarantines of one entry, derived from the evidence that all entries share.

    Args:
        rank: Returns the place of this entry in the order in which entries try a segment again.

    Attributes:
        evidence: Crashes and suspects.
    """

    __slots__ = ("_rank", "_trials", "evidence")

    def __init__(self, rank: Callable[[str], int] = lambda _: 0) -> None:
        self._rank = rank
        self.evidence = CrashEvidence()
        self._trials: dict[str, str] = {}

    def find(self, segment: str) -> Quarantine | None:
        """Returns the quarantine of a segment, also one that has ended without a trial."""
        records = self.evidence.crashes_of(segment)
        groups = _separate(records)
        sound = any(segment in record.sound for record in records)
        needed = SOUND_QUARANTINE_CRASHES if sound else QUARANTINE_CRASHES
        if len(groups) < needed:
            return None
        first = SOUND_QUARANTINE_SECONDS if sound else QUARANTINE_SECONDS
        seconds = min(first * 2 ** (len(groups) - needed), MAX_QUARANTINE_SECONDS)
        engines = tuple(record.engine for record in records)
        return Quarantine(segment, groups[needed - 1], records[-1].at + seconds, engines)

    def quarantines(self) -> list[Quarantine]:
        """Returns all quarantines, also those that have ended without a trial."""
        crashes = Counter(segment for record in self.evidence for segment in record.suspects)
        suspects = [each for each, count in crashes.items() if count >= QUARANTINE_CRASHES]
        found = (self.find(segment) for segment in sorted(suspects))
        return [each for each in found if each is not None]

    def admit(self, request_id: str, segments: Sequence[str], now: float) -> Withheld | None:
        """Returns why a request is withheld; None if it may be sent.

        A request that may be sent although a segment of it is quarantined is the trial of that
        segment until `end_trial`.
        """
        if not len(self.evidence):
            return None
        self.evidence.expire(now)
        trials = []
        # Later segments are shared by fewer requests, so the reason given is the narrowest.
        for segment in reversed(segments):
            quarantine = self.find(segment)
            if quarantine is None:
                continue
            if self._is_in_force(quarantine, segments, now):
                return Withheld(quarantine, quarantine.until - now)
            turn_at = quarantine.until + TURN_SECONDS * min(self._rank(segment), MAX_TURNS)
            if quarantine.until <= now < turn_at:
                return Withheld(quarantine, turn_at - now)
            if self._trials.get(segment, request_id) != request_id:
                return Withheld(quarantine, TRIAL_RETRY_SECONDS)
            trials.append(segment)
        self._trials.update(dict.fromkeys(trials, request_id))
        return None

    def blocking(self, segments: Sequence[str], now: float) -> Quarantine | None:
        """Returns the quarantine that ends a request at an engine that has not responded."""
        found = (self.find(segment) for segment in reversed(segments))
        return next(
            (each for each in found if each and self._is_in_force(each, segments, now)), None
        )

    def _is_in_force(self, quarantine: Quarantine, segments: Collection[str], now: float) -> bool:
        if now >= quarantine.until:
            return False
        records = self.evidence.crashes_of(quarantine.segment)
        crashes = len(_separate(records))
        return not all(
            any(
                len(_separate(self.evidence.crashes_of(other))) >= crashes
                for other in record.suspects.difference(segments)
            )
            for record in records
        )

    def end_trial(self, request_id: str) -> None:
        """Ends the trials of a request."""
        if self._trials:
            self._trials = {
                segment: each for segment, each in self._trials.items() if each != request_id
            }

    def is_suspect(self, segments: Collection[str]) -> bool:
        """Returns True if a segment is suspected of a crash and not known to be sound.

        A request with such a segment is not retried: that may crash the next engine.
        """
        return any(
            segment in record.suspects and segment not in record.sound
            for record in self.evidence
            for segment in segments
        )


def shared_segments(head: RequestHead) -> tuple[str, ...]:
    """Returns the names of a prompt's segments, each with its model, without the last one.

    The last segment is specific to one request or session, so no other request can crash on it.
    """
    return tuple(
        _bounded(f"{head.model}/{segment.segment_id}")
        for segment in head.prompt[:-1][:MAX_SEGMENTS]
    )


def _separate(records: Iterable[CrashRecord]) -> list[float]:
    """Returns the times of crashes, oldest first, without those that coincide with an earlier."""
    times: list[float] = []
    for record in records:
        gap = record.at - times[-1] if times else COINCIDENCE_SECONDS
        if not times or gap > min(COINCIDENCE_SECONDS, record.exposure):
            times.append(record.at)
    return times


def _bounded(name: str) -> str:
    if len(name) <= MAX_SEGMENT_CHARS:
        return name
    digest = xxhash.xxh3_128_hexdigest(name.encode())
    return f"{name[: MAX_SEGMENT_CHARS - len(digest) - 1]}~{digest}"
