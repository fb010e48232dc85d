"""How an entry learns the configuration and the upstreams from a table that tells its changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random

from loguru import logger

from bilberryplank._clocks import boot_time
from bilberryplank._configuration_mark import ConfigurationMark
from bilberryplank._logs import log_event
from bilberryplank._stepwise import run_in_steps
from bilberryplank._table_relay import TableRelay
from bilberryplank._table_watch import TableWatch
from bilberryplank_core.contracts import Row
from bilberryplank_core.direct import (
    EDIT_FORMAT,
    DirectConfiguration,
    DirectRowDecoder,
    DirectUpstream,
    EraTracker,
    FleetClock,
    FreshnessTracker,
    NoticeInvalid,
    RegistryChange,
    RouteIndex,
    RowEdit,
    TableChanges,
    TableNotice,
    UpstreamRegistry,
    WatchedTable,
    compare_values,
)
from bilberryplank_core.eligibility import DOUBT_SECONDS, ZoneEvacuations
from bilberryplank_core.errors import ConfigurationInvalid, ValueInvalid

CONFIGURATION_WAIT_SECONDS = 1.8
"""How long a read of the configuration waits for a change. Each call is billed; each confirms the
configuration, whose age must stay within the limit up to which refusals are for good."""

ROSTER_WAIT_SHARE = 1.4
"""How long a read of the upstreams waits, as a share of the time until one that leaves must get no
more work. A change is told at once; a lost answer is noticed this late and a call's timeout."""

STALE_SHARE = 0.4
"""Share of the stale limit that a read may wait: what is known must not turn stale in between."""

MAX_SHOWN_KEY_CHARS = 200

MAX_EDITS = 8
"""Edits kept until a notice calls for them; an entry that lacks one reads the row."""

LEAST_EXPIRY_SECONDS = 0.01
"""Bounds the timers where two clocks differ a little."""


