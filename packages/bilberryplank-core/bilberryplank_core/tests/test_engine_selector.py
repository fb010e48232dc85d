"""Placing of requests at engines, against the load patterns that it answers."""

import unittest
from collections import Counter
from random import Random

from bilberryplank_core._engine_partition import EnginePartition
from bilberryplank_core._engine_performance import EnginePerformance, LatencyObjective
from bilberryplank_core._engine_selector import MAX_CANDIDATES
from bilberryplank_core._fleet_traffic import FleetTrafficRatio, estimate_fleet_total
from bilberryplank_core._prefix_cache_model import PrefixCacheModel, prefix_keys
from bilberryplank_core._queueing_delays import QueueingDelays
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

ENGINES = [DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", 64) for n in range(6)]
SHAPE = EngineCapacity(64, 647_156, 5)
RATE = 60_000.0
URGENT, LEAST = (0, 0), (0, 2)
PATIENT, HASTY = LatencyObjective(), LatencyObjective(event_gap=0.2)


def call(number, shared="p", shared_tokens=13_000, own=3_700):
    parts = (PromptSegment(shared, shared_tokens), PromptSegment(f"own{number}", own))
    return RequestHead(f"r{number}", model="m", prompt=parts, prompt_tokens=shared_tokens + own)


def board(seed=1):
    return EngineSelector("z", SHAPE, UpstreamHealth(), Random(seed))


class PromptCacheTest(unittest.TestCase):
    def test_a_part_counts_only_behind_all_parts_before_it(self):
        cache = PrefixCacheModel(1000)
        cache.add(prefix_keys("m", (PromptSegment("a", 100), PromptSegment("b", 50))))
        cases = (("ab", 150), ("a", 100), ("b", 0), ("ca", 0))
        for names, kept in cases:
            prompt = tuple(PromptSegment(name, {"a": 100, "b": 50}.get(name, 9)) for name in names)
            self.assertEqual(cache.cached_tokens(prefix_keys("m", prompt)), kept)
        self.assertEqual(cache.cached_tokens(prefix_keys("n", (PromptSegment("a", 100),))), 0)

    def test_the_least_recently_used_parts_go(self):
        cache = PrefixCacheModel(1000)
        for name in "abcdefghij":
            cache.add(prefix_keys("m", (PromptSegment(name, 100),)))
        self.assertEqual(cache.cached_tokens(prefix_keys("m", (PromptSegment("a", 100),))), 0)
        self.assertEqual(cache.cached_tokens(prefix_keys("m", (PromptSegment("j", 100),))), 100)


class EngineBoardTest(unittest.TestCase):
    def place(self, boards, calls, kind=PATIENT):
        placed = {}
        for number, each in enumerate(calls):
            one = boards[number % len(boards)]
            choice = one.choose(each, kind, LEAST, ENGINES, number * 0.1)
            one.begin(choice, each, number * 0.1)
            one.record_events(each.request_id, 1, number * 0.1)
            one.end(each.request_id, number * 0.1)
            placed[each.request_id] = choice.upstream.name
        return placed

    def test_entries_that_share_nothing_agree_on_the_home_of_a_part(self):
        calls = [call(number, shared=f"p{number % 7}") for number in range(70)]
        placed = self.place([board(seed) for seed in range(5)], calls)
        for shared in range(7):
            homes = {placed[f"r{number}"] for number in range(70) if number % 7 == shared}
            self.assertEqual(len(homes), 1)

    def test_a_long_wait_at_home_sends_a_request_elsewhere(self):
        one = board()
        first = one.choose(call(0), PATIENT, LEAST, ENGINES, 0.0)
        for number in range(12):
            one.begin(first, call(number, own=30_000), 0.0)
        other = one.choose(call(99), PATIENT, LEAST, ENGINES, 0.0)
        self.assertNotEqual(other.upstream.name, first.upstream.name)

    def test_reports_tell_how_much_of_the_backlog_is_other_entries(self):
        queueing_delays = []
        for reports in (0, 100):
            one = board()
            one.engines_to_query(call(0), PATIENT, LEAST, ENGINES, 0.0)
            choice = one.choose(call(0), PATIENT, URGENT, ENGINES, 0.0)
            one.begin(choice, call(0), 0.0)
            for _ in range(reports):
                one.report(choice.upstream.name, UpstreamLoad(4, 1, 64), 0.0)
            only_home = [choice.upstream]
            queueing_delays.append(one.choose(call(1), PATIENT, URGENT, only_home, 0.0).wait)
        self.assertGreater(queueing_delays[1], 3 * queueing_delays[0])

    def test_a_request_without_its_first_token_shows_the_wait_at_its_engine(self):
        one = board()
        home = one.choose(call(0), PATIENT, LEAST, ENGINES, 0.0)
        one.begin(home, call(0), 0.0)
        self.assertNotEqual(
            one.choose(call(1), PATIENT, LEAST, ENGINES, 3.0).upstream, home.upstream
        )
        one.record_events("r0", 1, 3.0)
        self.assertNotEqual(
            one.choose(call(1), PATIENT, LEAST, ENGINES, 3.1).upstream, home.upstream
        )
        self.assertEqual(one.choose(call(1), PATIENT, LEAST, ENGINES, 6.0).upstream, home.upstream)

    def test_an_engine_that_is_held_out_gets_nothing(self):
        health = UpstreamHealth()
        one = EngineSelector("z", SHAPE, health, Random(1))
        for engine in ENGINES[1:]:
            health.record(engine.name, Outcome.NOT_REACHED, 0.0)
        self.assertEqual(one.choose(call(0), PATIENT, LEAST, ENGINES, 0.1).upstream.name, "e0")
        health.record("e0", Outcome.NOT_REACHED, 0.1)
        self.assertIsNone(one.choose(call(0), PATIENT, LEAST, ENGINES, 0.2))

    def test_the_homes_of_a_long_prompt_and_the_best_engine_are_asked_once_in_a_while(self):
        one = board()
        home = one.choose(call(0), PATIENT, LEAST, ENGINES, 0.0).upstream
        asked = one.engines_to_query(call(0), PATIENT, LEAST, ENGINES, 0.0)
        self.assertIn(home, asked)
        self.assertEqual(len(asked), 3)
        for engine in asked:
            one.report(engine.name, UpstreamLoad(0, 0, 64), 0.0)
        self.assertEqual(one.engines_to_query(call(0), PATIENT, LEAST, asked, 0.05), [])
        self.assertEqual(len(one.engines_to_query(call(0), PATIENT, LEAST, asked, 0.2)), 3)

    def test_short_prompts_and_urgent_ones_ask_nothing(self):
        one = board()
        short = call(1, shared_tokens=300, own=700)
        self.assertEqual(one.engines_to_query(short, PATIENT, LEAST, ENGINES, 0.0), [])
        self.assertEqual(one.engines_to_query(call(2), PATIENT, URGENT, ENGINES, 0.0), [])

    def test_what_an_engine_tells_of_its_queue_decides_for_a_moment(self):
        one = board()
        home = one.choose(call(0), PATIENT, LEAST, ENGINES, 0.0)
        one.engines_to_query(call(0), PATIENT, LEAST, ENGINES, 0.0)
        for number in range(40):
            one.begin(home, call(number), 0.0)
            one.end(f"r{number}", 0.0)
        one.report(home.upstream.name, UpstreamLoad(8, 30, 64), 1.0)
        self.assertNotEqual(
            one.choose(call(99), PATIENT, LEAST, ENGINES, 1.0).upstream, home.upstream
        )
        self.assertEqual(one.choose(call(99), PATIENT, LEAST, ENGINES, 2.5).upstream, home.upstream)

    def test_all_places_are_given_back(self):
        one = board()
        for number in range(20):
            choice = one.choose(call(number), PATIENT, LEAST, ENGINES, 0.0)
            one.begin(choice, call(number), 0.0)
        self.assertEqual(one.in_flight, 20)
        for number in range(20):
            one.end(f"r{number}", 0.0)
        self.assertEqual(one.in_flight, 0)

    def test_what_is_less_urgent_delays_by_the_prompt_that_is_read_at_most(self):
        """Load pattern: a backlog of long prompts, which an engine lets the urgent overtake."""
        delays = {}
        for urgency in (URGENT, LEAST):
            one = board()
            home = one.choose(call(0), PATIENT, LEAST, ENGINES, 0.0)
            for number in range(20):
                one.begin(home, call(number, shared_tokens=0, own=16_700), 0.0)
            new = call(99, shared="q", shared_tokens=100, own=500)
            choice = one.choose(new, PATIENT, urgency, [home.upstream], 0.0)
            delays[urgency] = choice.delay
        self.assertLess(delays[URGENT], 0.15 * delays[LEAST])
        self.assertGreater(delays[URGENT], 0.02)


class BurstAtHastyStreamsTest(unittest.TestCase):
    """Load pattern: short prompts with long answers come at twice their usual rate for seconds.

    Their engines have no slots left, those that read long prompts have many.
    """

    CHAT = LatencyObjective(event_gap=0.2, first_event=0.15)
    SLOTS = 48

    def setUp(self):
        self.engines = [
            DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", self.SLOTS) for n in range(6)
        ]
        self.board = EngineSelector(
            "z", EngineCapacity(self.SLOTS, 900_000, 6), UpstreamHealth(), Random(1)
        )

    def send(self, number, objective, urgency, now, tokens):
        new = call(number, shared=f"p{number % 40}", shared_tokens=0, own=tokens)
        choice = self.board.choose(new, objective, urgency, self.engines, now)
        self.board.begin(choice, new, now)
        self.board.record_events(new.request_id, 1, now + 0.03 + tokens / 157_000)
        return choice.upstream.name

    def test_a_burst_crosses_the_border_once_its_engines_are_full(self):
        now = 0.0
        for number in range(200):
            now += 0.05
            long = number % 2
            self.send(
                number,
                LatencyObjective(0.8, 1.5) if long else self.CHAT,
                LEAST,
                now,
                9_000 if long else 600,
            )
            self.board.end(f"r{number}", now + 2.0)
        calm = {self.send(1000 + n, self.CHAT, URGENT, now + n / 1000, 600) for n in range(20)}
        burst = Counter(
            self.send(2000 + n, self.CHAT, URGENT, now + 0.1 + n / 1000, 600) for n in range(200)
        )
        self.assertLess(len(calm), len(self.engines) / 2 + 1)
        self.assertGreater(len(burst), len(calm))
        self.assertLess(max(burst.values()), 1.5 * self.SLOTS)


class PartsMovedByBurstTest(unittest.TestCase):
    """Load pattern: a burst moves shared parts from their homes; their next requests come soon."""

    def hear(self, one, now):
        one.set_peers({"peer"})
        notice = WorkNotice(
            "s", one.performance.prefill_token_seconds, one.performance.prefill_gap_seconds, {}
        )
        one.apply_notice("peer", notice, {each.name for each in ENGINES}, now)

    def busy(self, one, names, now):
        for number, name in enumerate(list(names) * 6):
            engine = next(each for each in ENGINES if each.name == name)
            load = call(f"-busy{number}", shared=f"other{number}", own=60_000)
            choice = one.choose(load, PATIENT, LEAST, [engine], now)
            one.begin(choice, load, now)

    def test_a_part_is_read_again_only_where_no_engine_that_keeps_it_is_nearly_as_good(self):
        for busy, again in ((0, False), (1, False), (2, True)):
            with self.subTest(busy=busy):
                one = board()
                homes = [one.choose(call(0), PATIENT, LEAST, ENGINES, 0.0).upstream]
                one.begin(one.choose(call(0), PATIENT, LEAST, homes, 0.0), call(0), 0.0)
                # The home is held out for a while, and another engine reads the part.
                rest = [each for each in ENGINES if each not in homes]
                second = one.choose(call(1), PATIENT, LEAST, rest, 0.0)
                one.begin(second, call(1), 0.0)
                for number in range(2):
                    one.record_events(f"r{number}", 1, 1.0)
                    one.end(f"r{number}", 1.0)
                keepers = [homes[0].name, second.upstream.name]
                self.hear(one, 20.0)
                self.busy(one, keepers[:busy], 20.0)
                choice = one.choose(call(2), PATIENT, LEAST, ENGINES, 20.0)
                self.assertEqual(choice.upstream.name not in keepers, again)
                self.assertEqual(choice.prefill_tokens > 3_700, again)

    def test_a_part_that_only_its_second_engine_keeps_is_not_read_at_home(self):
        one = board()
        home = one.choose(call(0), PATIENT, LEAST, ENGINES, 0.0).upstream
        rest = [each for each in ENGINES if each is not home]
        second = one.choose(call(1), PATIENT, LEAST, rest, 0.0)
        one.begin(second, call(1), 0.0)
        one.record_events("r1", 1, 1.0)
        one.end("r1", 1.0)
        self.hear(one, 20.0)
        self.assertEqual(one.choose(call(2), PATIENT, LEAST, ENGINES, 20.0).prefill_tokens, 3_700)


class LargeFleetTest(unittest.TestCase):
    """Load pattern: hundreds of engines of one service; parts are kept at few of them."""

    ENGINES = [
        DirectUpstream(f"e{n}", "s", f"1.1.{n // 250}.{n % 250}:1", "z", 64) for n in range(690)
    ]

    def test_few_are_weighed_among_them_the_one_that_keeps_the_prompt(self):
        one = board()
        keeper = self.ENGINES[345]
        alone = one.choose(call(0), PATIENT, LEAST, [keeper], 0.0)
        one.begin(alone, call(0), 0.0)
        one.record_events("r0", 1, 0.5)
        one.end("r0", 0.5)
        one.set_peers({"peer"})
        one.apply_notice("peer", WorkNotice("s", 1 / RATE, 0.1, {}), set(), 9.0)
        weighed = one._candidates_for(call(1), PATIENT, LEAST, self.ENGINES, 9.0)
        self.assertLessEqual(len(weighed), MAX_CANDIDATES)
        self.assertEqual(one.choose(call(1), PATIENT, LEAST, self.ENGINES, 9.0).upstream, keeper)

    def test_a_burst_of_prompts_that_share_nothing_spreads(self):
        one = board()
        placed = Counter()
        for number in range(690):
            new = call(number, shared=f"p{number}", shared_tokens=0, own=9_000)
            choice = one.choose(new, PATIENT, LEAST, self.ENGINES, number / 1000)
            one.begin(choice, new, number / 1000)
            placed[choice.upstream.name] += 1
        self.assertLessEqual(max(placed.values()), 4)


class TrafficShareTest(unittest.TestCase):
    """Load pattern: many entries, each with a request at few of the engines."""

    def test_the_share_is_learnt_though_only_engines_in_use_report(self):
        for entries in (6, 27):
            rng, share = Random(entries), FleetTrafficRatio()
            for _ in range(500):
                others = sum(rng.random() < 0.5 for _ in range(20))
                mine = sum(rng.random() < 1 / entries for _ in range(others))
                share.record_report(1 + mine, 1 + others)
            self.assertAlmostEqual(share.ratio() / entries, 1.0, delta=0.5)

    def test_a_small_own_part_says_little_of_one_engine(self):
        cases = ((0.0, 1.2), (1.0, 1.8), (10.0, 7.2))
        for own, all_requests in cases:
            self.assertAlmostEqual(estimate_fleet_total(own, 0.5, 1.0, 3.0), all_requests)
        self.assertEqual(estimate_fleet_total(2.0, 0.0, 1.0, 3.0), 6.0)


class EngineSplitTest(unittest.TestCase):
    """Load pattern: bursts of long prompts beside steady streams with short pauses."""

    def replay(self, partition, seed):
        """A minute of long prompts with bursts and short ones; yields the parts in between."""
        rng = Random(seed)
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(40.0)
            burst = 10 < now < 19 or 35 < now < 40
            long = rng.random() < (0.45 if burst else 0.25)
            tokens = rng.lognormvariate(8.2, 0.9) if long else rng.lognormvariate(7.0, 0.6)
            partition.record_request(PATIENT if long else HASTY, tokens / RATE, 100, now)
            yield now

    def test_kinds_never_share_an_engine_and_each_has_one(self):
        partition = EnginePartition(SHAPE.slots, EnginePerformance(SHAPE.stride))
        for kind in (PATIENT, HASTY):
            partition.record_request(kind, 0.5, 100, 0.0)
        for now in self.replay(partition, 3):
            patient = {each.name for each in partition.engines_for(PATIENT, ENGINES, now)}
            hasty = {each.name for each in partition.engines_for(HASTY, ENGINES, now)}
            self.assertTrue(patient and hasty)
            self.assertEqual(patient & hasty, set())
            self.assertEqual(len(patient | hasty), len(ENGINES))

    def test_the_first_requests_of_many_entries_do_not_all_go_to_one_engine(self):
        """Load pattern: entries that just started; a short prompt comes first at half of them."""
        parts = []
        for first in (PATIENT, HASTY):
            partition = EnginePartition(SHAPE.slots, EnginePerformance(SHAPE.stride))
            partition.record_request(first, 0.02, 100, 0.0)
            parts.append(len(partition.engines_for(PATIENT, ENGINES, 0.1)))
        self.assertEqual(parts, [len(ENGINES)] * 2)
        for number in range(20):
            partition.record_request(HASTY, 0.02, 100, number * 0.1)
            partition.record_request(PATIENT, 0.2, 100, number * 0.1)
        self.assertLess(len(partition.engines_for(HASTY, ENGINES, 2.0)), len(ENGINES))

    def test_parts_seldom_move(self):
        partition = EnginePartition(SHAPE.slots, EnginePerformance(SHAPE.stride))
        sizes = [
            len(partition.engines_for(PATIENT, ENGINES, now)) for now in self.replay(partition, 4)
        ]
        moves = sum(before != after for before, after in zip(sizes, sizes[1:], strict=False))
        self.assertLess(moves, 12)

    def test_entries_that_see_other_parts_of_the_traffic_mostly_agree(self):
        one, two = EnginePartition(SHAPE.slots, EnginePerformance(SHAPE.stride)), EnginePartition(
            SHAPE.slots, EnginePerformance(SHAPE.stride)
        )
        sizes = zip(
            (len(one.engines_for(PATIENT, ENGINES, now)) for now in self.replay(one, 5)),
            (len(two.engines_for(PATIENT, ENGINES, now)) for now in self.replay(two, 6)),
            strict=False,
        )
        apart = Counter(abs(first - second) for first, second in sizes)
        self.assertGreater((apart[0] + apart[1]) / apart.total(), 0.9)

    def test_a_service_with_fewer_engines_than_kinds_shares_them(self):
        partition = EnginePartition(SHAPE.slots, EnginePerformance(SHAPE.stride))
        for kind in (PATIENT, HASTY):
            partition.record_request(kind, 1.0, 100, 0.0)
        self.assertEqual(len(partition.engines_for(HASTY, ENGINES[:1], 0.0)), 1)
        self.assertEqual(len(partition.engines_for(PATIENT, ENGINES[:1], 0.0)), 1)
        self.assertEqual(len(partition.engines_for(HASTY, ENGINES[:2], 0.0)), 1)

    def test_streams_that_need_slots_more_than_reading_get_engines(self):
        """Load pattern: a burst of prompts that are kept already, with long answers."""
        sizes = []
        for answer_tokens in (10, 1000):
            partition = EnginePartition(SHAPE.slots, EnginePerformance(SHAPE.stride))
            for number in range(100):
                partition.record_request(PATIENT, 0.05, 100, number * 0.1)
                partition.record_request(HASTY, 0.001, answer_tokens, number * 0.1)
            sizes.append(len(partition.engines_for(HASTY, ENGINES, 10.0)))
        self.assertEqual(sizes[0], 1)
        self.assertGreater(sizes[1], 2)

    def test_which_streams_are_hasty(self):
        pace = EnginePerformance(5)
        for number in range(160):
            pace.record_prompt(30_000 if number % 10 == 0 else 3_000)
        long = 30_000 * pace.prefill_token_seconds
        cases = (
            (LatencyObjective(0.8, 2.0), True),
            (LatencyObjective(), True),
            (LatencyObjective(0.3, 1.3 * long), True),
            (LatencyObjective(0.2, 2.0), False),
            # 13 in 100 of the moments of reading leave too much; 22 at the next.
            (LatencyObjective(0.8, 0.9 * long), True),
            (LatencyObjective(0.8, 0.7 * long), False),
            (LatencyObjective(0.8, 0.2 * long), False),
        )
        for objective, patient in cases:
            with self.subTest(objective):
                self.assertEqual(pace.tolerates_prefill(objective), patient)

    def test_streams_share_engines_that_turn_out_to_pause_for_less(self):
        """Load pattern: engines that read in short steps, which nobody has said."""
        pace = EnginePerformance(SHAPE.stride)
        partition = EnginePartition(SHAPE.slots, pace)
        for number in range(100):
            partition.record_request(PATIENT, 0.1, 100, number * 0.1)
            partition.record_request(HASTY, 0.05, 100, number * 0.1)
        self.assertLess(len(partition.engines_for(HASTY, ENGINES, 10.0)), len(ENGINES))
        for _ in range(200):
            pace.record_stream_end(PATIENT, 0.05, 20)
        self.assertEqual(len(partition.engines_for(HASTY, ENGINES, 10.0)), len(ENGINES))


class ServiceBoardTest(unittest.TestCase):
    """Load pattern: few slots; one upstream is slow, another fails part of its requests."""

    def setUp(self):
        self.health = UpstreamHealth()
        self.board = UpstreamSelector("z", self.health, Random(1))
        self.upstreams = [DirectUpstream(f"p{n}", "s", f"1.1.1.{n}:1", "z", 6) for n in range(3)]

    def serve(self, seconds_of, fails=(), count=300):
        placed = Counter()
        for number in range(count):
            now = number * 0.01
            name = self.board.choose(self.upstreams, now).name
            placed[name] += 1
            self.board.begin(name)
            failed = name in fails and number % 3 == 0
            self.health.record(name, Outcome.FAILED if failed else Outcome.ANSWERED, now)
            self.board.end(name, seconds_of.get(name, 0.02))
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

    def test_places_are_given_back(self):
        self.serve({})
        self.assertEqual(self.board.in_flight, 0)


class EngineWaitsTest(unittest.TestCase):
    """Load pattern: many entries; each has requests at few of the engines."""

    def met(self, queueing_delays, engine, delay, at, urgency=LEAST):
        """Lets a request meet a delay at an engine."""
        queueing_delays.record_sent(engine, f"{engine}/{at}", 0.2, urgency, at - delay - 0.2)
        queueing_delays.record_first_token(engine, f"{engine}/{at}", at)

    def delay(self, queueing_delays, engine, now, urgency=LEAST):
        return queueing_delays.estimate([engine], urgency, now)[engine]

    def test_met_delays_are_forgotten_and_overdue_requests_count(self):
        queueing_delays = QueueingDelays()
        self.assertEqual(self.delay(queueing_delays, "e", 0.0), 0.0)
        queueing_delays.record_sent("e", "r1", 0.2, LEAST, 0.0)
        self.assertAlmostEqual(self.delay(queueing_delays, "e", 1.0), 0.8)
        queueing_delays.record_first_token("e", "r1", 1.2)
        self.assertAlmostEqual(self.delay(queueing_delays, "e", 1.2), 1.0)
        self.assertEqual(self.delay(queueing_delays, "e", 9.0), 0.0)

    def test_a_request_that_left_is_not_overdue(self):
        queueing_delays = QueueingDelays()
        queueing_delays.record_sent("e", "r1", 0.2, LEAST, 0.0)
        queueing_delays.record_end("e", "r1")
        self.assertEqual(self.delay(queueing_delays, "e", 5.0), 0.0)

    def test_an_engine_not_used_lately_is_taken_to_be_as_full_as_the_others(self):
        queueing_delays = QueueingDelays()
        for engine, delay in (("a", 1.0), ("b", 1.4), ("c", 2.0), ("d", 1.4)):
            self.met(queueing_delays, engine, delay, 3.0)
        delays = queueing_delays.estimate(["a", "b", "c", "d", "unused"], LEAST, 3.0)
        self.assertAlmostEqual(delays["unused"], 1.4)
        self.assertAlmostEqual(delays["a"], 1.0)
        later = queueing_delays.estimate(["a", "b", "c", "d"], LEAST, 4.0)
        self.assertAlmostEqual(later["a"], 1.2)

    def test_engines_that_stand_still_do_not_turn_requests_away_from_the_others(self):
        queueing_delays = QueueingDelays()
        queueing_delays.record_sent("stuck", "r1", 0.2, LEAST, 0.0)
        for engine in "abcd":
            self.met(queueing_delays, engine, 0.1, 6.0)
        delays = queueing_delays.estimate(["stuck", *"abcd", "unused"], LEAST, 6.0)
        self.assertGreater(delays["stuck"], 5.0)
        self.assertAlmostEqual(delays["unused"], 0.1)

    def test_the_wait_of_less_urgent_requests_is_not_that_of_urgent_ones(self):
        queueing_delays = QueueingDelays()
        self.met(queueing_delays, "e", 3.0, 5.0)
        queueing_delays.record_sent("e", "r2", 0.2, LEAST, 0.0)
        self.assertEqual(self.delay(queueing_delays, "e", 5.0, URGENT), 0.0)
        queueing_delays.record_sent("e", "r3", 0.2, URGENT, 3.0)
        self.assertAlmostEqual(self.delay(queueing_delays, "e", 5.0, URGENT), 1.8)
        self.assertGreaterEqual(self.delay(queueing_delays, "e", 5.0), 1.8)


class AdmissionTest(unittest.TestCase):
    """Load pattern: twice the prompt tokens that an engine can read, for twenty seconds."""

    OBJECTIVE = 1.5
    LIMIT = 8.0

    def replay(self, refuses):
        """Returns how many of a burst begin within the objective, and how many began at all."""
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

    def test_early_refusal_serves_more_in_time_than_taking_all(self):
        with_refusals, begun = self.replay(refuses=True)
        first_come_first_served, _ = self.replay(refuses=False)
        self.assertGreater(with_refusals, 3 * first_come_first_served)
        self.assertEqual(with_refusals, begun)

    def test_a_more_urgent_request_is_refused_only_where_it_could_not_begin(self):
        cases = ((0.5, True, True), (0.7, True, False), (1.6, False, True), (8.1, False, False))
        for delay, least, enters in cases:
            found = should_admit(delay, delay, self.OBJECTIVE, self.LIMIT, least)
            self.assertEqual(found, enters)

    def test_a_large_prompt_enters_as_a_small_one_does(self):
        for reading in (0.1, 1.0, 4.0):
            self.assertTrue(should_admit(0.5, 0.5 + reading, self.OBJECTIVE, self.LIMIT, True))
        self.assertFalse(should_admit(0.5, 8.4, self.OBJECTIVE, self.LIMIT, True))

    def test_callers_come_back_spread_and_within_bounds(self):
        rng = Random(3)
        times = [retry_delay(2.5, self.OBJECTIVE, rng) for _ in range(200)]
        self.assertGreater(max(times) - min(times), 0.5)
        self.assertLess(retry_delay(100.0, self.OBJECTIVE, rng), 2.5)
        self.assertGreater(retry_delay(0.0, self.OBJECTIVE, rng), 0.2)
