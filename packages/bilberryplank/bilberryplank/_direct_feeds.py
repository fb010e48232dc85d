"""How an entry learns the configuration and the upstreams from a table that tells its changes."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable, Iterable
from random import Random

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._dependency import Dependency
from bilberryplank._logs import log_event
from bilberryplank._table_relay import TableRelay
from bilberryplank_core.contracts import Row
from bilberryplank_core.direct import (
    DirectConfiguration,
    DirectRowDecoder,
    DirectUpstream,
    FreshnessTracker,
    HistoryGone,
    RegistryChange,
    TableChanges,
    UpstreamRegistry,
    WatchedTable,
)
from bilberryplank_core.errors import ConfigurationInvalid, PlatformError

CONFIGURATION_WAIT_SECONDS = 1.8
"""How long a read of the configuration waits for a change. Each call is billed; each confirms the
configuration, whose age must stay within the limit up to which refusals are for good."""

ROSTER_WAIT_SHARE = 1.4
"""How long a read of the upstreams waits, as a share of the time until one that leaves must get no
more work. A change is told at once; a lost answer is noticed this late and a call's timeout."""

STALE_SHARE = 0.4
"""Share of the stale limit that a read may wait: what is known must not turn stale in between."""

LEAST_WAIT = 0.7
"""Reads wait at least this share of the longest wait: a change wakes all readers at once, and they
must not go on to speak at the same moments."""

SILENCE_SHARE = 1.2
"""An entry for which others read does so itself once it heard nothing for this share of a wait."""

LEAST_EXPIRY_SECONDS = 0.01
"""Bounds the timers where two clocks differ a little."""

RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5
"""Pauses between failed reads, growing, so that a store that is down sees few calls."""


class TableWatch(Service):
    """Reads a table whole, then its changes; after any failure whole again.

    Where other entries read for this one, their word that nothing changed takes the place of a
    read; where they say otherwise, or nothing for as long as a read would wait, it reads itself.

    Args:
        table: The table service.
        name: Name of the table.
        rng: Spreads the pauses.
        wait: Seconds that a read waits for a change.
        relay: What entries tell each other.
    """

    abstract = True

    def __init__(
        self, table: WatchedTable, name: str, rng: Random, wait: float, relay: TableRelay
    ) -> None:
        super().__init__()
        self._wait = wait
        self._relay = relay
        self._known_at = float("-inf")
        self._relayed = False
        self._table = table
        self._name = name
        self._rng = rng
        self._revision: int | None = None
        self._dependency = Dependency(f"table {name}")

    @abstractmethod
    def take_all(self, changes: TableChanges) -> None:
        """Takes in all rows."""

    @abstractmethod
    def take_changes(self, changes: TableChanges) -> None:
        """Takes in what changed."""

    def take_quiet(self, as_of: float) -> None:
        """Takes in that nothing changed up to a moment on this process's clock."""

    def returned(self) -> None:
        """Takes in that the table answers again."""

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
            except PlatformError as exc:
                await self._failed(exc)

    async def _hear(self) -> bool:
        """Takes other entries' word that nothing changed; returns False where a read is due."""
        if self._revision is None or not self._relay.listens:
            return False
        due_in = self._known_at + SILENCE_SHARE * self._wait - boot_time()
        notice = await self._relay.next(self._name, due_in)
        self._log_relayed(notice is not None)
        if notice is None or not notice.covers(self._revision):
            return False
        as_of = self._relay.as_of(notice)
        if as_of is not None:
            self._revision = max(self._revision, notice.upto)
            self._known_at = max(self._known_at, as_of)
            self.take_quiet(as_of)
        return True

    async def _read(self) -> None:
        whole = self._revision is None
        if whole:
            changes = await self._table.snapshot(self._name)
            self._answered()
            self.take_all(changes)
        else:
            wait = 0.0 if self._relay.listens else self._wait * self._rng.uniform(LEAST_WAIT, 1)
            changes = await self._table.changes(self._name, self._revision, wait)
            self._answered()
            self.take_changes(changes)
        self._revision = max(changes.revision, self._revision or 0)
        self._known_at = max(self._known_at, changes.as_of)
        self._relay.answered(self._name, changes, whole)

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


