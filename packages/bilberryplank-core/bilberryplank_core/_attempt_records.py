"""Records of attempts from which a sidecar answers `Settle`, in bounded memory.

Forgetting is safe in one direction only: an attempt that may have run must never be taken for one
that never arrived. Three kinds of state are therefore dropped in three ways:

- The record of a dispatched attempt is dropped once its entry has acknowledged the answer, as the
  entry then asks no more. Without an acknowledgement the answer is dropped by age or size, but the
  hash of the attempt is kept.
- When these hashes overflow, the entry epoch of the oldest becomes undecidable: any unknown attempt
  of that epoch counts as one that may have run.
- A tombstone is kept while a link is open over which its `Dispatch` may still arrive. If there is
  no room for another tombstone, the attempt is undecidable instead.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from bilberryplank_core._forgotten_attempts import ForgottenAttempts
from bilberryplank_core._messages import AttemptId, Head, Usage
from bilberryplank_core._settlement import (
    DispatchStatus,
    KeptAnswer,
    NeverRan,
    Running,
    Settlement,
    Undecidable,
)

MAX_FORGOTTEN_ATTEMPTS = 16384
"""Hashes of forgotten attempts; a limit for each of the two kinds in `ForgottenAttempts`."""

MAX_TOMBSTONES = 4096

RECORD_BYTES = 512
"""Approximate memory of a record without its parts."""


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
    has_all_parts: bool = True
    expires_at: float = 0.0


@dataclass(slots=True)
class _Tombstone:
    links: set[int]
    expires_at: float


class AttemptRecords:
    """Attempts of one sidecar epoch, from the arrival of their `Dispatch` on.

    Times are monotonic seconds.

    Args:
        max_bytes: Size of `kept_bytes` above which answers are dropped.
        lifetime: Seconds for which a finished answer or a tombstone is kept.
        max_forgotten: Limit on the hashes of forgotten attempts, for each kind.
        max_tombstones: Limit on tombstones.

    Attributes:
        kept_bytes: Memory of all records and their parts, running answers included.
    """

    def __init__(
        self,
        max_bytes: int,
        lifetime: float,
        max_forgotten: int = MAX_FORGOTTEN_ATTEMPTS,
        max_tombstones: int = MAX_TOMBSTONES,
    ) -> None:
        self._max_bytes = max_bytes
        self._lifetime = lifetime
        self._max_tombstones = max_tombstones
        self._records: dict[AttemptId, _Record] = {}
        self._answered: OrderedDict[AttemptId, _Record] = OrderedDict()
        self._tombstones: OrderedDict[AttemptId, _Tombstone] = OrderedDict()
        self._forgotten = ForgottenAttempts(max_forgotten)
        self._links: dict[int, str] = {}
        self.kept_bytes = 0

    def link_opened(self, link: int, entry_epoch: str) -> None:
        """Records a link over which an entry may dispatch."""
        self._links[link] = entry_epoch

    def link_closed(self, link: int) -> None:
        """Records that no further frame of a link will be read."""
        self._links.pop(link, None)
        for tombstone in self._tombstones.values():
            tombstone.links.discard(link)

    def receive(self, attempt: AttemptId) -> DispatchStatus:
        """Records a `Dispatch`; only a `NEW` one may be queued or run."""
        if attempt in self._tombstones:
            return DispatchStatus.TOMBSTONE
        if attempt in self._records or attempt in self._forgotten:
            return DispatchStatus.DUPLICATE
        self._records[attempt] = _Record()
        self._resize(RECORD_BYTES)
        return DispatchStatus.NEW

    def dispatch(self, attempt: AttemptId) -> bool:
        """Records that the attempt is being sent to the upstream; False if it must not be sent."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.QUEUED:
            return False
        record.state = _State.DISPATCHED
        return True

    def refuse(self, attempt: AttemptId, now: float) -> bool:
        """Records that the attempt is refused; the refusal may be `NotRun` only if this is True."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.QUEUED:
            return False
        self._drop(attempt)
        if len(self._tombstones) < self._max_tombstones:
            self._tombstones[attempt] = _Tombstone(set(), now + self._lifetime)
        else:
            self._forgotten.add_closed(attempt)
        return True

    def keep_head(self, attempt: AttemptId, head: Head) -> None:
        """Stores status and headers of a running answer."""
        record = self._records.get(attempt)
        if record is not None:
            record.head = head

    def keep_part(self, attempt: AttemptId, data: bytes) -> None:
        """Stores the next part of a running answer, or drops all of its parts for lack of room."""
        record = self._records.get(attempt)
        if record is None or not record.has_all_parts:
            return
        record.parts.append(data)
        record.size += len(data)
        self._resize(len(data))
        self._make_room()
        if self.kept_bytes > self._max_bytes and record.has_all_parts:
            self._drop_parts(record)

    def end(self, attempt: AttemptId, usage: Usage, now: float) -> None:
        """Records that the answer is complete; it is kept for `lifetime`."""
        record = self._records.get(attempt)
        if record is None or record.state is not _State.DISPATCHED:
            return
        if not record.has_all_parts or record.head is None:
            self._forget(attempt)
            return
        record.state = _State.ANSWERED
        record.usage = usage
        record.expires_at = now + self._lifetime
        self._answered[attempt] = record
        self._make_room()

    def fail(self, attempt: AttemptId) -> None:
        """Records that a dispatched attempt ended without a complete answer; it may have run."""
        record = self._records.get(attempt)
        if record is not None and record.state is not _State.QUEUED:
            self._forget(attempt)

    def acknowledge(self, attempt: AttemptId) -> None:
        """Forgets an attempt whose end has reached the entry, which will not ask about it again."""
        record = self._records.get(attempt)
        if record is not None and record.state is _State.ANSWERED:
            self._drop(attempt)
        elif record is not None or attempt not in self._forgotten:
            return
        self._forgotten.add_closed(attempt)

    def settle(
        self, attempt: AttemptId, sidecar_epoch: str, own_epoch: str, now: float, link: int
    ) -> Settlement:
        """Returns the outcome of an attempt; `NeverRan` leaves a tombstone.

        Args:
            attempt: The attempt whose link was lost.
            sidecar_epoch: Epoch of the sidecar to which it was sent.
            own_epoch: Epoch of this sidecar.
            now: Time in seconds.
            link: Link of the query; a `Dispatch` of the attempt can only have used another link.
        """
        if sidecar_epoch != own_epoch:
            return Undecidable()
        record = self._records.get(attempt)
        if record is not None:
            return _settlement_of(record)
        if attempt in self._tombstones:
            return NeverRan()
        if self._forgotten.may_have_run(attempt) or not self._add_tombstone(attempt, now, link):
            return Undecidable()
        return NeverRan()

    def expire(self, now: float) -> None:
        """Drops expired answers, and expired tombstones whose `Dispatch` can no longer arrive."""
        for attempt in [key for key, record in self._answered.items() if record.expires_at <= now]:
            self._forget(attempt)
        for attempt, tombstone in list(self._tombstones.items()):
            if not tombstone.links and tombstone.expires_at <= now:
                del self._tombstones[attempt]
                self._forgotten.add_closed(attempt)

    def _add_tombstone(self, attempt: AttemptId, now: float, link: int) -> bool:
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

    def _drop_parts(self, record: _Record) -> None:
        self._resize(RECORD_BYTES - record.size)
        record.size = RECORD_BYTES
        record.parts.clear()
        record.has_all_parts = False

    def _forget(self, attempt: AttemptId) -> None:
        self._drop(attempt)
        self._forgotten.add_may_have_run(attempt)

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
