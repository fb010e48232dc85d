"""Usage records of a process on their way to the table."""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict

from loguru import logger
from mode import Service

from bilberryplank._link import Link
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics, UsageEvent
from bilberryplank._platform import Platform
from bilberryplank_core.errors import PlatformError
from bilberryplank_core.fleet import UsageRecord, UsageSpool
from bilberryplank_core.messages import Usage, UsageStored
from bilberryplank_core.settings import FleetSettings
from bilberryplank_core.world import Role

TICK_SECONDS = 0.25
HOLD_INTERVALS = 5
STOP_ATTEMPTS = 5


class UsageFeed(Service):
    """Keeps usage records until the store has them, and stores them in batches.

    Entry and sidecar both keep a request's record. The entry stores it and says so to the sidecar,
    which stores it itself only where it hears nothing.
    """

    def __init__(
        self,
        role: Role,
        epoch: str,
        settings: FleetSettings,
        platform: Platform,
        metrics: ProcessMetrics,
        rng: random.Random,
    ) -> None:
        super().__init__()
        interval = settings.usage_flush_interval
        hold_seconds = 0.0 if role is Role.ENTRY else HOLD_INTERVALS * interval
        self._spool = UsageSpool(
            epoch, time.monotonic, interval, settings.usage_buffer, rng, hold_seconds=hold_seconds
        )
        self._platform = platform
        self._metrics = metrics
        self._links: OrderedDict[str, Link] = OrderedDict()
        self._most_links = settings.usage_buffer
        self._lost = 0

    @property
    def waiting(self) -> int:
        """Records that the store does not have yet."""
        return len(self._spool)

    def record(
        self,
        request_id: str,
        organisation: str,
        class_name: str,
        usage: Usage,
        link: Link | None = None,
    ) -> None:
        """Adds what a request used; `link` leads to the sidecar that keeps the same record."""
        record = UsageRecord(
            request_id,
            organisation,
            class_name,
            usage.prompt_tokens,
            usage.completion_tokens,
            usage.calls,
            time.time(),
        )
        self._spool.add(record)
        if link is not None:
            self._links[request_id] = link
            if len(self._links) > self._most_links:
                self._links.popitem(last=False)
        self._count_lost()

    def peer_stored(self, record_ids: list[str]) -> None:
        """Drops the copies of records that a peer says are stored."""
        self._spool.confirm(record_ids)

    def peer_gone(self, epoch: str) -> None:
        """Ends the wait for an entry whose link was lost."""
        self._spool.release(epoch)

    async def on_started(self) -> None:
        """Begins to store."""
        self.add_future(self._store_regularly())

    async def on_stop(self) -> None:
        """Stores everything that is left, as far as the store takes it."""
        failures = 0
        while len(self._spool) and failures < STOP_ATTEMPTS:
            failures += not await self._flush(include_held=True)
        while len(self._spool) and failures < 2 * STOP_ATTEMPTS:
            failures += not await self._spill()

    async def _store_regularly(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(TICK_SECONDS)
            if self._spool.due():
                await self._flush(include_held=False)
            if self._spool.overfull:
                await self._spill()
            self._metrics.set_usage_waiting(len(self._spool))

    async def _flush(self, include_held: bool) -> bool:
        try:
            stored = await self._spool.flush(self._platform.table, include_held)
        except PlatformError as exc:
            log_event(logger, "usage_store_failed", level="WARNING", code=exc.code)
            return False
        if stored:
            self._metrics.usage_records(UsageEvent.STORED, len(stored))
            self._tell_sidecars(stored)
        return True

    async def _spill(self) -> bool:
        try:
            moved = await self._spool.spill(self._platform.objects)
        except PlatformError as exc:
            log_event(logger, "usage_spill_failed", level="WARNING", code=exc.code)
            return False
        self._metrics.usage_records(UsageEvent.SPILLED, moved)
        log_event(logger, "usage_spilled", level="WARNING", records=moved)
        return True

    def _tell_sidecars(self, stored: list[str]) -> None:
        by_link: dict[Link, list[str]] = {}
        for record_id in stored:
            link = self._links.pop(record_id, None)
            if link is not None:
                by_link.setdefault(link, []).append(record_id)
        for link, record_ids in by_link.items():
            link.send(UsageStored(record_ids))

    def _count_lost(self) -> None:
        lost = self._spool.counters.lost
        if lost > self._lost:
            self._metrics.usage_records(UsageEvent.LOST, lost - self._lost)
            log_event(logger, "usage_lost", level="ERROR", records=lost - self._lost)
            self._lost = lost
