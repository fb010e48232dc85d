"""Learning the speeds of engines that nobody has described."""

import unittest
from random import Random

from bilberryplank_core._engine_pace import EnginePace, QuantileTracker, has_moved

LONG, SHORT = (0, 2), (0, 0)


class Traffic:
    """Prompts at engines of one speed, with waits that do not depend on their size."""

    def __init__(self, rate, seed, wait=0.0, odd=0.0):
        self.rng, self.rate, self.wait, self.odd = Random(seed), rate, wait, odd

    def play(self, pace, seconds, per_second=8.0, began=0.0):
        now = began
        while now < began + seconds:
            now += self.rng.expovariate(per_second)
            long = self.rng.random() < 0.4
            tokens = int(self.rng.lognormvariate(8.4 if long else 6.5, 1.0))
            # Less urgent requests wait longer: compared with urgent ones they would seem slow.
            wait = self.rng.expovariate(1 / self.wait) * (4 if long else 1) if self.wait else 0.0
            seconds_met = 0.02 + wait + tokens / self.rate
            if self.rng.random() < self.odd:
                seconds_met = self.rng.choice((0.001, 9.0))
            pace.first_token(LONG if long else SHORT, tokens, tokens, seconds_met, now)


class EnginePaceTest(unittest.TestCase):
    def test_any_reading_speed_is_learnt_within_seconds(self):
        for rate in (15_000, 61_000, 157_000, 400_000):
            for seed in range(5):
                with self.subTest(rate=rate, seed=seed):
                    pace = EnginePace(5)
                    Traffic(rate, seed).play(pace, 10.0)
                    self.assertLess(abs(pace.reading * rate - 1), 0.35)

    def test_waiting_is_not_taken_for_reading(self):
        """Load pattern: overload; the long and less urgent wait four times as long."""
        for seed in range(5):
            pace = EnginePace(5)
            Traffic(61_000, seed, wait=0.1).play(pace, 40.0)
            self.assertLess(abs(pace.reading * 61_000 - 1), 0.5)

    def test_odd_samples_move_little(self):
        for seed in range(5):
            pace = EnginePace(5)
            Traffic(61_000, seed, odd=0.1).play(pace, 20.0)
            self.assertLess(abs(pace.reading * 61_000 - 1), 0.5)

    def test_faster_engines_are_noticed(self):
        """Load pattern: a release brings engines of another kind."""
        pace = EnginePace(5)
        Traffic(30_000, 1).play(pace, 30.0)
        slow = pace.reading
        Traffic(150_000, 2).play(pace, 30.0, began=30.0)
        self.assertLess(pace.reading, slow / 2.5)

    def test_shared_parts_that_may_be_kept_tell_nothing(self):
        pace = EnginePace(5)
        before = pace.reading
        for number in range(50):
            pace.first_token(LONG, 13_000 + 100 * number, 100 * number, 0.02, number * 0.1)
        self.assertEqual(pace.reading, before)

    def test_pauses_tell_the_token_and_the_step_that_reads(self):
        rng, pace = Random(1), EnginePace(4)
        for _ in range(2000):
            reads = rng.random() < 0.2
            pace.pause(4 * (0.04 if reads else 0.004) * rng.uniform(0.9, 1.1), 1)
        self.assertLess(abs(pace.token / 0.004 - 1), 0.25)
        self.assertLess(abs(pace.reading_step / 0.04 - 1), 0.25)
        self.assertAlmostEqual(pace.reading_pause, 4 * pace.reading_step)

    def test_what_is_worth_a_line(self):
        cases = (((1.0, 2.0), False), ((1.4, 1.5), False), ((1.6, 2.0), True), ((1.0, 1.2), True))
        for after, news in cases:
            self.assertEqual(has_moved((1.0, 2.0), after), news)

    def test_events_that_come_together_count_each(self):
        one, two = EnginePace(5), EnginePace(5)
        for _ in range(100):
            one.pause(0.05, 1)
            two.pause(0.10, 2)
        self.assertAlmostEqual(one.token, two.token)


class QuantileTrackerTest(unittest.TestCase):
    def test_it_follows_the_quantile(self):
        for quantile in (0.5, 0.95):
            rng, tracker = Random(3), QuantileTracker(10.0, quantile)
            samples = [rng.lognormvariate(0.0, 0.5) for _ in range(3000)]
            for sample in samples:
                tracker.add(sample)
            below = sum(sample < tracker.value for sample in samples) / len(samples)
            self.assertAlmostEqual(below, quantile, delta=0.08)

    def test_one_sample_moves_it_by_one_step(self):
        tracker = QuantileTracker(1.0, 0.5)
        for _ in range(200):
            tracker.add(1.0)
            tracker.add(0.99)
        before = tracker.value
        tracker.add(1e9)
        self.assertLess(tracker.value / before, 1.1)
