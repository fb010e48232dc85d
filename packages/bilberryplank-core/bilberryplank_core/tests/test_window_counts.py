import unittest

from bilberryplank_core.direct import (
    FleetClock,
    WindowCounts,
    WindowSeal,
    may_seal,
    read_seal,
    sum_counts,
)
from bilberryplank_core.errors import PlatformUnavailable


class WindowCountsTest(unittest.TestCase):
    def test_counts_stay_unsaved_until_the_store_has_the_same_ones(self):
        counts = WindowCounts(5.0)
        counts.add("a", 12.0)
        sent = counts.counts_in(2)
        counts.add("a", 14.9)
        counts.mark_saved(2, sent)
        self.assertEqual(counts.unsaved(), [2])
        counts.mark_saved(2, counts.counts_in(2))
        self.assertEqual(counts.unsaved(), [])
        counts.add("b", 15.0)
        self.assertEqual((counts.unsaved(), counts.counts_in(3)), ([3], {"b": 1}))

    def test_old_windows_are_dropped(self):
        counts = WindowCounts(5.0)
        for number in range(5):
            counts.add("a", number * 5.0)
        counts.forget_before(3)
        self.assertEqual(counts.unsaved(), [3, 4])

    def test_counts_are_stored_soon_after_each_window_and_at_intervals_within_it(self):
        counts = WindowCounts(5.0)
        cases = ((100.0, 0.4), (100.4, 2.5), (102.0, 0.9), (102.9, 2.5), (104.9, 0.5), (105.3, 0.1))
        for now, pause in cases:
            self.assertAlmostEqual(counts.seconds_until_flush(now, 2.5, 0.4), pause)
        self.assertAlmostEqual(counts.seconds_until_flush(100.4, 2.0, 0.4), 2.0)
        self.assertAlmostEqual(counts.seconds_until_flush(104.5, 2.0, 0.4), 0.9)
        self.assertAlmostEqual(counts.seconds_until_flush(100.39, 30.0, 0.4), 0.05)

    def test_sums_ignore_malformed_counts(self):
        self.assertEqual(sum_counts([{"b": 1, "a": 2}, {"a": 1, "x": "y"}, None]), {"a": 3, "b": 1})

    def test_a_seal_is_unchanged_by_encoding_and_decoding(self):
        seal = WindowSeal({"a": 1}, True)
        self.assertEqual(read_seal(seal.to_value()), seal)


class MaySealTest(unittest.TestCase):
    def test_a_window_waits_for_the_writers_of_earlier_ones_until_the_deadline(self):
        cases = (
            (2.4, {"a", "b"}, {"a", "b"}, False),
            (2.6, {"a", "b", "c"}, {"a", "b"}, True),
            (2.6, {"a"}, {"a", "b"}, False),
            (7.9, {"a"}, {"a", "b"}, False),
            (8.0, {"a"}, {"a", "b"}, True),
        )
        for age, present, expected, sealed in cases:
            with self.subTest(age=age, present=present):
                self.assertEqual(may_seal(age, 10.0, present, expected), sealed)


class FleetClockTest(unittest.TestCase):
    def test_a_delayed_answer_is_as_old_as_the_store_says(self):
        time = FleetClock(lambda: 0.0)
        self.assertEqual(time.to_local(50.0, 1.0, 2.0), 1.0)
        time.record_answer(50.0, 99.99, 100.01)
        # Sent at 100, answered after 1.8 s, received after 2.5 s.
        self.assertAlmostEqual(time.to_local(51.8, 100.0, 102.5), 101.79, delta=0.002)
        for implausible in (10.0, 49.0, 53.0, 900.0):
            self.assertEqual(time.to_local(implausible, 100.0, 102.5), 100.0)

    def test_an_old_quick_answer_is_superseded_as_clocks_drift(self):
        now = [100.0]
        time = FleetClock(lambda: now[0])
        time.record_answer(50.0, 99.999, 100.001)
        now[0] = 160.0
        time.record_answer(110.1, 159.99, 160.01)
        self.assertAlmostEqual(time.store_time(), 110.0)
        now[0] = 400.0
        time.record_answer(350.1, 399.99, 400.01)
        self.assertAlmostEqual(time.store_time(), 350.1)

    def test_fleet_time_follows_only_the_store_s_clock(self):
        now = [100.0]
        time = FleetClock(lambda: now[0])
        self.assertIsNone(time.now())
        with self.assertRaises(PlatformUnavailable):
            time.store_time()
        time.record_answer(50.0, 99.9, 100.1)
        time.set_offset(1_000_000.0)
        self.assertAlmostEqual(time.now(), 1_000_050.0)
        now[0] += 7.0
        self.assertAlmostEqual(time.now(), 1_000_057.0)

    def test_the_answer_with_the_shortest_round_trip_sets_the_clock(self):
        time = FleetClock(lambda: 0.0)
        time.set_offset(0.0)
        time.record_answer(10.0, -0.01, 0.01)
        time.record_answer(20.0, -3.0, 3.0)
        self.assertAlmostEqual(time.now(), 10.0)
