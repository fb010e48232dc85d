"""Seals of usage windows in the store, and what this process remembers of them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from bilberryplank._logs import log_event
from bilberryplank._usage_store import KEPT_WINDOWS
from bilberryplank_core.contracts import Condition, Put, Row
from bilberryplank_core.direct import (
    REPORT_MARGIN_SECONDS,
    SEAL_DELAY_SECONDS,
    EraOpening,
    FleetClock,
    LeaseHolder,
    SealInvalid,
    SealMemory,
    WatchedTable,
    WindowGivenUp,
    WindowSeal,
    read_seal,
    seal_may_be_forgotten,
    window_of_key,
)
from bilberryplank_core.errors import PlatformUnavailable

SEALS_TABLE = "usage-seals"
TENURE_TABLE = "usage-tenure"
TENURE_KEY = "latest"


@dataclass(slots=True, frozen=True)
class StoredSeal:
    """A seal in the store.

    Attributes:
        seal: The counts, and whether the platform has them, as far as this process knows.
        revision: Revision of the row.
        marked: True if the row says so too; a restored store may lack the mark.
    """

    seal: WindowSeal
    revision: int
    marked: bool


class WindowSeals:
    """Reads and writes the seals of windows; each is made once, over all eras of the store.

    Args:
        table: The table service.
        lease: The lease under which windows are sealed.
        fleet_clock: Tells the fleet's time.
        clock: The clock of the lease.
        window: Length of a window in seconds.
        deadline: Seconds from a window's end to the deadline of its report.
        write_back: Returns the seconds within which all entries write again what they remember.
    """

    __slots__ = (
        "_clock",
        "_deadline",
        "_fleet_clock",
        "_lease",
        "_memory",
        "_recorded_in",
        "_table",
        "_window",
        "_write_back",
    )

    def __init__(
        self,
        table: WatchedTable,
        lease: LeaseHolder,
        fleet_clock: FleetClock,
        clock: Callable[[], float],
        window: float,
        deadline: float,
        write_back: Callable[[], float],
    ) -> None:
        self._table = table
        self._lease = lease
        self._fleet_clock = fleet_clock
        self._clock = clock
        self._window = window
        self._deadline = deadline
        self._write_back = write_back
        self._memory = SealMemory()
        self._recorded_in = 0

    def hear(self, number: int, counts: dict[str, int]) -> None:
        """Remembers a seal that another process tells of."""
        self._remember(number, WindowSeal(counts))

    async def is_settled(self, age: float) -> bool:
        """Returns whether processes had time to write again what a restored store lacks.

        Args:
            age: Seconds since the end of the window; its report does not wait past the deadline.
        """
        opening = await self._opening()
        if opening is None or age >= self._deadline - REPORT_MARGIN_SECONDS:
            return True
        elapsed = self._clock() - self._lease.era_known_at
        return elapsed >= SEAL_DELAY_SECONDS + self._write_back()

    async def record_tenure(self) -> None:
        """Records, for later holders, since when no other process can have sealed a window.

        Only a process that held the lease when the era began knows. Its own seals are written back
        in the same transaction.

        Raises:
            PlatformError: The outcome is unknown.
            LeaseLost: The lease is not held.
        """
        opening = await self._opening()
        if opening is None or opening.era == self._recorded_in:
            return
        since = self._sole_since()
        if since < opening.opened_at + self._offset():
            value = {"era": opening.era, "since": since}
            await self._commit_lacking(
                [self._lease.fence_condition()], [Put(TENURE_TABLE, TENURE_KEY, value)]
            )
        self._recorded_in = opening.era

    async def reported(self) -> list[int]:
        """Returns the windows that the store knows to be reported."""
        seals = {number: _read(row) for number, row in (await self._rows()).items()}
        return [number for number, seal in seals.items() if seal is not None and seal.reported]

    async def find(self, number: int) -> StoredSeal | None:
        """Returns the seal of a window; None if it was never sealed.

        Raises:
            WindowGivenUp: It may have been reported with counts that nobody remembers.
            PlatformError: The store did not answer, or the lease was lost.
        """
        row = await self._table.read(SEALS_TABLE, seal_key(number))
        known = self._memory.get(number)
        seal = None if row is None else _read(row)
        if known is not None and seal is None:
            return await self._write(number, known, row.revision if row else 0)
        if row is None:
            await self._check_never_sealed(number)
            return None
        if seal is None:
            raise WindowGivenUp("its seal cannot be read")
        if not self._remember(number, seal):
            raise WindowGivenUp("the store has other counts than were sealed before")
        return StoredSeal(self._memory.get(number) or seal, row.revision, seal.reported)

    async def make(self, number: int, counts: dict[str, int]) -> StoredSeal:
        """Seals a window that was never sealed.

        Raises:
            PlatformError: The outcome is unknown, or another process sealed it.
            LeaseLost: The lease is not held.
        """
        return await self._write(number, WindowSeal(counts), 0)

    async def mark_reported(self, number: int, stored: StoredSeal) -> None:
        """Records that the platform has the counts of a seal.

        Raises:
            PlatformError: The outcome is unknown, or another process recorded it.
            LeaseLost: The lease is not held.
        """
        done = WindowSeal(stored.seal.counts, reported=True)
        self._remember(number, done)
        key = seal_key(number)
        # The grant also ties the revision, which was read a call ago, to its era.
        conditions = [Condition(SEALS_TABLE, key, stored.revision), self._lease.fence_condition()]
        await self._table.commit(conditions, [Put(SEALS_TABLE, key, done.to_value())])

    async def write_back(self) -> int:
        """Writes the seals that the store lacks; returns how many.

        Raises:
            PlatformError: The outcome is unknown, or another process wrote one of them first.
        """
        return await self._commit_lacking([], [])

    async def _commit_lacking(self, conditions: list[Condition], puts: list[Put]) -> int:
        rows = await self._rows()
        stored = {number: seal for number, row in rows.items() if (seal := _read(row)) is not None}
        lacking = self._memory.lacking(stored)
        for number, seal in lacking.items():
            key = seal_key(number)
            revision = rows[number].revision if number in rows else 0
            conditions.append(Condition(SEALS_TABLE, key, revision))
            puts.append(Put(SEALS_TABLE, key, seal.to_value()))
        if puts:
            await self._table.commit(conditions, list(puts))
        return len(lacking)

    async def _opening(self) -> EraOpening | None:
        """Returns the opening of the present era; None for a store without eras."""
        return await self._table.opening() if self._lease.has_eras else None

    async def _check_never_sealed(self, number: int) -> None:
        opening = await self._opening()
        if opening is None:
            return
        recorded = await self._table.read(TENURE_TABLE, TENURE_KEY)
        sole_since = min(self._sole_since(), _tenure(recorded, opening.era))
        end = (number + 1) * self._window
        if seal_may_be_forgotten(end, opening.opened_at + self._offset(), sole_since):
            raise WindowGivenUp("it may have been sealed before the store was restored")

    def _sole_since(self) -> float:
        """Returns since when no other process has held the lease, in seconds since 1970."""
        now = self._fleet_clock.now()
        if now is None:
            raise PlatformUnavailable("the fleet's time is not known yet")
        return now - (self._clock() - self._lease.sole_since)

    def _offset(self) -> float:
        if self._fleet_clock.offset is None:
            raise PlatformUnavailable("the fleet's time is not known yet")
        return self._fleet_clock.offset

    async def _write(self, number: int, seal: WindowSeal, revision: int) -> StoredSeal:
        key = seal_key(number)
        conditions = [Condition(SEALS_TABLE, key, revision), self._lease.fence_condition()]
        revision = await self._table.commit(conditions, [Put(SEALS_TABLE, key, seal.to_value())])
        self._remember(number, seal)
        return StoredSeal(seal, revision, seal.reported)

    def _remember(self, number: int, seal: WindowSeal) -> bool:
        self._memory.forget_before(number - 2 * KEPT_WINDOWS)
        if self._memory.remember(number, seal):
            return True
        log_event(logger, "usage_seal_differs", level="ERROR", window=number)
        return False

    async def _rows(self) -> dict[int, Row]:
        """Returns the rows of seals by window."""
        rows = await self._table.scan(SEALS_TABLE)
        numbers = [window_of_key(row.key) for row in rows]
        return {
            number: row
            for number, row in zip(numbers, rows, strict=True)
            if number is not None and seal_key(number) == row.key
        }


def seal_key(number: int) -> str:
    """Returns the key of a window's seal."""
    return f"{number:012d}"


def _tenure(row: Row | None, era: int) -> float:
    """Returns the recorded beginning of the tenure over the start of an era; inf without one."""
    match row:
        case Row(value={"era": int(recorded_era), "since": float(since)}) if recorded_era == era:
            return since if math.isfinite(since) else math.inf
    return math.inf


def _read(row: Row) -> WindowSeal | None:
    try:
        return read_seal(row.value)
    except SealInvalid as exc:
        log_event(logger, "usage_seal_invalid", level="WARNING", row=row.key, cause=exc)
        return None
