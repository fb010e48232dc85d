"""Usage windows: summed from the counts of all entries and reported by one holder of a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._dependency import Dependency
from bilberryplank._events import set_within
from bilberryplank._logs import log_event
from bilberryplank._usage_store import COUNTS_TABLE, KEPT_WINDOWS
from bilberryplank_core.contracts import Condition, Put
from bilberryplank_core.direct import (
    SEAL_DELAY_SECONDS,
    STANDBY_WAIT_FACTOR,
    FleetClock,
    FleetMembers,
    LeaseHolder,
    UsageReportSink,
    WatchedTable,
    WindowSeal,
    may_seal,
    read_seal,
    sum_counts,
)
from bilberryplank_core.errors import LeaseLost, PlatformError, ReportRejected
from bilberryplank_core.settings import DirectEntrySettings

SEALS_TABLE = "usage-seals"
LEASE = "usage"
POLL_SECONDS = 0.5
RETRY_SECONDS = 0.5
WRITER_WINDOWS = 3
"""Windows back from which writers are awaited: longer than a process is usually cut off."""

LOOK_SPREAD_SECONDS = 0.2
"""Entries that hear of a lease given up look at it spread over this long."""

START_SPREAD_SECONDS = 0.5
"""Entries that start together look for the lease spread over this long."""

MAX_NAMES_LOGGED = 8
"""Names in one line of the log."""


GiveUp = Callable[[str, str], None]
"""Tells other entries a lease and its grant on which this process acts no more."""


class UsageReporter(Service):
    """Sums each window once, under a lease, and reports exactly what was sealed."""

    abstract = False

    def __init__(
        self,
        settings: DirectEntrySettings,
        owner: str,
        table: WatchedTable,
        reports: UsageReportSink,
        fleet_clock: FleetClock,
        members: FleetMembers,
        rng: Random,
        give_up: GiveUp,
        is_silent: Callable[[str], bool],
        flush: Callable[[], Awaitable[None]],
        clock: Callable[[], float] = boot_time,
    ) -> None:
        super().__init__()
        self.lease = LeaseHolder(
            LEASE, owner, table, clock, settings.lease_duration, settings.lease_margin, rng
        )
        self._settings = settings
        self._table = table
        self._reports = reports
        self._fleet_clock = fleet_clock
        self._clock = clock
        self._members = members
        self._rng = rng
        self._next: int | None = None
        self._retired = False
        self._give_up = give_up
        self._is_silent = is_silent
        self._flush = flush
        self._awaited: tuple[int, set[str]] = (0, set())
        self._given_up = asyncio.Event()
        self._lease_calls = Dependency("usage lease")
        self._report_calls = Dependency("usage reports")

    async def on_started(self) -> None:
        """Begins to contend."""
        self.add_future(self._contend())
        self.add_future(self._report_regularly())

    async def retire(self) -> None:
        """Gives the lease up at the start of a planned stop, and contends no more.

        A stop takes longer than a lease, so this process acts again only after that long.
        """
        self._retired = True
        held = self.lease.held(self._clock())
        grant = self.lease.relinquish()
        if grant:
            self._give_up(LEASE, grant)
        await self.lease.release()
        if held:
            log_event(logger, "lease_released", lease=LEASE, fence=self.lease.fence)

    def take_given_up(self, lease: str, grant: str) -> None:
        """Takes in that another entry acts on a grant no more."""
        if lease == LEASE and self._members.contends(LEASE):
            self.lease.record_relinquished(grant)
            self._given_up.set()

    async def _contend(self) -> None:
        # Entries that start together would else all find the lease free.
        await asyncio.sleep(self._rng.uniform(0, START_SPREAD_SECONDS))
        while not (self.should_stop or self._retired):
            held = self.lease.held(self._clock())
            try:
                holds = await (self.lease.renew() if held else self.lease.try_acquire())
            except PlatformError as exc:
                self._lease_calls.failed(exc)
            else:
                self._lease_calls.answered()
                if self._retired:
                    await self.lease.release()
                    return
                if holds != held:
                    event = "lease_acquired" if holds else "lease_lost"
                    log_event(logger, event, lease=LEASE, fence=self.lease.fence)
                    self._next = None
            holds = self.lease.held(self._clock())
            pause = self.lease.delay() if holds else self._look_again()
            if await set_within(self._given_up, pause):
                await asyncio.sleep(self._rng.uniform(0, LOOK_SPREAD_SECONDS))

    def _look_again(self) -> float:
        """Returns the seconds until another look at a lease that is not held here."""
        if self.lease.may_be_free():
            return RETRY_SECONDS
        wait = self.lease.takeover_delay()
        return wait if self._members.contends(LEASE) else wait * STANDBY_WAIT_FACTOR

    async def _report_regularly(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(POLL_SECONDS)
            if not self.lease.held(self._clock()):
                continue
            try:
                await self._advance()
            except (PlatformError, LeaseLost) as exc:
                self._report_calls.failed(exc)
                await asyncio.sleep(RETRY_SECONDS)
            else:
                self._report_calls.answered()

    async def _advance(self) -> None:
        now = self._fleet_clock.now()
        if now is None:
            return
        window = self._settings.usage_window
        last_ended = int(now // window) - 1
        oldest = int((now - self._settings.usage_deadline) // window)
        if self._next is None:
            self._next = await self._first_unreported(oldest)
        number = self._next
        while number <= last_ended and self.lease.held(self._clock()):
            if not await self._report(number, now - (number + 1) * window):
                return
            if self._next != number:
                # The lease was lost and taken again meanwhile; others may have reported since.
                return
            self._next = number = number + 1

    async def _first_unreported(self, oldest: int) -> int:
        rows = await self._table.scan(SEALS_TABLE)
        reported = [int(row.key) for row in rows if read_seal(row.value).reported]
        return max([oldest, *(number + 1 for number in reported)])

    async def _report(self, number: int, age: float) -> bool:
        """Reports a window that ended `age` seconds ago; returns False where it must wait."""
        if age < SEAL_DELAY_SECONDS:
            return False
        seal = await self._sealed(number, age)
        if seal is None:
            return False
        guard = self.lease.guard()
        fence = self.lease.fence
        event, level = "usage_reported", "INFO"
        try:
            await self._reports.send(number, seal.counts, self._settings.name, fence, guard)
        except ReportRejected as exc:
            # Sent again it would be rejected again, and hold up all later windows.
            event, level = "usage_rejected", "ERROR"
            self._report_calls.failed(exc)
        log_event(
            logger,
            event,
            level=level,
            window=number,
            fence=fence,
            age=round(age, 2),
            organisations=len(seal.counts),
            requests=sum(seal.counts.values()),
        )
        done = WindowSeal(seal.counts, reported=True)
        await self._table.commit([], [Put(SEALS_TABLE, f"{number:012d}", done.to_value())])
        await self._drop_old(number)
        return True

    async def _sealed(self, number: int, age: float) -> WindowSeal | None:
        """Returns the fixed figures of a window; None where counts are still awaited."""
        key = f"{number:012d}"
        row = await self._table.read(SEALS_TABLE, key)
        if row is not None:
            return read_seal(row.value)
        # This process may hold counts of others, taken over while the store did not answer.
        await self._flush()
        counts = await self._counts_of(number)
        expected: set[str] = set()
        for before in range(number - WRITER_WINDOWS, number):
            expected |= _names(await self._counts_of(before))
        expected = {name for name in expected if not self._is_silent(name)}
        present = _names(counts)
        if not may_seal(age, self._settings.usage_deadline, present, expected):
            self._log_awaited(number, age, expected - present)
            return None
        seal = WindowSeal(sum_counts(counts.values()))
        conditions = [Condition(SEALS_TABLE, key, 0), self.lease.fence_condition()]
        await self._table.commit(conditions, [Put(SEALS_TABLE, key, seal.to_value())])
        return seal

    def _log_awaited(self, number: int, age: float, missing: set[str]) -> None:
        if missing and self._awaited != (number, missing):
            self._awaited = number, missing
            names = sorted(missing)[:MAX_NAMES_LOGGED]
            log_event(logger, "usage_awaited", window=number, age=round(age, 2), entries=names)

    async def _counts_of(self, number: int) -> dict[str, dict[str, int]]:
        """Returns the counts that each process stored for a window."""
        rows = await self._table.scan(COUNTS_TABLE, f"{number:012d}/")
        return {row.key.partition("/")[2]: row.value for row in rows}

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


def _names(counts: dict[str, dict[str, int]]) -> set[str]:
    """Returns the names of processes among writers; a restarted one counts as the one before."""
    return {writer.rpartition("/")[0] for writer in counts}
