"""Usage of a direct entry: counts of windows into the table, and their report by one holder."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._logs import log_event
from bilberryplank_core.contracts import Condition, Put
from bilberryplank_core.direct import (
    TrueTime,
    WatchedTable,
    WindowCounts,
    WindowReports,
    WindowSeal,
    read_seal,
    sum_counts,
)
from bilberryplank_core.errors import Conflict, LeaseLost, PlatformError
from bilberryplank_core.fleet import LeaseHolder
from bilberryplank_core.settings import DirectEntrySettings

COUNTS_TABLE = "usage-counts"
SEALS_TABLE = "usage-seals"
TIME_TABLE = "true-time"
TIME_KEY = "offset"
LEASE = "usage"
FLUSH_DELAY_SECONDS = 0.4
"""A window's counts are stored this long after its end; requests begin to count at once."""

SEAL_DELAY_SECONDS = 2.5
"""A window is summed this long after its end, when all entries have stored their counts."""

POLL_SECONDS = 0.25
RETRY_SECONDS = 0.5
KEPT_WINDOWS = 12
"""Windows whose rows are kept for a report that is late."""


class TrueTimeKeeper(Service):
    """Learns the fleet's figure of true time; writes it where nobody has."""

    abstract = False

    def __init__(self, table: WatchedTable, true_time: TrueTime) -> None:
        super().__init__()
        self._table = table
        self._true_time = true_time

    async def on_started(self) -> None:
        """Begins to ask."""
        self.add_future(self._learn())

    async def _learn(self) -> None:
        while not self.should_stop:
            try:
                offset = await self._offset()
            except PlatformError as exc:
                log_event(logger, "true_time_unknown", level="WARNING", cause=exc)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._true_time.agree(offset)
            log_event(logger, "true_time_agreed", offset=offset)
            return

    async def _offset(self) -> float:
        row = await self._table.read(TIME_TABLE, TIME_KEY)
        if row is None:
            offset = time.time() - self._true_time.store_time()
            value = {"offset": offset}
            try:
                await self._table.commit(
                    [Condition(TIME_TABLE, TIME_KEY, 0)], [Put(TIME_TABLE, TIME_KEY, value)]
                )
            except Conflict:
                row = await self._table.read(TIME_TABLE, TIME_KEY)
            else:
                return offset
        return float(row.value["offset"]) if row is not None else await self._offset()


class UsageStore(Service):
    """Stores the counts of this process once a window has ended."""

    abstract = False

    def __init__(
        self,
        writer: str,
        table: WatchedTable,
        counts: WindowCounts,
        true_time: TrueTime,
    ) -> None:
        super().__init__()
        self._writer = writer
        self._table = table
        self._counts = counts
        self._true_time = true_time

    async def on_started(self) -> None:
        """Begins to store."""
        self.add_future(self._flush_regularly())

    async def flush(self, include_open: bool = False) -> None:
        """Stores what has changed; `include_open` takes the current window too."""
        now = self._true_time.now()
        if now is None:
            return
        for number in self._counts.unsaved(now - FLUSH_DELAY_SECONDS, include_open):
            value = self._counts.value(number)
            put = Put(COUNTS_TABLE, f"{number:012d}/{self._writer}", value)
            await self._table.commit([], [put])
            self._counts.saved(number, value)

    async def _flush_regularly(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(POLL_SECONDS)
            try:
                await self.flush()
            except PlatformError as exc:
                log_event(logger, "usage_not_stored", level="WARNING", cause=exc)
                await asyncio.sleep(RETRY_SECONDS)


class UsageReporter(Service):
    """Sums each window once, under a lease, and reports exactly what was sealed."""

    abstract = False

    def __init__(
        self,
        settings: DirectEntrySettings,
        owner: str,
        table: WatchedTable,
        reports: WindowReports,
        true_time: TrueTime,
        rng: Random,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        super().__init__()
        self.lease = LeaseHolder(
            LEASE, owner, table, clock, settings.lease_duration, settings.lease_margin, rng
        )
        self._settings = settings
        self._table = table
        self._reports = reports
        self._true_time = true_time
        self._clock = clock
        self._next: int | None = None

    async def on_started(self) -> None:
        """Begins to contend."""
        self.add_future(self._contend())
        self.add_future(self._report_regularly())

    async def _contend(self) -> None:
        # The lease is never given up early: so two holders never act in turns within its duration.
        while not self.should_stop:
            held = self.lease.held(self._clock())
            try:
                holds = await (self.lease.renew() if held else self.lease.try_acquire())
            except PlatformError as exc:
                log_event(logger, "lease_call_failed", level="WARNING", lease=LEASE, cause=exc)
            else:
                if holds != held:
                    event = "lease_acquired" if holds else "lease_lost"
                    log_event(logger, event, lease=LEASE, fence=self.lease.fence)
                    self._next = None
            await asyncio.sleep(self.lease.delay())

    async def _report_regularly(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(POLL_SECONDS)
            if not self.lease.held(self._clock()):
                continue
            try:
                await self._advance()
            except (PlatformError, LeaseLost) as exc:
                log_event(logger, "usage_not_reported", level="WARNING", cause=exc)
                await asyncio.sleep(RETRY_SECONDS)

    async def _advance(self) -> None:
        now = self._true_time.now()
        if now is None:
            return
        window = self._settings.usage_window
        last_due = int((now - SEAL_DELAY_SECONDS) // window) - 1
        oldest = int((now - self._settings.usage_deadline) // window)
        if self._next is None:
            self._next = await self._first_unreported(oldest)
        while self._next <= last_due and self.lease.held(self._clock()):
            await self._report(self._next)
            self._next += 1

    async def _first_unreported(self, oldest: int) -> int:
        rows = await self._table.scan(SEALS_TABLE)
        reported = [int(row.key) for row in rows if read_seal(row.value).reported]
        return max([oldest, *(number + 1 for number in reported)])

    async def _report(self, number: int) -> None:
        seal = await self._sealed(number)
        guard = self.lease.guard()
        owner = seal.counts
        await self._reports.send(number, owner, self._settings.name, self.lease.fence, guard)
        log_event(
            logger,
            "usage_reported",
            window=number,
            fence=self.lease.fence,
            organisations=len(seal.counts),
            requests=sum(seal.counts.values()),
        )
        done = WindowSeal(seal.counts, reported=True)
        await self._table.commit([], [Put(SEALS_TABLE, f"{number:012d}", done.to_value())])
        await self._drop_old(number)

    async def _sealed(self, number: int) -> WindowSeal:
        key = f"{number:012d}"
        row = await self._table.read(SEALS_TABLE, key)
        if row is not None:
            return read_seal(row.value)
        rows = await self._table.scan(COUNTS_TABLE, f"{key}/")
        seal = WindowSeal(sum_counts(each.value for each in rows))
        conditions = [Condition(SEALS_TABLE, key, 0), self.lease.fence_condition()]
        await self._table.commit(conditions, [Put(SEALS_TABLE, key, seal.to_value())])
        return seal

    async def _drop_old(self, number: int) -> None:
        if number % KEPT_WINDOWS:
            return
        keys = []
        for table in (COUNTS_TABLE, SEALS_TABLE):
            rows = await self._table.scan(table)
            keys += [
                (table, row.key)
                for row in rows
                if int(row.key.partition("/")[0]) < number - KEPT_WINDOWS
            ]
        await self._table.forget(keys)
