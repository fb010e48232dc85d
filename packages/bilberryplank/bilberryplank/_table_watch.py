"""Keeps a copy of a table: read whole once, then by its changes or other entries' notices."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._dependency import Dependency
from bilberryplank._logs import log_event
from bilberryplank._table_relay import TableRelay
from bilberryplank_core.direct import (
    EraChanged,
    EraTracker,
    HistoryGone,
    ReadTimes,
    TableChanges,
    TableNotice,
    WatchedTable,
)
from bilberryplank_core.errors import PlatformError

LEAST_WAIT = 0.7
"""Reads wait at least this share of the longest wait: a change wakes all readers at once, and they
must not go on to speak at the same moments."""

EARLIEST_SHARE = 0.85
"""Entries that fell silent leave all others without notices at once, and these spread their first
reads over the last part of that time."""

POLLER_WAIT_SHARE = 0.55
"""Longest wait of a read whose answer others rely on, as a share of the same time: one poller that
is left is heard often enough."""

RESTORE_READS_PER_SECOND = 500.0
"""Reads a second of all entries together after a restore of the store, which all notice at once."""

RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5
"""Pauses between failed reads, growing, so that a store that is down sees few calls."""


class TableWatch(Service):
    """Reads a table whole, then its changes; whole again after a failure or in a new era.

    Where other entries read for this one, their word that nothing changed takes the place of a
    read; where they say otherwise, or nothing for as long as a read would wait, it reads itself.

    Args:
        table: The table service.
        name: Name of the table.
        rng: Spreads the pauses.
        wait: Seconds that a read waits for a change.
        change_limit: Seconds after which a change must be known here, whichever entries are lost.
        contact_limit: Seconds after which an entry that was cut off must know the table again.
        relay: What entries tell each other.
        eras: Eras of the store.
    """

    abstract = True

    def __init__(
        self,
        table: WatchedTable,
        name: str,
        rng: Random,
        wait: float,
        change_limit: float,
        contact_limit: float,
        relay: TableRelay,
        eras: EraTracker,
    ) -> None:
        super().__init__()
        self._change_limit = change_limit
        self._eras = eras
        self._spreads_read = False
        eras.subscribe(self._begin_era)
        self._times = ReadTimes.from_limits(wait, change_limit, contact_limit)
        self._relay = relay
        self._known_at = float("-inf")
        self._relayed = False
        self._table = table
        self._name = name
        self._rng = rng
        self._revision: int | None = None
        self._dependency = Dependency(f"table {name}")

    @abstractmethod
    async def take_all(self, changes: TableChanges) -> None:
        """Takes in all rows."""

    @abstractmethod
    async def take_changes(self, changes: TableChanges) -> None:
        """Takes in what changed."""

    def take_quiet(self, as_of: float) -> None:
        """Takes in that nothing changed up to a moment on this process's clock."""

    async def catch_up(self, notice: TableNotice) -> bool:
        """Takes in what others told of a change; returns False where a read is due."""
        return False

    def returned(self) -> None:
        """Takes in that the table answers again."""

    async def prepare(self) -> None:
        """Called before each read of the whole table.

        Raises:
            PlatformError: The table did not answer.
        """

    def must_read(self) -> bool:
        """Returns True where another entry's word that nothing changed is not enough."""
        return False

    def longest_wait(self) -> float:
        """Returns the seconds that a read may wait for a change."""
        return self._times.wait

    def restored(self) -> None:
        """Takes in that the table may have forgotten what it acknowledged."""

    def _begin_era(self, _: int) -> None:
        # A revision of an earlier era may lie beyond those of this one: changes would be missed.
        self._revision = None
        self._spreads_read = True
        self.restored()

    async def on_started(self) -> None:
        """Begins to read."""
        self.add_future(self._watch())

    async def _watch(self) -> None:
        while not self.should_stop:
            try:
                if not await self._hear():
                    await self._read()
            except HistoryGone:
                log_event(logger, "table_history_gone", table=self._name, revision=self._revision)
                self._relay.lost(self._name)
                self._revision = None
            except EraChanged as exc:
                log_event(logger, "table_read_again", table=self._name, cause=exc)
                await asyncio.sleep(RETRY_SECONDS * self._rng.uniform(0.7, 1.3))
            except PlatformError as exc:
                await self._failed(exc)

    async def _hear(self) -> bool:
        """Takes other entries' word that nothing changed; returns False where a read is due."""
        if self._revision is None or not self._relay.listens or self.must_read():
            return False
        silence = self._times.silence * self._rng.uniform(EARLIEST_SHARE, 1)
        due_in = self._known_at + silence - boot_time()
        notice = await self._relay.next(self._name, due_in)
        self._log_relayed(notice is not None)
        if notice is None or self._revision is None:
            return False
        era = self._eras.current or 0
        if notice.era < era:
            return True
        if not notice.covers(era, self._revision):
            return notice.era == era and await self.catch_up(notice)
        as_of = self._relay.as_of(notice)
        if as_of is not None:
            self._revision = max(self._revision, notice.upto)
            self._known_at = max(self._known_at, as_of)
            self.take_quiet(as_of)
        return True

    async def _read(self) -> None:
        if self._spreads_read:
            self._spreads_read = False
            entries = self._relay.entries
            await asyncio.sleep(self._rng.uniform(0, entries / RESTORE_READS_PER_SECOND))
        whole = self._revision is None
        if whole:
            await self.prepare()
            changes = await self._table.snapshot(self._name)
        else:
            wait = self._next_wait()
            changes = await self._table.changes(self._name, self._revision, wait)
        self._answered()
        era = self._eras.current
        await (self.take_all(changes) if whole else self.take_changes(changes))
        if era != self._eras.current:
            return
        self._revision = max(changes.revision, self._revision or 0)
        self._known_at = max(self._known_at, changes.as_of)
        self._relay.answered(self._name, changes, whole)

    def _next_wait(self) -> float:
        """Returns the seconds that the next read waits for a change."""
        if self._relay.listens:
            return 0.0
        wait = self.longest_wait()
        if self._relay.is_table_poller:
            wait = min(wait, POLLER_WAIT_SHARE * self._change_limit)
        return wait * self._rng.uniform(LEAST_WAIT, 1)

    def _log_relayed(self, relayed: bool) -> None:
        if relayed is not self._relayed:
            self._relayed = relayed
            event = "table_relayed" if relayed else "table_relay_silent"
            log_event(logger, event, table=self._name, revision=self._revision)

    def _answered(self) -> None:
        if self._dependency.answered():
            self.returned()

    async def _failed(self, exc: PlatformError) -> None:
        self._dependency.failed(exc)
        self._relay.lost(self._name)
        self._revision = None
        growth = 2 ** min(self._dependency.failures, 8)
        pause = min(RETRY_SECONDS * growth, MAX_RETRY_SECONDS)
        await asyncio.sleep(pause * self._rng.uniform(0.7, 1.3))
