"""Tests of engine selection and its parts, under the loads that motivate them."""

import unittest
from collections import Counter
from random import Random

from bilberryplank_core.direct import (
    DirectUpstream,
    EngineCapacity,
    EngineSelector,
    Outcome,
    PromptSegment,
    RequestHead,
    UpstreamHealth,
    UpstreamLoad,
    UpstreamSelector,
    WorkNotice,
    retry_delay,
    should_admit,
)
from bilberryplank_core.engines._engine_partition import EnginePartition
from bilberryplank_core.engines._engine_performance import EnginePerformance, LatencyObjective
from bilberryplank_core.engines._engine_sampling import MAX_CANDIDATES
from bilberryplank_core.engines._fleet_traffic import FleetTrafficRatio, estimate_fleet_total
from bilberryplank_core.engines._prefix_cache_model import PrefixCacheModel, prefix_keys
from bilberryplank_core.engines._queueing_delays import QueueingDelays

ENGINES = [DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", 64) for n in range(6)]
CAPACITY = EngineCapacity(64, 647_156, 5)
RATE = 60_000.0
URGENT, LEAST_URGENT = (0, 0), (0, 2)
TOLERANT, SENSITIVE = LatencyObjective(), LatencyObjective(event_gap=0.2)


def new_request(number, shared="p", shared_tokens=13_000, own=3_700):
    parts = (PromptSegment(shared, shared_tokens), PromptSegment(f"own{number}", own))
    return RequestHead(f"r{number}", model="m", prompt=parts, prompt_tokens=shared_tokens + own)


def new_selector(seed=1):
    return EngineSelector("z", CAPACITY, UpstreamHealth(), Random(seed))


class PrefixCacheModelTest(unittest.TestCase):
    def test_a_segment_is_cached_only_if_all_segments_before_it_are(self):
        cache = PrefixCacheModel(1000)
        cache.add(prefix_keys("m", (PromptSegment("a", 100), PromptSegment("b", 50))))
        cases = (("ab", 150), ("a", 100), ("b", 0), ("ca", 0))
        for names, cached in cases:
            prompt = tuple(PromptSegment(name, {"a": 100, "b": 50}.get(name, 9)) for name in names)
            self.assertEqual(cache.cached_tokens(prefix_keys("m", prompt)), cached)
        self.assertEqual(cache.cached_tokens(prefix_keys("n", (PromptSegment("a", 100),))), 0)

    def test_least_recently_used_segments_are_evicted(self):
        cache = PrefixCacheModel(1000)
        for name in "abcdefghij":
            cache.add(prefix_keys("m", (PromptSegment(name, 100),)))
        self.assertEqual(cache.cached_tokens(prefix_keys("m", (PromptSegment("a", 100),))), 0)
        self.assertEqual(cache.cached_tokens(prefix_keys("m", (PromptSegment("j", 100),))), 100)


class EngineSelectorTest(unittest.TestCase):
    def place(self, selectors, requests, objective=TOLERANT):
        placed = {}
        for number, request in enumerate(requests):
            selector = selectors[number % len(selectors)]
            choice = selector.choose(request, objective, LEAST_URGENT, ENGINES, number * 0.1)
            selector.begin(choice, request, number * 0.1)
            selector.record_events(request.request_id, 1, number * 0.1)
            selector.end(request.request_id, number * 0.1)
            placed[request.request_id] = choice.upstream.name
        return placed

    def test_independent_entries_agree_on_the_preferred_engine_of_a_segment(self):
        requests = [new_request(number, shared=f"p{number % 7}") for number in range(70)]
        placed = self.place([new_selector(seed) for seed in range(5)], requests)
        for shared in range(7):
            chosen_engines = {placed[f"r{number}"] for number in range(70) if number % 7 == shared}
            self.assertEqual(len(chosen_engines), 1)

    def test_a_long_queue_at_the_preferred_engine_diverts_requests(self):
        selector = new_selector()
        first = selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
        for number in range(12):
            selector.begin(first, new_request(number, own=30_000), 0.0)
        other = selector.choose(new_request(99), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
        self.assertNotEqual(other.upstream.name, first.upstream.name)

    def test_load_reports_scale_the_backlog_to_all_entries(self):
        first_token_waits = []
        for reports in (0, 100):
            selector = new_selector()
            selector.engines_to_query(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
            choice = selector.choose(new_request(0), TOLERANT, URGENT, ENGINES, 0.0)
            selector.begin(choice, new_request(0), 0.0)
            for _ in range(reports):
                selector.report(choice.upstream.name, UpstreamLoad(4, 1, 64), 0.0)
            only_preferred = [choice.upstream]
            first_token_waits.append(
                selector.choose(new_request(1), TOLERANT, URGENT, only_preferred, 0.0).wait
            )
        self.assertGreater(first_token_waits[1], 3 * first_token_waits[0])

    def test_an_overdue_first_token_raises_the_delay_of_its_engine(self):
        selector = new_selector()
        preferred = selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
        selector.begin(preferred, new_request(0), 0.0)
        self.assertNotEqual(
            selector.choose(new_request(1), TOLERANT, LEAST_URGENT, ENGINES, 3.0).upstream,
            preferred.upstream,
        )
        selector.record_events("r0", 1, 3.0)
        self.assertNotEqual(
            selector.choose(new_request(1), TOLERANT, LEAST_URGENT, ENGINES, 3.1).upstream,
            preferred.upstream,
        )
        self.assertEqual(
            selector.choose(new_request(1), TOLERANT, LEAST_URGENT, ENGINES, 6.0).upstream,
            preferred.upstream,
        )

    def test_an_ejected_engine_gets_no_requests(self):
        health = UpstreamHealth()
        selector = EngineSelector("z", CAPACITY, health, Random(1))
        for engine in ENGINES[1:]:
            health.record(engine.name, Outcome.NOT_REACHED, 0.0)
        self.assertEqual(
            selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.1).upstream.name,
            "e0",
        )
        health.record("e0", Outcome.NOT_REACHED, 0.1)
        self.assertIsNone(selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.2))

    def test_preferred_engines_and_the_best_engine_are_queried_at_intervals(self):
        selector = new_selector()
        preferred = selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0).upstream
        queried = selector.engines_to_query(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
        self.assertIn(preferred, queried)
        self.assertEqual(len(queried), 3)
        for engine in queried:
            selector.report(engine.name, UpstreamLoad(0, 0, 64), 0.0)
        self.assertEqual(
            selector.engines_to_query(new_request(0), TOLERANT, LEAST_URGENT, queried, 0.05), []
        )
        self.assertEqual(
            len(selector.engines_to_query(new_request(0), TOLERANT, LEAST_URGENT, queried, 0.2)), 3
        )

    def test_short_and_urgent_prompts_cause_no_load_queries(self):
        selector = new_selector()
        short = new_request(1, shared_tokens=300, own=700)
        self.assertEqual(selector.engines_to_query(short, TOLERANT, LEAST_URGENT, ENGINES, 0.0), [])
        self.assertEqual(
            selector.engines_to_query(new_request(2), TOLERANT, URGENT, ENGINES, 0.0), []
        )

    def test_a_reported_queue_counts_only_while_it_is_fresh(self):
        selector = new_selector()
        preferred = selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
        selector.engines_to_query(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
        for number in range(40):
            selector.begin(preferred, new_request(number), 0.0)
            selector.end(f"r{number}", 0.0)
        selector.report(preferred.upstream.name, UpstreamLoad(8, 30, 64), 1.0)
        self.assertNotEqual(
            selector.choose(new_request(99), TOLERANT, LEAST_URGENT, ENGINES, 1.0).upstream,
            preferred.upstream,
        )
        self.assertEqual(
            selector.choose(new_request(99), TOLERANT, LEAST_URGENT, ENGINES, 2.5).upstream,
            preferred.upstream,
        )

    def test_ended_requests_are_no_longer_in_flight(self):
        selector = new_selector()
        for number in range(20):
            choice = selector.choose(new_request(number), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
            selector.begin(choice, new_request(number), 0.0)
        self.assertEqual(selector.in_flight, 20)
        for number in range(20):
            selector.end(f"r{number}", 0.0)
        self.assertEqual(selector.in_flight, 0)

    def test_less_urgent_requests_delay_by_no_more_than_the_prefill_in_progress(self):
        """Motivating load: a backlog of long prompts, which urgent requests overtake."""
        delays = {}
        for urgency in (URGENT, LEAST_URGENT):
            selector = new_selector()
            preferred = selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0)
            for number in range(20):
                selector.begin(preferred, new_request(number, shared_tokens=0, own=16_700), 0.0)
            new = new_request(99, shared="q", shared_tokens=100, own=500)
            choice = selector.choose(new, TOLERANT, urgency, [preferred.upstream], 0.0)
            delays[urgency] = choice.delay
        self.assertLess(delays[URGENT], 0.15 * delays[LEAST_URGENT])
        self.assertGreater(delays[URGENT], 0.02)


class LatencySensitiveBurstTest(unittest.TestCase):
    """Motivating load: for seconds, twice the usual rate of short prompts with long answers.

    Their own partition runs out of batch slots while the engines of long prompts have many.
    """

    CHAT = LatencyObjective(event_gap=0.2, first_event=0.15)
    SLOTS = 48

    def setUp(self):
        self.engines = [
            DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", self.SLOTS) for n in range(6)
        ]
        self.selector = EngineSelector(
            "z", EngineCapacity(self.SLOTS, 900_000, 6), UpstreamHealth(), Random(1)
        )

    def send(self, number, objective, urgency, now, tokens):
        new = new_request(number, shared=f"p{number % 40}", shared_tokens=0, own=tokens)
        choice = self.selector.choose(new, objective, urgency, self.engines, now)
        self.selector.begin(choice, new, now)
        self.selector.record_events(new.request_id, 1, now + 0.03 + tokens / 157_000)
        return choice.upstream.name

    def test_a_burst_crosses_the_partition_boundary_once_its_engines_are_full(self):
        now = 0.0
        for number in range(200):
            now += 0.05
            long = number % 2
            self.send(
                number,
                LatencyObjective(0.8, 1.5) if long else self.CHAT,
                LEAST_URGENT,
                now,
                9_000 if long else 600,
            )
            self.selector.end(f"r{number}", now + 2.0)
        calm = {self.send(1000 + n, self.CHAT, URGENT, now + n / 1000, 600) for n in range(20)}
        burst = Counter(
            self.send(2000 + n, self.CHAT, URGENT, now + 0.1 + n / 1000, 600) for n in range(200)
        )
        self.assertLess(len(calm), len(self.engines) / 2 + 1)
        self.assertGreater(len(burst), len(calm))
        self.assertLess(max(burst.values()), 1.5 * self.SLOTS)


class RelocatedSegmentsTest(unittest.TestCase):
    """Motivating load: a burst moves shared segments to other engines; requests for them recur."""

    def receive_notice(self, selector, now):
        selector.set_peers({"peer"})
        notice = WorkNotice(
            "s",
            selector.performance.prefill_token_seconds,
            selector.performance.prefill_gap_seconds,
            {},
        )
        selector.apply_notice("peer", notice, {engine.name for engine in ENGINES}, now)

    def add_load(self, selector, names, now):
        for number, name in enumerate(list(names) * 6):
            engine = next(candidate for candidate in ENGINES if candidate.name == name)
            request = new_request(f"-busy{number}", shared=f"other{number}", own=60_000)
            choice = selector.choose(request, TOLERANT, LEAST_URGENT, [engine], now)
            selector.begin(choice, request, now)

    def test_a_prefill_is_repeated_only_if_all_engines_with_the_segment_are_busy(self):
        for busy_engines, repeats in ((0, False), (1, False), (2, True)):
            with self.subTest(busy_engines=busy_engines):
                selector = new_selector()
                preferred_engines = [
                    selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0).upstream
                ]
                selector.begin(
                    selector.choose(new_request(0), TOLERANT, LEAST_URGENT, preferred_engines, 0.0),
                    new_request(0),
                    0.0,
                )
                # The preferred engine is ejected for a while, and another one prefills the segment.
                others = [engine for engine in ENGINES if engine not in preferred_engines]
                second = selector.choose(new_request(1), TOLERANT, LEAST_URGENT, others, 0.0)
                selector.begin(second, new_request(1), 0.0)
                for number in range(2):
                    selector.record_events(f"r{number}", 1, 1.0)
                    selector.end(f"r{number}", 1.0)
                cached_at = [preferred_engines[0].name, second.upstream.name]
                self.receive_notice(selector, 20.0)
                self.add_load(selector, cached_at[:busy_engines], 20.0)
                choice = selector.choose(new_request(2), TOLERANT, LEAST_URGENT, ENGINES, 20.0)
                self.assertEqual(choice.upstream.name not in cached_at, repeats)
                self.assertEqual(choice.prefill_tokens > 3_700, repeats)

    def test_a_segment_cached_only_elsewhere_is_not_prefilled_at_the_preferred_engine(self):
        selector = new_selector()
        preferred = selector.choose(new_request(0), TOLERANT, LEAST_URGENT, ENGINES, 0.0).upstream
        others = [engine for engine in ENGINES if engine is not preferred]
        second = selector.choose(new_request(1), TOLERANT, LEAST_URGENT, others, 0.0)
        selector.begin(second, new_request(1), 0.0)
        selector.record_events("r1", 1, 1.0)
        selector.end("r1", 1.0)
        self.receive_notice(selector, 20.0)
        self.assertEqual(
            selector.choose(new_request(2), TOLERANT, LEAST_URGENT, ENGINES, 20.0).prefill_tokens,
            3_700,
        )


class LargeFleetTest(unittest.TestCase):
    """Motivating load: hundreds of engines of one service; a segment is cached at few of them."""

    ENGINES = [
        DirectUpstream(f"e{n}", "s", f"1.1.{n // 250}.{n % 250}:1", "z", 64) for n in range(690)
    ]

    def test_the_sample_is_bounded_and_has_the_engine_with_the_cached_prompt(self):
        selector = new_selector()
        engine_with_prompt = self.ENGINES[345]
        alone = selector.choose(new_request(0), TOLERANT, LEAST_URGENT, [engine_with_prompt], 0.0)
        selector.begin(alone, new_request(0), 0.0)
        selector.record_events("r0", 1, 0.5)
        selector.end("r0", 0.5)
        selector.set_peers({"peer"})
        selector.apply_notice("peer", WorkNotice("s", 1 / RATE, 0.1, {}), set(), 9.0)
        candidates = selector._candidates_for(
            new_request(1), TOLERANT, LEAST_URGENT, self.ENGINES, 9.0
        )
        self.assertLessEqual(len(candidates), MAX_CANDIDATES)
        self.assertEqual(
            selector.choose(new_request(1), TOLERANT, LEAST_URGENT, self.ENGINES, 9.0).upstream,
            engine_with_prompt,
        )

    def test_a_burst_of_unshared_prompts_spreads(self):
        selector = new_selector()
        placed = Counter()
        for number in range(690):
            new = new_request(number, shared=f"p{number}", shared_tokens=0, own=9_000)
            choice = selector.choose(new, TOLERANT, LEAST_URGENT, self.ENGINES, number / 1000)
            selector.begin(choice, new, number / 1000)
            placed[choice.upstream.name] += 1
        self.assertLessEqual(max(placed.values()), 4)


class FleetTrafficRatioTest(unittest.TestCase):
    """Motivating load: many entries, each with a request at few of the engines."""

    def test_the_ratio_converges_though_only_engines_in_use_report(self):
        for entries in (6, 27):
            rng, traffic_ratio = Random(entries), FleetTrafficRatio()
            for _ in range(500):
                others = sum(rng.random() < 0.5 for _ in range(20))
                mine = sum(rng.random() < 1 / entries for _ in range(others))
                traffic_ratio.record_report(1 + mine, 1 + others)
            self.assertAlmostEqual(traffic_ratio.ratio() / entries, 1.0, delta=0.5)

    def test_few_own_requests_leave_the_estimate_near_the_mean(self):
        cases = ((0.0, 1.2), (1.0, 1.8), (10.0, 7.2))
        for own, all_requests in cases:
            self.assertAlmostEqual(estimate_fleet_total(own, 0.5, 1.0, 3.0), all_requests)
        self.assertEqual(estimate_fleet_total(2.0, 0.0, 1.0, 3.0), 6.0)


class EnginePartitionTest(unittest.TestCase):
    """Motivating load: bursts of long prompts next to steady streams with short gaps."""

    def replay(self, partition, seed):
        """Replays a minute of long prompts with bursts and of short ones; yields the times."""
        rng = Random(seed)
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(40.0)
            burst = 10 < now < 19 or 35 < now < 40
            long = rng.random() < (0.45 if burst else 0.25)
            tokens = rng.lognormvariate(8.2, 0.9) if long else rng.lognormvariate(7.0, 0.6)
            partition.record_request(TOLERANT if long else SENSITIVE, tokens / RATE, 100, now)
            yield now

    def test_partitions_are_disjoint_and_not_empty(self):
        partition = EnginePartition(CAPACITY.slots, EnginePerformance(CAPACITY.stride))
        for objective in (TOLERANT, SENSITIVE):
            partition.record_request(objective, 0.5, 100, 0.0)
        for now in self.replay(partition, 3):
            tolerant = {engine.name for engine in partition.engines_for(TOLERANT, ENGINES, now)}
            sensitive = {engine.name for engine in partition.engines_for(SENSITIVE, ENGINES, now)}
            self.assertTrue(tolerant and sensitive)
            self.assertEqual(tolerant & sensitive, set())
            self.assertEqual(len(tolerant | sensitive), len(ENGINES))

    def test_too_little_demand_leaves_all_engines_to_both_kinds(self):
        """Motivating load: entries that just started; half of them get a short prompt first."""
        sizes = []
        for first in (TOLERANT, SENSITIVE):
            partition = EnginePartition(CAPACITY.slots, EnginePerformance(CAPACITY.stride))
            partition.record_request(first, 0.02, 100, 0.0)
            sizes.append(len(partition.engines_for(TOLERANT, ENGINES, 0.1)))
        self.assertEqual(sizes, [len(ENGINES)] * 2)
        for number in range(20):
            partition.record_request(SENSITIVE, 0.02, 100, number * 0.1)
            partition.record_request(TOLERANT, 0.2, 100, number * 0.1)
        self.assertLess(len(partition.engines_for(SENSITIVE, ENGINES, 2.0)), len(ENGINES))

    def test_boundaries_seldom_move(self):
        partition = EnginePartition(CAPACITY.slots, EnginePerformance(CAPACITY.stride))
        sizes = [
            len(partition.engines_for(TOLERANT, ENGINES, now)) for now in self.replay(partition, 4)
        ]
        moves = sum(before != after for before, after in zip(sizes, sizes[1:], strict=False))
        self.assertLess(moves, 12)

    def test_entries_that_see_different_traffic_mostly_agree(self):
        partition_a, partition_b = EnginePartition(
            CAPACITY.slots, EnginePerformance(CAPACITY.stride)
        ), EnginePartition(CAPACITY.slots, EnginePerformance(CAPACITY.stride))
        sizes = zip(
            (
                len(partition_a.engines_for(TOLERANT, ENGINES, now))
                for now in self.replay(partition_a, 5)
            ),
            (
                len(partition_b.engines_for(TOLERANT, ENGINES, now))
                for now in self.replay(partition_b, 6)
            ),
            strict=False,
        )
        apart = Counter(abs(first - second) for first, second in sizes)
        self.assertGreater((apart[0] + apart[1]) / apart.total(), 0.9)

    def test_kinds_share_the_engine_of_a_service_with_only_one(self):
        partition = EnginePartition(CAPACITY.slots, EnginePerformance(CAPACITY.stride))
        for objective in (TOLERANT, SENSITIVE):
            partition.record_request(objective, 1.0, 100, 0.0)
        self.assertEqual(len(partition.engines_for(SENSITIVE, ENGINES[:1], 0.0)), 1)
        self.assertEqual(len(partition.engines_for(TOLERANT, ENGINES[:1], 0.0)), 1)
        self.assertEqual(len(partition.engines_for(SENSITIVE, ENGINES[:2], 0.0)), 1)

    def test_streams_that_need_slots_more_than_prefill_get_engines(self):
        """Motivating load: a burst of cached prompts with long answers."""
        sizes = []
        for answer_tokens in (10, 1000):
            partition = EnginePartition(CAPACITY.slots, EnginePerformance(CAPACITY.stride))
            for number in range(100):
                partition.record_request(TOLERANT, 0.05, 100, number * 0.1)
                partition.record_request(SENSITIVE, 0.001, answer_tokens, number * 0.1)
            sizes.append(len(partition.engines_for(SENSITIVE, ENGINES, 10.0)))
        self.assertEqual(sizes[0], 1)
        self.assertGreater(sizes[1], 2)

    def test_which_objectives_tolerate_prefill(self):
        performance = EnginePerformance(5)
        for number in range(160):
            performance.record_prompt(30_000 if number % 10 == 0 else 3_000)
        long = 30_000 * performance.prefill_token_seconds
        cases = (
            (LatencyObjective(0.8, 2.0), True),
            (LatencyObjective(), True),
            (LatencyObjective(0.3, 1.3 * long), True),
            (LatencyObjective(0.2, 2.0), False),
            # Too much of the prefill is left at 13 % of the time here, at 22 % in the next case.
            (LatencyObjective(0.8, 0.9 * long), True),
            (LatencyObjective(0.8, 0.7 * long), False),
            (LatencyObjective(0.8, 0.2 * long), False),
        )
        for objective, tolerant in cases:
            with self.subTest(objective):
                self.assertEqual(performance.tolerates_prefill(objective), tolerant)

    def test_streams_share_engines_whose_prefill_gaps_prove_short(self):
        """Motivating load: engines with short prefill steps, which no configuration states."""
        performance = EnginePerformance(CAPACITY.stride)
        partition = EnginePartition(CAPACITY.slots, performance)
        for number in range(100):
            partition.record_request(TOLERANT, 0.1, 100, number * 0.1)
            partition.record_request(SENSITIVE, 0.05, 100, number * 0.1)
        self.assertLess(len(partition.engines_for(SENSITIVE, ENGINES, 10.0)), len(ENGINES))
        for _ in range(200):
            performance.record_stream_end(TOLERANT, 0.05, 20)
        self.assertEqual(len(partition.engines_for(SENSITIVE, ENGINES, 10.0)), len(ENGINES))


class UpstreamSelectorTest(unittest.TestCase):
    """Motivating load: few slots; one upstream is slow, another fails part of its requests."""

    def setUp(self):
        self.health = UpstreamHealth()
        self.selector = UpstreamSelector("z", self.health, Random(1))
        self.upstreams = [DirectUpstream(f"p{n}", "s", f"1.1.1.{n}:1", "z", 6) for n in range(3)]

    def serve(self, seconds_of, fails=(), count=300):
        placed = Counter()
        for number in range(count):
            now = number * 0.01
            name = self.selector.choose(self.upstreams, now).name
            placed[name] += 1
            self.selector.begin(name)
            failed = name in fails and number % 3 == 0
            self.health.record(name, Outcome.FAILED if failed else Outcome.ANSWERED, now)
            self.selector.end(name, seconds_of.get(name, 0.02))
        return placed

    def test_equal_upstreams_share_evenly(self):
        placed = self.serve({})
        self.assertLess(max(placed.values()) - min(placed.values()), 100)

    def test_a_slow_upstream_gets_less(self):
        placed = self.serve({"p0": 0.08})
        self.assertLess(placed["p0"], placed["p1"] / 2)

    def test_an_upstream_that_fails_a_third_gets_less(self):
        placed = self.serve({}, fails=("p0",))
        self.assertLess(placed["p0"], placed["p1"] / 2)

    def test_ended_requests_release_their_slots(self):
        self.serve({})
        self.assertEqual(self.selector.in_flight, 0)


class QueueingDelaysTest(unittest.TestCase):
    """Motivating load: many entries; each has requests at few of the engines."""

    def record_delay(self, queueing_delays, engine, delay, at, urgency=LEAST_URGENT):
        """Records a request that met a delay at an engine."""
        queueing_delays.record_sent(engine, f"{engine}/{at}", 0.2, urgency, at - delay - 0.2)
        queueing_delays.record_first_token(engine, f"{engine}/{at}", at)

    def delay(self, queueing_delays, engine, now, urgency=LEAST_URGENT):
        return queueing_delays.estimate([engine], urgency, now)[engine]

    def test_observed_delays_expire_and_overdue_requests_count(self):
        queueing_delays = QueueingDelays()
        self.assertEqual(self.delay(queueing_delays, "e", 0.0), 0.0)
        queueing_delays.record_sent("e", "r1", 0.2, LEAST_URGENT, 0.0)
        self.assertAlmostEqual(self.delay(queueing_delays, "e", 1.0), 0.8)
        queueing_delays.record_first_token("e", "r1", 1.2)
        self.assertAlmostEqual(self.delay(queueing_delays, "e", 1.2), 1.0)
        self.assertEqual(self.delay(queueing_delays, "e", 9.0), 0.0)

    def test_a_request_that_left_is_not_overdue(self):
        queueing_delays = QueueingDelays()
        queueing_delays.record_sent("e", "r1", 0.2, LEAST_URGENT, 0.0)
        queueing_delays.record_end("e", "r1")
        self.assertEqual(self.delay(queueing_delays, "e", 5.0), 0.0)

    def test_an_engine_not_used_lately_gets_the_median_delay(self):
        queueing_delays = QueueingDelays()
        for engine, delay in (("a", 1.0), ("b", 1.4), ("c", 2.0), ("d", 1.4)):
            self.record_delay(queueing_delays, engine, delay, 3.0)
        delays = queueing_delays.estimate(["a", "b", "c", "d", "unused"], LEAST_URGENT, 3.0)
        self.assertAlmostEqual(delays["unused"], 1.4)
        self.assertAlmostEqual(delays["a"], 1.0)
        later = queueing_delays.estimate(["a", "b", "c", "d"], LEAST_URGENT, 4.0)
        self.assertAlmostEqual(later["a"], 1.2)

    def test_a_stalled_engine_does_not_raise_the_delay_of_the_others(self):
        queueing_delays = QueueingDelays()
        queueing_delays.record_sent("stuck", "r1", 0.2, LEAST_URGENT, 0.0)
        for engine in "abcd":
            self.record_delay(queueing_delays, engine, 0.1, 6.0)
        delays = queueing_delays.estimate(["stuck", *"abcd", "unused"], LEAST_URGENT, 6.0)
        self.assertGreater(delays["stuck"], 5.0)
        self.assertAlmostEqual(delays["unused"], 0.1)

    def test_delays_are_kept_by_urgency(self):
        queueing_delays = QueueingDelays()
        self.record_delay(queueing_delays, "e", 3.0, 5.0)
        queueing_delays.record_sent("e", "r2", 0.2, LEAST_URGENT, 0.0)
        self.assertEqual(self.delay(queueing_delays, "e", 5.0, URGENT), 0.0)
        queueing_delays.record_sent("e", "r3", 0.2, URGENT, 3.0)
        self.assertAlmostEqual(self.delay(queueing_delays, "e", 5.0, URGENT), 1.8)
        self.assertGreaterEqual(self.delay(queueing_delays, "e", 5.0), 1.8)


class AdmissionTest(unittest.TestCase):
    """Motivating load: for twenty seconds, twice the prompt tokens that an engine can prefill."""

    OBJECTIVE = 1.5
    LIMIT = 8.0

    def replay(self, refuses):
        """Returns how many requests of a burst start within the objective, and how many at all."""
        rng = Random(7)
        now, free_at, in_time, begun = 0.0, 0.0, 0, 0
        while now < 20.0:
            now += rng.expovariate(2 * RATE / 5000)
            reading = rng.lognormvariate(8.2, 0.8) / RATE
            delay = max(0.0, free_at - now)
            wait = delay + reading
            if refuses and not should_admit(delay, wait, self.OBJECTIVE, self.LIMIT, True):
                continue
            free_at = max(free_at, now) + reading
            begun += wait <= self.LIMIT
            in_time += wait <= self.OBJECTIVE
        return in_time, begun

    def test_early_refusal_serves_more_in_time_than_admitting_all(self):
        with_refusals, begun = self.replay(refuses=True)
        first_come_first_served, _ = self.replay(refuses=False)
        self.assertGreater(with_refusals, 3 * first_come_first_served)
        self.assertEqual(with_refusals, begun)

    def test_a_more_urgent_request_is_refused_only_if_it_could_not_start(self):
        cases = ((0.5, True, True), (0.7, True, False), (1.6, False, True), (8.1, False, False))
        for delay, least, expected in cases:
            admitted = should_admit(delay, delay, self.OBJECTIVE, self.LIMIT, least)
            self.assertEqual(admitted, expected)

    def test_a_large_prompt_is_admitted_like_a_small_one(self):
        for reading in (0.1, 1.0, 4.0):
            self.assertTrue(should_admit(0.5, 0.5 + reading, self.OBJECTIVE, self.LIMIT, True))
        self.assertFalse(should_admit(0.5, 8.4, self.OBJECTIVE, self.LIMIT, True))

    def test_retry_delays_are_spread_and_bounded(self):
        rng = Random(3)
        times = [retry_delay(2.5, self.OBJECTIVE, rng) for _ in range(200)]
        self.assertGreater(max(times) - min(times), 0.5)
        self.assertLess(retry_delay(100.0, self.OBJECTIVE, rng), 2.5)
        self.assertGreater(retry_delay(0.0, self.OBJECTIVE, rng), 0.2)
