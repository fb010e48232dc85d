import heapq
import itertools
import unittest
from random import Random

from bilberryplank_core.errors import LeaseLost, PlatformUnavailable
from bilberryplank_core.fleet import LeaseHolder
from bilberryplank_core.tests._memory_platform import MemoryTable, TableFault

DURATION = 6.0
MARGIN = 1.0


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 50.0
        self.table = MemoryTable()
        self.first = self.make_holder("first")
        self.second = self.make_holder("second")

    def make_holder(self, owner):
        return LeaseHolder("job", owner, self.table, lambda: self.now, DURATION, MARGIN, Random(1))

    async def test_takeover_happens_after_the_duration_plus_the_margin(self):
        self.assertTrue(await self.first.try_acquire())
        self.assertFalse(await self.second.try_acquire())
        cases = [(4.9, True, False), (5.0, False, False), (6.9, False, False), (7.0, False, True)]
        start = self.now
        for elapsed, held, acquired in cases:
            with self.subTest(elapsed=elapsed):
                self.now = start + elapsed
                self.assertEqual(self.first.held(self.now), held)
                self.assertEqual(await self.second.try_acquire(), acquired)
        self.assertEqual((self.first.fence, self.second.fence), (1, 2))

    async def test_one_of_many_contenders_takes_over_soon_with_few_reads_each(self):
        """27 contenders read less than once per lease; takeover still takes at most 1.3 leases."""
        await self.first.try_acquire()
        died_at = self.now
        rng = Random(3)
        contenders = [
            (self.now - rng.uniform(0, DURATION), number, self.make_holder(f"c{number}"))
            for number in range(27)
        ]
        reads = 0
        while True:
            self.now, number, holder = heapq.heappop(contenders)
            reads += 1
            if await holder.try_acquire():
                break
            heapq.heappush(contenders, (self.now + holder.takeover_delay(), number, holder))
        self.assertLess(self.now - died_at, 1.3 * (DURATION + MARGIN))
        self.assertLess(reads, 27 * 2.5)

    async def test_a_single_contender_takes_over_within_two_reads(self):
        await self.first.try_acquire()
        died_at = self.now
        self.assertFalse(await self.second.try_acquire())
        self.now += self.second.takeover_delay()
        self.assertTrue(await self.second.try_acquire())
        self.assertLess(self.now - died_at, 2 * (DURATION + MARGIN))

    async def test_each_renewal_restarts_the_wait_of_contenders(self):
        await self.first.try_acquire()
        for _ in range(10):
            self.assertFalse(await self.second.try_acquire())
            self.now += 2.0
            self.assertTrue(await self.first.renew())
        self.assertEqual(self.first.fence, 1)

    async def test_a_holder_resumed_after_a_pause_finds_its_lease_expired(self):
        await self.first.try_acquire()
        guard = self.first.guard()
        self.assertEqual(guard.remaining(), 5.0)
        self.now += 5.0
        with self.assertRaises(LeaseLost):
            guard.check()
        self.assertFalse(await self.first.renew())
        self.assertEqual(guard.remaining(), 0.0)
        with self.assertRaises(LeaseLost):
            self.first.fence_condition()

    async def test_a_renewal_that_arrives_after_a_takeover_changes_nothing(self):
        await self.first.try_acquire()
        await self.second.try_acquire()

        async def take_over():
            self.now += DURATION + MARGIN
            await self.second.try_acquire()

        self.table.on_commit = take_over
        self.assertFalse(await self.first.renew())
        self.assertEqual(self.table.rows["leases", "job"].value["holder"], "second")
        self.assertTrue(await self.second.renew())

    async def test_a_guard_does_not_outlive_its_grant(self):
        await self.first.try_acquire()
        guard = self.first.guard()
        await self.first.release()
        await self.first.try_acquire()
        self.assertEqual(self.first.fence, 2)
        with self.assertRaises(LeaseLost):
            guard.check()

    async def test_lost_responses_are_resolved_by_the_next_call(self):
        self.table.faults.append(TableFault.LOST_ANSWER)
        with self.assertRaises(PlatformUnavailable):
            await self.first.try_acquire()
        self.assertFalse(self.first.held(self.now))
        self.now += 1.0
        self.assertTrue(await self.first.try_acquire())
        self.assertEqual(self.first.remaining(self.now), 4.0)
        self.table.faults.append(TableFault.LOST_ANSWER)
        with self.assertRaises(PlatformUnavailable):
            await self.first.renew()
        self.assertEqual(self.first.remaining(self.now), 4.0)
        self.assertTrue(await self.first.renew())
        self.assertEqual(self.first.remaining(self.now), 5.0)

    async def test_a_restarted_process_of_the_same_name_waits(self):
        await self.first.try_acquire()
        restarted = self.make_holder("first")
        self.assertFalse(await restarted.try_acquire())
        self.now += DURATION + MARGIN
        self.assertTrue(await restarted.try_acquire())
        self.assertEqual(restarted.fence, 2)

    async def test_a_released_lease_is_free_at_once(self):
        await self.first.try_acquire()
        await self.first.release()
        self.assertFalse(self.first.held(self.now))
        self.assertTrue(await self.second.try_acquire())

    async def test_the_last_holder_reacquires_its_expired_lease_at_once(self):
        await self.first.try_acquire()
        self.assertFalse(self.first.may_be_free())
        self.now += DURATION
        self.assertTrue(self.first.may_be_free())
        self.assertTrue(await self.first.try_acquire())
        self.assertEqual(self.first.fence, 2)

    async def test_the_last_holder_waits_like_any_other_after_a_takeover(self):
        await self.first.try_acquire()
        self.assertFalse(await self.second.try_acquire())
        self.now += DURATION + MARGIN
        self.assertTrue(await self.second.try_acquire())
        self.assertFalse(await self.first.try_acquire())
        self.assertFalse(self.first.may_be_free())

    async def test_an_announced_relinquished_grant_is_free_before_its_row_is_released(self):
        await self.first.try_acquire()
        grant = self.first.relinquish()
        self.assertFalse(self.first.held(self.now))
        self.assertFalse(await self.second.try_acquire())
        self.second.record_relinquished(grant)
        self.assertTrue(self.second.may_be_free())
        self.assertTrue(await self.second.try_acquire())
        self.assertEqual(self.second.fence, 2)

    async def test_the_announcement_of_an_older_grant_does_not_free_a_newer_one(self):
        await self.first.try_acquire()
        grant = self.first.relinquish()
        await self.first.release()
        await self.first.try_acquire()
        self.second.record_relinquished(grant)
        self.assertFalse(await self.second.try_acquire())
        self.assertFalse(self.second.may_be_free())

    # A holder that stopped gave its lease up while its last call could still arrive.
    async def test_a_lease_is_not_given_up_before_a_call_under_it_is_answered(self):
        await self.first.try_acquire()
        call = self.first.guard().begin_call()
        self.assertEqual(self.first.relinquish(), "")
        await self.first.release()
        self.assertFalse(await self.second.try_acquire())
        self.assertTrue(self.first.awaits_answer())
        call.end(answered=True)
        self.assertFalse(self.first.awaits_answer())
        grant = self.first.relinquish()
        self.second.record_relinquished(grant)
        self.assertTrue(grant)
        await self.first.release()
        self.assertTrue(await self.second.try_acquire())

    async def test_a_lease_is_left_to_expire_where_a_call_under_it_got_no_answer(self):
        await self.first.try_acquire()
        answered, failed = (self.first.guard().begin_call() for _ in range(2))
        failed.end(answered=False)
        answered.end(answered=True)
        failed.end(answered=True)
        self.assertFalse(self.first.awaits_answer())
        self.assertEqual(self.first.relinquish(), "")
        await self.first.release()
        self.assertFalse(await self.second.try_acquire())
        self.now += DURATION + MARGIN
        self.assertTrue(await self.second.try_acquire())

    async def test_a_call_that_the_lease_refused_holds_nothing_up(self):
        await self.first.try_acquire()
        guard = self.first.guard()
        self.now += DURATION
        with self.assertRaises(LeaseLost):
            guard.begin_call()
        self.assertFalse(self.first.awaits_answer())
        self.assertTrue(await self.first.try_acquire())

    # It took its own expired lease at once, and its next call could overtake the one before.
    async def test_the_last_holder_waits_for_its_own_call_before_it_reacquires(self):
        for answered in (True, False):
            with self.subTest(answered=answered):
                self.setUp()
                await self.first.try_acquire()
                call = self.first.guard().begin_call()
                self.now += DURATION - MARGIN
                self.assertFalse(await self.first.try_acquire())
                call.end(answered)
                self.assertEqual(await self.first.try_acquire(), answered)
                self.now += 2 * MARGIN
                self.assertTrue(await self.first.try_acquire())

    async def test_a_renewal_does_not_lengthen_the_wait_for_an_earlier_call(self):
        await self.first.try_acquire()
        self.first.guard().begin_call().end(answered=False)
        for _ in range(2):
            self.now += 0.5 * (DURATION + MARGIN)
            self.assertTrue(await self.first.renew())
        self.assertTrue(self.first.relinquish())

    async def test_the_fence_condition_holds_through_renewals_only(self):
        await self.first.try_acquire()
        condition = self.first.fence_condition()
        self.now += 2.0
        await self.first.renew()
        self.assertEqual(self.first.fence_condition(), condition)
        await self.first.release()
        await self.second.try_acquire()
        self.assertNotEqual(self.second.fence_condition(), condition)

    async def test_a_release_during_a_pending_call_wins(self):
        for call, moment in itertools.product(
            ("try_acquire", "renew"), ("on_commit", "after_commit")
        ):
            with self.subTest(call, moment=moment):
                self.setUp()
                if call == "renew":
                    await self.first.try_acquire()
                setattr(self.table, moment, self.first.release)
                self.assertFalse(await getattr(self.first, call)())
                self.assertFalse(self.first.held(self.now))
