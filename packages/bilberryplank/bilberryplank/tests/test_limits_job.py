import random
import unittest

from bilberryplank._limits_job import DEMAND, TABLE, RowAges, ShareFeed, totals_of
from bilberryplank_core.contracts import Row
from bilberryplank_core.errors import PlatformUnavailable
from bilberryplank_core.routing import divide_shares

LIMIT = ("limit", "acme")
OTHER = ("limit", "beta")


class Limits:
    """Records the shares that it is given."""

    def __init__(self, demand):
        self.wanted = demand
        self.shares = None

    def demand(self, now):
        return dict(self.wanted)

    def set_shares(self, shares, now):
        self.shares = dict(shares)


class Rows:
    """A table of rows that are just put and read."""

    def __init__(self):
        self.rows = {}
        self.calls = 0
        self.down = False

    async def commit(self, conditions, writes):
        self._call()
        for write in writes:
            self.put(write.key, write.value)

    async def read(self, table, key):
        self._call()
        return self.rows.get(key)

    def put(self, key, value):
        self.rows[key] = Row(TABLE, key, value, self.calls + 1)

    def add_up(self):
        self.calls += 1
        self.put("shares", totals_of([row for key, row in self.rows.items() if DEMAND in key]))

    def _call(self):
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("down")


class ShareFeedTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 0.0
        self.table = Rows()

    def feed(self, name, demand, epoch="epoch"):
        limits = Limits(demand)
        rng = random.Random(1)
        return limits, ShareFeed(name, epoch, limits, self.table, rng, lambda: self.now)

    async def test_shares_are_those_of_the_division_and_add_up(self):
        demands = {"entry-1": {LIMIT: 90.0, OTHER: 1.0}, "entry-2": {LIMIT: 10.0}}
        feeds = {name: self.feed(name, demand) for name, demand in demands.items()}
        for _, feed in feeds.values():
            await feed.exchange()
        self.table.add_up()
        for limits, feed in feeds.values():
            limits.wanted = {LIMIT: 55.0}
            await feed.exchange()
        expected = divide_shares(demands)
        self.assertEqual({name: limits.shares for name, (limits, _) in feeds.items()}, expected)
        self.assertAlmostEqual(sum(limits.shares[LIMIT] for limits, _ in feeds.values()), 1.0)

    async def test_an_entry_without_demand_leaves_the_table_alone(self):
        limits, feed = self.feed("entry-1", {})
        await feed.exchange()
        self.assertEqual((limits.shares, self.table.calls), ({}, 0))

    async def test_an_old_row_counts_for_nothing(self):
        limits, feed = self.feed("entry-1", {LIMIT: 10.0})
        await feed.exchange()
        self.table.add_up()
        for now, expected in ((0.0, {LIMIT: 1.0}), (14.9, {LIMIT: 1.0}), (15.0, {})):
            with self.subTest(now=now):
                self.now = now
                await feed.exchange()
                self.assertEqual(limits.shares, expected)

    async def test_shares_of_an_earlier_run_are_not_taken(self):
        _, before = self.feed("entry-1", {LIMIT: 10.0}, "old")
        await before.exchange()
        self.table.add_up()
        limits, feed = self.feed("entry-1", {LIMIT: 10.0})
        await feed.exchange()
        self.assertEqual(limits.shares, {LIMIT: 0.1})

    async def test_last_shares_hold_for_a_while_where_the_table_is_down(self):
        limits, feed = self.feed("entry-1", {LIMIT: 10.0})
        await feed.exchange()
        self.table.add_up()
        await feed.exchange()
        self.table.down = True
        for now, expected in ((14.9, {LIMIT: 1.0}), (15.0, {})):
            with self.subTest(now=now):
                self.now = now
                await feed.exchange()
                self.assertEqual(limits.shares, expected)


class RowAgesTest(unittest.TestCase):
    def test_age_counts_from_the_sight_of_a_revision(self):
        now = 5.0
        ages = RowAges(lambda: now)
        row = Row(TABLE, "a", {}, 7)
        self.assertEqual(ages.age(row), 0.0)
        now = 9.0
        self.assertEqual(ages.age(row), 4.0)
        self.assertEqual(ages.age(Row(TABLE, "a", {}, 8)), 0.0)
