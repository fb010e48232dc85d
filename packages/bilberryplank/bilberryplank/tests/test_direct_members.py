"""Entries that count each other through the store, in virtual time."""

import unittest
from random import Random

from bilberryplank._clocks import boot_time
from bilberryplank._direct_members import MEMBERS_TABLE, MembersKeeper
from bilberryplank_core.contracts import Delete, Put
from bilberryplank_core.direct import FleetClock, FleetMembers, TableChanges
from bilberryplank_core.errors import PlatformUnavailable
from bilberryplank_core.tests._memory_platform import MemoryTable


class WatchedMemory(MemoryTable):
    down = False

    async def snapshot(self, table):
        if self.down:
            raise PlatformUnavailable("down")
        return TableChanges(tuple(await self.scan(table)), (), 1, 0.0)

    async def forget(self, keys):
        await self.commit([], [Delete(table, key) for table, key in keys])


class MembersKeeperTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 1000.0
        self.table = WatchedMemory()
        self.changes = 0

    def keeper(self, name):
        time = FleetClock(lambda: self.now)
        time.record_answer(self.now, self.now, self.now)
        members = FleetMembers(name)
        address = f"127.0.0.1:{len(name)}"
        return MembersKeeper(name, address, self.table, time, members, self.changed, Random(1))

    def changed(self):
        self.changes += 1

    async def test_entries_that_start_together_count_each_other(self):
        keepers = [self.keeper(f"e{number}") for number in range(5)]
        self.assertEqual([await each._next_pause() for each in keepers], [4.0] * 5)
        self.now += 4.0
        self.assertEqual([await each._next_pause() for each in keepers], [60.0] * 5)
        self.assertEqual({each._members.size for each in keepers}, {5})
        # Each but the last saw only those before it at first.
        self.assertEqual(self.changes, 9)

    async def test_rows_tell_which_entries_have_slow_links(self):
        keepers = [self.keeper(f"e{number}") for number in range(9)]
        for each in keepers[:5]:
            each._members.slow_link = True
        for each in (*keepers, *keepers):
            await each.refresh()
        polling = [each._members.is_table_poller(()) for each in keepers]
        self.assertEqual(polling, [False] * 5 + [True] * 4)

    async def test_an_entry_that_is_heard_and_not_known_is_looked_up_now_and_then(self):
        one = self.keeper("e1")
        one.hear_stranger()
        self.assertTrue(one._stranger.is_set())
        one._stranger.clear()
        one._looked_at = boot_time()
        one.hear_stranger()
        self.assertFalse(one._stranger.is_set())

    async def test_one_that_stopped_is_gone_at_once_and_does_not_come_back(self):
        one, two = self.keeper("e1"), self.keeper("e2")
        for each in (one, two):
            await each.refresh()
        await one.withdraw()
        await one.refresh()
        await two.refresh()
        self.assertEqual(two._members.size, 1)

    async def test_rows_of_another_writer_are_removed_and_end_nothing(self):
        one = self.keeper("e1")
        odd = {"k\ud800": {"at": self.now}, "e8": {"at": 10**400}, "e9": {"at": self.now}}
        odd["e9"]["address"] = "127.0.0.1:70000"
        await self.table.commit([], [Put(MEMBERS_TABLE, key, row) for key, row in odd.items()])
        await one.refresh()
        self.assertEqual(one._members.addresses, frozenset())
        self.assertEqual([row.key for row in await self.table.scan(MEMBERS_TABLE)], ["e1"])

    async def test_one_that_died_is_removed_after_a_while(self):
        one, two = self.keeper("e1"), self.keeper("e2")
        for each in (one, two):
            await each.refresh()
        self.now += 300.0
        await two.refresh()
        self.assertEqual(two._members.size, 1)
        self.assertEqual([row.key for row in await self.table.scan(MEMBERS_TABLE)], ["e2"])

    async def test_without_the_store_the_last_count_holds(self):
        one = self.keeper("e1")
        await one.refresh()
        self.table.down = True
        self.assertEqual(await one._next_pause(), 2.0)
        self.assertEqual(one._members.size, 1)
