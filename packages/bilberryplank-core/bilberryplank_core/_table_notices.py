"""Peer notices about the platform's tables, so that only a few entries need to poll them.

A table poller reports that a table did not change between two revisions, as of a time on the
store's clock. An entry that holds the table as of the first revision or later then holds it as of
the second, and knows its age without a call. Any other entry must read the table, and so must one
that holds it as of another era of the store. So a late, lost, duplicated or reordered notice
cannot bring back older state. What changed in a long row may be told too; see `_row_edits`.

Motivating load: hundreds of entries that each need the age of the configuration every second or
two.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgpack

from bilberryplank_core._checked_values import MAX_SAFE_INTEGER
from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice
from bilberryplank_core._rendezvous import is_ranked

TABLE_FORMAT = 1
MAX_NOTICE_BYTES = 256
MAX_TABLE_CHARS = 64

TABLE_POLLERS = 4
"""Entries that poll for all. Each entry receives the notices of all of them, so one that is alive
and reaches the store is enough."""

MIN_ENTRIES_FOR_POLLERS = 2 * TABLE_POLLERS
"""With fewer entries than this, each polls by itself, as notices would save few calls."""

TABLE_POLLER_JOB = "read the tables"
"""Key of the ranking of entries, which must be the same for all of them."""


@dataclass(slots=True, frozen=True)
class TableNotice:
    """States that a table did not change between two revisions.

    Attributes:
        table: Name of the table.
        era: Era of the store in which the revisions were given out.
        unchanged_since: Revision after which the table did not change.
        upto: Revision up to which this is known.
        store_time: Time of the store's answer in seconds on its clock; None right after a change,
            when more changes may follow.
    """

    table: str
    era: int
    unchanged_since: int
    upto: int
    store_time: float | None

    def covers(self, era: int, revision: int) -> bool:
        """Returns True if a copy of the table as of `revision` is also valid as of `upto`."""
        return era == self.era and revision >= self.unchanged_since

    def is_newer_than(self, other: TableNotice) -> bool:
        """Returns True if this notice tells of the same moment as another, or a later one."""
        return (self.era, self.upto) >= (other.era, other.upto)

    def encode(self) -> bytes:
        """Returns the notice as a datagram."""
        return msgpack.packb(
            [
                TABLE_FORMAT,
                self.table,
                self.era,
                self.unchanged_since,
                self.upto,
                self.store_time,
            ]
        )

    @classmethod
    def decode(cls, data: bytes) -> TableNotice:
        """Returns the notice in a datagram.

        Raises:
            NoticeInvalid: The datagram is malformed or has another format.
        """
        fields = unpack_notice(data, TABLE_FORMAT, MAX_NOTICE_BYTES, fields=5)
        table, era, unchanged_since, upto, store_time = fields
        valid_time = store_time is None or type(store_time) is float
        if [type(field) for field in fields[:4]] != [str, int, int, int] or not valid_time:
            raise NoticeInvalid("fields have unexpected types")
        if len(table) > MAX_TABLE_CHARS or era < 0 or not 0 <= unchanged_since <= upto:
            raise NoticeInvalid("table name or revisions are out of range")
        if max(era, upto) > MAX_SAFE_INTEGER or not 0 <= (store_time or 0.0) <= MAX_SAFE_INTEGER:
            raise NoticeInvalid("a number is too large, or not finite")
        return cls(table, era, unchanged_since, upto, store_time)


class UnchangedSpan:
    """Tracks since which revision of an era a table that this entry polls has not changed."""

    __slots__ = ("_changed", "_era", "_unchanged_since", "_upto")

    def __init__(self, era: int) -> None:
        self._era = era
        self._changed = False
        self._unchanged_since: int | None = None
        self._upto = 0

    def record_answer(self, revision: int, changed: bool) -> None:
        """Records an answer of the table.

        Args:
            revision: Revision as of which the table is now known.
            changed: True if the answer contained changes, or all rows.
        """
        if changed or self._unchanged_since is None:
            self._unchanged_since = revision
        self._changed = changed
        self._upto = max(self._upto, revision, self._unchanged_since)

    def record_failure(self) -> None:
        """Records that a read failed, so that the table must be read again."""
        self._unchanged_since = None

    def make_notice(self, table: str, store_time: float) -> TableNotice | None:
        """Returns the notice for other entries; None if nothing is known."""
        if self._unchanged_since is None:
            return None
        as_of = None if self._changed else store_time
        return TableNotice(table, self._era, self._unchanged_since, self._upto, as_of)


def is_table_poller(name: str, names: Iterable[str]) -> bool:
    """Returns True if an entry is one of the table pollers of a fleet."""
    return is_ranked(TABLE_POLLER_JOB, name, names, TABLE_POLLERS)
