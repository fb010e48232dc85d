"""Peer notices with usage counts and leases, which entries exchange while the store is unavailable.

Motivating load: an outage of the store during which entries stop, or one entry cannot reach it. The
counts of a process for a window are one row, whichever entry writes it. A row that is written by
several entries, or twice, therefore counts once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgpack

from bilberryplank_core._checked_values import MAX_SAFE_INTEGER
from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice

COUNTS_FORMAT = 3
LEASE_FORMAT = 4
SEAL_FORMAT = 7

MAX_COUNTS_BYTES = 8192
"""Room for some 400 organisations; an entry at its target load serves 50 in a window."""

MAX_LEASE_BYTES = 256
MAX_NAME_CHARS = 128

MAX_HANDED_OVER_ROWS = 256
"""Unsaved rows of other processes: enough for a rolling stop of some 80 entries in an outage."""


@dataclass(slots=True, frozen=True)
class CountsNotice:
    """The final counts of one process for one window.

    Attributes:
        window: Number of the window.
        writer: Name and epoch of the process, `name/epoch`, as in the key of its row.
        counts: Number of requests by organisation.
    """

    window: int
    writer: str
    counts: Mapping[str, int]

    def encode(self) -> bytes:
        """Returns the notice as a datagram.

        Raises:
            NoticeInvalid: The counts do not fit into a notice.
        """
        return _pack_counts(COUNTS_FORMAT, self.window, self.writer, counts=self.counts)

    @classmethod
    def decode(cls, data: bytes) -> CountsNotice:
        """Returns the notice that a datagram holds.

        Raises:
            NoticeInvalid: The datagram is not a valid notice of this kind.
        """
        window, writer, counts = unpack_notice(data, COUNTS_FORMAT, MAX_COUNTS_BYTES, fields=3)
        if not _is_whole(window) or not _is_name(writer) or "/" not in writer:
            raise NoticeInvalid("window or writer is invalid")
        _check_counts(counts)
        return cls(window, writer, counts)


@dataclass(slots=True, frozen=True)
class SealNotice:
    """The counts with which a window is reported.

    Attributes:
        window: Number of the window.
        counts: Number of requests by organisation.
    """

    window: int
    counts: Mapping[str, int]

    def encode(self) -> bytes:
        """Returns the notice as a datagram.

        Raises:
            NoticeInvalid: The counts do not fit into a notice.
        """
        return _pack_counts(SEAL_FORMAT, self.window, counts=self.counts)

    @classmethod
    def decode(cls, data: bytes) -> SealNotice:
        """Returns the notice that a datagram holds.

        Raises:
            NoticeInvalid: The datagram is not a valid notice of this kind.
        """
        window, counts = unpack_notice(data, SEAL_FORMAT, MAX_COUNTS_BYTES, fields=2)
        if not _is_whole(window):
            raise NoticeInvalid("window is invalid")
        _check_counts(counts)
        return cls(window, counts)


@dataclass(slots=True, frozen=True)
class LeaseNotice:
    """A grant of a lease that its holder has relinquished.

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
        """Returns the notice that a datagram holds.

        Raises:
            NoticeInvalid: The datagram is not a valid notice of this kind.
        """
        lease, grant = unpack_notice(data, LEASE_FORMAT, MAX_LEASE_BYTES, fields=2)
        if not (_is_name(lease) and _is_name(grant)):
            raise NoticeInvalid("lease or grant is invalid")
        return cls(lease, grant)


class HandedOverCounts:
    """Rows of counts that other processes handed over to be stored here."""

    __slots__ = ("_unsaved_rows", "_saved_rows")

    def __init__(self) -> None:
        self._unsaved_rows: dict[tuple[int, str], Mapping[str, int]] = {}
        self._saved_rows: dict[tuple[int, str], Mapping[str, int]] = {}

    def add(self, notice: CountsNotice) -> bool:
        """Keeps a row to be saved; returns False if it is known or too many rows are unsaved."""
        key = notice.window, notice.writer
        if notice.counts in (self._unsaved_rows.get(key), self._saved_rows.get(key)):
            return False
        if key not in self._unsaved_rows and len(self._unsaved_rows) >= MAX_HANDED_OVER_ROWS:
            return False
        self._unsaved_rows[key] = notice.counts
        return True

    def unsaved(self) -> dict[tuple[int, str], Mapping[str, int]]:
        """Returns the rows that are not saved yet, by window and writer."""
        return dict(self._unsaved_rows)

    def mark_saved(self, rows: Mapping[tuple[int, str], Mapping[str, int]]) -> None:
        """Records that the store has these rows."""
        for key, counts in rows.items():
            if self._unsaved_rows.get(key) == counts:
                del self._unsaved_rows[key]
            self._saved_rows[key] = counts

    def mark_unsaved(self) -> None:
        """Records that the store may lack all rows."""
        self._unsaved_rows = {**self._saved_rows, **self._unsaved_rows}
        self._saved_rows.clear()

    def forget_before(self, window: int) -> None:
        """Drops the rows of windows before `window`."""
        for rows in (self._unsaved_rows, self._saved_rows):
            for key in [key for key in rows if key[0] < window]:
                del rows[key]


def _pack_counts(*fields: int | str, counts: Mapping[str, int]) -> bytes:
    data = msgpack.packb([*fields, dict(counts)])
    if len(data) > MAX_COUNTS_BYTES:
        raise NoticeInvalid(
            f"counts of {len(counts)} organisations exceed the size limit of a notice"
        )
    return data


def _check_counts(counts: object) -> None:
    if not isinstance(counts, dict) or not all(map(_is_count, counts.items())):
        raise NoticeInvalid("counts are invalid")


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS and value.isprintable()


def _is_count(item: tuple[object, object]) -> bool:
    return _is_name(item[0]) and _is_whole(item[1])


def _is_whole(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_SAFE_INTEGER
