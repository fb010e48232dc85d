"""Agrees on true time with the other entries, through a row of the table."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Any

from loguru import logger
from mode import Service

from bilberryplank._dependency import Dependency
from bilberryplank._logs import log_event
from bilberryplank._store_restorer import RestoredPart
from bilberryplank_core.contracts import Condition, Put
from bilberryplank_core.direct import FleetClock, WatchedTable
from bilberryplank_core.errors import Conflict, PlatformError

TIME_TABLE = "true-time"
TIME_KEY = "offset"
RETRY_SECONDS = 0.5

HOLDERS_SECONDS = 2.0
"""Time from the begin of an era in which a process that starts leaves it to those that hold the
fleet's figure to write it again: its own time of day may have jumped."""


class TrueTimeKeeper(Service, RestoredPart):
    """Learns the fleet's figure of true time; writes it where nobody has."""

    abstract = False

    def __init__(self, table: WatchedTable, fleet_clock: FleetClock) -> None:
        super().__init__()
        self._table = table
        self._fleet_clock = fleet_clock
        self._dependency = Dependency("true time")

    async def on_started(self) -> None:
        """Begins to ask."""
        self.add_future(self._learn())

    async def restore(self) -> dict[str, int]:
        """Writes the fleet's figure again where the store lacks it, or takes the store's."""
        if self._fleet_clock.offset is None:
            return {"true_time_rows": 0}
        offset, written = await self._offset()
        self._fleet_clock.set_offset(offset)
        return {"true_time_rows": int(written)}

    async def _learn(self) -> None:
        while not self.should_stop:
            try:
                offset, _ = await self._offset()
            except PlatformError as exc:
                self._dependency.failed(exc)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._dependency.answered()
            self._fleet_clock.set_offset(offset)
            log_event(logger, "true_time_agreed", offset=offset)
            return

    async def _offset(self) -> tuple[float, bool]:
        """Returns the fleet's figure, and whether this process wrote it."""
        row = await self._table.read(TIME_TABLE, TIME_KEY)
        found = None if row is None else _read_offset(row.value)
        if found is not None:
            return found, False
        if self._fleet_clock.offset is None and (left := await self._holders_left()) > 0:
            await asyncio.sleep(left)
            return await self._offset()
        offset = self._fleet_clock.offset
        if offset is None:
            offset = time.time() - self._fleet_clock.store_time()
        condition = Condition(TIME_TABLE, TIME_KEY, row.revision if row else 0)
        try:
            await self._table.commit([condition], [Put(TIME_TABLE, TIME_KEY, {"offset": offset})])
        except Conflict:
            return await self._offset()
        return offset, True

    async def _holders_left(self) -> float:
        """Returns the seconds in which entries that hold the figure may still write it again."""
        opening = await self._table.opening()
        if opening is None:
            return 0.0
        return opening.opened_at + HOLDERS_SECONDS - self._fleet_clock.store_time()


def _read_offset(value: Any) -> float | None:
    """Returns the figure in a row; None where another writer spoilt it."""
    match value:
        case {"offset": float(offset)} if math.isfinite(offset):
            return offset
    log_event(logger, "true_time_unreadable", level="WARNING")
    return None
