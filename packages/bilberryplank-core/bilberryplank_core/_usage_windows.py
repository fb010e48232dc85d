"""Aggregation of usage batches into windows, each record once.

Every pass over a shard is one transaction: the ids counted, the sums of the open windows and the
batches removed change together or not at all, conditional on the revisions that were read. So a
repeated, delayed or lost pass changes nothing twice, whoever makes it; the lease only saves work.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bilberryplank_core._contracts import Condition, Delete, Put, Row, Table, Write
from bilberryplank_core._leases import LeaseHolder
from bilberryplank_core._usage_ids import Counted, CountedIds
from bilberryplank_core._usage_records import UsageRecord, batch_records, batch_value
from bilberryplank_core._usage_spool import TABLE

MAX_BATCHES = 200
IDS_KEPT = 48 * 3600
"""Seconds for which the ids of a silent epoch are kept."""

Sums = dict[tuple[str, str], list[int]]
"""Prompt tokens, completion tokens and calls by organisation and class."""


@dataclass(slots=True)
class ShardState:
    """What a shard's row keeps between passes.

    Attributes:
        began: Start of the first window, in seconds since 1970.
        open_from: Start of the first window that is not closed.
        counted: Ids that were counted.
    """

    began: int
    open_from: int
    counted: CountedIds

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> ShardState:
        """Returns the state in a JSON value."""
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
    """What one pass over a shard did.

    Attributes:
        batches: Batches read.
        counted: Records counted.
        repeated: Records that had been counted.
        late: Records whose own window was closed.
        disputed: Records put aside for operators: whether they were counted is forgotten.
    """

    batches: int = 0
    counted: int = 0
    repeated: int = 0
    late: int = 0
    disputed: list[UsageRecord] = field(default_factory=list)


class UsageWindows:
    """Sums the usage of each window and closes windows once."""

    __slots__ = ("_grace", "_lease", "_table", "_wall_clock", "_window")

    def __init__(
        self,
        table: Table,
        lease: LeaseHolder,
        wall_clock: Callable[[], float],
        window: int,
        grace: int,
    ) -> None:
        """Makes an aggregator.

        Args:
            table: The platform's table service.
            lease: The lease of this job.
            wall_clock: Seconds since 1970; decides when windows close, not what is counted.
            window: Length of a window in seconds.
            grace: Seconds after its end for which a window stays open.
        """
        self._table = table
        self._lease = lease
        self._wall_clock = wall_clock
        self._window = window
        self._grace = grace

    async def advance(self, shard: int) -> UsagePass:
        """Counts the batches of a shard and closes the windows that are due.

        Raises:
            LeaseLost: The lease is not held.
            Conflict: Reads were behind, or another process was faster; nothing was written.
            PlatformUnavailable: The outcome is unknown; a next pass goes on from what is there.
        """
        now = int(self._wall_clock())
        row = await self._table.read(TABLE, state_key(shard))
        state = self._state_of(row, now)
        before = state.open_from
        batches = await self._table.scan(TABLE, f"batch/{shard:02d}/", MAX_BATCHES)
        done = UsagePass(batches=len(batches))
        sums = self._sum(batches, state, now, done)
        if len(batches) < MAX_BATCHES:
            self._close(state, now)
        if row is not None and not batches and state.open_from == before:
            return done
        conditions = [
            self._lease.fence_condition(),
            Condition(TABLE, state_key(shard), row.revision if row else 0),
        ]
        writes: list[Write] = [Delete(TABLE, batch.key) for batch in batches]
        writes.extend(_disputed_puts(shard, done.disputed))
        await self._add_sums(shard, sums, conditions, writes)
        state.counted.forget(now - IDS_KEPT)
        writes.append(Put(TABLE, state_key(shard), state.to_value()))
        await self._table.commit(conditions, writes)
        return done

    def _state_of(self, row: Row | None, now: int) -> ShardState:
        if row is not None:
            return ShardState.from_value(row.value)
        start = self._window_of(now)
        return ShardState(start, start, CountedIds({}))

    def _window_of(self, seconds: float) -> int:
        return int(seconds) // self._window * self._window

    def _close(self, state: ShardState, now: int) -> None:
        state.open_from = max(state.open_from, self._window_of(now - self._grace))

    def _sum(
        self, batches: list[Row], state: ShardState, now: int, done: UsagePass
    ) -> dict[int, Sums]:
        sums: dict[int, Sums] = {}
        for batch in batches:
            for record in batch_records(batch.value):
                match state.counted.add(record.epoch, record.number, record.finished, now):
                    case Counted.NEW:
                        window = self._place(record, state, now, done)
                        add_figures(sums.setdefault(window, {}), record)
                    case Counted.REPEATED:
                        done.repeated += 1
                    case Counted.UNDECIDABLE:
                        done.disputed.append(record)
        return sums

    def _place(self, record: UsageRecord, state: ShardState, now: int, done: UsagePass) -> int:
        own = min(self._window_of(record.finished), self._window_of(now))
        done.counted += 1
        done.late += own < state.open_from
        return max(own, state.open_from)

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
            total = sums_of(row.value) if row else {}
            merge_sums(total, added)
            conditions.append(Condition(TABLE, key, row.revision if row else 0))
            writes.append(Put(TABLE, key, sums_value(total)))


def state_key(shard: int) -> str:
    """Returns the key of a shard's state row."""
    return f"state/{shard:02d}"


def part_key(window: int, shard: int) -> str:
    """Returns the key of the row with a shard's part of a window."""
    return f"part/{window:012d}/{shard:02d}"


def add_figures(sums: Sums, record: UsageRecord) -> None:
    """Adds a record to sums."""
    figures = sums.setdefault((record.organisation, record.class_name), [0, 0, 0])
    figures[0] += record.prompt_tokens
    figures[1] += record.completion_tokens
    figures[2] += record.calls


def merge_sums(total: Sums, added: Sums) -> None:
    """Adds sums to others."""
    for place, figures in added.items():
        before = total.setdefault(place, [0, 0, 0])
        for index, figure in enumerate(figures):
            before[index] += figure


def sums_value(sums: Sums) -> list[list[Any]]:
    """Returns sums as a sorted JSON value."""
    return [[*place, *figures] for place, figures in sorted(sums.items())]


def sums_of(value: list[list[Any]]) -> Sums:
    """Returns the sums in a JSON value."""
    return {(organisation, name): figures for organisation, name, *figures in value}


def _disputed_puts(shard: int, records: list[UsageRecord]) -> list[Put]:
    return [
        Put(TABLE, f"disputed/{shard:02d}/{record.record_id}", batch_value([record]))
        for record in records
    ]
