"""Reads and writes the high-water mark of the configuration's version."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from bilberryplank._clocks import boot_time
from bilberryplank._logs import log_event
from bilberryplank._store_restorer import RestoredPart
from bilberryplank_core.contracts import Condition, Put
from bilberryplank_core.direct import (
    MARK_KEY,
    MARK_TABLE,
    MarkChecks,
    WatchedTable,
    mark_value,
    read_mark,
)
from bilberryplank_core.errors import ValueInvalid


class ConfigurationMark(RestoredPart):
    """The newest version that this entry knows, from its own configuration or from the row.

    Args:
        table: The table service.
        clock: Clock in seconds.

    Attributes:
        version: The version; 0 before the first.
        checks: When the row is to be read.
    """

    def __init__(self, table: WatchedTable, clock: Callable[[], float] = boot_time) -> None:
        self.version = 0
        self.checks = MarkChecks()
        self._table = table
        self._clock = clock

    def raise_to(self, version: int) -> None:
        """Takes in a version; an older one changes nothing."""
        self.version = max(self.version, version)

    async def check(self) -> None:
        """Reads the row.

        Raises:
            PlatformError: The store did not answer.
        """
        sent_at = self._clock()
        await self._read()
        self.checks.record(sent_at)

    async def restore(self) -> dict[str, int]:
        """Writes the row again where the store has none, or one of an older version."""
        stored, revision = await self._read()
        if stored < self.version:
            condition = Condition(MARK_TABLE, MARK_KEY, revision)
            put = Put(MARK_TABLE, MARK_KEY, mark_value(self.version))
            await self._table.commit([condition], [put])
        return {"newest_version": self.version}

    async def _read(self) -> tuple[int, int]:
        """Returns the version of which the row tells, and its revision; 0 for none."""
        row = await self._table.read(MARK_TABLE, MARK_KEY)
        if row is None:
            return 0, 0
        try:
            version = read_mark(row.value)
        except ValueInvalid as exc:
            log_event(
                logger,
                "configuration_mark_unreadable",
                level="WARNING",
                revision=row.revision,
                cause=exc,
            )
            version = 0
        self.raise_to(version)
        return version, row.revision
