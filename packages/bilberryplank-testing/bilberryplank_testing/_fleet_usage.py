"""Measures the bytes and the time of usage records through spool, table and aggregation."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import time
import tracemalloc
from dataclasses import replace

from bilberryplank_core._usage_ids import CountedIds
from bilberryplank_core.contracts import Condition, Row, Table, Write
from bilberryplank_core.fleet import UsageRecord, UsageSpool, UsageWindows
from bilberryplank_testing._fleet_output import MICROSECONDS, show

BATCH_RECORDS = 53
PASS_BATCHES = 200
EPOCHS_PER_SHARD = 26
"""350 entries and the 67 restarts of a day, in 16 shards."""
OPEN_REQUESTS = 106
"""10.6 requests a second at an entry, 10 seconds each."""


class CountingTable(Table):
    """Keeps rows as JSON text and counts what passes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.revision = 0
        self.bytes_written = 0
        self.bytes_read = 0

    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row."""
        found = self.rows.get((table, key))
        if found is None:
            return None
        self.bytes_read += len(found[0])
        return Row(table, key, json.loads(found[0]), found[1])

    async def scan(self, table: str, prefix: str = "", limit: int = 1000) -> list[Row]:
        """Returns rows by prefix."""
        keys = sorted(key for name, key in self.rows if name == table and key.startswith(prefix))
        rows = [await self.read(table, key) for key in keys[:limit]]
        return [row for row in rows if row is not None]

    async def commit(self, conditions: list[Condition], writes: list[Write]) -> int:
        """Writes rows; conditions are taken to hold."""
        self.revision += 1
        for write in writes:
            value = getattr(write, "value", None)
            if value is None:
                self.rows.pop((write.table, write.key), None)
                continue
            text = json.dumps(value, separators=(",", ":"))
            self.bytes_written += len(text)
            self.rows[write.table, write.key] = (text, self.revision)
        return self.revision


class FreeLease:
    """A lease that is always held."""

    fence = 1

    def fence_condition(self) -> Condition:
        """Returns a condition that always holds."""
        return Condition("leases", "usage/fence", 1)


def make_records(rng: random.Random, epoch: str, start: int, count: int) -> list[UsageRecord]:
    """Returns records of one entry, a twentieth of them out of order."""
    numbers = list(range(start, start + count))
    for _ in range(count // 20):
        left, right = rng.randrange(count), rng.randrange(count)
        numbers[left], numbers[right] = numbers[right], numbers[left]
    return [
        UsageRecord(
            f"{epoch}-{number}",
            f"organisation-{int(rng.paretovariate(0.5)) % 8600:05d}",
            f"class{rng.randrange(6)}",
            rng.randrange(4000),
            rng.randrange(800),
            1,
            1_800_000_000.0,
        )
        for number in numbers
    ]


def measure_usage() -> None:
    """Measures the bytes and the time of a record through spool, table and aggregation."""
    asyncio.run(_measure_usage())


async def _measure_usage() -> None:
    table, rng = CountingTable(), random.Random(2)
    records = make_records(rng, "epoch-0123456789abcdef", 0, BATCH_RECORDS * PASS_BATCHES)
    spool = UsageSpool("run-0123456789abcdef", time.monotonic, 5.0, 20000, rng)
    start = time.perf_counter()
    for number in range(0, len(records), BATCH_RECORDS):
        for record in records[number : number + BATCH_RECORDS]:
            spool.add(record)
        await spool.flush(table)
    flushed = time.perf_counter() - start
    batch_bytes = table.bytes_written
    table.bytes_read = table.bytes_written = 0
    shard = int(next(key for _, key in table.rows).split("/")[1])
    windows = UsageWindows(table, FreeLease(), lambda: 1_800_000_000.0, 3600, 60)
    start = time.perf_counter()
    done = await windows.advance(shard)
    counted = time.perf_counter() - start
    show(
        "usage",
        records=len(records),
        batch_bytes_per_record=batch_bytes / len(records),
        flush_us_per_record=flushed / len(records) * MICROSECONDS,
        counted=done.counted,
        count_us_per_record=counted / len(records) * MICROSECONDS,
        read_bytes_per_record=table.bytes_read / len(records),
        written_bytes_per_record=table.bytes_written / len(records),
        state_bytes=len(table.rows["usage", f"state/{shard:02d}"][0]),
    )
    _measure_spool_memory(records)
    _measure_state(rng)


def _measure_spool_memory(records: list[UsageRecord]) -> None:
    gc.collect()
    tracemalloc.start()
    copies = [replace(record, record_id=f"{record.record_id}") for record in records]
    spool = UsageSpool("run", time.monotonic, 5.0, len(records), random.Random(1))
    for record in copies:
        spool.add(record)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    show("usage_memory", records=len(records), bytes_per_record=kept / len(records))


def _measure_state(rng: random.Random) -> None:
    counted = CountedIds({})
    for epoch in range(EPOCHS_PER_SHARD):
        for number in range(4 * OPEN_REQUESTS):
            if rng.random() > 0.25:
                counted.add(f"epoch-{epoch:016d}", number + 1_000_000, 0.0, 1_800_000_000)
    text = json.dumps(counted.to_value(), separators=(",", ":"))
    show("usage_state", epochs=EPOCHS_PER_SHARD, open_requests=OPEN_REQUESTS, bytes=len(text))
