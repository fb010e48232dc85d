"""Tests of the budget for what callers send and leave unread, in virtual time."""

import unittest
from random import Random

from bilberryplank_core.memory import (
    CallerBudget,
    Holding,
    Pool,
    budget_bytes,
    connection_limits,
    receive_buffer_bytes,
)
from bilberryplank_core.memory._budget import POOL_SHARES, STALL_SECONDS

MIB = 1024 * 1024
LONGEST = 4 * MIB
TOTAL = 20 * MIB


class Body:
    """A body that asks for room, comes in at a rate, and is released at its end."""

    def __init__(self, budget, owner, size, now):
        self.granted = self.evicted = False
        self.budget, self.size, self.came = budget, size, 0
        self.holding = Holding(owner, now, self.evict, self.grant)
        self.granted = budget.request(self.holding, size, now) or self.granted

    def grant(self):
        self.granted = True

    def evict(self):
        self.evicted = True

    def come(self, count, now):
        count = min(count, self.size - self.came)
        self.came += count
        self.holding.record_progress(count, now)
        if self.came == self.size:
            self.holding.complete()

    def release(self, now):
        self.budget.release(self.holding, now)


class CallerBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = CallerBudget(TOTAL)

    def bodies(self, count, owner="a", size=LONGEST, now=0.0):
        return [Body(self.budget, owner, size, now) for _ in range(count)]

    # Load pattern: many bodies of the longest size that stop just short of their end.
    def test_bodies_that_stopped_coming_give_way_to_one_that_waits(self):
        crowd = self.bodies(40)
        granted = [each for each in crowd if each.granted]
        self.assertLessEqual(sum(each.size for each in granted), TOTAL * POOL_SHARES[Pool.LARGE])
        for each in granted:
            each.come(each.size - 1, 0.0)
        self.budget.make_room(STALL_SECONDS / 2)
        self.assertFalse(any(each.evicted for each in crowd))
        self.budget.make_room(STALL_SECONDS)
        evicted = [each for each in crowd if each.evicted]
        self.assertEqual(len(evicted), 1)
        evicted[0].release(STALL_SECONDS)
        self.assertEqual(sum(each.granted for each in crowd), len(granted) + 1)

    def test_a_body_that_goes_on_coming_or_is_whole_gives_way_to_none(self):
        coming, whole = self.bodies(2)
        whole.come(whole.size, 0.0)
        self.bodies(5)
        for step in range(1, 100):
            coming.come(32 * 1024, 0.1 * step)
            self.budget.make_room(0.1 * step)
        self.assertFalse(coming.evicted or whole.evicted)

    # A byte now and then kept the place of a body for as long as its sender liked.
    def test_a_byte_now_and_then_is_no_progress(self):
        dripping = self.bodies(2)
        self.bodies(1)
        for step in range(1, 20):
            for each in dripping:
                each.come(1, 0.1 * step)
            self.budget.make_room(0.1 * step)
        self.assertTrue(any(each.evicted for each in dripping))

    def test_large_bodies_leave_the_small_ones_their_share(self):
        self.bodies(100)
        small = self.bodies(20, owner="b", size=100 * 1024)
        self.assertTrue(all(each.granted for each in small))

    def test_an_owner_that_holds_little_comes_before_one_that_holds_much(self):
        held = [each for each in self.bodies(10) if each.granted]
        other = Body(self.budget, "b", LONGEST, 0.0)
        held[0].release(1.0)
        self.assertTrue(other.granted)

    def test_the_owner_that_holds_most_gives_way_first(self):
        self.budget = CallerBudget(10 * LONGEST)
        one, *many = self.bodies(1, "b"), *self.bodies(3, "a")
        Body(self.budget, "c", LONGEST, 0.1)
        self.budget.make_room(STALL_SECONDS)
        self.assertEqual([each.evicted for each in (*one, *many)], [False, True, False, False])

    def test_one_body_of_the_longest_size_fits_on_the_smallest_host(self):
        self.budget = CallerBudget(LONGEST)
        self.assertTrue(self.bodies(1)[0].granted)

    def test_a_body_of_unknown_length_moves_to_the_large_ones_as_it_grows(self):
        body = Body(self.budget, "a", 64 * 1024, 0.0)
        self.assertTrue(self.budget.request(body.holding, MIB, 0.0))
        self.assertEqual(self.budget.used(Pool.SMALL), 0)
        self.assertEqual(self.budget.used(Pool.LARGE), MIB)

    # Load pattern: answers that nobody reads; those that wait longest are cut first.
    def test_answers_that_wait_longest_give_way_to_new_ones(self):
        cut = []
        for number in range(100):
            holding = Holding("a", number, lambda n=number: cut.append(n), pool=Pool.ANSWERS)
            self.assertTrue(self.budget.hold(holding, 160 * 1024, number))
        self.assertEqual(cut, sorted(cut))
        self.assertEqual(cut[0], 0)

    def test_an_answer_is_too_much_where_no_other_has_stalled(self):
        held = [Holding("a", 0.0, self.fail, pool=Pool.ANSWERS) for _ in range(100)]
        fits = [self.budget.hold(each, 160 * 1024, 0.0) for each in held]
        self.assertTrue(fits[0])
        self.assertFalse(fits[-1])

    # Each sum is kept by hand; a slip would close the entry to its callers for good.
    def test_after_any_sequence_all_that_was_held_is_free_again(self):
        for seed in range(50):
            rng, now, bodies = Random(seed), 0.0, []
            for _ in range(200):
                now += rng.uniform(0, 0.3)
                if bodies and rng.random() < 0.5:
                    bodies.pop(rng.randrange(len(bodies))).release(now)
                else:
                    size = rng.choice((1000, 100 * 1024, MIB, LONGEST))
                    bodies.append(Body(self.budget, rng.choice("abc"), size, now))
                self.budget.make_room(now)
                for pool in Pool:
                    share = max(POOL_SHARES[pool] * TOTAL, LONGEST)
                    self.assertLessEqual(self.budget.used(pool), share)
            for each in bodies:
                each.release(now)
            self.assertEqual([self.budget.used(pool) for pool in Pool], [0, 0, 0])
            self.assertTrue(self.bodies(1)[0].granted)
            self.setUp()


class HostLimitsTest(unittest.TestCase):
    def test_the_budget_leaves_the_process_what_it_needs(self):
        for memory in (160, 200, 232, 300, 552):
            self.assertLessEqual(budget_bytes(memory * MIB) + 80 * MIB, memory * MIB)
        self.assertGreaterEqual(budget_bytes(100 * MIB), 4 * LONGEST)
        self.assertGreater(budget_bytes(None), 4 * LONGEST)

    def test_each_running_request_can_have_a_connection_to_its_upstream(self):
        for descriptors in (220, 1638, 4096, 10250):
            most, most_per_address = connection_limits(descriptors)
            self.assertLess(2 * most, descriptors)
            self.assertLess(most_per_address, most)
        self.assertEqual(connection_limits(None), (2000, 1500))

    def test_unread_bytes_of_all_connections_leave_the_process_what_it_needs(self):
        for megabytes, descriptors in ((160, 3075), (160, 4100), (300, 4100), (552, 10250)):
            most, _ = connection_limits(descriptors)
            size = receive_buffer_bytes(megabytes * MIB, most)
            self.assertLess((most + 512) * size + 80 * MIB, megabytes * MIB)
        self.assertIsNone(receive_buffer_bytes(None, 2000))
