"""Tests of peer notices about outstanding work at engines."""

import unittest
from random import Random

import msgpack

from bilberryplank_core.direct import (
    DirectUpstream,
    EngineCapacity,
    EngineSelector,
    PromptSegment,
    RequestHead,
    UpstreamHealth,
)
from bilberryplank_core.engines._engine_performance import LatencyObjective
from bilberryplank_core.engines._peer_work import (
    FRESH_SECONDS,
    MAX_NOTICE_BYTES,
    MAX_PLACEMENTS,
    MAX_RECEIVED_NOTICES_PER_SECOND,
    WORK_FORMAT,
    EngineWork,
    NoticeInvalid,
    PeerWork,
    Placement,
    WorkNotice,
    notice_interval,
)

URGENT, LEAST_URGENT = (0, 0), (0, 2)
OBJECTIVE = LatencyObjective(0.5, 1.2)
ENGINES = [DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", 48) for n in range(6)]
CAPACITY = EngineCapacity(48, 900_000, 6)
KEY = "0123456789abcdef"


def new_request(number, session, own=6_000):
    parts = (PromptSegment(f"p{session}", 5_000), PromptSegment(f"own{number}", own))
    return RequestHead(f"r{number}", model="m", prompt=parts, prompt_tokens=5_000 + own)


class Fleet:
    """Entries with requests at the same engines, with or without peer notices."""

    def __init__(self, entries, sends_notices):
        self.selectors = [
            EngineSelector("z", CAPACITY, UpstreamHealth(), Random(n)) for n in range(entries)
        ]
        self.sends_notices = sends_notices
        for selector in self.selectors:
            selector.set_peers([f"entry{n}" for n in range(entries - 1)])

    def send(self, entry, new, urgency, now):
        selector = self.selectors[entry]
        choice = selector.choose(new, OBJECTIVE, urgency, ENGINES, now)
        selector.begin(choice, new, now)
        return choice

    def exchange_notices(self, now):
        if not self.sends_notices:
            return
        for number, selector in enumerate(self.selectors):
            notice = selector.build_notice("s")
            if notice is None:
                continue
            received = WorkNotice.decode(notice.encode())
            for other in self.selectors:
                if other is not selector:
                    other.apply_notice(
                        f"entry{number}", received, {engine.name for engine in ENGINES}, now
                    )


class PeerNoticesTest(unittest.TestCase):
    """Motivating load: bursts of long prompts with shared segments, a few of them at each entry."""

    def test_an_entry_avoids_the_backlog_of_its_peers(self):
        for sends_notices, max_delay in ((True, 0.05), (False, 1.0)):
            fleet = Fleet(8, sends_notices)
            for number in range(48):
                preferred = fleet.selectors[0].choose(
                    new_request(0, "a"), OBJECTIVE, LEAST_URGENT, ENGINES, 0.0
                )
                peer = 1 + number % 7
                fleet.selectors[peer].begin(preferred, new_request(number, "a"), 0.0)
            fleet.exchange_notices(0.0)
            choice = fleet.selectors[0].choose(
                new_request(99, "b"), OBJECTIVE, LEAST_URGENT, [preferred.upstream], 0.1
            )
            with self.subTest(sends_notices=sends_notices):
                self.assertEqual(choice.delay > 1.0, sends_notices)
                alternative = fleet.selectors[0].choose(
                    new_request(99, "a"), OBJECTIVE, LEAST_URGENT, ENGINES, 0.1
                )
                self.assertEqual(alternative.upstream != preferred.upstream, sends_notices)
                self.assertLess(alternative.delay, max_delay)

    def test_segments_placed_by_a_peer_count_as_cached(self):
        prefill_tokens = {}
        for sends_notices in (True, False):
            fleet = Fleet(4, sends_notices)
            fleet.send(1, new_request(1, "a"), LEAST_URGENT, 0.0)
            fleet.exchange_notices(0.0)
            prefill_tokens[sends_notices] = fleet.send(
                2, new_request(2, "a"), LEAST_URGENT, 0.1
            ).prefill_tokens
        self.assertEqual(prefill_tokens, {True: 6_000, False: 11_000})

    def test_entries_with_the_same_view_do_not_all_choose_one_engine(self):
        """Motivating load: 24 entries, 290 requests per second, notices every 0.24 s."""
        fleet, rng = Fleet(24, True), Random(5)
        now, sent, counts = 0.0, [], []
        for number in range(600):
            now += 1 / 290
            if number % 70 == 0:
                fleet.exchange_notices(now)
            entry = rng.randrange(24)
            new = new_request(number, f"s{rng.randrange(400)}", own=600)
            choice = fleet.send(entry, new, URGENT, now)
            prefill_seconds = choice.prefill_tokens / 157_000
            sent.append((now + 0.03 + prefill_seconds, entry, new.request_id, choice.upstream.name))
            due = [item for item in sent if item[0] <= now]
            for item in due:
                fleet.selectors[item[1]].record_events(item[2], 1, now)
                fleet.selectors[item[1]].end(item[2], now)
                sent.remove(item)
            if number > 200:
                waiting = [sum(item[3] == engine.name for item in sent) for engine in ENGINES]
                counts.append(max(waiting) / max(1.0, sum(waiting) / len(ENGINES)))
        self.assertLess(sum(counts) / len(counts), 3.0)

    def test_entries_behind_slow_links_agree_on_latency_sensitive_streams(self):
        """Motivating load: a third of the entries see longer gaps; the objective lies between."""
        for sends_notices in (True, False):
            fleet, chat = Fleet(6, sends_notices), LatencyObjective(0.12, 0.0)
            for number, selector in enumerate(fleet.selectors):
                for _ in range(100):
                    selector.performance.record_stream_end(
                        LatencyObjective(0.5), 0.3 if number < 2 else 0.06, 30
                    )
                fleet.send(number, new_request(number, "a"), LEAST_URGENT, 0.0)
            fleet.exchange_notices(0.1)
            tolerances = {
                selector.performance.tolerates_prefill(chat) for selector in fleet.selectors
            }
            with self.subTest(sends_notices=sends_notices):
                self.assertEqual(len(tolerances), 1 if sends_notices else 2)

    def test_notices_about_unknown_engines_and_peers_leave_no_state(self):
        selector = EngineSelector("z", CAPACITY, UpstreamHealth(), Random(1))
        work = {"e0": EngineWork(1)}
        for number in range(1_000):
            placement = Placement(f"strange{number}", 900, ((KEY, 5_000),))
            selector.apply_notice(
                "entry0", WorkNotice("s", 1e-5, 0.1, work, (placement,)), {"e0"}, 0.0
            )
        self.assertEqual(selector._engine_caches, {})
        self.assertNotEqual(
            selector.performance.prefill_token_seconds, selector.performance.own_estimates[0]
        )
        selector.set_peers([])
        self.assertEqual(
            selector.performance.prefill_token_seconds, selector.performance.own_estimates[0]
        )

    def test_stale_notices_are_dropped(self):
        work = PeerWork()
        work.set_peers(2)
        self.assertIsNone(work.refresh_scale(0.0))
        work.record_notice("a", {"e0": EngineWork(3, ((URGENT, 9),))}, 0.0)
        self.assertEqual(work.refresh_scale(0.5), 1.5)
        work.record_notice("b", {"e0": EngineWork(1)}, 0.6)
        self.assertEqual((work.refresh_scale(0.6), len(list(work.reported_work()))), (1.0, 2))
        work.record_notice("a", {}, 0.7)
        self.assertEqual((work.refresh_scale(0.7), len(list(work.reported_work()))), (1.0, 1))
        self.assertIsNone(work.refresh_scale(0.8 + FRESH_SECONDS))


class WorkNoticeTest(unittest.TestCase):
    def test_a_notice_survives_encoding(self):
        work = {"e0": EngineWork(3, ((URGENT, 900), (LEAST_URGENT, 0))), "e1": EngineWork(1)}
        notice = WorkNotice("s", 0.1, 0.2, work, (Placement("e0", 700, ((KEY, 5_000),)),))
        self.assertEqual(WorkNotice.decode(notice.encode()), notice)

    def test_the_largest_notice_fits_without_its_placements(self):
        engine_work = EngineWork(48, tuple(((0, rank), 500_000) for rank in range(3)))
        work = {f"i-{number:010d}": engine_work for number in range(100)}
        placement = Placement("i-0000000000", 50_000, ((KEY, 5_000),) * 2)
        data = WorkNotice("s", 0.1, 0.2, work, (placement,) * MAX_PLACEMENTS).encode()
        self.assertLessEqual(len(data), MAX_NOTICE_BYTES)
        self.assertEqual(WorkNotice.decode(data).work, work)

    def test_malformed_notices_are_rejected(self):
        work, placement = [["e", 1, [[0, 0, 5]]]], [["e", 5, [[b"k" * 8, 3]]]]
        good = [WORK_FORMAT, "s", 0.1, 0.2, work, placement]
        WorkNotice.decode(msgpack.packb(good))
        bad = (
            b"",
            b"\xc1",
            b"\x00" * (MAX_NOTICE_BYTES + 1),
            msgpack.packb({}),
            msgpack.packb([WORK_FORMAT]),
            *(
                msgpack.packb(good[:place] + [value] + good[place + 1 :])
                for place, value in (
                    (0, 1),
                    (1, 5),
                    (2, 0.0),
                    (2, "x"),
                    (2, 5e-324),
                    (2, 1e308),
                    (3, float("nan")),
                    (3, float("inf")),
                    (4, 5),
                    (4, [["e", -1, []]]),
                    (4, [["e", 1.5, []]]),
                    (4, [["e", 2**64 - 1, []]]),
                    (4, [["e", 1, [[0, 2**31, 5]]]]),
                    (4, [[5, 1, []]]),
                    (4, [["e", 1, [[0, 0, "x"]]]]),
                    (5, [["e", -5, []]]),
                    (5, [["e", 5, [["text", 3]]]]),
                    (5, [["e", 5, [[1.5, 3]]]]),
                    (5, [["e", 5, [[b"k", True]]]]),
                )
            ),
        )
        for data in bad:
            with self.subTest(data[:40]), self.assertRaises(NoticeInvalid):
                WorkNotice.decode(data)

    def test_received_notices_are_bounded_at_any_fleet_size(self):
        for peers in (1, 3, 23, 67, 349):
            with self.subTest(peers):
                self.assertLessEqual(
                    peers / notice_interval(peers), MAX_RECEIVED_NOTICES_PER_SECOND + 0.01
                )
