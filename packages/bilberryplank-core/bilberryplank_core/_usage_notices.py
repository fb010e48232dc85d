"""What entries hand to each other of the usage duty while the store does not answer.

Load pattern: an outage of the store during which entries stop, or one entry is cut off from it. The
counts of a window have one row a process, whoever writes it, so a row that is written by several
entries, or twice, counts once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgpack

from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice

COUNTS_FORMAT = 3
LEASE_FORMAT = 4

MAX_COUNTS_BYTES = 8192
"""Longest notice of counts: some 400 organisations; an entry at the target serves 50 a window."""

MAX_LEASE_BYTES = 256
MAX_NAME_CHARS = 128

MAX_TAKEN = 256
"""Rows of others that are kept for the store: a rolling stop of some 80 entries in an outage."""


@dataclass(slots=True, frozen=True)
class CountsNotice:
    """The final counts of one process for one window.

    Attributes:
        window: Number of the window.
        writer: Name and epoch of the process, as in the key of its row.
        counts: Requests by organisation.
    """

    window: int
    writer: str
    counts: Mapping[str, int]

    def encode(self) -> bytes:
        """Returns the notice as a datagram.

        Raises:
            NoticeInvalid: The counts do not fit.
        """
        data = msgpack.packb([COUNTS_FORMAT, self.window, self.writer, dict(self.counts)])
        if len(data) > MAX_COUNTS_BYTES:
            raise NoticeInvalid(f"counts of {len(self.counts)} organisations do not fit")
        return data

    @classmethod
    def decode(cls, data: bytes) -> CountsNotice:
        """Returns the notice in a datagram.

        Raises:
            NoticeInvalid: It holds none.
        """
        window, writer, counts = unpack_notice(data, COUNTS_FORMAT, MAX_COUNTS_BYTES, fields=3)
        if type(window) is not int or window < 0 or not _is_name(writer) or "/" not in writer:
            raise NoticeInvalid("its window or its writer makes no sense")
        if not isinstance(counts, dict) or not all(map(_is_count, counts.items())):
            raise NoticeInvalid("its counts make no sense")
        return cls(window, writer, counts)


@dataclass(slots=True, frozen=True)
class LeaseNotice:
    """A grant of a lease on which its holder acts no more.

    Attributes:
        lease: Name of the lease.
        grant: Id of the grant, as in the lease's row.
    """

    lease: str
    grant: str

    def encode(self) -> bytes:
        """Returns the notice as a datagram."""
        return msgpack.packb([LEASE_FORMAT, self.lease, self.grant])

    @classmethod
    def decode(cls, data: bytes) -> LeaseNotice:
        """Returns the notice in a datagram.

        Raises:
            NoticeInvalid: It holds none.
        """
        lease, grant = unpack_notice(data, LEASE_FORMAT, MAX_LEASE_BYTES, fields=2)
        if not (_is_name(lease) and _is_name(grant)):
            raise NoticeInvalid("its lease or its grant makes no sense")
        return cls(lease, grant)


class TakenCounts:
    """Rows of counts that other processes handed over and the store does not have yet."""

    __slots__ = ("_rows", "_stored")

    def __init__(self) -> None:
        self._rows: dict[tuple[int, str], Mapping[str, int]] = {}
        self._stored: dict[tuple[int, str], Mapping[str, int]] = {}

    def take(self, notice: CountsNotice) -> bool:
        """Takes a row in; returns False where it is known, or too many wait."""
        key = notice.window, notice.writer
        if notice.counts in (self._rows.get(key), self._stored.get(key)):
            return False
        if key not in self._rows and len(self._rows) >= MAX_TAKEN:
            return False
        self._rows[key] = notice.counts
        return True

    def unsaved(self) -> dict[tuple[int, str], Mapping[str, int]]:
        """Returns the rows that wait, by window and writer."""
        return dict(self._rows)

    def saved(self, rows: Mapping[tuple[int, str], Mapping[str, int]]) -> None:
        """Takes in that the store has these rows."""
        for key, counts in rows.items():
            if self._rows.get(key) == counts:
                del self._rows[key]
            self._stored[key] = counts

    def forget_before(self, window: int) -> None:
        """Drops what is older than a window."""
        for rows in (self._rows, self._stored):
            for key in [key for key in rows if key[0] < window]:
                del rows[key]


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS and value.isprintable()


def _is_count(item: tuple[object, object]) -> bool:
    return _is_name(item[0]) and type(item[1]) is int and item[1] >= 0
