"""Agrees on true time with the other entries, through a row of the table."""

from __future__ import annotations

import asyncio
import time

from loguru import logger
from mode import Service

from bilberryplank._dependency import Dependency
from bilberryplank._logs import log_event
from bilberryplank_core.contracts import Condition, Put
from bilberryplank_core.direct import FleetClock, WatchedTable
from bilberryplank_core.errors import Conflict, PlatformError

TIME_TABLE = "true-time"
TIME_KEY = "offset"
RETRY_SECONDS = 0.5


class TrueTimeKeeper(Service):
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

    async def _learn(self) -> None:
        while not self.should_stop:
            try:
                offset = await self._offset()
            except PlatformError as exc:
                self._dependency.failed(exc)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._dependency.answered()
            self._fleet_clock.set_offset(offset)
            log_event(logger, "true_time_agreed", offset=offset)
            return

    async def _offset(self) -> float:
        row = await self._table.read(TIME_TABLE, TIME_KEY)
        if row is None:
            offset = time.time() - self._fleet_clock.store_time()
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
