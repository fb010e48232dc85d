"""What entries tell each other of their work at engines."""

import unittest
from random import Random

import msgpack

from bilberryplank_core._engine_performance import LatencyObjective
from bilberryplank_core._peer_work import (
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
from bilberryplank_core.direct import (
    DirectUpstream,
    EngineCapacity,
    EngineSelector,
    PromptSegment,
    RequestHead,
    UpstreamHealth,
)

URGENT, LEAST = (0, 0), (0, 2)
PATIENCE = LatencyObjective(0.5, 1.2)
ENGINES = [DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", 48) for n in range(6)]
SHAPE = EngineCapacity(48, 900_000, 6)
KEY = "0123456789abcdef"


def call(number, session, own=6_000):
    parts = (PromptSegment(f"p{session}", 5_000), PromptSegment(f"own{number}", own))
    return RequestHead(f"r{number}", model="m", prompt=parts, prompt_tokens=5_000 + own)


class Fleet:
    """Entries with requests at the same engines, which tell each other or do not."""

    def __init__(self, entries, tells):
        self.boards = [
            EngineSelector("z", SHAPE, UpstreamHealth(), Random(n)) for n in range(entries)
        ]
        self.tells = tells
        for board in self.boards:
            board.set_peers([f"entry{n}" for n in range(entries - 1)])

    def send(self, entry, new, urgency, now):
        board = self.boards[entry]
        choice = board.choose(new, PATIENCE, urgency, ENGINES, now)
        board.begin(choice, new, now)
        return choice

    def tell(self, now):
        if not self.tells:
            return
        for number, board in enumerate(self.boards):
            notice = board.build_notice("s")
            if notice is None:
                continue
            heard = WorkNotice.decode(notice.encode())
            for other in self.boards:
                if other is not board:
                    other.apply_notice(
                        f"entry{number}", heard, {each.name for each in ENGINES}, now
                    )


class BlindnessTest(unittest.TestCase):
    """Load pattern: bursts of long prompts with shared parts, a few of them at each entry."""

    def test_an_entry_avoids_what_only_others_sent(self):
        for tells, most in ((True, 0.05), (False, 1.0)):
            fleet = Fleet(8, tells)
            for number in range(48):
                home = fleet.boards[0].choose(call(0, "a"), PATIENCE, LEAST, ENGINES, 0.0)
                one = 1 + number % 7
                fleet.boards[one].begin(home, call(number, "a"), 0.0)
            fleet.tell(0.0)
            choice = fleet.boards[0].choose(call(99, "b"), PATIENCE, LEAST, [home.upstream], 0.1)
            with self.subTest(tells=tells):
                self.assertEqual(choice.delay > 1.0, tells)
                free = fleet.boards[0].choose(call(99, "a"), PATIENCE, LEAST, ENGINES, 0.1)
                self.assertEqual(free.upstream != home.upstream, tells)
                self.assertLess(free.delay, most)

    def test_a_part_that_another_entry_had_read_is_known_to_be_kept(self):
        prefill_tokens = {}
        for tells in (True, False):
            fleet = Fleet(4, tells)
            fleet.send(1, call(1, "a"), LEAST, 0.0)
            fleet.tell(0.0)
            prefill_tokens[tells] = fleet.send(2, call(2, "a"), LEAST, 0.1).prefill_tokens
        self.assertEqual(prefill_tokens, {True: 6_000, False: 11_000})

    def test_entries_that_share_a_view_do_not_all_choose_one_engine(self):
        """Load pattern: 24 entries, 290 requests a second, notices each 0.24 s."""
        fleet, rng = Fleet(24, True), Random(5)
        now, sent, counts = 0.0, [], []
        for number in range(600):
            now += 1 / 290
            if number % 70 == 0:
                fleet.tell(now)
            entry = rng.randrange(24)
            new = call(number, f"s{rng.randrange(400)}", own=600)
            choice = fleet.send(entry, new, URGENT, now)
            reading = choice.prefill_tokens / 157_000
            sent.append((now + 0.03 + reading, entry, new.request_id, choice.upstream.name))
            due = [each for each in sent if each[0] <= now]
            for each in due:
                fleet.boards[each[1]].record_events(each[2], 1, now)
                fleet.boards[each[1]].end(each[2], now)
                sent.remove(each)
            if number > 200:
                waiting = [sum(each[3] == engine.name for each in sent) for engine in ENGINES]
                counts.append(max(waiting) / max(1.0, sum(waiting) / len(ENGINES)))
        self.assertLess(sum(counts) / len(counts), 3.0)

    def test_entries_behind_slow_links_keep_the_same_streams_apart(self):
        """Load pattern: a third of the entries see longer pauses; the bound lies between."""
        for tells in (True, False):
            fleet, chat = Fleet(6, tells), LatencyObjective(0.12, 0.0)
            for number, board in enumerate(fleet.boards):
                for _ in range(100):
                    board.performance.record_stream_end(
                        LatencyObjective(0.5), 0.3 if number < 2 else 0.06, 30
                    )
                fleet.send(number, call(number, "a"), LEAST, 0.0)
            fleet.tell(0.1)
            kinds = {board.performance.tolerates_prefill(chat) for board in fleet.boards}
            with self.subTest(tells=tells):
                self.assertEqual(len(kinds), 1 if tells else 2)

    def test_nothing_is_kept_of_engines_and_entries_that_are_not_known(self):
        board = EngineSelector("z", SHAPE, UpstreamHealth(), Random(1))
        work = {"e0": EngineWork(1)}
        for number in range(1_000):
            placed = Placement(f"strange{number}", 900, ((KEY, 5_000),))
            board.apply_notice("entry0", WorkNotice("s", 1e-5, 0.1, work, (placed,)), {"e0"}, 0.0)
        self.assertEqual(board._engine_caches, {})
        self.assertNotEqual(
            board.performance.prefill_token_seconds, board.performance.own_estimates[0]
        )
        board.set_peers([])
        self.assertEqual(
            board.performance.prefill_token_seconds, board.performance.own_estimates[0]
        )

    def test_what_a_silent_peer_told_is_forgotten(self):
        work = PeerWork()
        work.set_peers(2)
        self.assertIsNone(work.scale(0.0))
        work.record_notice("a", {"e0": EngineWork(3, ((URGENT, 9),))}, 0.0)
        self.assertEqual(work.scale(0.5), 1.5)
        work.record_notice("b", {"e0": EngineWork(1)}, 0.6)
        self.assertEqual((work.scale(0.6), len(list(work.items()))), (1.0, 2))
        work.record_notice("a", {}, 0.7)
        self.assertEqual((work.scale(0.7), len(list(work.items()))), (1.0, 1))
        self.assertIsNone(work.scale(0.8 + FRESH_SECONDS))


class WorkNoticeTest(unittest.TestCase):
    def test_it_comes_back_as_it_was_told(self):
        work = {"e0": EngineWork(3, ((URGENT, 900), (LEAST, 0))), "e1": EngineWork(1)}
        notice = WorkNotice("s", 0.1, 0.2, work, (Placement("e0", 700, ((KEY, 5_000),)),))
        self.assertEqual(WorkNotice.decode(notice.encode()), notice)

    def test_the_largest_notice_fits_without_its_placements(self):
        each = EngineWork(48, tuple(((0, rank), 500_000) for rank in range(3)))
        work = {f"i-{number:010d}": each for number in range(100)}
        placed = Placement("i-0000000000", 50_000, ((KEY, 5_000),) * 2)
        data = WorkNotice("s", 0.1, 0.2, work, (placed,) * MAX_PLACEMENTS).encode()
        self.assertLessEqual(len(data), MAX_NOTICE_BYTES)
        self.assertEqual(WorkNotice.decode(data).work, work)

    def test_anything_else_is_refused(self):
        work, placed = [["e", 1, [[0, 0, 5]]]], [["e", 5, [[b"k" * 8, 3]]]]
        good = [WORK_FORMAT, "s", 0.1, 0.2, work, placed]
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
                    (3, float("nan")),
                    (3, float("inf")),
                    (4, 5),
                    (4, [["e", -1, []]]),
                    (4, [["e", 1.5, []]]),
                    (4, [[5, 1, []]]),
                    (4, [["e", 1, [[0, 0, "x"]]]]),
                    (5, [["e", -5, []]]),
                    (5, [["e", 5, [["text", 3]]]]),
                    (5, [["e", 5, [[b"k", True]]]]),
                )
            ),
        )
        for data in bad:
            with self.subTest(data[:40]), self.assertRaises(NoticeInvalid):
                WorkNotice.decode(data)

    def test_what_an_entry_hears_is_bounded_at_any_size(self):
        for peers in (1, 3, 23, 67, 349):
            with self.subTest(peers):
                self.assertLessEqual(
                    peers / notice_interval(peers), MAX_RECEIVED_NOTICES_PER_SECOND + 0.01
                )
