"""Aggregates usage batches into time windows and counts each record exactly once.

A pass over a shard is one transaction, conditional on the row revisions that were read: the ids
counted, the sums of the open windows and the deleted batches change together or not at all. A
repeated, delayed or lost pass therefore counts nothing twice, whichever process runs it. The lease
only avoids duplicate work.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bilberryplank_core._contracts import Condition, Delete, Put, Row, Table, Write
from bilberryplank_core._leases import LeaseHolder
from bilberryplank_core._usage_ids import CountedIds, IdStatus
from bilberryplank_core._usage_records import UsageRecord, batch_records, batch_value
from bilberryplank_core._usage_spool import TABLE

MAX_BATCHES_PER_PASS = 200
ID_RETENTION_SECONDS = 48 * 3600
"""How long the counted ids of an epoch are kept after its last record arrived."""

Sums = dict[tuple[str, str], list[int]]
"""`[prompt tokens, completion tokens, calls]` by organisation and request class."""


@dataclass(slots=True)
class ShardState:
    """Aggregation state of a shard, stored in its row between passes.

    Attributes:
        began: Start of the first window, in seconds since 1970.
        open_from: Start of the first window that is not closed, in seconds since 1970.
        counted: Ids of the records counted so far.
    """

    began: int
    open_from: int
    counted: CountedIds

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> ShardState:
        """Returns the state that a JSON value holds."""
        return cls(value["began"], value["open_from"], CountedIds.from_value(value["counted"]))

    def to_value(self) -> dict[str, Any]:
        """Returns the state as a JSON value."""
        return {
            "began": self.began,
            "open_from": self.open_from,
            "counted": self.counted.to_value(),
        }


@dataclass(slots=True)
class UsagePass:
    """Result of one aggregation pass over a shard.

    Attributes:
        batches: Batches read.
        counted: Records counted.
        repeated: Records skipped because an earlier pass had counted them.
        late: Records counted in a later window because their own was closed.
        disputed: Records set aside for operators, because it is no longer known whether they
            were counted.
    """

    batches: int = 0
    counted: int = 0
    repeated: int = 0
    late: int = 0
    disputed: list[UsageRecord] = field(default_factory=list)


class UsageWindows:
    """Adds usage records to the sums of their windows and closes each window once."""

    __slots__ = ("_grace", "_lease", "_table", "_wall_clock", "_window")

    def __init__(
        self,
        table: Table,
        lease: LeaseHolder,
        wall_clock: Callable[[], float],
        window: int,
        grace: int,
    ) -> None:
        """Creates an aggregator.

        Args:
            table: The platform's table service.
            lease: The lease of this job.
            wall_clock: Returns seconds since 1970; decides when windows close, not what is counted.
            window: Length of a window in seconds.
            grace: Seconds for which a window stays open after its end.
        """
        self._table = table
        self._lease = lease
        self._wall_clock = wall_clock
        self._window = window
        self._grace = grace

    async def advance(self, shard: int) -> UsagePass:
        """Counts a shard's stored batches and closes the windows that are due.

        Raises:
            LeaseLost: The lease is not held.
            Conflict: A read was stale, or another process wrote first; nothing was written.
            PlatformUnavailable: The outcome is unknown; the next pass continues from the stored
                state.
        """
        now = int(self._wall_clock())
        row = await self._table.read(TABLE, state_key(shard))
        state = self._load_state(row, now)
        previous_open_from = state.open_from
        batches = await self._table.scan(TABLE, f"batch/{shard:02d}/", MAX_BATCHES_PER_PASS)
        summary = UsagePass(batches=len(batches))
        sums = self._count_batches(batches, state, now, summary)
        if len(batches) < MAX_BATCHES_PER_PASS:
            self._close_due_windows(state, now)
        if row is not None and not batches and state.open_from == previous_open_from:
            return summary
        conditions = [
            self._lease.fence_condition(),
            Condition(TABLE, state_key(shard), row.revision if row else 0),
        ]
        writes: list[Write] = [Delete(TABLE, batch.key) for batch in batches]
        writes.extend(_disputed_puts(shard, summary.disputed))
        await self._add_sums(shard, sums, conditions, writes)
        state.counted.forget_idle(now - ID_RETENTION_SECONDS)
        writes.append(Put(TABLE, state_key(shard), state.to_value()))
        await self._table.commit(conditions, writes)
        return summary

    def _load_state(self, row: Row | None, now: int) -> ShardState:
        if row is not None:
            return ShardState.from_value(row.value)
        start = self._window_start(now)
        return ShardState(start, start, CountedIds({}))

    def _window_start(self, seconds: float) -> int:
        return int(seconds) // self._window * self._window

    def _close_due_windows(self, state: ShardState, now: int) -> None:
        state.open_from = max(state.open_from, self._window_start(now - self._grace))

    def _count_batches(
        self, batches: list[Row], state: ShardState, now: int, summary: UsagePass
    ) -> dict[int, Sums]:
        sums: dict[int, Sums] = {}
        for batch in batches:
            for record in batch_records(batch.value):
                match state.counted.add(record.epoch, record.number, record.finished, now):
                    case IdStatus.NEW:
                        window = self._assign_window(record, state, now, summary)
                        add_record(sums.setdefault(window, {}), record)
                    case IdStatus.REPEATED:
                        summary.repeated += 1
                    case IdStatus.UNDECIDABLE:
                        summary.disputed.append(record)
        return sums

    def _assign_window(
        self, record: UsageRecord, state: ShardState, now: int, summary: UsagePass
    ) -> int:
        own_window = min(self._window_start(record.finished), self._window_start(now))
        summary.counted += 1
        summary.late += own_window < state.open_from
        return max(own_window, state.open_from)

    async def _add_sums(
        self,
        shard: int,
        sums: dict[int, Sums],
        conditions: list[Condition],
        writes: list[Write],
    ) -> None:
        for window, added in sums.items():
            key = part_key(window, shard)
            row = await self._table.read(TABLE, key)
            total = sums_from_value(row.value) if row else {}
            merge_sums(total, added)
            conditions.append(Condition(TABLE, key, row.revision if row else 0))
            writes.append(Put(TABLE, key, sums_to_value(total)))


def state_key(shard: int) -> str:
    """Returns the key of a shard's state row."""
    return f"state/{shard:02d}"


def part_key(window: int, shard: int) -> str:
    """Returns the key of the row that holds a shard's sums for a window."""
    return f"part/{window:012d}/{shard:02d}"


def add_record(sums: Sums, record: UsageRecord) -> None:
    """Adds a record to the sums of its organisation and class."""
    figures = sums.setdefault((record.organisation, record.class_name), [0, 0, 0])
    figures[0] += record.prompt_tokens
    figures[1] += record.completion_tokens
    figures[2] += record.calls


def merge_sums(total: Sums, added: Sums) -> None:
    """Adds the sums `added` to `total`."""
    for group, figures in added.items():
        values = total.setdefault(group, [0, 0, 0])
        for index, figure in enumerate(figures):
            values[index] += figure


def sums_to_value(sums: Sums) -> list[list[Any]]:
    """Returns the JSON value of sums, sorted by organisation and class."""
    return [[*group, *figures] for group, figures in sorted(sums.items())]


def sums_from_value(value: list[list[Any]]) -> Sums:
    """Returns the sums that a JSON value holds."""
    return {(organisation, name): figures for organisation, name, *figures in value}


def _disputed_puts(shard: int, records: list[UsageRecord]) -> list[Put]:
    return [
        Put(TABLE, f"disputed/{shard:02d}/{record.record_id}", batch_value([record]))
        for record in records
    ]
