"""Usage records of one process until the table service has them.

Entry and sidecar keep the same records. The entry stores them first; a sidecar waits until the
entry could have done so, or is gone. Whoever stored a record tells the other, which drops its
copy. A batch keeps its key and contents until it is stored, so that a lost answer repeats it.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bilberryplank_core._contracts import ObjectStore, Put, Table
from bilberryplank_core._errors import PlatformUnavailable
from bilberryplank_core._usage_records import (
    UsageRecord,
    batch_value,
    shard_of,
)

TABLE = "usage"
MAX_BATCH_RECORDS = 1000
MAX_BACKOFF = 30.0
"""Seconds between tries while the table is unavailable."""
FLUSH_JITTER = 0.2
SPILL_PREFIX = "usage/"


@dataclass(slots=True)
class UsageSpoolCounters:
    """What became of records; grows only.

    Attributes:
        stored: Records that this process stored.
        confirmed: Records that the peer stored.
        spilled: Records moved to the object store.
        lost: Records dropped because neither store took them within the bounds.
    """

    stored: int = 0
    confirmed: int = 0
    spilled: int = 0
    lost: int = 0


@dataclass(slots=True)
class _Batch:
    key: str
    records: list[UsageRecord]


class UsageSpool:
    """Keeps usage records until a store has them, within a bound.

    Not for concurrent flushes: the caller awaits one before it begins the next.
    """

    __slots__ = (
        "_batch",
        "_clock",
        "_failures",
        "_hold",
        "_interval",
        "_limit",
        "_next_flush",
        "_records",
        "_rng",
        "_run",
        "_sequence",
        "counters",
    )

    def __init__(
        self,
        run: str,
        clock: Callable[[], float],
        interval: float,
        limit: int,
        rng: Random,
        hold: float = 0.0,
    ) -> None:
        """Makes an empty spool.

        Args:
            run: Unique id of this run of the process; part of the batches' keys.
            clock: Seconds, monotonic.
            interval: Seconds between flushes.
            limit: Records kept in memory; the oldest beyond it are moved to the object store.
            rng: Source of jitter.
            hold: Seconds for which a record waits for the peer to store it; 0 at an entry.
        """
        self._run = run
        self._clock = clock
        self._interval = interval
        self._limit = limit
        self._rng = rng
        self._hold = hold
        self._records: OrderedDict[str, tuple[float, UsageRecord]] = OrderedDict()
        self._batch: _Batch | None = None
        self._sequence = 0
        self._failures = 0
        self._next_flush = clock() + interval * rng.random()
        self.counters = UsageSpoolCounters()

    def __len__(self) -> int:
        return len(self._records) + (len(self._batch.records) if self._batch else 0)

    @property
    def overfull(self) -> bool:
        """True where `spill` is due."""
        return len(self) > self._limit

    def add(self, record: UsageRecord) -> None:
        """Keeps a record; one with the id of a kept record takes its place.

        While neither store takes records, the oldest beyond twice the limit are dropped and
        counted as lost.
        """
        self._records[record.record_id] = (self._clock() + self._hold, record)
        if len(self._records) > 2 * self._limit:
            self._records.popitem(last=False)
            self.counters.lost += 1

    def confirm(self, record_ids: list[str]) -> None:
        """Drops records that the peer says are stored."""
        for record_id in record_ids:
            if self._records.pop(record_id, None) is not None:
                self.counters.confirmed += 1

    def release(self, epoch: str) -> None:
        """Ends the wait for a peer that is gone: the entry with this epoch."""
        for record_id, (_, record) in self._records.items():
            if record.epoch == epoch:
                self._records[record_id] = (self._clock(), record)

    def due(self) -> bool:
        """Returns True where a flush is due."""
        return self._clock() >= self._next_flush

    async def flush(self, table: Table, everything: bool = False) -> list[str]:
        """Stores one batch; returns the ids of the records that the table now has.

        Args:
            table: The platform's table service.
            everything: True to store also what waits for the peer, as before a stop.

        Raises:
            PlatformUnavailable: The outcome is unknown; the next flush repeats the batch.
        """
        self._batch = self._batch or self._next_batch(everything)
        if self._batch is None:
            self._plan(0)
            return []
        put = Put(TABLE, self._batch.key, batch_value(self._batch.records))
        try:
            await table.commit([], [put])
        except PlatformUnavailable:
            self._plan(self._failures + 1)
            raise
        self._plan(0)
        return self._finish()

    async def spill(self, objects: ObjectStore) -> int:
        """Moves the oldest batch to the object store; returns the number of records moved.

        Raises:
            PlatformUnavailable: The outcome is unknown; the next call repeats the batch.
        """
        self._batch = self._batch or self._next_batch(everything=True)
        if self._batch is None:
            return 0
        name = SPILL_PREFIX + self._batch.key.removeprefix("batch/")
        data = json.dumps(batch_value(self._batch.records), separators=(",", ":"))
        await objects.put(name, data.encode())
        moved = len(self._batch.records)
        self._batch = None
        self.counters.spilled += moved
        return moved

    def _finish(self) -> list[str]:
        assert self._batch is not None
        stored = [record.record_id for record in self._batch.records]
        self._batch = None
        self.counters.stored += len(stored)
        return stored

    def _next_batch(self, everything: bool) -> _Batch | None:
        now = self._clock()
        chosen: list[UsageRecord] = []
        shard = None
        for ready_at, record in self._records.values():
            if ready_at > now and not everything:
                continue
            shard = shard_of(record.epoch) if shard is None else shard
            if shard == shard_of(record.epoch):
                chosen.append(record)
            if len(chosen) == MAX_BATCH_RECORDS:
                break
        if shard is None:
            return None
        for record in chosen:
            del self._records[record.record_id]
        self._sequence += 1
        return _Batch(f"batch/{shard:02d}/{self._run}/{self._sequence:08d}", chosen)

    def _plan(self, failures: int) -> None:
        self._failures = failures
        if failures:
            longest = min(MAX_BACKOFF, self._interval * 2**failures)
            wait = self._rng.uniform(0, longest)
        elif self._has_ready_batch():
            wait = self._rng.uniform(0, self._interval)
        else:
            wait = self._interval * self._rng.uniform(1 - FLUSH_JITTER, 1 + FLUSH_JITTER)
        self._next_flush = self._clock() + wait

    def _has_ready_batch(self) -> bool:
        return len(self._records) >= MAX_BATCH_RECORDS
