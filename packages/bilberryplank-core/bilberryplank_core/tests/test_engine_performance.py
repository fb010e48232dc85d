"""Learning the speeds of engines that nobody has described."""

import unittest
from random import Random

from bilberryplank_core._engine_performance import (
    EnginePerformance,
    LatencyObjective,
    QuantileTracker,
    is_significant_change,
)

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
            urgency = LONG if long else SHORT
            pace.record_first_token(urgency, tokens, tokens, False, seconds_met, now)


class EnginePaceTest(unittest.TestCase):
    def test_any_reading_speed_is_learnt_within_seconds(self):
        for rate in (15_000, 61_000, 157_000, 400_000):
            for seed in range(5):
                with self.subTest(rate=rate, seed=seed):
                    pace = EnginePerformance(5)
                    Traffic(rate, seed).play(pace, 10.0)
                    self.assertLess(abs(pace.prefill_token_seconds * rate - 1), 0.35)

    def test_waiting_is_not_taken_for_reading(self):
        """Load pattern: overload; the long and less urgent wait four times as long."""
        for seed in range(5):
            pace = EnginePerformance(5)
            Traffic(61_000, seed, wait=0.1).play(pace, 40.0)
            self.assertLess(abs(pace.prefill_token_seconds * 61_000 - 1), 0.5)

    def test_odd_samples_move_little(self):
        for seed in range(5):
            pace = EnginePerformance(5)
            Traffic(61_000, seed, odd=0.1).play(pace, 20.0)
            self.assertLess(abs(pace.prefill_token_seconds * 61_000 - 1), 0.5)

    def test_faster_engines_are_noticed(self):
        """Load pattern: a release brings engines of another kind."""
        pace = EnginePerformance(5)
        Traffic(30_000, 1).play(pace, 30.0)
        slow = pace.prefill_token_seconds
        Traffic(150_000, 2).play(pace, 30.0, began=30.0)
        self.assertLess(pace.prefill_token_seconds, slow / 2.5)

    def test_shared_parts_that_may_be_kept_tell_nothing(self):
        pace = EnginePerformance(5)
        before = pace.prefill_token_seconds
        for number in range(50):
            unread = 13_000 + 100 * number
            pace.record_first_token(LONG, unread, 100 * number, False, 0.02, number * 0.1)
        self.assertEqual(pace.prefill_token_seconds, before)

    def test_an_entry_of_a_large_fleet_learns_though_it_never_sent_the_shared_parts_itself(self):
        """Load pattern: two long prompts a second; other entries had the shared parts read."""
        for seed in range(5):
            rng, pace, now = Random(seed), EnginePerformance(5), 0.0
            while now < 15.0:
                now += rng.expovariate(2.0)
                own = int(rng.lognormvariate(8.0, 0.8))
                kept = rng.random() < 0.85
                seconds = 0.03 + (own + (0 if kept else 13_300)) / 30_000
                pace.record_first_token(LONG, own + 13_300, own, True, seconds, now)
            self.assertLess(abs(pace.prefill_token_seconds * 30_000 - 1), 0.4)

    def test_pauses_tell_the_token(self):
        rng, pace = Random(1), EnginePerformance(4)
        for _ in range(2000):
            reads = rng.random() < 0.2
            pace.record_gap(4 * (0.04 if reads else 0.004) * rng.uniform(0.9, 1.1), 1)
        self.assertLess(abs(pace.output_token_seconds / 0.004 - 1), 0.25)

    def test_rare_long_pauses_decide_which_streams_are_hasty(self):
        """Load pattern: a calm day; few pauses are long, but a third of the streams meet one."""
        rng, pace = Random(1), EnginePerformance(5)
        patient, hasty = LatencyObjective(event_gap=0.8), LatencyObjective(event_gap=0.2)
        for number in range(400):
            kind = hasty if number % 2 else patient
            longest = 0.225 if rng.random() < 0.33 else 0.05
            # Once kept apart, hasty streams meet no long pauses any more.
            if kind is hasty and not pace.tolerates_prefill(hasty):
                longest = 0.04
            pace.record_stream_end(kind, longest * rng.uniform(0.95, 1.05), 24)
        self.assertFalse(pace.tolerates_prefill(hasty))
        self.assertTrue(pace.tolerates_prefill(patient))
        self.assertTrue(pace.tolerates_prefill(LatencyObjective(event_gap=0.3)))

    def test_a_kind_does_not_change_with_a_few_samples(self):
        """Load pattern: pauses near what a stream bears; entries see different ones of them."""
        kinds = set()
        for seed in range(20):
            rng, pace = Random(seed), EnginePerformance(5)
            for number in range(120):
                pace.record_stream_end(LatencyObjective(event_gap=0.8), rng.uniform(0.15, 0.29), 24)
                if number > 40:
                    kinds.add((0.2, pace.tolerates_prefill(LatencyObjective(event_gap=0.2))))
                    kinds.add((0.3, pace.tolerates_prefill(LatencyObjective(event_gap=0.3))))
        self.assertEqual(kinds, {(0.2, False), (0.3, True)})

    def test_a_calm_spell_does_not_make_hasty_streams_patient(self):
        """Load pattern: little is read for a while, then a burst."""
        pace = EnginePerformance(5)
        for number in range(300):
            pace.record_stream_end(
                LatencyObjective(event_gap=0.8), 0.14 if number % 20 else 0.19, 24
            )
            self.assertFalse(pace.tolerates_prefill(LatencyObjective(event_gap=0.2)))

    def test_short_pauses_everywhere_let_all_streams_share(self):
        pace = EnginePerformance(6)
        self.assertFalse(pace.tolerates_prefill(LatencyObjective(event_gap=0.12)))
        for _ in range(100):
            pace.record_stream_end(LatencyObjective(event_gap=0.5), 0.06, 30)
        self.assertTrue(pace.tolerates_prefill(LatencyObjective(event_gap=0.12)))

    def test_what_is_worth_a_line(self):
        cases = (((1.0, 2.0), False), ((1.4, 1.5), False), ((1.6, 2.0), True), ((1.0, 1.2), True))
        for after, news in cases:
            self.assertEqual(is_significant_change((1.0, 2.0), after), news)

    def test_events_that_come_together_count_each(self):
        one, two = EnginePerformance(5), EnginePerformance(5)
        for _ in range(100):
            one.record_gap(0.05, 1)
            two.record_gap(0.10, 2)
        self.assertAlmostEqual(one.output_token_seconds, two.output_token_seconds)


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