class ConfigurationWatch(TableWatch):
    """Keeps the newest configuration; its version never goes down.

    Attributes:
        freshness_tracker: Age of what is in force.
        configuration: The configuration in force; None before the first.
    """

    abstract = False

    def __init__(
        self,
        table: WatchedTable,
        rows: DirectRowDecoder,
        freshness_tracker: FreshnessTracker,
        apply: Callable[[DirectConfiguration], None],
        rng: Random,
        stale_limit: float,
        relay: TableRelay,
    ) -> None:
        wait = min(CONFIGURATION_WAIT_SECONDS, STALE_SHARE * stale_limit)
        super().__init__(table, rows.configuration_table, rng, wait, relay)
        self.freshness_tracker = freshness_tracker
        self.configuration: DirectConfiguration | None = None
        self._rows = rows
        self._apply = apply

    def take_all(self, changes: TableChanges) -> None:
        """Takes in all rows."""
        self._take(changes)

    def take_changes(self, changes: TableChanges) -> None:
        """Takes in what changed."""
        self._take(changes)

    def take_quiet(self, as_of: float) -> None:
        """Confirms the configuration in force."""
        if self.configuration is not None:
            self.freshness_tracker.confirm(as_of)

    def _take(self, changes: TableChanges) -> None:
        for row in changes.rows:
            if row.key == self._rows.configuration_key and not self._take_row(row):
                return
        if self.configuration is not None:
            self.freshness_tracker.confirm(changes.as_of)

    def _take_row(self, row: Row) -> bool:
        try:
            cfg = self._rows.read_configuration(row.value)
        except ConfigurationInvalid as exc:
            log_event(
                logger,
                "configuration_unreadable",
                level="ERROR",
                revision=row.revision,
                in_force=self._version(),
                cause=exc,
            )
            return False
        if cfg.version <= self._version():
            return True
        log_event(
            logger,
            "configuration_in_force",
            version=cfg.version,
            before=self._version(),
            routes=len(cfg.routes),
            organisations=len(set((cfg.organisations or {}).values())),
        )
        self.configuration = cfg
        self._apply(cfg)
        return True

    def _version(self) -> int:
        return self.configuration.version if self.configuration else 0


class UpstreamRegistryWatch(TableWatch):
    """Keeps the roster of upstreams.

    Attributes:
        registry: The upstreams.
    """

    abstract = False

    def __init__(
        self,
        table: WatchedTable,
        rows: DirectRowDecoder,
        registry: UpstreamRegistry,
        changed: Callable[[RegistryChange], None],
        rng: Random,
        leaving_limit: float,
        relay: TableRelay,
    ) -> None:
        wait = ROSTER_WAIT_SHARE * leaving_limit
        super().__init__(table, rows.upstream_table, rng, wait, relay)
        self.registry = registry
        self._rows = rows
        self._changed = changed
        self._unreadable: set[str] = set()
        self._expiry: asyncio.TimerHandle | None = None

    async def on_stop(self) -> None:
        """Ends the wait for lapsed rows."""
        if self._expiry is not None:
            self._expiry.cancel()

    def returned(self) -> None:
        """Gives rows that lapsed meanwhile the time to come back."""
        self.registry.record_store_recovery(boot_time())

    def take_all(self, changes: TableChanges) -> None:
        """Takes in all rows."""
        self._tell(self.registry.replace_all(self._read_rows(changes.rows), boot_time()))
        self._expire_in_time()

    def take_changes(self, changes: TableChanges) -> None:
        """Takes in what changed."""
        now = boot_time()
        found = self._read_rows(changes.rows)
        # A row that can no longer be read names no upstream to use.
        spoilt = {row.key for row in changes.rows} - {each.name for each in found}
        self._tell(self.registry.update(found, {*changes.removed, *spoilt}, now))
        self._expire_in_time()

    def take_quiet(self, as_of: float) -> None:
        """Drops upstreams whose rows did not come back in time."""
        self._tell(self.registry.expire(boot_time()))

    def _expire_in_time(self) -> None:
        """Has lapsed rows dropped when they are due: the table's next answer may come later."""
        due = self.registry.expires_at
        if due is not None and self._expiry is None:
            delay = max(LEAST_EXPIRY_SECONDS, due - boot_time())
            self._expiry = asyncio.get_running_loop().call_later(delay, self._expire)

    def _expire(self) -> None:
        self._expiry = None
        self._tell(self.registry.expire(boot_time()))
        self._expire_in_time()

    def _read_rows(self, rows: Iterable[Row]) -> list[DirectUpstream]:
        found = []
        for row in rows:
            upstream = self._rows.read_upstream(row.key, row.value)
            if upstream is not None:
                self._unreadable.discard(row.key)
                found.append(upstream)
            elif row.key not in self._unreadable:
                self._unreadable.add(row.key)
                log_event(
                    logger,
                    "upstream_row_unreadable",
                    level="WARNING",
                    row=row.key,
                    revision=row.revision,
                )
        return found

    def _tell(self, change: RegistryChange) -> None:
        if not change:
            return
        for event, upstreams in (
            ("upstream_joined", change.joined),
            ("upstream_leaving", change.leaving),
            ("upstream_gone", change.gone),
        ):
            for each in upstreams:
                log_event(
                    logger,
                    event,
                    upstream=each.name,
                    service=each.service,
                    zone=each.zone,
                    address=each.address,
                )
        self._changed(change)
