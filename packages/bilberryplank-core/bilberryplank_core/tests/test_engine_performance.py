"""Tests of the performance estimates of engines of unknown speed."""

import unittest
from random import Random

from bilberryplank_core.engines._engine_performance import (
    EnginePerformance,
    LatencyObjective,
    QuantileTracker,
    is_significant_change,
)

LONG, SHORT = (0, 2), (0, 0)


class Traffic:
    """Prompts at engines of one speed, with queueing delays that do not depend on their size."""

    def __init__(self, rate, seed, mean_wait=0.0, outlier_share=0.0):
        self.rng, self.rate, self.mean_wait, self.outlier_share = (
            Random(seed),
            rate,
            mean_wait,
            outlier_share,
        )

    def replay(self, performance, seconds, per_second=8.0, started_at=0.0):
        now = started_at
        while now < started_at + seconds:
            now += self.rng.expovariate(per_second)
            long = self.rng.random() < 0.4
            tokens = int(self.rng.lognormvariate(8.4 if long else 6.5, 1.0))
            # Less urgent requests queue longer: compared with urgent ones, prefill would seem slow.
            wait = (
                self.rng.expovariate(1 / self.mean_wait) * (4 if long else 1)
                if self.mean_wait
                else 0.0
            )
            first_token_seconds = 0.02 + wait + tokens / self.rate
            if self.rng.random() < self.outlier_share:
                first_token_seconds = self.rng.choice((0.001, 9.0))
            urgency = LONG if long else SHORT
            performance.record_first_token(urgency, tokens, tokens, False, first_token_seconds, now)


