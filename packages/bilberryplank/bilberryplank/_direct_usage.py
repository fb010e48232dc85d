"""Usage windows: summed from the counts of all entries and reported by one holder of a lease."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._dependency import Dependency
from bilberryplank._events import set_within
from bilberryplank._lease_calls import wait_answered
from bilberryplank._logs import log_event
from bilberryplank._store_restorer import RESTORES_PER_SECOND, RestoredPart
from bilberryplank._usage_seals import SEALS_TABLE, StoredSeal, WindowSeals
from bilberryplank._usage_store import COUNTS_TABLE, KEPT_WINDOWS
from bilberryplank_core.direct import (
    SEAL_DELAY_SECONDS,
    STANDBY_WAIT_FACTOR,
    EraTracker,
    FleetClock,
    FleetMembers,
    LeaseHolder,
    NoticeInvalid,
    SealNotice,
    UsageReportSink,
    WatchedTable,
    WindowGivenUp,
    WindowSeal,
    may_seal,
    sum_counts,
    window_of_key,
)
from bilberryplank_core.errors import LeaseLost, PlatformError, ReportRejected
from bilberryplank_core.settings import DirectEntrySettings

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

TellSeal = Callable[[int, Mapping[str, int]], None]
"""Tells some entries the counts with which a window is reported."""


class UsageReporter(Service, RestoredPart):
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
        flush: Callable[[], Awaitable[object]],
        tell_seal: TellSeal,
        eras: EraTracker,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        super().__init__()
        self.lease = LeaseHolder(
            LEASE,
            owner,
            table,
            clock,
            settings.lease_duration,
            settings.lease_margin,
            rng,
            eras=eras,
        )
        self._seals = WindowSeals(
            table,
            self.lease,
            fleet_clock,
            clock,
            settings.usage_window,
            settings.usage_deadline,
            lambda: (members.size or 1) / RESTORES_PER_SECOND,
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
        self._tell_seal = tell_seal
        self._told: int | None = None
        self._awaited: tuple[int, set[str]] = (0, set())
        self._given_up = asyncio.Event()
        self._lease_calls = Dependency("usage lease")
        self._report_calls = Dependency("usage reports")
        eras.subscribe(self._begin_era)

    async def on_started(self) -> None:
        """Begins to contend."""
        self.add_future(self._contend())
        self.add_future(self._report_regularly())

    async def restore(self) -> dict[str, int]:
        """Writes the seals again that the store lacks and this process remembers."""
        return {"seals": await self._seals.write_back()}

    async def retire(self) -> None:
        """Gives the lease up at the start of a planned stop, and contends no more.

        A report that is on its way is waited for: others would else report before it arrives. One
        that got no answer may still arrive, so the lease then expires as that of a killed process.
        A stop takes longer than a lease, so this process acts again only after that long.
        """
        self._retired = True
        held, fence = self.lease.held(self._clock()), self.lease.fence
        self.lease.relinquish()
        await wait_answered(self.lease)
        grant = self.lease.relinquish()
        if grant:
            self._give_up(LEASE, grant)
        await self.lease.release()
        if held:
            event = "lease_released" if grant else "lease_left_to_expire"
            log_event(logger, event, lease=LEASE, fence=fence)

    def take_given_up(self, lease: str, grant: str) -> None:
        """Takes in that another entry acts on a grant no more."""
        if lease == LEASE and self._members.contends(LEASE):
            self.lease.record_relinquished(grant)
            self._given_up.set()

    def take_seal(self, notice: SealNotice) -> None:
        """Takes in the counts with which another entry reports a window.

        Raises:
            NoticeInvalid: The window is not one of the last.
        """
        now = self._fleet_clock.now()
        windows_ago = -1 if now is None else now // self._settings.usage_window - notice.window
        if not 0 < windows_ago <= KEPT_WINDOWS:
            raise NoticeInvalid("its window is not one of these minutes")
        self._seals.hear(notice.window, dict(notice.counts))

    def _begin_era(self, _: int) -> None:
        self._next = None
        if self._members.contends(LEASE) or self.lease.may_be_free():
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
            await self._seals.record_tenure()
            self._next = await self._first_unreported(oldest, last_ended)
        number = self._next
        while number <= last_ended and self.lease.held(self._clock()):
            if not await self._report(number, now - (number + 1) * window):
                return
            if self._next != number:
                # The lease was lost and taken again meanwhile; others may have reported since.
                return
            self._next = number = number + 1

    async def _first_unreported(self, oldest: int, last_ended: int) -> int:
        reported = [each for each in await self._seals.reported() if each <= last_ended]
        first = max(reported, default=oldest - 1) + 1
        if first < oldest:
            log_event(
                logger, "usage_overdue", level="WARNING", window=first, windows=oldest - first
            )
        return max(oldest, first)

    async def _report(self, number: int, age: float) -> bool:
        """Reports a window that ended `age` seconds ago; returns False where it must wait."""
        if age < SEAL_DELAY_SECONDS:
            return False
        if not await self._seals.is_settled(age):
            return False
        try:
            stored = await self._sealed(number, age)
        except WindowGivenUp as exc:
            log_event(logger, "usage_given_up", level="WARNING", window=number, cause=exc)
            return True
        if stored is None:
            return False
        if not stored.seal.reported:
            await self._send(number, age, stored.seal)
        if not stored.marked:
            await self._seals.mark_reported(number, stored)
        await self._drop_old(number)
        return True

    async def _send(self, number: int, age: float, seal: WindowSeal) -> None:
        if self._told != number:
            self._tell_seal(number, seal.counts)
            self._told = number
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

    async def _sealed(self, number: int, age: float) -> StoredSeal | None:
        """Returns the fixed figures of a window; None where counts are still awaited."""
        stored = await self._seals.find(number)
        if stored is not None:
            return stored
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
        return await self._seals.make(number, sum_counts(counts.values()))

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
        for table in (COUNTS_TABLE, SEALS_TABLE):
            while keys := await self._old_keys(table, number - KEPT_WINDOWS):
                await self._table.forget([(table, key) for key in keys])

    async def _old_keys(self, table: str, oldest: int) -> list[str]:
        """Returns keys of rows of windows before `oldest`: as many as one scan finds."""
        windows = {row.key: window_of_key(row.key) for row in await self._table.scan(table)}
        return [key for key, window in windows.items() if window is not None and window < oldest]


def _names(counts: dict[str, dict[str, int]]) -> set[str]:
    """Returns the names of processes among writers; a restarted one counts as the one before."""
    return {writer.rpartition("/")[0] for writer in counts}
