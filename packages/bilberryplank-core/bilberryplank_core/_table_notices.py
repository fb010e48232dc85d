"""What entries tell each other of the platform's table, so that few of them need to read it.

A reader tells: between two revisions a table did not change, as of a moment on the store's clock.
Whoever holds the table as of the first revision or later then holds it as of the second, and knows
how old that is, without a call. Whoever does not must read. So a notice never carries rows, and a
late, lost, doubled or reordered one cannot bring anything older back into force.

Load pattern: hundreds of entries that each need the age of the configuration every second or two.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgpack

from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice
from bilberryplank_core._ranking import is_ranked

TABLE_FORMAT = 1
MAX_NOTICE_BYTES = 256
MAX_TABLE_CHARS = 64

TABLE_POLLERS = 4
"""Entries that read for all. Each entry hears all of them, so that one that lives and reaches the
store is enough."""

MIN_ENTRIES_FOR_POLLERS = 2 * TABLE_POLLERS
"""With fewer entries than this, each reads for itself: telling would save little."""

TABLE_POLLER_JOB = "read the tables"


@dataclass(slots=True, frozen=True)
class TableNotice:
    """A table did not change after one revision and up to another.

    Attributes:
        table: Name of the table.
        unchanged_since: Revision after which it did not change.
        upto: Revision up to which that is known.
        store_time: When the store said so, in seconds on its clock; None right after a change, when
            more changes may be on the way.
    """

    table: str
    unchanged_since: int
    upto: int
    store_time: float | None

    def covers(self, revision: int) -> bool:
        """Returns True where a table held as of a revision is held as of `upto` as well."""
        return revision >= self.unchanged_since

    def encode(self) -> bytes:
        """Returns the notice as a datagram."""
        return msgpack.packb(
            [TABLE_FORMAT, self.table, self.unchanged_since, self.upto, self.store_time]
        )

    @classmethod
    def decode(cls, data: bytes) -> TableNotice:
        """Returns the notice in a datagram.

        Raises:
            NoticeInvalid: It holds none, or one of another format.
        """
        fields = unpack_notice(data, TABLE_FORMAT, MAX_NOTICE_BYTES, fields=4)
        table, unchanged_since, upto, store_time = fields
        known_time = store_time is None or type(store_time) is float
        if [type(each) for each in fields[:3]] != [str, int, int] or not known_time:
            raise NoticeInvalid("fields of other types")
        if len(table) > MAX_TABLE_CHARS or not 0 <= unchanged_since <= upto:
            raise NoticeInvalid("its revisions or its table make no sense")
        return cls(table, unchanged_since, upto, store_time)


class UnchangedSpan:
    """Since when a table that this entry reads has not changed."""

    __slots__ = ("_changed", "_unchanged_since", "_upto")

    def __init__(self) -> None:
        self._changed = False
        self._unchanged_since: int | None = None
        self._upto = 0

    def record_answer(self, revision: int, changed: bool) -> None:
        """Takes in an answer of the table.

        Args:
            revision: Revision as of which the table is known now.
            changed: True where the answer held changes, or all rows.
        """
        if changed or self._unchanged_since is None:
            self._unchanged_since = revision
        self._changed = changed
        self._upto = max(self._upto, revision, self._unchanged_since)

    def record_failure(self) -> None:
        """Takes in that a read failed: what is known must be read again."""
        self._unchanged_since = None

    def make_notice(self, table: str, store_time: float) -> TableNotice | None:
        """Returns what to tell others; None where nothing is known."""
        if self._unchanged_since is None:
            return None
        as_of = None if self._changed else store_time
        return TableNotice(table, self._unchanged_since, self._upto, as_of)


def is_table_poller(name: str, names: Iterable[str]) -> bool:
    """Returns True where an entry is one of the readers of a fleet."""
    return is_ranked(TABLE_POLLER_JOB, name, names, TABLE_POLLERS)