class EnginePerformanceTest(unittest.TestCase):
    def test_any_prefill_rate_is_estimated_within_seconds(self):
        for rate in (15_000, 61_000, 157_000, 400_000):
            for seed in range(5):
                with self.subTest(rate=rate, seed=seed):
                    performance = EnginePerformance(5)
                    Traffic(rate, seed).replay(performance, 10.0)
                    self.assertLess(abs(performance.prefill_token_seconds * rate - 1), 0.35)

    def test_queueing_delay_is_not_taken_for_prefill(self):
        """Motivating load: overload; long and less urgent requests queue four times as long."""
        for seed in range(5):
            performance = EnginePerformance(5)
            Traffic(61_000, seed, mean_wait=0.1).replay(performance, 40.0)
            self.assertLess(abs(performance.prefill_token_seconds * 61_000 - 1), 0.5)

    def test_outliers_change_little(self):
        for seed in range(5):
            performance = EnginePerformance(5)
            Traffic(61_000, seed, outlier_share=0.1).replay(performance, 20.0)
            self.assertLess(abs(performance.prefill_token_seconds * 61_000 - 1), 0.5)

    def test_the_estimate_follows_faster_engines(self):
        """Motivating load: a release brings engines of another kind."""
        performance = EnginePerformance(5)
        Traffic(30_000, 1).replay(performance, 30.0)
        slow = performance.prefill_token_seconds
        Traffic(150_000, 2).replay(performance, 30.0, started_at=30.0)
        self.assertLess(performance.prefill_token_seconds, slow / 2.5)

    def test_requests_with_possibly_cached_segments_do_not_count(self):
        performance = EnginePerformance(5)
        before = performance.prefill_token_seconds
        for number in range(50):
            unread = 13_000 + 100 * number
            performance.record_first_token(LONG, unread, 100 * number, False, 0.02, number * 0.1)
        self.assertEqual(performance.prefill_token_seconds, before)

    def test_unshared_tokens_suffice_at_the_preferred_engine(self):
        """Motivating load: two long prompts per second; other entries sent the shared segments."""
        for seed in range(5):
            rng, performance, now = Random(seed), EnginePerformance(5), 0.0
            while now < 15.0:
                now += rng.expovariate(2.0)
                unshared_tokens = int(rng.lognormvariate(8.0, 0.8))
                cached = rng.random() < 0.85
                seconds = 0.03 + (unshared_tokens + (0 if cached else 13_300)) / 30_000
                performance.record_first_token(
                    LONG, unshared_tokens + 13_300, unshared_tokens, True, seconds, now
                )
            self.assertLess(abs(performance.prefill_token_seconds * 30_000 - 1), 0.4)

    def test_gaps_determine_the_output_token_time(self):
        rng, performance = Random(1), EnginePerformance(4)
        for _ in range(2000):
            in_prefill = rng.random() < 0.2
            performance.record_gap(4 * (0.04 if in_prefill else 0.004) * rng.uniform(0.9, 1.1), 1)
        self.assertLess(abs(performance.output_token_seconds / 0.004 - 1), 0.25)

    def test_rare_long_gaps_decide_which_streams_are_latency_sensitive(self):
        """Motivating load: low load; few gaps are long, but a third of the streams have one."""
        rng, performance = Random(1), EnginePerformance(5)
        tolerant, sensitive = LatencyObjective(event_gap=0.8), LatencyObjective(event_gap=0.2)
        for number in range(400):
            objective = sensitive if number % 2 else tolerant
            longest = 0.225 if rng.random() < 0.33 else 0.05
            # Once kept apart, latency-sensitive streams have no long gaps any more.
            if objective is sensitive and not performance.tolerates_prefill(sensitive):
                longest = 0.04
            performance.record_stream_end(objective, longest * rng.uniform(0.95, 1.05), 24)
        self.assertFalse(performance.tolerates_prefill(sensitive))
        self.assertTrue(performance.tolerates_prefill(tolerant))
        self.assertTrue(performance.tolerates_prefill(LatencyObjective(event_gap=0.3)))

    def test_tolerance_does_not_change_with_a_few_samples(self):
        """Motivating load: gaps near the objective of a stream; entries see different ones."""
        results = set()
        for seed in range(20):
            rng, performance = Random(seed), EnginePerformance(5)
            for number in range(120):
                performance.record_stream_end(
                    LatencyObjective(event_gap=0.8), rng.uniform(0.15, 0.29), 24
                )
                if number > 40:
                    results.add(
                        (0.2, performance.tolerates_prefill(LatencyObjective(event_gap=0.2)))
                    )
                    results.add(
                        (0.3, performance.tolerates_prefill(LatencyObjective(event_gap=0.3)))
                    )
        self.assertEqual(results, {(0.2, False), (0.3, True)})

    def test_low_load_does_not_make_sensitive_streams_tolerant(self):
        """Motivating load: little prefill for a while, then a burst."""
        performance = EnginePerformance(5)
        for number in range(300):
            performance.record_stream_end(
                LatencyObjective(event_gap=0.8), 0.14 if number % 20 else 0.19, 24
            )
            self.assertFalse(performance.tolerates_prefill(LatencyObjective(event_gap=0.2)))

    def test_short_gaps_everywhere_let_all_streams_share_engines(self):
        performance = EnginePerformance(6)
        self.assertFalse(performance.tolerates_prefill(LatencyObjective(event_gap=0.12)))
        for _ in range(100):
            performance.record_stream_end(LatencyObjective(event_gap=0.5), 0.06, 30)
        self.assertTrue(performance.tolerates_prefill(LatencyObjective(event_gap=0.12)))

    def test_which_changes_are_significant(self):
        cases = (((1.0, 2.0), False), ((1.4, 1.5), False), ((1.6, 2.0), True), ((1.0, 1.2), True))
        for after, significant in cases:
            self.assertEqual(is_significant_change((1.0, 2.0), after), significant)

    def test_events_that_come_together_share_a_gap(self):
        single, paired = EnginePerformance(5), EnginePerformance(5)
        for _ in range(100):
            single.record_gap(0.05, 1)
            paired.record_gap(0.10, 2)
        self.assertAlmostEqual(single.output_token_seconds, paired.output_token_seconds)


class QuantileTrackerTest(unittest.TestCase):
    def test_it_tracks_the_quantile(self):
        for quantile in (0.5, 0.95):
            rng, tracker = Random(3), QuantileTracker(10.0, quantile)
            samples = [rng.lognormvariate(0.0, 0.5) for _ in range(3000)]
            for sample in samples:
                tracker.add(sample)
            below = sum(sample < tracker.value for sample in samples) / len(samples)
            self.assertAlmostEqual(below, quantile, delta=0.08)

    def test_one_sample_changes_it_by_one_step(self):
        tracker = QuantileTracker(1.0, 0.5)
        for _ in range(200):
            tracker.add(1.0)
            tracker.add(0.99)
        before = tracker.value
        tracker.add(1e9)
        self.assertLess(tracker.value / before, 1.1)
