"""Shares evidence of crashes with the other entries, and keeps it in the table."""

from __future__ import annotations

import asyncio
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._crash_guard import CrashGuard
from bilberryplank._dependency import Dependency
from bilberryplank._events import set_within
from bilberryplank._logs import log_event
from bilberryplank._store_restorer import RestoredPart
from bilberryplank._table_relay import TableRelay
from bilberryplank_core.contracts import Put
from bilberryplank_core.direct import (
    CRASH_FORMAT,
    FleetClock,
    FleetMembers,
    WatchedTable,
    crash_row,
    decode_crashes,
    encode_crashes,
    read_crash_row,
)
from bilberryplank_core.errors import PlatformError

CRASH_TABLE = "engine-crashes"
LIFT_TABLE = "quarantine-lifts"
"""An operator writes a row with the name of a segment as its key to lift its quarantine."""

URGENT_PAUSES_SECONDS = (0.0, 0.1, 0.3)
"""Pauses before each notice to all about a crash or a lift; links may lose one. That a suspect was
cleared is gossip: many entries see it at once."""

GOSSIP_SECONDS = 1.0
MIN_GOSSIP_SECONDS = 0.1
GOSSIP_PEERS = 3
"""While evidence counts, each entry sends it to a few random others, so that one that starts anew
or lost a notice has it soon, and no entry receives more in a large fleet."""

RECENT_SECONDS = 60.0
"""Gossip leaves out crashes that are older and quarantine nothing."""

STORE_SECONDS = 10.0
STORE_READS_PER_SECOND = 20.0
"""Interval of reads of the table while a segment is quarantined, and limit for all entries."""

STORE_RETRY_SECONDS = 1.0

MAX_REMEMBERED_LIFTS = 64
"""Lifts carried out here whose rows are removed again where the store brings them back."""


class CrashRelay(Service, RestoredPart):
    """Sends, receives and stores evidence.

    Args:
        relay: Carries the notices.
        table: The table service.
        fleet_clock: Tells the store's clock.
        members: The entries of the fleet.
        guard: Holds the evidence.
        rng: Chooses entries and spreads the calls.

    Attributes:
        is_loaded: True once the table was read.
    """

    abstract = False

    def __init__(
        self,
        relay: TableRelay,
        table: WatchedTable,
        fleet_clock: FleetClock,
        members: FleetMembers,
        guard: CrashGuard,
        rng: Random,
    ) -> None:
        super().__init__()
        self._relay = relay
        self._table = table
        self._fleet_clock = fleet_clock
        self._members = members
        self._guard = guard
        self._rng = rng
        self._news = asyncio.Event()
        self._urgent = False
        self._unsaved = asyncio.Event()
        self._lifted: dict[str, None] = {}
        self.is_loaded = False
        self._dependency = Dependency("crash evidence")
        guard.told = self._told

    async def on_started(self) -> None:
        """Begins to share."""
        self._relay.hear(CRASH_FORMAT, self._take)
        self.add_future(self._tell())
        self.add_future(self._keep())

    async def restore(self) -> dict[str, int]:
        """Writes again the crashes behind quarantines, and removes lifts that were carried out."""
        await self._table.forget([(LIFT_TABLE, segment) for segment in self._lifted])
        crashes = self._quarantining() & self._guard.confirmed
        if crashes:
            await self._save(crashes)
        return {"crash_rows": len(crashes)}

    def _told(self, urgent: bool) -> None:
        self._news.set()
        if urgent:
            self._urgent = True
            self._unsaved.set()

    def _take(self, _: str, data: bytes) -> None:
        self._guard.merge(decode_crashes(data, boot_time()))

    async def _tell(self) -> None:
        while not self.should_stop:
            await set_within(self._news, GOSSIP_SECONDS)
            if self._urgent:
                self._urgent = False
                await self._tell_all()
            else:
                self._guard.expire()
                self._gossip()
                await asyncio.sleep(MIN_GOSSIP_SECONDS)

    async def _tell_all(self) -> None:
        for pause in URGENT_PAUSES_SECONDS:
            await asyncio.sleep(pause)
            self._relay.tell(encode_crashes(self._guard.quarantine.evidence, boot_time()))

    def _gossip(self) -> None:
        now = boot_time()
        quarantining = self._quarantining()
        records = [
            record
            for record in self._guard.quarantine.evidence
            if record.engine in quarantining or now - record.at <= RECENT_SECONDS
        ]
        if records:
            self._relay.tell_some(encode_crashes(records, now), GOSSIP_PEERS, self._rng)

    def _quarantining(self) -> set[str]:
        return {engine for each in self._guard.quarantine.quarantines() for engine in each.engines}

    async def _keep(self) -> None:
        """Reads the table at the start and while a segment is quarantined; writes what is new."""
        pause = 0.0
        while not self.should_stop:
            await set_within(self._unsaved, pause)
            quarantining = self._quarantining()
            try:
                if quarantining & self._guard.confirmed:
                    await self._save(quarantining & self._guard.confirmed)
                if quarantining or not self.is_loaded:
                    await self._load()
                    self.is_loaded = True
            except PlatformError as exc:
                self._dependency.failed(exc)
                self._unsaved.clear()
                pause = STORE_RETRY_SECONDS
                continue
            self._dependency.answered()
            size = (self._members.size or 1) / STORE_READS_PER_SECOND
            pause = max(STORE_SECONDS, size) * self._rng.uniform(0.8, 1.2)

    async def _save(self, engines: set[str]) -> None:
        now, store_time = boot_time(), self._fleet_clock.store_time()
        puts = [
            Put(CRASH_TABLE, record.engine, crash_row(record, now, store_time))
            for record in self._guard.quarantine.evidence
            if record.engine in engines
        ]
        await self._table.commit([], puts)

    async def _load(self) -> None:
        changes = await self._table.snapshot(CRASH_TABLE)
        now, store_time = boot_time(), self._fleet_clock.store_time()
        found = {row.key: read_crash_row(row.value, now, store_time) for row in changes.rows}
        self._guard.merge(record for record in found.values() if record is not None)
        outdated = [(CRASH_TABLE, key) for key, record in found.items() if record is None]
        lifts = await self._table.snapshot(LIFT_TABLE)
        for row in lifts.rows:
            self._guard.lift(row.key)
            self._lifted[row.key] = None
            if len(self._lifted) > MAX_REMEMBERED_LIFTS:
                del self._lifted[next(iter(self._lifted))]
        done = [*outdated, *((LIFT_TABLE, row.key) for row in lifts.rows)]
        if done:
            await self._table.forget(done)
        if found:
            log_event(logger, "crash_evidence_read", crashes=len(found), lifts=len(lifts.rows))
