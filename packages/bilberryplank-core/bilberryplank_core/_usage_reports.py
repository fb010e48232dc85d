"""Reports of closed usage windows.

The figures of a window are finalized (sealed) in one row, and its report is sent from that row
only, so that a repeated report has the same figures.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from bilberryplank_core._contracts import (
    Condition,
    Delete,
    ObjectStore,
    Put,
    Row,
    Table,
    UsageLine,
    UsageReport,
    UsageReports,
    Write,
)
from bilberryplank_core._errors import PlatformUnavailable, ReportRejected
from bilberryplank_core._leases import LeaseHolder
from bilberryplank_core._usage_records import USAGE_SHARDS
from bilberryplank_core._usage_spool import SPILL_PREFIX, TABLE
from bilberryplank_core._usage_windows import (
    ShardState,
    Sums,
    merge_sums,
    part_key,
    state_key,
    sums_from_value,
    sums_to_value,
)

NEXT_WINDOW_KEY = "report/next"
RETAINED_SEALED_WINDOWS = 48
MAX_RECOVERED_BATCHES = 20


class ReportState(Enum):
    """Reporting state of a finalized window."""

    SEALED = "sealed"
    REPORTED = "reported"
    REJECTED = "rejected"


@dataclass(slots=True, frozen=True)
class SealedWindow:
    """A finalized window: its figures never change once they are written.

    Attributes:
        window: Start of the window in seconds since 1970.
        fence: Fencing token under which the window was finalized.
        lines: `[organisation, class, prompt tokens, completion tokens, calls]` lists, sorted.
        state: Whether the report was accepted, rejected or not sent yet.
    """

    window: int
    fence: int
    lines: list[list[Any]]
    state: ReportState = ReportState.SEALED

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> SealedWindow:
        """Returns the window that a JSON value holds."""
        state = ReportState(value["state"])
        return cls(value["window"], value["fence"], value["lines"], state)

    def to_value(self) -> dict[str, Any]:
        """Returns the window as a JSON value."""
        return {
            "window": self.window,
            "fence": self.fence,
            "lines": self.lines,
            "state": self.state.value,
        }

    def to_report(self) -> UsageReport:
        """Returns the report of the window."""
        return UsageReport(self.window, self.fence, tuple(UsageLine(*line) for line in self.lines))


class UsageReporter:
    """Finalizes and reports closed windows in order, one at a time."""

    __slots__ = ("_lease", "_reports", "_table", "_window")

    def __init__(
        self, table: Table, reports: UsageReports, lease: LeaseHolder, window: int
    ) -> None:
        """Creates a reporter.

        Args:
            table: The platform's table service.
            reports: The platform's usage report interface.
            lease: The lease of this job.
            window: Length of a window in seconds.
        """
        self._table = table
        self._reports = reports
        self._lease = lease
        self._window = window

    async def advance(self) -> SealedWindow | None:
        """Reports the next closed window and returns it; None if no window is closed.

        Raises:
            LeaseLost: The lease is not held; nothing was sent.
            Conflict: A read was stale, or another process wrote first.
            PlatformUnavailable: The outcome is unknown; the next call sends the same figures.
        """
        next_row = await self._table.read(TABLE, NEXT_WINDOW_KEY)
        window = await self._next_window(next_row)
        if window is None:
            return None
        row = await self._table.read(TABLE, sealed_key(window))
        if row is None:
            await self._seal(window)
            row = await self._read_sealed(window)
        sealed = SealedWindow.from_value(row.value)
        try:
            await self._reports.send(sealed.to_report(), self._lease.guard())
            sealed = replace(sealed, state=ReportState.REPORTED)
        except ReportRejected:
            sealed = replace(sealed, state=ReportState.REJECTED)
        await self._record_outcome(sealed, row, next_row)
        return sealed

    async def _next_window(self, next_row: Row | None) -> int | None:
        states = []
        for shard in range(USAGE_SHARDS):
            row = await self._table.read(TABLE, state_key(shard))
            if row is None:
                return None
            states.append(ShardState.from_value(row.value))
        first = min(state.began for state in states)
        window = next_row.value["window"] if next_row else first
        return window if window < min(state.open_from for state in states) else None

    async def _seal(self, window: int) -> None:
        total: Sums = {}
        conditions = [self._lease.fence_condition(), Condition(TABLE, sealed_key(window), 0)]
        writes: list[Write] = []
        for shard in range(USAGE_SHARDS):
            key = part_key(window, shard)
            row = await self._table.read(TABLE, key)
            conditions.append(Condition(TABLE, key, row.revision if row else 0))
            if row is not None:
                merge_sums(total, sums_from_value(row.value))
                writes.append(Delete(TABLE, key))
        sealed = SealedWindow(window, self._lease.fence, sums_to_value(total))
        writes.append(Put(TABLE, sealed_key(window), sealed.to_value()))
        await self._table.commit(conditions, writes)

    async def _read_sealed(self, window: int) -> Row:
        row = await self._table.read(TABLE, sealed_key(window))
        if row is None:
            raise PlatformUnavailable("reads are behind; the sealed window is missing")
        return row

    async def _record_outcome(self, sealed: SealedWindow, row: Row, next_row: Row | None) -> None:
        conditions = [
            self._lease.fence_condition(),
            Condition(TABLE, row.key, row.revision),
            Condition(TABLE, NEXT_WINDOW_KEY, next_row.revision if next_row else 0),
        ]
        writes: list[Write] = [
            Put(TABLE, row.key, sealed.to_value()),
            Put(TABLE, NEXT_WINDOW_KEY, {"window": sealed.window + self._window}),
            Delete(TABLE, sealed_key(sealed.window - RETAINED_SEALED_WINDOWS * self._window)),
        ]
        await self._table.commit(conditions, writes)


async def recover_spilled(objects: ObjectStore, table: Table) -> int:
    """Moves spilled batches from the object store to the table and returns their number.

    Raises:
        PlatformUnavailable: A service did not respond; batches moved so far stay in the table.
    """
    names = await objects.names(SPILL_PREFIX)
    for name in names[:MAX_RECOVERED_BATCHES]:
        data = await objects.get(name)
        if data is not None:
            key = "batch/" + name.removeprefix(SPILL_PREFIX)
            await table.commit([], [Put(TABLE, key, json.loads(data))])
        await objects.delete(name)
    return len(names[:MAX_RECOVERED_BATCHES])


def sealed_key(window: int) -> str:
    """Returns the key of the row that holds a finalized window."""
    return f"sealed/{window:012d}"
