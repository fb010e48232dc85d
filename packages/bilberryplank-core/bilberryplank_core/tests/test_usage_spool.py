import unittest
from contextlib import suppress
from random import Random

from bilberryplank_core._usage_records import batch_records
from bilberryplank_core.errors import PlatformUnavailable
from bilberryplank_core.fleet import RequestIds, UsageRecord, UsageSpool, recover_spilled
from bilberryplank_core.tests._memory_platform import MemoryObjectStore, MemoryTable, TableFault


def record(record_id, completion=1, finished=0.0):
    return UsageRecord(record_id, "rarangi", "courier", 10, completion, 1, finished)


def stored_ids(table):
    rows = [row for (_, key), row in table.rows.items() if key.startswith("batch/")]
    return [rec.record_id for row in rows for rec in batch_records(row.value)]


class UsageSpoolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 0.0
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()

    def spool(self, run="run", limit=100, hold_seconds=0.0):
        return UsageSpool(run, lambda: self.now, 2.0, limit, Random(run), hold_seconds)

    async def test_lost_response_retries_the_same_batch(self):
        for fault in TableFault:
            with self.subTest(fault):
                spool = self.spool(fault.value)
                spool.add(record("e-1"))
                self.table.rows.clear()
                self.table.faults.append(fault)
                with self.assertRaises(PlatformUnavailable):
                    await spool.flush(self.table)
                spool.add(record("e-2"))
                self.assertEqual(await spool.flush(self.table), ["e-1"])
                self.assertEqual(await spool.flush(self.table), ["e-2"])
                self.assertEqual(sorted(stored_ids(self.table)), ["e-1", "e-2"])
                self.assertEqual(len(spool), 0)

    async def test_held_records_wait_for_confirmation_or_release(self):
        spool = self.spool(hold_seconds=30.0)
        for number in range(1, 4):
            spool.add(record(f"e-{number}"))
        spool.add(record("other-1"))
        self.assertEqual(await spool.flush(self.table), [])
        spool.confirm(["e-1", "unknown"])
        spool.release("e")
        self.assertEqual(await spool.flush(self.table), ["e-2", "e-3"])
        self.now = 30.0
        self.assertEqual(await spool.flush(self.table), ["other-1"])
        self.assertEqual((spool.counters.confirmed, spool.counters.stored), (1, 3))

    async def test_held_records_are_stored_before_a_stop(self):
        spool = self.spool(hold_seconds=30.0)
        spool.add(record("e-1"))
        self.assertEqual(await spool.flush(self.table, include_held=True), ["e-1"])

    async def test_record_of_a_later_attempt_replaces_the_earlier(self):
        spool = self.spool()
        spool.add(record("e-1", completion=3))
        spool.add(record("e-1", completion=8))
        await spool.flush(self.table)
        row = next(iter(self.table.rows.values()))
        self.assertEqual([rec.completion_tokens for rec in batch_records(row.value)], [8])

    async def test_table_outage_of_30_minutes_loses_no_record(self):
        ids = RequestIds("e")
        spools = [self.spool(f"run{number}", limit=1500) for number in range(4)]
        record_ids, flushes = [], {}
        while self.now < 2400:
            self.table.down = 300 <= self.now < 2100
            for spool in spools:
                if self.now < 2100:
                    record_ids.append(ids.next())
                    spool.add(record(record_ids[-1]))
                if spool.due():
                    flushes[int(self.now)] = flushes.get(int(self.now), 0) + 1
                    with suppress(PlatformUnavailable):
                        await spool.flush(self.table)
                while spool.overfull:
                    await spool.spill(self.objects)
                self.assertLessEqual(len(spool), 1500)
            self.now += 0.5
        self.assertEqual([len(spool) for spool in spools], [0] * 4)
        self.assertGreater(sum(spool.counters.spilled for spool in spools), 0)
        self.assertEqual(sum(spool.counters.lost for spool in spools), 0)
        while await recover_spilled(self.objects, self.table):
            pass
        self.assertEqual(sorted(stored_ids(self.table)), sorted(record_ids))
        flushes_in_outage = sum(count for second, count in flushes.items() if 400 <= second < 2100)
        self.assertLess(flushes_in_outage, 4 * 1700 / 10)
        flushes_after_outage = [flushes.get(second, 0) for second in range(2100, 2110)]
        self.assertLess(max(flushes_after_outage), 8)

    async def test_oldest_records_are_dropped_and_counted_without_any_store(self):
        spool = self.spool(limit=10)
        self.table.down = self.objects.down = True
        for number in range(1, 31):
            spool.add(record(f"e-{number}"))
        with self.assertRaises(PlatformUnavailable):
            await spool.spill(self.objects)
        self.assertEqual((len(spool), spool.counters.lost), (20, 10))
