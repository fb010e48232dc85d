"""Usage windows where the store comes back from an older copy of itself."""

import unittest
from contextlib import suppress
from random import Random

from bilberryplank._direct_usage import SEALS_TABLE, UsageReporter
from bilberryplank._era_table import EraTable
from bilberryplank._usage_seals import StoredSeal
from bilberryplank._usage_store import COUNTS_TABLE, UsageStore
from bilberryplank_core.contracts import Put
from bilberryplank_core.direct import (
    FleetClock,
    FleetMembers,
    NoticeInvalid,
    SealNotice,
    WindowCounts,
    WindowSeal,
)
from bilberryplank_core.errors import LeaseLost, PlatformError, PlatformUnavailable
from bilberryplank_core.settings import DirectEntrySettings
from bilberryplank_core.tests._memory_platform import RestorableTable, RestoredTable

WINDOW = 5.0
START = 1000.0
FIRST = int(START // WINDOW)
STEP = 0.25
DEADLINE = 10.0
LEASE_SECONDS = 3.5
"""Duration and margin."""


class WatchedView(RestoredTable):
    """One process's view of the store, without the conditions of eras: those are `EraTable`'s."""

    def __init__(self, world):
        super().__init__(world.store)
        self.world = world

    async def commit(self, conditions, writes):
        if self.world.rng.random() < self.world.late_share:
            self.world.late.append((conditions, writes))
            raise PlatformUnavailable("no answer")
        return await self._answered(self.store.commit(conditions, writes))

    async def forget(self, keys):
        for key in keys:
            self.store.rows.pop(key, None)


class Reports:
    """The platform: takes all reports, and keeps them."""

    def __init__(self):
        self.sent = []
        self.down = False

    async def send(self, window, counts, holder, fence, guard):
        guard.check()
        if self.down:
            raise PlatformUnavailable("down")
        self.sent.append((window, dict(counts), holder, fence))

    def counts(self):
        found = {}
        for window, counts, _, _ in self.sent:
            found.setdefault(window, [])
            if counts not in found[window]:
                found[window].append(counts)
        return found


class Entry:
    """The usage parts of one process, driven step by step."""

    def __init__(self, name, world, peers=()):
        self.name, self.world, self.peers = name, world, peers
        self.clock = FleetClock(lambda: world.now)
        self.clock.record_answer(world.now - START, world.now, world.now)
        self.clock.set_offset(START)
        view = WatchedView(world)
        self.table = EraTable(view, view.eras, self.clock)
        self.eras = view.eras
        self.counts = WindowCounts(WINDOW)
        self.store = UsageStore(
            f"{name}/1",
            self.table,
            self.counts,
            self.clock,
            lambda: 1.0,
            Random(1),
            lambda rows: None,
            self.eras,
            lambda: world.now,
        )
        self.reporter = UsageReporter(
            DirectEntrySettings(
                name,
                "z",
                "1.1.1.1:1",
                "1.1.1.1:2",
                "1.1.1.1:3",
                lease_duration=3.0,
                lease_margin=0.5,
                usage_window=WINDOW,
                usage_deadline=DEADLINE,
            ),
            name,
            self.table,
            world.reports,
            self.clock,
            FleetMembers(name),
            Random(1),
            lambda *grant: None,
            lambda writer: not any(each.name == writer for each in world.entries),
            self.store.flush,
            self.tell,
            self.eras,
            lambda: world.now,
        )
        self.restored_in = 1

    def tell(self, window, counts):
        for peer in self.peers:
            if peer in self.world.entries:
                peer.reporter.take_seal(SealNotice(window, counts))

    async def step(self):
        for call in (self.store.flush, self.contend, self.restore, self.advance):
            try:
                await call()
            except (PlatformError, LeaseLost):
                self.world.failures += 1

    async def contend(self):
        lease = self.reporter.lease
        held = lease.held(self.world.now)
        if held and await lease.renew():
            return
        if await lease.try_acquire():
            self.reporter._next = None

    async def restore(self):
        if self.eras.current in (0, self.restored_in):
            return
        era = self.eras.current
        await self.table.opening()
        await self.store.restore()
        await self.reporter.restore()
        self.restored_in = era

    async def advance(self):
        if self.reporter.lease.held(self.world.now):
            await self.reporter._advance()


class World:
    """Some entries, a store and the platform, in virtual time.

    Attributes:
        late: Writes without an answer, which the store performs later.
        late_share: Share of writes to which that happens.
    """

    def __init__(self, *names, rng=None):
        self.now = START
        self.rng = rng or Random(1)
        self.late, self.late_share = [], 0.0
        self.failures = 0
        self.store, self.reports = RestorableTable(), Reports()
        self.entries = []
        for name in names:
            self.start(name)

    def start(self, name, knows=True):
        entry = Entry(name, self, self.entries if knows else ())
        self.entries.append(entry)
        return entry

    async def run(self, seconds, count=True):
        end = self.now + seconds
        while self.now < end - STEP / 2:
            self.now += STEP
            for entry in list(self.entries):
                if count:
                    entry.counts.add("org", self.now)
                await entry.step()
            await self.perform_late()
            held = [each.name for each in self.entries if each.reporter.lease.held(self.now)]
            assert len(held) <= 1, f"{held} hold the lease"
        return self

    async def perform_late(self):
        if not self.late or self.rng.random() < 0.8:
            return
        with suppress(PlatformError):
            await self.store.commit(*self.late.pop(self.rng.randrange(len(self.late))))

    def restore(self, kept):
        self.store.down = False
        self.store.restore(kept)


class RestoredUsageTest(unittest.IsolatedAsyncioTestCase):
    def check(self, world):
        for window, counts in world.reports.counts().items():
            self.assertEqual(len(counts), 1, f"window {window} was reported with {counts}")
        fences = [fence for _, _, _, fence in world.reports.sent]
        self.assertEqual(fences, sorted(fences))
        holders = {(fence, holder) for _, _, holder, fence in world.reports.sent}
        self.assertEqual(len(holders), len(set(fences)))

    def windows(self, world, after=FIRST):
        return sorted(window for window in world.reports.counts() if window >= after)

    async def outage(self, world, kept, seconds=2.0):
        world.store.down = True
        await world.run(seconds)
        world.restore(kept)

    async def test_no_window_is_reported_with_other_counts_after_a_restore(self):
        world = await World("a", "b").run(9.0)
        kept = world.store.keep_copy()
        await world.run(9.0)
        before = self.windows(world)
        self.assertTrue(before)
        await self.outage(world, kept)
        await world.run(20.0)
        self.check(world)
        expected = list(range(FIRST, int((world.now - LEASE_SECONDS) // WINDOW)))
        self.assertEqual(self.windows(world)[: len(expected)], expected)

    async def test_the_holder_loses_no_window_by_a_short_outage_at_any_moment(self):
        """A window of two entries has 40 requests."""
        for moment in range(20):
            with self.subTest(moment=moment):
                world = await World("a", "b").run(12.0 + moment * STEP)
                kept = world.store.keep_copy()
                await world.run(5.0)
                await self.outage(world, kept)
                await world.run(20.0)
                self.check(world)
                last = int((world.now - DEADLINE) // WINDOW)
                self.assertEqual(
                    [window for window in self.windows(world) if window <= last],
                    list(range(FIRST, last + 1)),
                )
                totals = {
                    counts[0]["org"] for counts in world.reports.counts().values() if counts[0]
                }
                self.assertLessEqual(totals, {38, 40})

    async def test_a_holder_that_ended_takes_no_seal_with_it_that_others_heard_of(self):
        world = await World("a", "b").run(9.0)
        kept = world.store.keep_copy()
        await world.run(9.0)
        before = world.reports.counts()
        holder = next(each for each in world.entries if each.reporter.lease.held(world.now))
        world.entries.remove(holder)
        await self.outage(world, kept)
        await world.run(20.0)
        self.check(world)
        row = await world.store.read(SEALS_TABLE, f"{max(before):012d}")
        self.assertEqual(row.value["counts"], before[max(before)][0])

    async def test_a_process_that_knows_nothing_gives_up_what_may_have_been_reported(self):
        world = await World("a").run(9.0)
        kept = world.store.keep_copy()
        await world.run(9.0)
        before = self.windows(world)
        world.entries.clear()
        await self.outage(world, kept)
        restored_at = world.now
        world.start("c")
        await world.run(25.0)
        self.check(world)
        after = sorted({window for window, _, holder, _ in world.reports.sent if holder == "c"})
        known = [window for window in before if f"{window:012d}" in str(kept)]
        self.assertFalse(set(after) & (set(before) - set(known)))
        self.assertIn(int(restored_at // WINDOW), after)

    async def test_a_holder_from_before_a_window_could_be_sealed_loses_it_by_no_restore(self):
        """The holder before it released the lease a second after the end of the window."""
        world = await World("a", "b").run(16.0)
        kept = world.store.keep_copy()
        holder = next(each for each in world.entries if each.reporter.lease.held(world.now))
        await holder.reporter.retire()
        world.entries.remove(holder)
        await world.run(0.5)
        await self.outage(world, kept)
        await world.run(20.0)
        self.check(world)
        self.assertIn(FIRST + 2, self.windows(world))

    async def test_a_holder_that_stops_after_a_restore_leaves_to_the_next_what_it_knows(self):
        world = await World("a", "b").run(13.0)
        kept = world.store.keep_copy()
        await world.run(1.5)
        await self.outage(world, kept, 3.0)
        await world.run(1.0)
        holder = next(each for each in world.entries if each.reporter.lease.held(world.now))
        await holder.reporter.retire()
        world.entries.remove(holder)
        await world.run(20.0)
        self.check(world)
        self.assertIn(FIRST + 2, self.windows(world))

    async def test_the_first_era_gives_up_no_window(self):
        world = await World("a").run(20.0)
        self.assertIn(FIRST - 1, world.reports.counts())
        self.assertEqual(self.windows(world), [FIRST, FIRST + 1, FIRST + 2])

    async def test_two_restores_leave_each_window_with_one_set_of_counts(self):
        for gap in (1.0, 4.0, 9.0):
            with self.subTest(gap=gap):
                world = await World("a", "b").run(9.0)
                kept = world.store.keep_copy()
                await world.run(9.0)
                await self.outage(world, kept)
                await world.run(gap)
                world.entries.pop(0)
                world.start("c")
                await self.outage(world, kept)
                await world.run(25.0)
                self.check(world)
                self.assertGreater(len(self.windows(world)), 5)

    async def test_a_mark_that_is_performed_in_the_next_era_changes_no_row(self):
        world = await World("a").run(9.0)
        kept = world.store.keep_copy()
        seals = world.entries[0].reporter._seals
        key = SEALS_TABLE, f"{FIRST + 9:012d}"
        revision = await world.store.commit([], [Put(*key, {"counts": {}, "reported": False})])
        world.late_share = 1.0
        with self.assertRaises(PlatformUnavailable):
            await seals.mark_reported(FIRST + 9, StoredSeal(WindowSeal({}), revision, False))
        world.store.restore(kept)
        other = {"counts": {"org": 1}, "reported": False}
        await world.store.commit([], [Put(*key, other)])
        await world.store.commit([], [Put("store-eras", "000000000001", {})])
        with suppress(PlatformError):
            await world.store.commit(*world.late.pop())
        self.assertEqual(world.store.rows[key].value, other)

    async def test_spoiled_rows_end_nothing_and_hold_nothing_up(self):
        world = await World("a").run(4.0)
        huge = {"counts": {"org": 10**400}, "reported": True}
        early = {"counts": {}, "reported": True}
        await world.store.commit([], [Put(SEALS_TABLE, f"{FIRST + 99:012d}", early)])
        for key, value in (("x", {}), ("²", None), ("9" * 400, {}), (f"{FIRST + 50:012d}", huge)):
            await world.store.commit([], [Put(SEALS_TABLE, key, value)])
            await world.store.commit([], [Put(COUNTS_TABLE, key, value)])
        for value in (None, [], {}, {"counts": [], "reported": True}, {"counts": {"a": -1}}):
            await world.store.commit([], [Put(SEALS_TABLE, f"{FIRST:012d}", value)])
        for writer, value in (("b/1", None), ("c/1", {"org": 10**400, "": "x"}), ("d", 7)):
            await world.store.commit([], [Put(COUNTS_TABLE, f"{FIRST + 1:012d}/{writer}", value)])
        await world.run(20.0)
        self.assertNotIn(FIRST, world.reports.counts())
        self.assertEqual(world.reports.counts()[FIRST + 1], [{"org": 20}])

    async def test_a_seal_of_a_window_that_has_not_ended_or_is_long_gone_is_refused(self):
        reporter = World("a").entries[0].reporter
        for window in (FIRST, FIRST + 1, FIRST - 13):
            with self.subTest(window=window), self.assertRaises(NoticeInvalid):
                reporter.take_seal(SealNotice(window, {}))
        reporter.take_seal(SealNotice(FIRST - 1, {"org": 1}))
        self.assertEqual(await reporter.restore(), {"seals": 1})

    async def test_no_course_of_restores_stops_and_cuts_reports_a_window_twice(self):
        for seed in range(60):
            with self.subTest(seed=seed):
                await self.play(Random(seed))

    async def play(self, rng):
        world = World("a", "b", "c", rng=rng)
        copies = [world.store.keep_copy()]
        number = 0
        for _ in range(16):
            await world.run(rng.choice((0.5, 1.0, 2.0, 4.0)))
            copies.append(world.store.keep_copy())
            match rng.randrange(7):
                case 0:
                    await self.outage(world, rng.choice(copies[-4:]), rng.choice((0.25, 2.0, 5.0)))
                    copies = copies[-1:]
                case 1 if len(world.entries) > 1:
                    world.entries.pop(rng.randrange(len(world.entries)))
                case 2 if len(world.entries) < 4:
                    number += 1
                    world.start(f"n{number}", knows=rng.random() < 0.7)
                case 3:
                    world.reports.down = not world.reports.down
                case 4:
                    await rng.choice(world.entries).reporter.lease.release()
                case 5:
                    world.late_share = rng.choice((0.0, 0.1, 0.4))
        world.reports.down = False
        await world.run(15.0)
        self.check(world)


if __name__ == "__main__":
    unittest.main()
