"""Sealing and reporting of usage windows, in virtual time against a table in memory."""

import asyncio
import unittest
from random import Random

from loguru import logger

from bilberryplank._direct_usage import SEALS_TABLE, UsageReporter
from bilberryplank._usage_store import COUNTS_TABLE, KEPT_WINDOWS, UsageStore
from bilberryplank_core.contracts import Put
from bilberryplank_core.direct import (
    CountsNotice,
    EraChanged,
    EraTracker,
    FleetClock,
    FleetMembers,
    NoticeInvalid,
    WindowCounts,
)
from bilberryplank_core.errors import PlatformUnavailable, ReportRejected
from bilberryplank_core.settings import DirectEntrySettings
from bilberryplank_core.tests._memory_platform import MemoryTable

WINDOW = 5.0
START = 1000.0
FIRST = int(START // WINDOW)


class Reports:
    def __init__(self):
        self.sent = []
        self.down = None
        self.rejects = None

    async def send(self, window, counts, holder, fence, guard):
        guard.check()
        if self.down == window:
            raise PlatformUnavailable("down")
        if self.rejects == window:
            raise ReportRejected("other figures")
        self.sent.append((window, counts, fence))


class HeldReports(Reports):
    """Takes each report whole at once, and answers when the test says so."""

    def __init__(self):
        super().__init__()
        self.taken, self.answer = asyncio.Event(), asyncio.Event()

    async def send(self, window, counts, holder, fence, guard):
        call, answered = guard.begin_call(), False
        try:
            self.taken.set()
            await self.answer.wait()
            self.sent.append((window, counts, fence))
            answered = True
        finally:
            call.end(answered)


class UsageCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = START
        self.table, self.eras = MemoryTable(), EraTracker()
        self.table.forget = self.forget
        self.reports = Reports()
        self.given_up, self.handed_over, self.told = [], [], []
        self.silent = set()
        self.store = None
        self.time = FleetClock(lambda: self.now)
        self.time.record_answer(0.0, START, START)
        self.time.set_offset(START)

    async def forget(self, keys):
        return None

    def usage_store(self, writer, counts):
        return UsageStore(
            writer,
            self.table,
            counts,
            self.time,
            lambda: 1.0,
            Random(1),
            lambda rows: self.handed_over.append(rows),
            self.eras,
            lambda: self.now,
        )

    async def flush(self):
        if self.store is not None:
            await self.store.flush()

    def reporter(self, name):
        settings = DirectEntrySettings(
            name,
            "z",
            "1.1.1.1:1",
            "1.1.1.1:2",
            "1.1.1.1:3",
            lease_duration=3.0,
            lease_margin=0.5,
        )
        return UsageReporter(
            settings,
            name,
            self.table,
            self.reports,
            self.time,
            FleetMembers(name),
            Random(1),
            lambda *grant: self.given_up.append(grant),
            lambda writer: writer in self.silent,
            self.flush,
            lambda *seal: self.told.append(seal),
            self.eras,
            lambda: self.now,
        )

    async def count(self, writer, number, **counts):
        await self.table.commit([], [Put(COUNTS_TABLE, f"{number:012d}/{writer}", counts)])

    async def at(self, reporter, seconds):
        self.now = START + seconds
        if not reporter.lease.held(self.now):
            await reporter.lease.try_acquire()
        await reporter._advance()


class UsageReporterTest(UsageCase):
    async def test_a_lease_that_is_lost_and_taken_again_during_a_report_ends_no_process(self):
        """The reporter added to a window number that the change of the lease had cleared."""
        reporter = self.reporter("one")
        send = self.reports.send

        async def send_while_the_lease_changes(*report):
            await send(*report)
            reporter._next = None

        self.reports.send = send_while_the_lease_changes
        await self.count("a/1", FIRST, org=1)
        for seconds in (2 * WINDOW, 2 * WINDOW + 1.0):
            await self.at(reporter, seconds)
        self.reports.send = send
        await self.at(reporter, 3 * WINDOW)
        windows = [window for window, _, _ in self.reports.sent]
        self.assertEqual(windows, sorted(set(windows)))
        self.assertIn(FIRST, windows)

    async def test_windows_whose_deadline_passed_without_a_holder_are_told_in_the_log(self):
        lines = []
        sink = logger.add(lambda line: lines.append(line.record), level="WARNING")
        self.addCleanup(logger.remove, sink)
        await self.at(self.reporter("one"), 2 * WINDOW + 3.0)
        await self.at(self.reporter("two"), 6 * WINDOW + 3.0)
        (line,) = [line for line in lines if line["message"] == "usage_overdue"]
        told = line["extra"]["window"], line["extra"]["windows"]
        self.assertEqual(told, (FIRST + 2, 2))
        self.assertEqual(max(window for window, _, _ in self.reports.sent), FIRST + 1)

    async def test_a_window_waits_for_a_process_that_was_cut_off_for_windows(self):
        one = self.reporter("one")
        for number in (FIRST - 2, FIRST - 1):
            await self.count("a/1", number, org=1)
        await self.count("b/1", FIRST - 2, org=1)
        await self.count("a/1", FIRST, org=2)
        await self.at(one, 7.6)
        self.assertNotIn(FIRST, [window for window, _, _ in self.reports.sent])
        await self.count("b/1", FIRST, org=3)
        await self.at(one, 8.2)
        self.assertIn((FIRST, {"org": 5}, 1), self.reports.sent)

    async def test_a_restarted_process_is_not_awaited_under_its_old_run(self):
        one = self.reporter("one")
        await self.count("a/1", FIRST - 1, org=1)
        await self.count("a/2", FIRST, org=2)
        await self.at(one, 7.6)
        self.assertIn((FIRST, {"org": 2}, 1), self.reports.sent)

    async def test_the_figures_of_a_seal_are_sent_whoever_sends_and_whatever_came_later(self):
        one, two = self.reporter("one"), self.reporter("two")
        await self.count("a/1", FIRST, org=2)
        self.reports.down = FIRST
        with self.assertRaises(PlatformUnavailable):
            await self.at(one, 8.0)
        await self.count("a/1", FIRST, org=9)
        self.reports.down = None
        await self.at(two, 8.1)
        self.assertNotIn(FIRST, [window for window, _, _ in self.reports.sent])
        await self.at(two, 11.7)
        sent = dict((window, counts) for window, counts, _ in self.reports.sent)
        self.assertEqual(sent[FIRST], {"org": 2})
        self.assertEqual([fence for window, _, fence in self.reports.sent if window == FIRST], [2])

    async def test_a_rejected_window_holds_up_no_later_one(self):
        one = self.reporter("one")
        self.reports.rejects = FIRST
        await self.count("a/1", FIRST + 1, org=4)
        await self.at(one, 8.0)
        await self.at(one, 13.0)
        windows = [window for window, _, _ in self.reports.sent]
        self.assertNotIn(FIRST, windows)
        self.assertIn((FIRST + 1, {"org": 4}, 2), self.reports.sent)

    async def test_a_retired_holder_reports_no_more(self):
        one = self.reporter("one")
        await self.at(one, 1.0)
        await one.retire()
        self.assertFalse(one.lease.held(self.now))
        self.assertEqual([lease for lease, _ in self.given_up], ["usage"])
        two = self.reporter("two")
        self.now += 0.1
        self.assertTrue(await two.lease.try_acquire())

    async def retire_beside_a_report(self):
        """Stops a holder whose report is on its way; returns it, its report and its stop."""
        self.reports = HeldReports()
        one = self.reporter("one")
        await self.count("a/1", FIRST, org=1)
        report = asyncio.create_task(self.at(one, 8.0))
        await self.reports.taken.wait()
        stop = asyncio.create_task(one.retire())
        await asyncio.sleep(0.1)
        self.assertEqual((self.given_up, one.lease.held(self.now)), ([], False))
        return one, report, stop

    # Its report could reach the platform after those of the next holder.
    async def test_a_retired_holder_keeps_its_lease_until_its_report_is_answered(self):
        _, report, stop = await self.retire_beside_a_report()
        two = self.reporter("two")
        self.assertFalse(await two.lease.try_acquire())
        self.reports.answer.set()
        await asyncio.gather(report, stop, return_exceptions=True)
        self.assertEqual([lease for lease, _ in self.given_up], ["usage"])
        two.lease.record_relinquished(self.given_up[0][1])
        self.assertTrue(await two.lease.try_acquire())

    async def test_a_retired_holder_whose_report_got_no_answer_leaves_its_lease_to_expire(self):
        one, report, stop = await self.retire_beside_a_report()
        report.cancel()
        await asyncio.gather(report, return_exceptions=True)
        # Nothing is waited for: the stop goes on.
        await stop
        await one.lease.release()
        self.assertEqual(self.given_up, [])
        two = self.reporter("two")
        self.assertFalse(await two.lease.try_acquire())
        self.now += 3.5
        self.assertTrue(await two.lease.try_acquire())

    async def test_counts_stay_here_until_the_store_has_them(self):
        counts = WindowCounts(WINDOW)
        store = self.usage_store("a/1", counts)
        counts.add("org", START)
        await store.flush()
        self.assertEqual(counts.unsaved(), [])
        row = await self.table.read(COUNTS_TABLE, f"{FIRST:012d}/a/1")
        self.assertEqual(row.value, {"org": 1})
        self.assertIsNone(await self.table.read(SEALS_TABLE, f"{FIRST:012d}"))


class RestoredCountsTest(UsageCase):
    async def test_counts_that_a_restored_store_lacks_are_stored_again_and_not_handed_over(self):
        counts = WindowCounts(WINDOW)
        store = self.usage_store("a/1", counts)
        self.eras.record_answer(None, 1)
        counts.add("org", START)
        store.take(CountsNotice(FIRST, "b/1", {"org": 3}))
        await store.flush()
        before = {key: row.value for key, row in self.table.rows.items()}
        self.table.rows.clear()
        with self.assertRaises(EraChanged):
            self.eras.record_answer(1, 2)
        self.now = START + WINDOW
        store._hand_over_ended()
        self.assertEqual(self.handed_over, [{}])
        self.assertEqual(await store.restore(), {"counts_rows": 2})
        self.assertEqual({key: row.value for key, row in self.table.rows.items()}, before)

    async def test_many_rows_are_stored_in_calls_that_a_store_takes(self):
        store = self.usage_store("a/1", WindowCounts(WINDOW))
        sizes = []
        commit = self.table.commit
        for number in range(200):
            store.take(CountsNotice(FIRST, f"b/{number}", {"org": 3}))

        async def counted(conditions, writes):
            sizes.append(len(writes))
            return await commit(conditions, writes)

        self.table.commit = counted
        self.assertEqual(await store.flush(), 200)
        self.assertLessEqual(max(sizes), 100)


class OutageTest(UsageCase):
    """Load pattern: entries stop, or are cut off alone, while the store does not answer."""

    async def test_an_older_write_of_counts_that_is_performed_late_does_not_stay(self):
        counts = WindowCounts(WINDOW)
        store = self.usage_store("a/1", counts)
        counts.add("org", START)
        self.table.down = True
        with self.assertRaises(PlatformUnavailable):
            await store.flush()
        self.table.down = False
        counts.add("org", START)
        await store.flush()
        await self.count("a/1", FIRST, org=1)
        self.now += 6.0
        await store.flush()
        row = await self.table.read(COUNTS_TABLE, f"{FIRST:012d}/a/1")
        self.assertEqual((row.value, counts.unsaved()), ({"org": 2}, []))

    async def test_a_silent_entry_is_not_awaited(self):
        one = self.reporter("one")
        for writer in ("a/1", "b/1"):
            await self.count(writer, FIRST - 1, org=1)
        await self.count("a/1", FIRST, org=2)
        self.silent = {"b"}
        await self.at(one, 7.6)
        self.assertIn((FIRST, {"org": 2}, 1), self.reports.sent)

    async def test_one_that_stops_in_an_outage_hands_its_counts_over(self):
        counts = WindowCounts(WINDOW)
        store = self.usage_store("a/1", counts)
        counts.add("org", START)
        counts.add("org", START + WINDOW)
        self.table.down = True
        await store.finish(0.5)
        self.assertEqual(self.handed_over, [{FIRST: {"org": 1}, FIRST + 1: {"org": 1}}])

    async def test_one_that_is_cut_off_hands_over_each_ended_window_once(self):
        counts = WindowCounts(WINDOW)
        store = self.usage_store("a/1", counts)
        counts.add("org", START)
        for after, handed in ((1.0, []), (6.0, [FIRST]), (7.0, [FIRST])):
            self.now = START + after
            store._hand_over_ended()
            with self.subTest(after=after):
                self.assertEqual([each for rows in self.handed_over for each in rows], handed)

    async def test_the_holder_counts_what_it_took_over_exactly_once(self):
        one = self.reporter("one")
        self.store = self.usage_store("one/1", WindowCounts(WINDOW))
        other = self.usage_store("other/1", WindowCounts(WINDOW))
        notice = CountsNotice(FIRST, "a/1", {"org": 3})
        await self.count("a/1", FIRST - 1, org=1)
        await self.count("a/1", FIRST, org=2)
        for store in (self.store, self.store, other):
            store.take(notice)
        await other.flush()
        await self.at(one, 7.6)
        self.assertIn((FIRST, {"org": 3}, 1), self.reports.sent)

    async def test_a_window_that_cannot_be_due_is_refused_and_drops_nothing(self):
        counts = WindowCounts(WINDOW)
        store = self.usage_store("one/1", counts)
        counts.add("org", START)
        for window in (FIRST - KEPT_WINDOWS - 1, FIRST + KEPT_WINDOWS + 1, 10**12):
            with self.subTest(window=window), self.assertRaises(NoticeInvalid):
                store.take(CountsNotice(window, "a/1", {"org": 3}))
        self.assertEqual(counts.unsaved(), [FIRST])

    async def test_those_that_hear_of_a_lease_given_up_look_at_once(self):
        one, two = self.reporter("one"), self.reporter("two")
        await self.at(one, 1.0)
        self.assertFalse(await two.lease.try_acquire())
        self.table.down = True
        await one.retire()
        self.table.down = False
        two.take_given_up(*self.given_up[0])
        self.assertTrue(two._given_up.is_set())
        self.assertLess(two._look_again(), 1.0)
        self.assertTrue(await two.lease.try_acquire())
