"""Tells other entries of this one, and learns how many there are, by a call now and then."""

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
from bilberryplank._store_restorer import RestoredPart
from bilberryplank_core.contracts import Put
from bilberryplank_core.direct import SLOW_LINK, FleetClock, FleetMembers, WatchedTable
from bilberryplank_core.errors import PlatformError

MEMBERS_TABLE = "entries"

SETTLE_SECONDS = 4.0
"""Time from an entry's first look at the rows to its second: others may start beside it."""

LEAST_AGE_SECONDS = 8.0
"""A row that is younger is not written again."""

REFRESH_SECONDS = 60.0
RETRY_SECONDS = 2.0

STRANGER_SECONDS = 10.0
"""Least time between two looks at the rows for senders of notices that are not among them."""

ENTRIES_PER_SECOND = 40.0
"""Entries that hear a new one at the same moment look at the rows at about this rate together."""

SPREAD = 0.2
"""Pauses differ by this share, so that entries that started together do not call together."""


class MembersKeeper(Service, RestoredPart):
    """Writes this entry's row and reads all of them.

    Args:
        name: Name of this entry.
        address: `ip:port` at which it hears other entries; empty for none.
        table: The table service.
        fleet_clock: Tells the store's clock.
        members: Told what the rows say.
        changed: Called when the number of entries changed.
        rng: Spreads the calls.
    """

    abstract = False

    def __init__(
        self,
        name: str,
        address: str,
        table: WatchedTable,
        fleet_clock: FleetClock,
        members: FleetMembers,
        changed: Callable[[], None],
        rng: Random,
    ) -> None:
        super().__init__()
        self._name = name
        self._address = address
        self._table = table
        self._fleet_clock = fleet_clock
        self._members = members
        self._changed = changed
        self._rng = rng
        self._written = self._withdrawn = False
        self._written_at = 0.0
        self._dependency = Dependency("entries")
        self._stranger = asyncio.Event()
        self._looked_at = float("-inf")

    async def on_started(self) -> None:
        """Begins to write and read."""
        self.add_future(self._keep())

    async def withdraw(self) -> None:
        """Removes this entry's row at a planned stop."""
        self._withdrawn = True
        try:
            await self._table.forget([(MEMBERS_TABLE, self._name)])
        except PlatformError as exc:
            self._dependency.failed(exc)

    async def restore(self) -> dict[str, int]:
        """Writes this entry's row again, or removes it again where it was withdrawn.

        The rows of others are read once they had time to write theirs.
        """
        if self._withdrawn:
            await self._table.forget([(MEMBERS_TABLE, self._name)])
            return {"entry_rows": 0}
        await self._write(self._fleet_clock.store_time())
        asyncio.get_running_loop().call_later(SETTLE_SECONDS, self._stranger.set)
        return {"entry_rows": 1}

    def hear_stranger(self) -> None:
        """Has the rows read soon: an entry that is not known here sent a notice."""
        if boot_time() - self._looked_at > STRANGER_SECONDS:
            self._stranger.set()

    async def refresh(self) -> None:
        """Reads all rows, and writes this entry's row where it is due.

        Raises:
            PlatformError: The store did not answer.
        """
        # The answer also tells the store's clock, which the row needs.
        changes = await self._table.snapshot(MEMBERS_TABLE)
        now = self._fleet_clock.store_time()
        if not self._written or now - self._written_at > LEAST_AGE_SECONDS:
            await self._write(now)
        before = self._members.size
        lapsed = self._members.update({row.key: row.value for row in changes.rows}, now)
        if lapsed:
            log_event(logger, "entry_rows_removed", names=",".join(lapsed))
            await self._table.forget([(MEMBERS_TABLE, name) for name in lapsed])
        if self._members.size != before:
            log_event(logger, "entries_counted", entries=self._members.size, before=before)
            self._changed()

    async def _write(self, now: float) -> None:
        if self._withdrawn:
            return
        value = {"at": round(now, 1), "address": self._address}
        if self._members.slow_link:
            value[SLOW_LINK] = True
        await self._table.commit([], [Put(MEMBERS_TABLE, self._name, value)])
        self._written, self._written_at = True, now

    async def _keep(self) -> None:
        pause = 0.0
        while not (self.should_stop or self._withdrawn):
            if await set_within(self._stranger, self._spread(pause)):
                await asyncio.sleep(
                    self._rng.uniform(0, (self._members.size or 1) / ENTRIES_PER_SECOND)
                )
            self._looked_at = boot_time()
            pause = await self._next_pause()

    async def _next_pause(self) -> float:
        """Makes the next calls; returns the seconds until those after them."""
        first = not self._written
        if not await self._succeeds(self.refresh()):
            return RETRY_SECONDS
        return SETTLE_SECONDS if first else REFRESH_SECONDS

    async def _succeeds(self, call: Awaitable[None]) -> bool:
        try:
            await call
        except PlatformError as exc:
            self._dependency.failed(exc)
            return False
        self._dependency.answered()
        return True

    def _spread(self, seconds: float) -> float:
        return seconds * self._rng.uniform(1 - SPREAD, 1 + SPREAD)
