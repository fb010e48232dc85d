import unittest
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core import _usage_ids
from bilberryplank_core._usage_ids import IdStatus, NumberRanges
from bilberryplank_core._usage_records import batch_records, batch_value, shard_of
from bilberryplank_core.contracts import UsageReports
from bilberryplank_core.errors import Conflict, LeaseLost, PlatformUnavailable, ReportRejected
from bilberryplank_core.fleet import (
    USAGE_SHARDS,
    LeaseHolder,
    ReportState,
    UsageRecord,
    UsageReporter,
    UsageSpool,
    UsageWindows,
)
from bilberryplank_core.tests._memory_platform import MemoryTable, TableFault

WINDOW = 100
GRACE = 10
START = 1000


class MemoryReports(UsageReports):
    def __init__(self):
        self.reports = {}
        self.sent = Counter()
        self.lose_next_response = False

    async def send(self, report, guard):
        guard.check()
        self.sent[report.window] += 1
        if self.reports.setdefault(report.window, report) != report:
            raise ReportRejected("other figures")
        if self.lose_next_response:
            self.lose_next_response = False
            raise PlatformUnavailable("response lost")


class UsageWindowsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = float(START)
        self.table = MemoryTable()
        self.reports = MemoryReports()
        self.lease, self.windows, self.reporter = await self.start_process("first")
        await self.run_passes(self.windows)

    async def start_process(self, name):
        clock = lambda: self.now  # noqa: E731
        lease = LeaseHolder("usage", name, self.table, clock, 6.0, 1.0, Random(1))
        await lease.try_acquire()
        windows = UsageWindows(self.table, lease, clock, WINDOW, GRACE)
        return lease, windows, UsageReporter(self.table, self.reports, lease, WINDOW)

    async def run_passes(self, windows):
        return [await windows.advance(shard) for shard in range(USAGE_SHARDS)]

    async def store(self, run_id, numbers, epoch="e", finished=START + 1.0):
        spool = UsageSpool(run_id, lambda: self.now, 2.0, 100, Random(1))
        for number in numbers:
            spool.add(UsageRecord(f"{epoch}-{number}", "org", "desk", 1, 10**number, 1, finished))
        await spool.flush(self.table)

    async def advance_time(self, seconds):
        await self.lease.release()
        self.now += seconds
        await self.lease.try_acquire()

    def totals(self):
        return {
            window: [line.completion_tokens for line in report.lines]
            for window, report in self.reports.reports.items()
        }

    async def test_copies_count_once_and_late_records_count_in_the_next_window(self):
        await self.store("entry", [0, 1])
        await self.run_passes(self.windows)
        await self.store("sidecar", [1, 2])
        passes = await self.run_passes(self.windows)
        self.assertEqual(
            (
                sum(shard_pass.counted for shard_pass in passes),
                sum(shard_pass.repeated for shard_pass in passes),
            ),
            (1, 1),
        )
        self.assertIsNone(await self.reporter.advance())
        await self.advance_time(WINDOW + GRACE)
        await self.store("sidecar2", [2, 3])
        await self.run_passes(self.windows)
        await self.store("sidecar3", [0, 4])
        passes = await self.run_passes(self.windows)
        self.assertEqual(sum(shard_pass.late for shard_pass in passes), 1)
        sealed = await self.reporter.advance()
        self.assertEqual((sealed.window, sealed.state), (START, ReportState.REPORTED))
        self.assertIsNone(await self.reporter.advance())
        await self.advance_time(WINDOW)
        await self.run_passes(self.windows)
        await self.reporter.advance()
        self.assertEqual(self.totals(), {1000: [1111], 1100: [10000]})
        batches = [key for _, key in self.table.rows if key.startswith(("batch/", "part/"))]
        self.assertEqual(batches, [])

    async def test_totals_are_exact_whichever_process_crashes(self):
        """Each case lists the calls in order; a process that crashed makes no further calls."""
        cases = {
            "entry dies before it flushes": ["gone", "sidecar"],
            "entry dies once it flushed": ["entry", "gone", "sidecar"],
            "sidecar dies": ["entry"],
            "sidecar dies once it flushed": ["gone", "sidecar", "entry"],
            "aggregator dies between": ["entry", "pass", "take over", "gone", "sidecar"],
            "nobody dies": ["entry", "confirm", "pass", "gone", "sidecar"],
        }
        for name, calls in cases.items():
            with self.subTest(name):
                await self.asyncSetUp()
                await self.run_calls(calls)
                await self.advance_time(WINDOW + GRACE)
                await self.run_passes(self.windows)
                await self.reporter.advance()
                self.assertEqual(self.totals(), {1000: [1111]})

    async def run_calls(self, calls):
        entry = UsageSpool("entry", lambda: self.now, 2.0, 100, Random(1))
        sidecar = UsageSpool("sidecar", lambda: self.now, 2.0, 100, Random(1), hold_seconds=30.0)
        for number in range(4):
            record = UsageRecord(f"e-{number}", "org", "desk", 1, 10**number, 1, START + 1.0)
            entry.add(record)
            sidecar.add(record)
        stored = []
        for call in calls:
            match call:
                case "entry":
                    stored = await entry.flush(self.table)
                case "confirm":
                    sidecar.confirm(stored)
                case "gone":
                    sidecar.release("e")
                case "sidecar":
                    await sidecar.flush(self.table)
                case "pass":
                    await self.run_passes(self.windows)
                case "take over":
                    await self.lease.release()
                    self.lease, self.windows, self.reporter = await self.start_process("next")

    async def test_batch_stored_again_after_it_was_counted_is_skipped(self):
        await self.store("entry", [0, 1])
        rows = {key: row for key, row in self.table.rows.items() if key[1].startswith("batch/")}
        await self.run_passes(self.windows)
        self.table.rows.update(rows)
        passes = await self.run_passes(self.windows)
        self.assertEqual(sum(shard_pass.repeated for shard_pass in passes), 2)

    async def test_new_lease_holder_sends_the_same_figures(self):
        await self.store("entry", [0, 1])
        await self.advance_time(WINDOW + GRACE)
        await self.run_passes(self.windows)
        self.reports.lose_next_response = True
        with self.assertRaises(PlatformUnavailable):
            await self.reporter.advance()
        await self.store("sidecar", [2])
        await self.lease.release()
        _, windows, reporter = await self.start_process("second")
        await self.run_passes(windows)
        await reporter.advance()
        self.assertEqual((self.totals(), self.reports.sent[START]), ({1000: [11]}, 2))

    async def test_pass_without_the_lease_writes_nothing(self):
        await self.store("entry", [0])
        self.now += WINDOW + GRACE
        rows = dict(self.table.rows)
        with self.assertRaises(LeaseLost):
            await self.run_passes(self.windows)
        self.assertEqual(self.table.rows, rows)

    async def test_expired_lease_holder_sends_no_report(self):
        await self.advance_time(WINDOW + GRACE)
        await self.run_passes(self.windows)
        await self.reporter._seal(START)
        self.now += 60
        with self.assertRaises(LeaseLost):
            await self.reporter.advance()
        self.assertEqual(self.reports.sent, Counter())

    async def test_stale_window_sums_cause_a_conflict(self):
        before = dict(self.table.rows)
        await self.store("entry", [0])
        await self.run_passes(self.windows)
        await self.store("entry2", [1])
        self.serve_stale_sums(before)
        with self.assertRaises(Conflict):
            await self.run_passes(self.windows)
        self.table.thaw_reads()
        await self.advance_time(WINDOW + GRACE)
        await self.run_passes(self.windows)
        self.serve_stale_sums(before)
        with self.assertRaises(Conflict):
            await self.reporter.advance()
        self.table.thaw_reads()
        await self.reporter.advance()
        self.assertEqual(self.totals(), {1000: [11]})

    def serve_stale_sums(self, rows):
        newest = {key: row for key, row in self.table.rows.items() if "part/" not in key[1]}
        self.table._stale_rows = newest | {k: row for k, row in rows.items() if "part/" in k[1]}

    async def test_pass_after_a_lost_response_counts_nothing_twice(self):
        for fault in TableFault:
            self.table.faults.append(fault)
            await self.run_pass_with_fault(fault)
        await self.advance_time(WINDOW + GRACE)
        await self.run_passes(self.windows)
        await self.reporter.advance()
        self.assertEqual(self.totals(), {1000: [11]})

    async def run_pass_with_fault(self, fault):
        self.table.faults.clear()
        await self.store(fault.value, [list(TableFault).index(fault)])
        self.table.faults.append(fault)
        with self.assertRaises(PlatformUnavailable):
            await self.run_passes(self.windows)
        await self.run_passes(self.windows)

    async def test_rejected_report_is_marked_and_does_not_block(self):
        self.reports.reports[START] = "other"
        await self.advance_time(2 * WINDOW + GRACE)
        await self.run_passes(self.windows)
        self.assertEqual((await self.reporter.advance()).state, ReportState.REJECTED)
        self.assertEqual((await self.reporter.advance()).state, ReportState.REPORTED)

    async def test_records_of_forgotten_epochs_are_disputed(self):
        same_shard_epoch = next(f"x{n}" for n in range(1000) if shard_of(f"x{n}") == shard_of("e"))
        await self.store("entry", [0])
        await self.run_passes(self.windows)
        await self.advance_time(49 * 3600)
        await self.store("near", [1], epoch=same_shard_epoch, finished=self.now)
        await self.run_passes(self.windows)
        await self.store("copy", [0])
        await self.store("near copy", [1, 2], epoch=same_shard_epoch, finished=self.now)
        passes = await self.run_passes(self.windows)
        disputed = [rec.record_id for shard_pass in passes for rec in shard_pass.disputed]
        self.assertEqual(disputed, ["e-0"])
        self.assertEqual(
            (
                sum(shard_pass.counted for shard_pass in passes),
                sum(shard_pass.repeated for shard_pass in passes),
            ),
            (1, 1),
        )
        self.assertIn(("usage", f"disputed/{shard_of('e'):02d}/e-0"), self.table.rows)


class NumberRangesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.integers(0, 60)))
    def test_ranges_equal_a_set(self, numbers):
        ranges, known = NumberRanges(), set()
        for number in numbers:
            expected = IdStatus.REPEATED if number in known else IdStatus.NEW
            self.assertIs(ranges.add(number), expected)
            known.add(number)
        self.assertEqual(ranges.bounds, sorted(set(ranges.bounds)))

    def test_forgotten_numbers_are_undecidable(self):
        ranges = NumberRanges()
        for number in range(0, 2 * _usage_ids.MAX_RANGE_BOUNDS, 2):
            ranges.add(number)
        self.assertEqual(len(ranges.bounds), _usage_ids.MAX_RANGE_BOUNDS)
        self.assertIs(ranges.add(1), IdStatus.UNDECIDABLE)

    def test_batch_value_round_trip(self):
        records = [UsageRecord(f"e-{n}", "o", f"c{n % 2}", n, n, 1, n) for n in range(5)]
        decoded = batch_records(batch_value(records))
        self.assertEqual(sorted(decoded, key=lambda rec: rec.number), records)
