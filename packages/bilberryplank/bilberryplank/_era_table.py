"""A table whose conditional writes hold only in the era of the store in which they were made."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable

from loguru import logger

from bilberryplank._logs import log_event
from bilberryplank_core.contracts import Condition, Delete, Put, Row, Write
from bilberryplank_core.direct import (
    ERA_TABLE,
    EraChanged,
    EraOpening,
    EraTracker,
    FleetClock,
    TableChanges,
    WatchedTable,
    era_key,
)
from bilberryplank_core.errors import Conflict


class EraTable(WatchedTable):
    """Adds the era's row to the conditions of each conditional write.

    Args:
        table: The table service.
        eras: Told the era of each answer.
        fleet_clock: Tells the store's clock.
    """

    def __init__(self, table: WatchedTable, eras: EraTracker, fleet_clock: FleetClock) -> None:
        self._table = table
        self._eras = eras
        self._fleet_clock = fleet_clock
        self._opening: EraOpening | None = None
        self._asks = asyncio.Lock()

    async def opening(self) -> EraOpening | None:
        """Returns the row of the present era, written where nobody has; None without eras.

        Raises:
            PlatformUnavailable: The table did not answer, or in another era.
        """
        async with self._asks:
            return await self._find_opening()

    async def _find_opening(self) -> EraOpening | None:
        if self._opening is not None and self._opening.era == self._eras.current:
            return self._opening
        rows = await self._table.scan(ERA_TABLE)
        # Without an answer before, the era is known only now.
        era = self._eras.current
        if era is None:
            return None
        found = [row for row in rows if row.key == era_key(era)]
        self._opening = self._read(era, found[0]) if found else await self._open(era, rows)
        return self._opening

    async def _open(self, era: int, earlier: list[Row]) -> EraOpening:
        key, opened_at = era_key(era), self._fleet_clock.store_time()
        is_first = not earlier and not self._eras.has_changed
        writes: list[Write] = [Put(ERA_TABLE, key, {"at": opened_at, "first": is_first})]
        writes += [Delete(ERA_TABLE, row.key) for row in earlier]
        try:
            revision = await self._table.commit([Condition(ERA_TABLE, key, 0)], writes)
        except Conflict:
            row = await self._table.read(ERA_TABLE, key)
            if row is None:
                raise
            return self._read(era, row)
        return EraOpening(era, revision, opened_at, is_first)

    def _read(self, era: int, row: Row) -> EraOpening:
        match row.value:
            case {"at": float(opened_at), **others} if math.isfinite(opened_at):
                # Older releases don't tell whether the era is the first.
                is_first = others.get("first") is True and not self._eras.has_changed
                return EraOpening(era, row.revision, opened_at, is_first)
        # The latest time that the era can have begun is the safe one.
        opened_at = self._fleet_clock.store_time()
        log_event(logger, "era_row_unreadable", level="WARNING", era=era, revision=row.revision)
        return EraOpening(era, row.revision, opened_at)

    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None where there is none."""
        return await self._table.read(table, key)

    async def scan(self, table: str, prefix: str = "", limit: int = 1000) -> list[Row]:
        """Returns rows whose key begins with `prefix`, in key order."""
        return await self._table.scan(table, prefix, limit)

    async def commit(self, conditions: list[Condition], writes: list[Write]) -> int:
        """Writes all or nothing, and returns the revision of the rows written."""
        made_in = self._eras.current
        opening = await self.opening() if conditions else None
        if opening is None:
            return await self._table.commit(conditions, writes)
        if made_in is not None and opening.era != made_in:
            raise EraChanged(f"a write of era {made_in} was not sent in era {opening.era}")
        try:
            return await self._table.commit([*conditions, opening.condition], writes)
        except Conflict:
            # It may be the era's row that another writer spoilt or removed.
            self._opening = None
            raise

    async def snapshot(self, table: str) -> TableChanges:
        """Returns all rows of a table as of one moment."""
        return await self._table.snapshot(table)

    async def changes(self, table: str, after: int, wait: float) -> TableChanges:
        """Returns what changed after a revision, waiting up to `wait` seconds for the first."""
        return await self._table.changes(table, after, wait)

    async def forget(self, keys: Iterable[tuple[str, str]]) -> None:
        """Removes rows, named by table and key, whatever their revision."""
        await self._table.forget(keys)
