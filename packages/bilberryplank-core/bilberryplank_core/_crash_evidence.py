"""Evidence of which prompt segments crash engines, shared by all entries of a fleet.

An engine that crashes ends every request of its batch, so one crash only makes suspects: the
segments of the requests whose response header had arrived without an event, or of the other
unsettled requests if there is none. A suspect that begins a response afterwards is cleared of that
crash. The sets of a record only grow, so records from several entries can be merged in any order,
any number of times.

Motivating load: a segment that crashes every engine that begins a response to it, in requests that
reach all entries, beside sound requests that share their other segments.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

EVIDENCE_SECONDS = 900.0
"""Time after which a crash no longer counts."""

SAME_CRASH_SECONDS = 1.0
"""Entries notice one crash of an engine within this time."""

MAX_CRASHES = 64
"""Crashes kept; the oldest is dropped first."""

MAX_SUSPECTS = 256
"""Segments kept of each crash, and of those cleared or known sound."""

MAX_SOUND_SEGMENTS = 4096
"""Segments remembered as sound; the one that was not used for longest is dropped first."""


UNKNOWN_EXPOSURE_SECONDS = 3600.0
"""Exposure of a record without a request that had begun."""


@dataclass(slots=True)
class CrashRecord:
    """What is known of one crash of an engine.

    Attributes:
        engine: Name and start of the engine, and the number of the crash if the same start is
            known to have crashed before.
        at: Time of the crash, in seconds on the clock of this process.
        begun: Segments of the requests whose response had a header and no event.
        unsettled: Segments of the requests without a response, or whose first event was recent.
        cleared: Segments that began a response at another engine since, or that an operator lifted.
        sound: Segments that had begun a response before the crash.
        exposure: Seconds from the sending of the latest request that had begun to the crash.
    """

    engine: str
    at: float
    begun: set[str] = field(default_factory=set)
    unsettled: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    sound: set[str] = field(default_factory=set)
    exposure: float = UNKNOWN_EXPOSURE_SECONDS

    @property
    def suspects(self) -> set[str]:
        """Segments that may have caused the crash."""
        return (self.begun or self.unsettled) - self.cleared

    def suspects_segment(self, segment: str) -> bool:
        """Returns True if a segment may have caused the crash."""
        return segment in (self.begun or self.unsettled) and segment not in self.cleared

    @property
    def sets(self) -> tuple[set[str], set[str], set[str], set[str]]:
        """The four sets, in the order of the fields."""
        return self.begun, self.unsettled, self.cleared, self.sound

    def merge(self, other: CrashRecord) -> bool:
        """Adds what another record of the same crash knows; returns True if anything is new."""
        before = [self.exposure, *(len(each) for each in self.sets)]
        self.at = min(self.at, other.at)
        self.exposure = min(self.exposure, other.exposure)
        for mine, theirs in zip(self.sets, other.sets, strict=True):
            _add_bounded(mine, theirs)
        return before != [self.exposure, *(len(each) for each in self.sets)]


class CrashEvidence:
    """Crashes of engines and the segments suspected of them."""

    __slots__ = ("_crashes", "_sound")

    def __init__(self) -> None:
        self._crashes: dict[str, CrashRecord] = {}
        self._sound: OrderedDict[str, None] = OrderedDict()

    def __iter__(self) -> Iterator[CrashRecord]:
        return iter(self._crashes.values())

    def __len__(self) -> int:
        return len(self._crashes)

    def add(self, record: CrashRecord) -> bool:
        """Adds a record of a crash or merges it; returns True if anything is new."""
        record.sound |= (record.begun | record.unsettled) & self._sound.keys()
        known = self._crashes.get(record.engine)
        if known is not None:
            return known.merge(record)
        added = CrashRecord(record.engine, record.at)
        added.merge(record)
        self._crashes[record.engine] = added
        if len(self._crashes) > MAX_CRASHES:
            oldest = min(self._crashes.values(), key=lambda each: each.at)
            del self._crashes[oldest.engine]
        return True

    def crash_id(self, engine: str, at: float) -> str:
        """Returns the `engine` of the record of a crash.

        Args:
            engine: Name and start of the engine; the start may be out of date.
            at: When the crash was noticed.
        """
        number, name = 1, engine
        while (known := self._crashes.get(name)) and at - known.at > SAME_CRASH_SECONDS:
            number += 1
            name = f"{engine}#{number}"
        return name

    def record_sound(self, segments: Collection[str], began_at: float) -> bool:
        """Records segments of a request that did not crash its engine.

        Args:
            segments: Segments of its prompt.
            began_at: When its response began. Earlier crashes are cleared of these segments.

        Returns:
            True if a suspect was cleared.
        """
        for segment in segments:
            self._sound[segment] = None
            self._sound.move_to_end(segment)
        while len(self._sound) > MAX_SOUND_SEGMENTS:
            self._sound.popitem(last=False)
        return self.clear(segments, began_at)

    def clear(self, segments: Iterable[str], before: float) -> bool:
        """Clears segments of the crashes up to a time; returns True if a suspect was cleared."""
        wanted = set(segments)
        changed = False
        for record in self._crashes.values():
            cleared = wanted & record.suspects
            if record.at <= before and cleared:
                _add_bounded(record.cleared, cleared)
                changed = True
        return changed

    def expire(self, now: float) -> None:
        """Drops crashes that no longer count."""
        for engine in [record.engine for record in self if now - record.at > EVIDENCE_SECONDS]:
            del self._crashes[engine]

    def crashes_of(self, segment: str) -> list[CrashRecord]:
        """Returns the crashes that a segment is suspected of, oldest first."""
        found = [record for record in self if record.suspects_segment(segment)]
        return sorted(found, key=lambda record: record.at)


def _add_bounded(segments: set[str], others: Iterable[str]) -> None:
    for segment in sorted(others):
        if len(segments) >= MAX_SUSPECTS:
            return
        segments.add(segment)
