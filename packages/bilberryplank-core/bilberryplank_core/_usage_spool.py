"""Buffers the usage records of one process until the table service has stored them.

Entry and sidecar buffer the same records. Normally the entry stores them; a sidecar waits until
the entry has had time to do so, or is gone. The process that stored a record notifies the other,
which drops its copy. A batch keeps its key and contents until it is stored, so that the retry after
a lost response writes the same row.
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
MAX_BACKOFF_SECONDS = 30.0
"""Longest delay between retries while the table is unavailable."""
FLUSH_JITTER_RATIO = 0.2
SPILL_PREFIX = "usage/"


@dataclass(slots=True)
class UsageSpoolCounters:
    """Counts of records by outcome; they only grow.

    Attributes:
        stored: Records that this process stored.
        confirmed: Records dropped because the peer stored them.
        spilled: Records moved to the object store.
        lost: Records dropped because neither store accepted them and the buffer was full.
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
    """Bounded buffer of usage records that are not stored yet.

    Flushes must not overlap: the caller awaits one before it starts the next.
    """

    __slots__ = (
        "_batch",
        "_clock",
        "_failures",
        "_hold_seconds",
        "_interval",
        "_limit",
        "_next_flush",
        "_records",
        "_rng",
        "_run_id",
        "_sequence",
        "counters",
    )

    def __init__(
        self,
        run_id: str,
        clock: Callable[[], float],
        interval: float,
        limit: int,
        rng: Random,
        hold_seconds: float = 0.0,
    ) -> None:
        """Creates an empty spool.

        Args:
            run_id: Unique id of this run of the process; part of the keys of its batches.
            clock: Returns monotonic seconds.
            interval: Seconds between flushes.
            limit: Records kept in memory; beyond it, the oldest are spilled to the object store.
            rng: Random source for jitter.
            hold_seconds: How long a record waits for the peer to store it; 0 at an entry.
        """
        self._run_id = run_id
        self._clock = clock
        self._interval = interval
        self._limit = limit
        self._rng = rng
        self._hold_seconds = hold_seconds
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
        """Whether the buffer is over its limit, so that `spill` is due."""
        return len(self) > self._limit

    def add(self, record: UsageRecord) -> None:
        """Buffers a record; it replaces a buffered record with the same id.

        While neither store accepts records, the oldest beyond twice the limit are dropped and
        counted as lost.
        """
        self._records[record.record_id] = (self._clock() + self._hold_seconds, record)
        if len(self._records) > 2 * self._limit:
            self._records.popitem(last=False)
            self.counters.lost += 1

    def confirm(self, record_ids: list[str]) -> None:
        """Drops records that the peer reported as stored."""
        for record_id in record_ids:
            if self._records.pop(record_id, None) is not None:
                self.counters.confirmed += 1

    def release(self, epoch: str) -> None:
        """Makes the records of an entry that is gone ready to store, without further wait.

        Args:
            epoch: Epoch of the entry.
        """
        for record_id, (_, record) in self._records.items():
            if record.epoch == epoch:
                self._records[record_id] = (self._clock(), record)

    def due(self) -> bool:
        """Returns whether a flush is due."""
        return self._clock() >= self._next_flush

    async def flush(self, table: Table, include_held: bool = False) -> list[str]:
        """Stores one batch and returns the ids of its records.

        Args:
            table: The platform's table service.
            include_held: Whether to store also records that wait for the peer, as before a stop.

        Raises:
            PlatformUnavailable: The outcome is unknown; the next flush retries the same batch.
        """
        self._batch = self._batch or self._next_batch(include_held)
        if self._batch is None:
            self._schedule_flush(0)
            return []
        put = Put(TABLE, self._batch.key, batch_value(self._batch.records))
        try:
            await table.commit([], [put])
        except PlatformUnavailable:
            self._schedule_flush(self._failures + 1)
            raise
        self._schedule_flush(0)
        return self._complete_batch()

    async def spill(self, objects: ObjectStore) -> int:
        """Moves the oldest batch to the object store and returns its number of records.

        Raises:
            PlatformUnavailable: The outcome is unknown; the next call retries the same batch.
        """
        self._batch = self._batch or self._next_batch(include_held=True)
        if self._batch is None:
            return 0
        name = SPILL_PREFIX + self._batch.key.removeprefix("batch/")
        data = json.dumps(batch_value(self._batch.records), separators=(",", ":"))
        await objects.put(name, data.encode())
        spilled = len(self._batch.records)
        self._batch = None
        self.counters.spilled += spilled
        return spilled

    def _complete_batch(self) -> list[str]:
        assert self._batch is not None
        stored = [record.record_id for record in self._batch.records]
        self._batch = None
        self.counters.stored += len(stored)
        return stored

    def _next_batch(self, include_held: bool) -> _Batch | None:
        now = self._clock()
        batch_records: list[UsageRecord] = []
        shard = None
        for ready_at, record in self._records.values():
            if ready_at > now and not include_held:
                continue
            shard = shard_of(record.epoch) if shard is None else shard
            if shard == shard_of(record.epoch):
                batch_records.append(record)
            if len(batch_records) == MAX_BATCH_RECORDS:
                break
        if shard is None:
            return None
        for record in batch_records:
            del self._records[record.record_id]
        self._sequence += 1
        return _Batch(f"batch/{shard:02d}/{self._run_id}/{self._sequence:08d}", batch_records)

    def _schedule_flush(self, failures: int) -> None:
        self._failures = failures
        if failures:
            max_wait = min(MAX_BACKOFF_SECONDS, self._interval * 2**failures)
            wait = self._rng.uniform(0, max_wait)
        elif self._has_ready_batch():
            wait = self._rng.uniform(0, self._interval)
        else:
            wait = self._interval * self._rng.uniform(
                1 - FLUSH_JITTER_RATIO, 1 + FLUSH_JITTER_RATIO
            )
        self._next_flush = self._clock() + wait

    def _has_ready_batch(self) -> bool:
        return len(self._records) >= MAX_BATCH_RECORDS
