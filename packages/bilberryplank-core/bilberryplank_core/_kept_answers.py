"""What a sidecar remembers of attempts, so that it can say what became of them.

Forgetting is safe in one direction only: an attempt that may have run must never be taken for one
that never arrived. So three things are forgotten in three ways:

- A dispatched attempt goes once its entry acknowledged the answer, and then asks no more. Without
  that word its answer goes by age or bytes, but its hash stays as a mark.
- Where such marks overflow, the entry epoch of the oldest is clouded: whatever is unknown of that
  epoch is undecidable from then on.
- A tombstone stays while a link is open over which its `Dispatch` may still arrive. Where there is
  no room for one more, the attempt is undecidable instead.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from bilberryplank_core._attempt_marks import AttemptMarks
from bilberryplank_core._messages import AttemptId, Head, Usage
from bilberryplank_core._settlement import (
    KeptAnswer,
    NeverRan,
    Reception,
    Running,
    Settlement,
    Undecidable,
)

MAX_MARKS = 16384
"""Marks of forgotten attempts."""

MAX_TOMBSTONES = 4096

RECORD_BYTES = 512
"""Memory of a record without its parts, about."""


class _State(Enum):
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"


@dataclass(slots=True)
class _Record:
    state: _State = _State.QUEUED
    head: Head | None = None
    parts: list[bytes] = field(default_factory=list)
    usage: Usage | None = None
    size: int = RECORD_BYTES
    whole: bool = True
    expires: float = 0.0


@dataclass(slots=True)
class _Tombstone:
    links: set[int]
    expires: float


class KeptAnswers:
    """Attempts of this run of a sidecar, from the arrival of their `Dispatch` on.

    Kept bytes count parts and records of answers; those of running answers count as well. Times are
    in seconds on a monotonic clock.
    """

    def __init__(
        self,
        max_bytes: int,
        lifetime: float,
        max_marks: int = MAX_MARKS,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        self._max_bytes = max_bytes
        self._lifetime = lifetime
        self._max_tombstones = max_tombstones
        self._records: dict[AttemptId, _Record] = {}
        self._answered: OrderedDict[AttemptId, _Record] = OrderedDict()
        self._tombstones: OrderedDict[AttemptId, _Tombstone] = OrderedDict()
        self._marks = AttemptMarks(max_marks)
        self._links: dict[int, str] = {}
        self.kept_bytes = 0

    def link_opened(self, link: int, entry_epoch: str) -> None:
        """Notes a link over which an entry may dispatch."""
        self._links[link] = entry_epoch

    def link_closed(self, link: int) -> None:
        """Notes that no frame of a link will be read any more."""
        self._links.pop(link, None)
        for tombstone in self._tombstones.values():
            tombstone.links.discard(link)

    def receive(self, attempt: AttemptId) -> Reception:
        """Notes a `Dispatch`; only a `NEW` one may be queued or run."""
        if attempt in self._tombstones:
            return Reception.TOMBSTONE
        if attempt in self._records or attempt in self._marks:
            return Reception.DUPLICATE
        self._records[attempt] = _Record()
        self._resize(RECORD_BYTES)
        return Reception.NEW

    def dispatch(self, attempt: AttemptId) -> bool:
        """Notes that the attempt goes to the upstream now; it must not where this is False."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.QUEUED:
            return False
        record.state = _State.DISPATCHED
        return True

    def refuse(self, attempt: AttemptId, now: float) -> bool:
        """Notes that the attempt is refused; the refusal is `NotRun` only where this is True."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.QUEUED:
            return False
        self._drop(attempt)
        if len(self._tombstones) < self._max_tombstones:
            self._tombstones[attempt] = _Tombstone(set(), now + self._lifetime)
        else:
            self._marks.close(attempt)
        return True

    def keep_head(self, attempt: AttemptId, head: Head) -> None:
        """Keeps status and headers of a running answer."""
        record = self._records.get(attempt)
        if record is not None:
            record.head = head

    def keep_part(self, attempt: AttemptId, data: bytes) -> None:
        """Keeps the next part of a running answer, or drops its parts where there is no room."""
        record = self._records.get(attempt)
        if record is None or not record.whole:
            return
        record.parts.append(data)
        record.size += len(data)
        self._resize(len(data))
        self._make_room()
        if self.kept_bytes > self._max_bytes and record.whole:
            self._strip(record)

    def end(self, attempt: AttemptId, usage: Usage, now: float) -> None:
        """Notes that the answer is whole; it is kept for its lifetime."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.DISPATCHED:
            return
        if not record.whole or record.head is None:
            self._forget(attempt)
            return
        record.state = _State.ANSWERED
        record.usage = usage
        record.expires = now + self._lifetime
        self._answered[attempt] = record
        self._make_room()

    def fail(self, attempt: AttemptId) -> None:
        """Notes that a dispatched attempt ended without a whole answer; it may have run."""
        record = self._records.get(attempt)
        if record is not None and record.state is not _State.QUEUED:
            self._forget(attempt)

    def acknowledge(self, attempt: AttemptId) -> None:
        """Forgets an attempt whose end the entry has; the entry asks about it no more."""
        record = self._records.get(attempt)
        if record is not None and record.state is _State.ANSWERED:
            self._drop(attempt)
        elif record is not None or attempt not in self._marks:
            return
        self._marks.close(attempt)

    def settle(
        self, attempt: AttemptId, sidecar_epoch: str, own_epoch: str, now: float, link: int
    ) -> Settlement:
        """Returns what became of an attempt; `NeverRan` leaves a tombstone.

        Args:
            attempt: The attempt whose link was lost.
            sidecar_epoch: Epoch of the sidecar to which it was sent.
            own_epoch: Epoch of this sidecar.
            now: Time in seconds.
            link: Link of the question; the `Dispatch` came over another one, if it did.
        """
        if sidecar_epoch != own_epoch:
            return Undecidable()
        record = self._records.get(attempt)
        if record is not None:
            return _settlement_of(record)
        if attempt in self._tombstones:
            return NeverRan()
        if self._marks.may_have_run(attempt) or not self._bury(attempt, now, link):
            return Undecidable()
        return NeverRan()

    def expire(self, now: float) -> None:
        """Drops answers whose lifetime is over, and tombstones that nothing can reach."""
        for attempt in [key for key, kept in self._answered.items() if kept.expires <= now]:
            self._forget(attempt)
        for attempt, tombstone in list(self._tombstones.items()):
            if not tombstone.links and tombstone.expires <= now:
                del self._tombstones[attempt]
                self._marks.close(attempt)

    def _bury(self, attempt: AttemptId, now: float, link: int) -> bool:
        if len(self._tombstones) >= self._max_tombstones:
            self.expire(now)
        if len(self._tombstones) >= self._max_tombstones:
            return False
        links = {other for other, epoch in self._links.items() if epoch == attempt.epoch}
        self._tombstones[attempt] = _Tombstone(links - {link}, now + self._lifetime)
        return True

    def _make_room(self) -> None:
        while self.kept_bytes > self._max_bytes and self._answered:
            self._forget(next(iter(self._answered)))

    def _strip(self, record: _Record) -> None:
        self._resize(RECORD_BYTES - record.size)
        record.size = RECORD_BYTES
        record.parts.clear()
        record.whole = False

    def _forget(self, attempt: AttemptId) -> None:
        self._drop(attempt)
        self._marks.lose(attempt)

    def _drop(self, attempt: AttemptId) -> None:
        record = self._records.pop(attempt)
        self._answered.pop(attempt, None)
        self._resize(-record.size)

    def _resize(self, size: int) -> None:
        self.kept_bytes += size


def _settlement_of(record: _Record) -> Settlement:
    match record.state:
        case _State.ANSWERED:
            return KeptAnswer(record.head, tuple(record.parts), record.usage)
        case _State.DISPATCHED:
            return Running(queued=False)
        case _:
            return Running(queued=True)