class ConfigurationWatch(TableWatch):
    """Keeps the newest configuration; its version never goes down.

    Attributes:
        freshness_tracker: Age of what is in force.
        configuration: The configuration in force; None before the first.
        mark: The newest version known to any entry.
    """

    abstract = False

    def __init__(
        self,
        table: WatchedTable,
        rows: DirectRowDecoder,
        freshness_tracker: FreshnessTracker,
        apply: Callable[[RouteIndex], None],
        evacuations: ZoneEvacuations,
        evacuated: Callable[[set[str]], None],
        rng: Random,
        stale_limit: float,
        change_limit: float,
        contact_limit: float,
        relay: TableRelay,
        eras: EraTracker,
        fleet_clock: FleetClock,
    ) -> None:
        wait = min(CONFIGURATION_WAIT_SECONDS, STALE_SHARE * stale_limit)
        super().__init__(
            table, rows.configuration_table, rng, wait, change_limit, contact_limit, relay, eras
        )
        self.freshness_tracker = freshness_tracker
        self.configuration: DirectConfiguration | None = None
        self.mark = ConfigurationMark(table)
        self._rows = rows
        self._apply = apply
        self._evacuations = evacuations
        self._evacuated = evacuated
        self._fleet_clock = fleet_clock
        self._told_behind = 0
        self._stored_version = 0
        self._row: Row | None = None
        self._edits: dict[int, RowEdit] = {}
        relay.hear(EDIT_FORMAT, self._hear_edit)

    async def prepare(self) -> None:
        """Learns whether the store was restored, and which version other entries know since."""
        opening = await self._table.opening()
        if opening is None:
            return
        left = opening.opened_at + DOUBT_SECONDS - self._fleet_clock.store_time()
        if self.configuration is None:
            self.freshness_tracker.doubt_until(boot_time() + left)
        if not opening.is_first:
            self.mark.checks.begin(boot_time() + left)
            await self.mark.check()

    def restored(self) -> None:
        """Has the store confirm nothing until the operator had time to write again."""
        self._row = None
        self._edits.clear()
        self.freshness_tracker.doubt_until(boot_time() + DOUBT_SECONDS)
        self.mark.checks.begin(boot_time() + DOUBT_SECONDS)
        self._evacuations.restored(boot_time())
        self._end_doubt_in_time()

    def must_read(self) -> bool:
        """Returns True where the newest version known to any entry must be read first."""
        return self.mark.checks.is_due(boot_time())

    def longest_wait(self) -> float:
        """Returns the seconds that a read may wait for a change."""
        doubt_left = self.freshness_tracker.doubt_left(boot_time())
        wait = super().longest_wait()
        return min(wait, doubt_left) if doubt_left else wait

    async def take_all(self, changes: TableChanges) -> None:
        """Takes in all rows."""
        if all(row.key != self._rows.configuration_key for row in changes.rows):
            self._compare(0)
        self._row = None
        with self._telling_evacuations():
            self._evacuations.replace_all(
                self._zones(each.key for each in changes.rows), boot_time()
            )
        await self._take(changes)

    async def take_changes(self, changes: TableChanges) -> None:
        """Takes in what changed, and tells entries that don't read for themselves."""
        with self._telling_evacuations():
            added = self._zones(each.key for each in changes.rows)
            self._evacuations.update(added, self._zones(changes.removed))
        if self._relay.is_table_poller:
            await self._tell_edit(changes)
        await self._take(changes)

    async def catch_up(self, notice: TableNotice) -> bool:
        """Takes in edits up to a change of which a notice tells."""
        era = self._eras.current
        while self._row is not None and self._revision < notice.unchanged_since:
            edit = self._edits.pop(self._row.revision, None)
            if edit is None or edit.era != notice.era:
                return False
            try:
                row = replace(self._row, value=edit.apply(self._row.value), revision=edit.revision)
            except NoticeInvalid as exc:
                log_event(logger, "edit_refused", level="WARNING", cause=exc)
                return False
            await self._take_row(row)
            if era != self._eras.current:
                return False
            self._revision = max(self._revision, edit.upto)
        return self._row is not None

    def take_quiet(self, as_of: float) -> None:
        """Confirms the configuration in force."""
        if self.configuration is not None and not self.must_read():
            self.freshness_tracker.confirm(as_of)

    async def _take(self, changes: TableChanges) -> None:
        for row in changes.rows:
            if row.key == self._rows.configuration_key and not await self._take_row(row):
                return
        if self.must_read():
            await self.mark.check()
            self._compare(self._stored_version)
        if self.configuration is not None:
            self.freshness_tracker.confirm(changes.as_of)

    async def _tell_edit(self, changes: TableChanges) -> None:
        before, era = self._row, self._eras.current or 0
        after = [row for row in changes.rows if row.key == self._rows.configuration_key]
        # An edit stands for all that changed up to its revision.
        is_all = len(after) == len(changes.rows) and not changes.removed
        if before is None or not after or not is_all:
            return
        edits = await run_in_steps(compare_values(before.value, after[-1].value))
        if edits is None:
            return
        revisions = (before.revision, after[-1].revision, changes.revision)
        notice = RowEdit(self._name, era, *revisions, edits).encode()
        if notice is not None:
            self._relay.tell(notice)

    def _hear_edit(self, _: str, data: bytes) -> None:
        edit = RowEdit.decode(data)
        if edit.table != self._name:
            raise NoticeInvalid("no row of this table is held")
        self._edits[edit.base] = edit
        if len(self._edits) > MAX_EDITS:
            del self._edits[min(self._edits)]

    async def _take_row(self, row: Row) -> bool:
        self._row = row
        try:
            cfg = await run_in_steps(self._rows.read_configuration(row.value))
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
        self._compare(cfg.version)
        if cfg.version <= self._version():
            return True
        routes = await run_in_steps(RouteIndex.build(cfg))
        log_event(
            logger,
            "configuration_in_force",
            version=cfg.version,
            before=self._version(),
            routes=len(cfg.routes),
            organisations=len({each.name for each in (cfg.organisations or {}).values()}),
        )
        self.configuration = cfg
        self.mark.raise_to(cfg.version)
        self._apply(routes)
        return True

    def _compare(self, version: int) -> None:
        """Takes in the version that the store has; an older one than is known confirms nothing."""
        self._stored_version = version
        newest = self.mark.version
        is_behind = version < newest
        self.freshness_tracker.set_behind(is_behind)
        if is_behind and self._version() < newest:
            self.freshness_tracker.forget_confirmation()
        if is_behind and self._told_behind != newest:
            self._told_behind = newest
            log_event(
                logger,
                "store_behind",
                level="ERROR",
                version=version,
                in_force=self._version(),
                newest=newest,
                era=self._eras.current,
            )

    def _zones(self, keys: Iterable[str]) -> set[str]:
        found = (self._rows.read_evacuated_zone(key) for key in keys)
        return {zone for zone in found if zone is not None}

    @contextmanager
    def _telling_evacuations(self) -> Iterator[None]:
        before = self._evacuations.zones(boot_time())
        yield
        if self._evacuations.zones(boot_time()) != before:
            self._evacuated(before)

    def _end_doubt_in_time(self) -> None:
        """Has zones that are no longer evacuated be told of once no doubt keeps them."""
        before = self._evacuations.zones(boot_time())
        if not before:
            return
        delay = self._evacuations.doubt_until - boot_time() + LEAST_EXPIRY_SECONDS
        asyncio.get_running_loop().call_later(delay, self._end_doubt, before)

    def _end_doubt(self, before: set[str]) -> None:
        if self._evacuations.zones(boot_time()) != before:
            self._evacuated(before)

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
        told: Callable[[Iterable[DirectUpstream]], None],
        rng: Random,
        leaving_limit: float,
        contact_limit: float,
        relay: TableRelay,
        eras: EraTracker,
    ) -> None:
        wait = ROSTER_WAIT_SHARE * leaving_limit
        super().__init__(
            table, rows.upstream_table, rng, wait, leaving_limit, contact_limit, relay, eras
        )
        self.registry = registry
        self._rows = rows
        self._changed = changed
        self._told = told
        self._unreadable: dict[str, str] = {}
        self._expiry: asyncio.TimerHandle | None = None

    async def on_stop(self) -> None:
        """Ends the wait for lapsed rows."""
        if self._expiry is not None:
            self._expiry.cancel()

    def returned(self) -> None:
        """Gives rows that lapsed meanwhile the time to come back."""
        self.registry.record_store_recovery(boot_time())

    def restored(self) -> None:
        """Has outdated rows told from present ones."""
        self.registry.begin_era(boot_time())

    async def take_all(self, changes: TableChanges) -> None:
        """Takes in all rows."""
        found = self._read_rows(changes.rows)
        self._forget_refused(set(self._unreadable) - {row.key for row in changes.rows})
        self._tell(self.registry.replace_all(found, boot_time()))
        self._told(found)
        self._expire_in_time()

    async def take_changes(self, changes: TableChanges) -> None:
        """Takes in what changed."""
        now = boot_time()
        found = self._read_rows(changes.rows)
        # A row that can no longer be read names no upstream to use.
        spoilt = {row.key for row in changes.rows} - {each.name for each in found}
        self._forget_refused(changes.removed)
        self._tell(self.registry.update(found, {*changes.removed, *spoilt}, now))
        self._told(found)
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
            try:
                found.append(self._rows.read_upstream(row.key, row.value))
            except ValueInvalid as exc:
                self._refuse(row, str(exc))
            else:
                self._unreadable.pop(row.key, None)
        return found

    def _forget_refused(self, keys: Iterable[str]) -> None:
        for key in keys:
            self._unreadable.pop(key, None)

    def _refuse(self, row: Row, cause: str) -> None:
        # Its writer may write it again and again.
        if self._unreadable.get(row.key) == cause:
            return
        self._unreadable[row.key] = cause
        log_event(
            logger,
            "upstream_row_unreadable",
            level="WARNING",
            row=row.key[:MAX_SHOWN_KEY_CHARS],
            revision=row.revision,
            cause=cause,
        )

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
