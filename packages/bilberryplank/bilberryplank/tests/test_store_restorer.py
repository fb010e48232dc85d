"""What a new era of the store sets off in an entry."""

import asyncio
import unittest
from random import Random

from loguru import logger

from bilberryplank._direct_members import MEMBERS_TABLE, MembersKeeper
from bilberryplank._era_table import EraTable
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._store_restorer import StoreRestorer
from bilberryplank._true_time_keeper import TIME_KEY, TIME_TABLE, TrueTimeKeeper
from bilberryplank.tests.test_direct_members import WatchedMemory
from bilberryplank_core.contracts import Put
from bilberryplank_core.direct import ERA_TABLE, EraTracker, FleetClock, FleetMembers
from bilberryplank_core.errors import PlatformUnavailable


class Part:
    def __init__(self, failures=0, restored=None):
        self.failures, self.calls, self.figures = failures, 0, restored or {}

    async def restore(self):
        self.calls += 1
        if self.calls <= self.failures:
            raise PlatformUnavailable("down")
        return self.figures


class StoreRestorerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.eras, self.table, self.clock = EraTracker(), WatchedMemory(), FleetClock(lambda: 500.0)
        self.eras.record_answer(None, 1)
        self.clock.record_answer(500.0, 500.0, 500.0)
        self.members = FleetMembers("e1")
        self.metrics = ProcessMetrics()
        self.lines = []
        sink = logger.add(lambda line: self.lines.append(line.record), level="INFO")
        self.addCleanup(logger.remove, sink)
        self.restorer = StoreRestorer(
            self.eras,
            EraTable(self.table, self.eras, self.clock),
            self.members,
            self.metrics,
            Random(1),
        )
        await self.restorer.start()

    async def asyncTearDown(self):
        await self.restorer.stop()

    def begin_era(self, era):
        try:
            self.eras.record_answer(era - 1, era)
        except PlatformUnavailable:
            return

    def restored_lines(self):
        return [line for line in self.lines if line["message"] == "store_restored"]

    async def test_each_part_is_restored_once_in_order_and_told_in_one_line(self):
        parts = [Part(restored={"a": 1}), Part(failures=1, restored={"b": 2})]
        self.restorer.add(*parts)
        self.begin_era(2)
        await asyncio.sleep(1.0)
        self.assertEqual([part.calls for part in parts], [1, 2])
        (line,) = self.restored_lines()
        fields = line["extra"]
        self.assertEqual((fields["era"], fields["a"], fields["b"]), (2, 1, 2))
        self.assertEqual(
            [key for table, key in self.table.rows if table == ERA_TABLE], [f"{2:012}"]
        )
        self.assertIn(b"bilberryplank_store_restores_total 1.0", self.metrics.render())

    async def test_a_part_that_cannot_be_restored_keeps_no_other_from_it(self):
        spoilt, sound = Part(failures=9), Part()
        self.restorer.add(spoilt, sound)
        self.begin_era(2)
        await asyncio.sleep(2.0)
        self.assertEqual(sound.calls, 1)
        self.assertGreater(spoilt.calls, 1)

    async def test_a_second_restore_while_one_is_worked_through_begins_again(self):
        part = Part(failures=1)
        self.restorer.add(part, Part())
        self.begin_era(2)
        await asyncio.sleep(0.2)
        self.begin_era(3)
        await asyncio.sleep(1.0)
        self.assertEqual([line["extra"]["era"] for line in self.restored_lines()], [3])

    async def test_rows_of_entries_and_of_true_time_that_the_copy_lacks_are_written_again(self):
        keeper = TrueTimeKeeper(self.table, self.clock)
        entries = MembersKeeper(
            "e1", "127.0.0.1:1", self.table, self.clock, self.members, lambda: None, Random(1)
        )
        self.clock.set_offset(77.0)
        self.restorer.add(keeper, entries)
        self.begin_era(2)
        await asyncio.sleep(0.3)
        self.assertEqual(self.table.rows[TIME_TABLE, TIME_KEY].value, {"offset": 77.0})
        self.assertEqual(self.table.rows[MEMBERS_TABLE, "e1"].value["address"], "127.0.0.1:1")

    async def test_a_figure_of_true_time_that_another_entry_wrote_first_is_taken(self):
        await self.table.commit([], [Put(TIME_TABLE, TIME_KEY, {"offset": 80.0})])
        self.clock.set_offset(77.0)
        self.assertEqual(
            await TrueTimeKeeper(self.table, self.clock).restore(), {"true_time_rows": 0}
        )
        self.assertEqual(self.clock.offset, 80.0)

    async def test_a_process_that_starts_leaves_true_time_to_those_that_hold_it(self):
        table = EraTable(self.table, self.eras, self.clock)
        await table.opening()
        learning = asyncio.create_task(TrueTimeKeeper(table, self.clock)._offset())
        await asyncio.sleep(0.1)
        self.assertNotIn((TIME_TABLE, TIME_KEY), self.table.rows)
        await self.table.commit([], [Put(TIME_TABLE, TIME_KEY, {"offset": 80.0})])
        self.assertEqual(await learning, (80.0, False))

    async def test_a_spoilt_figure_of_true_time_is_replaced(self):
        await self.table.commit([], [Put(TIME_TABLE, TIME_KEY, {"offset": "soon"})])
        self.clock.set_offset(77.0)
        self.assertEqual(
            await TrueTimeKeeper(self.table, self.clock).restore(), {"true_time_rows": 1}
        )
        self.assertEqual(self.table.rows[TIME_TABLE, TIME_KEY].value, {"offset": 77.0})

    async def test_an_entry_that_was_withdrawn_does_not_come_back_with_the_copy(self):
        entries = MembersKeeper(
            "e1", "127.0.0.1:1", self.table, self.clock, self.members, lambda: None, Random(1)
        )
        await entries.withdraw()
        await self.table.commit([], [Put(MEMBERS_TABLE, "e1", {"at": 499.0})])
        await entries.restore()
        self.assertNotIn((MEMBERS_TABLE, "e1"), self.table.rows)


if __name__ == "__main__":
    unittest.main()
