"""Versions of the configuration at entries that read and at those that are told, over sockets."""

import asyncio
import copy

from bilberryplank._direct_feeds import ConfigurationWatch
from bilberryplank.tests.test_table_relay import ENTRIES, RelayCase, Table
from bilberryplank_core.contracts import Row
from bilberryplank_core.direct import (
    EDIT_FORMAT,
    DirectConfiguration,
    Freshness,
    FreshnessTracker,
    RowEdit,
    TableChanges,
    mark_value,
)
from bilberryplank_core.eligibility import DOUBT_SECONDS, ZoneEvacuations
from bilberryplank_core.errors import ConfigurationInvalid, Fault, PlatformUnavailable


class Rows:
    """Decodes a configuration whose services are its content."""

    configuration_table, configuration_key, upstream_table = "op", "config", "servers"

    def read_evacuated_zone(self, key):
        return None

    def read_configuration(self, value):
        yield
        if not isinstance(value, dict) or "version" not in value:
            raise ConfigurationInvalid([Fault("op/config", "no version")])
        services = {each["name"]: each["x"] for each in value["routes"]}
        return DirectConfiguration(value["version"], (), services, None)


class ConfigurationTable(Table):
    """A table with one row, which the test sets."""

    value, slow, newest = None, 0.0, None

    async def opening(self):
        return None

    async def read(self, table, key):
        return None if self.newest is None else Row(table, key, mark_value(self.newest), 1)

    async def changes(self, table, after, wait):
        answer = await super().changes(table, after, wait)
        if answer.rows:
            await asyncio.sleep(self.slow)
        return answer

    def answer(self, changed, sent_in):
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("down")
        self.eras.record_answer(sent_in, self.era)
        row = Row("op", "config", copy.deepcopy(self.value), self.changed_at)
        now = self.clock()
        return TableChanges((row,) if changed else (), (), self.revision, now, now)


class ConfigurationEditsTest(RelayCase):
    """Load pattern: versions that change one of many routes, over slow links."""

    WAIT = 0.3
    CHANGE_LIMIT = 3.0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.put(1, {f"r{number}": 1 for number in range(300)})
        await self.reach(1)
        await asyncio.sleep(0.8)
        self.calls = [table.calls for table in self.tables]

    def new_table(self, eras):
        table = ConfigurationTable(self.clock, eras)
        table.value = {"version": 0, "routes": []}
        return table

    def new_watch(self, table, rng, relay, eras, fleet_clock):
        tracker = FreshnessTracker(2.0, 5.0)
        limits = (5.0, self.CHANGE_LIMIT, 3.0)
        return ConfigurationWatch(
            table,
            Rows(),
            tracker,
            lambda routes: None,
            ZoneEvacuations(),
            lambda before: None,
            rng,
            *limits,
            relay,
            eras,
            fleet_clock,
        )

    def put(self, version, routes, tables=None):
        """Writes a version to the store."""
        self.value = {
            "version": version,
            "routes": [{"name": name, "x": x} for name, x in routes.items()],
        }
        for table in self.tables if tables is None else tables:
            table.revision += 1
            table.changed_at, table.value = table.revision, self.value

    def versions(self):
        return [watch.configuration.version for watch in self.watches if watch.configuration]

    async def reach(self, version, numbers=range(ENTRIES), seconds=1.5):
        """Waits until entries hold a version as it was written."""
        until = self.clock() + seconds
        while self.clock() < until:
            found = [self.watches[number].configuration for number in numbers]
            if all(each is not None and each.version == version for each in found):
                break
            await asyncio.sleep(0.02)
        wanted = {each["name"]: each["x"] for each in self.value["routes"]}
        for number in numbers:
            cfg = self.watches[number].configuration
            self.assertEqual((cfg.version, cfg.services), (version, wanted), number)

    def reads(self, numbers):
        return sum(self.tables[number].calls - self.calls[number] for number in numbers)

    # Each entry read each version whole, and streams were late meanwhile.
    async def test_listeners_take_a_small_change_from_others_without_a_read(self):
        listeners = self.listeners()
        self.assertEqual(len(listeners), ENTRIES - 4)
        for number in listeners:
            self.tables[number].slow = 9.0
        routes = {f"r{number}": 1 for number in range(300)}
        for version in range(2, 6):
            self.put(version, {**routes, "r7": version, f"new{version}": 1})
            await self.reach(version, seconds=0.8)
        self.assertLessEqual(self.reads(listeners), 1)

    async def test_a_long_change_is_read(self):
        self.put(2, {f"s{number}": "x" * 100 for number in range(300)})
        await self.reach(2)
        self.assertGreaterEqual(self.reads(self.listeners()), ENTRIES - 4)

    async def test_an_entry_that_missed_an_edit_reads(self):
        deaf = self.listeners()[0]
        self.relays[deaf].hear(EDIT_FORMAT, lambda sender, data: None)
        self.put(2, {"r1": 2})
        await self.reach(2)
        self.assertGreaterEqual(self.reads([deaf]), 1)
        self.relays[deaf].hear(EDIT_FORMAT, self.watches[deaf]._hear_edit)
        self.put(3, {"r1": 3})
        await self.reach(3)

    async def test_an_edit_that_does_not_fit_leads_to_a_read(self):
        odd = self.listeners()[0]
        row = self.watches[odd]._row
        self.relays[odd].hear(EDIT_FORMAT, lambda sender, data: None)
        edit = RowEdit("op", 1, row.revision, row.revision + 1, row.revision + 1, {"gone": [1]})
        self.watches[odd]._hear_edit("", edit.encode())
        self.put(2, {"r1": 2})
        await self.reach(2)
        self.assertGreaterEqual(self.reads([odd]), 1)

    async def test_a_version_that_cannot_be_read_stays_out_of_force_at_all(self):
        for table in self.tables:
            table.revision += 1
            table.changed_at, table.value = table.revision, {"routes": self.value["routes"]}
        await asyncio.sleep(0.5)
        self.assertEqual(self.versions(), [1] * ENTRIES)
        self.put(3, {"r1": 3})
        await self.reach(3)

    # Revisions are given out again after a restore, for other content.
    async def test_an_edit_of_an_earlier_era_changes_nothing(self):
        told = self.listeners()[0]
        revision = self.watches[told]._row.revision
        for table in self.tables:
            table.era = 2
            table.revision = table.changed_at = revision - 1
        self.put(9, {"r1": 9})
        await self.reach(9)
        self.assertEqual(self.watches[told]._row.revision, revision)
        edit = RowEdit("op", 1, revision, revision + 1, revision + 1, {"version": [0, 20]})
        self.watches[told]._hear_edit("", edit.encode())
        self.put(10, {"r1": 10})
        await self.reach(10)

    # Word from table pollers that nothing changed confirmed the copy's version at all listeners.
    async def test_listeners_learn_that_a_restored_store_lacks_a_version(self):
        for table in self.tables:
            table.era, table.newest = 2, 2
        await asyncio.sleep(DOUBT_SECONDS + 2.0)
        now = self.clock()
        states = [watch.freshness_tracker.freshness(now) for watch in self.watches]
        self.assertEqual(states, [Freshness.STALE] * ENTRIES)
        self.put(2, {"r1": 2})
        await self.reach(2)
        await asyncio.sleep(1.0)
        now = self.clock()
        states = [watch.freshness_tracker.freshness(now) for watch in self.watches]
        self.assertEqual(states, [Freshness.CONFIRMED] * ENTRIES)
