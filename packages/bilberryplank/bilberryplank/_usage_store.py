"""Stores the counts of a direct entry, and those that other entries hand over to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._dependency import Dependency
from bilberryplank._events import set_within
from bilberryplank._logs import log_event
from bilberryplank._store_restorer import RestoredPart
from bilberryplank_core.contracts import Put
from bilberryplank_core.direct import (
    CountsNotice,
    EraTracker,
    FleetClock,
    HandedOverCounts,
    NoticeInvalid,
    WatchedTable,
    WindowCounts,
)
from bilberryplank_core.errors import PlatformError

COUNTS_TABLE = "usage-counts"

FLUSH_SPREAD_SECONDS = 1.0
"""Processes store their counts spread over this long after a window's end, before it is summed."""

KEPT_WINDOWS = 12
"""Windows whose counts are kept for a report that is late."""

ROWS_PER_COMMIT = 90
"""Rows in one call; a table service may take no more than 100 entries."""

LATE_WRITE_SECONDS = 6.0
"""Time within which a store performs a write whose answer was lost; rows are stored again then."""

HandOver = Callable[[Mapping[int, Mapping[str, int]]], None]
"""Tells other entries the final counts of this process, by window."""


class UsageStore(Service, RestoredPart):
    """Stores the counts of this process once a window has ended."""

    abstract = False

    def __init__(
        self,
        writer: str,
        table: WatchedTable,
        counts: WindowCounts,
        fleet_clock: FleetClock,
        interval: Callable[[], float],
        rng: Random,
        hand_over: HandOver,
        eras: EraTracker,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        super().__init__()
        self._writer = writer
        self._hand_over = hand_over
        self._handed_over: set[int] = set()
        self._taken = HandedOverCounts()
        self._woken = asyncio.Event()
        self._fleet_clock = fleet_clock
        self._offset = rng.uniform(0, FLUSH_SPREAD_SECONDS)
        self._table = table
        self._counts = counts
        self._interval = interval
        self._clock = clock
        self._late_until = float("-inf")
        self._dependency = Dependency("usage store")
        eras.subscribe(self._begin_era)

    async def on_started(self) -> None:
        """Begins to store."""
        self.add_future(self._flush_regularly())

    async def restore(self) -> dict[str, int]:
        """Stores the counts of all windows that are kept here again."""
        return {"counts_rows": await self.flush()}

    def _begin_era(self, _: int) -> None:
        # Others get only what this process could not store: those rows are stored again from here.
        self._handed_over |= self._counts.mark_unsaved()
        self._taken.mark_unsaved()

    def take(self, notice: CountsNotice) -> bool:
        """Takes in another process's counts, to be stored here; returns False for known ones.

        Raises:
            NoticeInvalid: Its window cannot be due any more, or yet.
        """
        now = self._fleet_clock.now()
        if now is None or abs(notice.window - self._counts.number_at(now)) > KEPT_WINDOWS:
            raise NoticeInvalid("its window is not one of these minutes")
        taken = self._taken.add(notice)
        if taken:
            self._woken.set()
        return taken

    async def flush(self) -> int:
        """Stores what has changed, the current window and the counts of others included.

        Returns:
            Number of rows written.

        Raises:
            PlatformError: The store did not take it; the counts stay here.
        """
        own = {number: self._counts.counts_in(number) for number in self._counts.unsaved()}
        taken = self._taken.unsaved()
        rows = {**taken, **{(number, self._writer): value for number, value in own.items()}}
        if not rows:
            return 0
        puts = [
            Put(COUNTS_TABLE, f"{number:012d}/{writer}", dict(value))
            for (number, writer), value in rows.items()
        ]
        try:
            for start in range(0, len(puts), ROWS_PER_COMMIT):
                await self._table.commit([], list(puts[start : start + ROWS_PER_COMMIT]))
        except PlatformError:
            self._late_until = self._clock() + LATE_WRITE_SECONDS
            raise
        if self._clock() < self._late_until:
            # An older write of the same rows may still replace them.
            return len(rows)
        for number, value in own.items():
            self._counts.mark_saved(number, value)
        self._taken.mark_saved(taken)
        oldest = max(number for number, _ in rows) - KEPT_WINDOWS
        self._counts.forget_before(oldest)
        self._taken.forget_before(oldest)
        return len(rows)

    async def finish(self, timeout: float) -> None:
        """Stores all counts at the end of this process, or hands them over.

        Args:
            timeout: Seconds that the store has.
        """
        try:
            async with asyncio.timeout(timeout):
                await self.flush()
        except (PlatformError, TimeoutError) as exc:
            log_event(logger, "usage_not_stored", level="WARNING", cause=exc)
            rows = self._counts.unsaved()
            self._hand_over({number: self._counts.counts_in(number) for number in rows})

    async def _flush_regularly(self) -> None:
        while not self.should_stop:
            await set_within(self._woken, self._pause())
            try:
                await self.flush()
            except PlatformError as exc:
                self._dependency.failed(exc)
                self._hand_over_ended()
            else:
                self._dependency.answered()

    def _hand_over_ended(self) -> None:
        """Lets others store the windows that have ended, as this process may be cut off alone."""
        now = self._fleet_clock.now()
        rows = [] if now is None else self._counts.unsaved_ended(now)
        fresh = [number for number in rows if number not in self._handed_over]
        self._handed_over = set(rows)
        self._hand_over({number: self._counts.counts_in(number) for number in fresh})

    def _pause(self) -> float:
        now = self._fleet_clock.now()
        if now is None:
            return self._interval()
        return self._counts.seconds_until_flush(now, self._interval(), self._offset)
