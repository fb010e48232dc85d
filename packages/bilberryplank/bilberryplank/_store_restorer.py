"""Writes again what the store forgot when it came back from an older copy of itself."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._dependency import Dependency
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.direct import EraTracker, FleetMembers, WatchedTable
from bilberryplank_core.errors import PlatformError

OPENING = "open an era of the store"
"""Key of the ranking of entries by which few of them write the row of a new era at once."""

OPENING_SECONDS = 0.5
"""Head start of those few."""

RESTORES_PER_SECOND = 50.0
"""Entries that write again in a second: each makes several writes, and all begin together."""

RETRY_SECONDS = 0.5


class RestoredPart(ABC):
    """A part of an entry with state in the store."""

    @abstractmethod
    async def restore(self) -> dict[str, int]:
        """Writes again what the store lacks; may be called more than once.

        Returns:
            What was written again or given up, by name, for one line of the log.

        Raises:
            PlatformError: The store did not answer; the call is repeated.
        """


class StoreRestorer(Service):
    """Has the parts of an entry write again what the store lacks, once in each new era.

    Args:
        eras: Eras of the store.
        table: The table service.
        members: The entries of the fleet.
        metrics: Metrics of the process.
        rng: Spreads the calls of all entries.
    """

    abstract = False

    def __init__(
        self,
        eras: EraTracker,
        table: WatchedTable,
        members: FleetMembers,
        metrics: ProcessMetrics,
        rng: Random,
    ) -> None:
        super().__init__()
        self._eras = eras
        self._table = table
        self._members = members
        self._metrics = metrics
        self._rng = rng
        self._parts: list[RestoredPart] = []
        self._begun = asyncio.Event()
        self._began_at = 0.0
        self._dependency = Dependency("restored store")
        eras.subscribe(self._begin)

    def add(self, *parts: RestoredPart) -> None:
        """Adds parts; they are restored in the order in which they were added."""
        self._parts += parts

    async def on_started(self) -> None:
        """Begins to wait for a new era."""
        self.add_future(self._restore_each_era())

    def _begin(self, era: int) -> None:
        self._began_at = boot_time()
        self._metrics.store_restored()
        log_event(logger, "store_era_began", level="WARNING", era=era)
        self._begun.set()

    async def _restore_each_era(self) -> None:
        while not self.should_stop:
            await self._begun.wait()
            self._begun.clear()
            era = self._eras.current
            if not self._members.contends(OPENING):
                await asyncio.sleep(OPENING_SECONDS)
            if await self._opens(era):
                spread = (self._members.size or 1) / RESTORES_PER_SECOND
                await asyncio.sleep(self._rng.uniform(0, spread))
                await self._restore(era)

    async def _opens(self, era: int) -> bool:
        """Writes the row of an era where nobody has; returns False once another era began."""
        while self._eras.current == era and not self.should_stop:
            try:
                await self._table.opening()
            except PlatformError as exc:
                await self._pause(exc)
            else:
                return True
        return False

    async def _restore(self, era: int) -> None:
        """Restores all parts; those that fail are tried again after the others."""
        figures: dict[str, int] = {}
        missing = list(self._parts)
        while missing and self._eras.current == era and not self.should_stop:
            failed: list[RestoredPart] = []
            for part in missing:
                try:
                    figures.update(await part.restore())
                except PlatformError as exc:
                    failed.append(part)
                    await self._pause(exc)
            missing = failed
        if not missing:
            self._dependency.answered()
            self._log(era, figures)

    async def _pause(self, exc: PlatformError) -> None:
        self._dependency.failed(exc)
        await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.7, 1.3))

    def _log(self, era: int, figures: Mapping[str, int]) -> None:
        seconds = round(boot_time() - self._began_at, 2)
        log_event(logger, "store_restored", level="WARNING", era=era, seconds=seconds, **figures)
