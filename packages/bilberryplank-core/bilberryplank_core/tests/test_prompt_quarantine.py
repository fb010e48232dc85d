"""Which requests are withheld, from evidence of several entries in any order."""

import math
import unittest
from random import Random

from bilberryplank_core._crash_evidence import (
    EVIDENCE_SECONDS,
    MAX_CRASHES,
    MAX_SOUND_SEGMENTS,
    MAX_SUSPECTS,
    CrashEvidence,
    CrashRecord,
)
from bilberryplank_core._crash_notices import (
    MAX_NOTICE_BYTES,
    crash_row,
    decode_crashes,
    encode_crashes,
    read_crash_row,
)
from bilberryplank_core._notice_format import NoticeInvalid
from bilberryplank_core._prompt_quarantine import (
    COINCIDENCE_SECONDS,
    MAX_SEGMENT_CHARS,
    MAX_SEGMENTS,
    QUARANTINE_SECONDS,
    SOUND_QUARANTINE_SECONDS,
    PromptQuarantine,
    shared_segments,
)
from bilberryplank_core.direct import PromptSegment, RequestHead


class QuarantineCase(unittest.TestCase):
    def setUp(self):
        self.quarantine = PromptQuarantine()
        self.evidence = self.quarantine.evidence
        self.crashed = 0

    def crash(self, at, *begun, unsettled=()):
        self.crashed += 1
        record = CrashRecord(f"e{self.crashed}", at, set(begun), set(unsettled))
        self.evidence.add(record)
        return list(self.evidence)[-1]

    def admitted(self, now, *segments, request="r"):
        held = self.quarantine.admit(f"{request}{segments}", segments, now)
        return held is None


class PromptQuarantineTest(QuarantineCase):
    def test_two_crashes_quarantine_what_both_suspect(self):
        self.crash(1.0, "a", "dead")
        self.assertTrue(self.admitted(1.5, "a", "dead"))
        self.crash(3.0, "b", "dead")
        self.assertFalse(self.admitted(3.1, "a", "dead"))
        self.assertFalse(self.admitted(3.1, "c", "dead"))
        self.assertTrue(self.admitted(3.1, "a", "other"))

    def test_what_is_shared_with_the_guilty_part_is_tried_and_cleared(self):
        for at in (1.0, 3.0):
            self.crash(at, "shared", "dead")
        self.assertFalse(self.admitted(3.1, "shared", "dead"))
        self.assertTrue(self.admitted(3.1, "shared", "sound", request="first"))
        self.assertFalse(self.admitted(3.2, "shared", "sound2", request="second"))
        self.evidence.record_sound(["shared", "sound"], 3.3)
        self.assertTrue(self.admitted(3.9, "shared", "sound2", request="second"))
        self.assertFalse(self.admitted(3.9, "shared", "dead"))
        self.assertFalse(self.admitted(3.9, "new", "dead"))

    def test_a_trial_that_crashes_singles_its_segment_out(self):
        for at in (1.0, 3.0):
            self.crash(at, "dead", "child")
        self.assertTrue(self.admitted(3.1, "dead"))
        self.crash(4.0, "dead")
        self.assertFalse(self.admitted(4.1, "dead"))
        self.assertFalse(self.admitted(4.1, "dead", "other"))
        self.assertTrue(self.admitted(4.1, "child"))

    def test_a_trial_ends_with_its_request(self):
        for at in (1.0, 3.0):
            self.crash(at, "shared", "dead")
        self.assertIsNone(self.quarantine.admit("one", ["shared"], 3.1))
        self.assertIsNotNone(self.quarantine.admit("two", ["shared"], 3.1))
        self.quarantine.end_trial("one")
        self.assertIsNone(self.quarantine.admit("two", ["shared"], 3.1))

    def test_two_parts_at_once_are_both_found(self):
        for at, parts in enumerate((("a", "x"), ("a", "y"), ("c", "x"), ("c", "y"))):
            self.crash(float(at), *parts)
        for part in ("x", "y"):
            self.assertFalse(self.admitted(4.0, "a", part))
            self.assertFalse(self.admitted(4.0, "c", part))

    def test_many_engines_that_end_at_once_are_one_crash(self):
        for number in range(8):
            self.crash(1.0 + number * COINCIDENCE_SECONDS / 9, "a", unsettled=["b"])
        self.assertTrue(self.admitted(1.5, "a"))

    def test_crashes_in_quick_succession_count_apart_where_the_later_request_came_after(self):
        for number in range(2):
            record = self.crash(1.0 + 0.1 * number, "dead")
            record.exposure = 0.05
        self.assertFalse(self.admitted(1.2, "dead"))

    def test_a_part_that_was_sound_needs_a_third_crash_and_is_back_soon(self):
        self.evidence.record_sound(["a"], 0.0)
        for at in (1.0, 2.0):
            self.crash(at, "a")
        self.assertTrue(self.admitted(2.1, "a"))
        self.crash(3.0, "a")
        self.assertFalse(self.admitted(3.1, "a"))
        self.assertTrue(self.admitted(3.1 + SOUND_QUARANTINE_SECONDS, "a"))

    def test_a_popular_part_stays_served_whatever_crashes(self):
        rng = Random(7)
        for number in range(60):
            at = float(number)
            self.crash(at, "popular", f"rare{number}")
            self.assertTrue(self.admitted(at + 0.1, "popular", f"new{rng.random()}"))
            self.evidence.record_sound(["popular"], at + 0.2)

    def test_only_requests_that_had_begun_are_suspected_where_there_are_any(self):
        self.crash(1.0, "dead", unsettled=["beside"])
        self.crash(3.0, "dead", unsettled=["beside"])
        self.assertTrue(self.admitted(3.1, "beside"))
        self.assertFalse(self.admitted(3.1, "dead"))

    def test_the_quarantine_ends_with_a_trial_and_doubles_after_a_further_crash(self):
        self.crash(1.0, "dead")
        self.crash(3.0, "dead")
        end = 3.0 + QUARANTINE_SECONDS
        self.assertFalse(self.admitted(end - 0.1, "dead"))
        self.assertTrue(self.admitted(end + 0.1, "dead", request="one"))
        self.assertFalse(self.admitted(end + 0.2, "dead", request="two"))
        self.crash(end + 1.0, "dead")
        self.assertFalse(self.admitted(end + 1.0 + QUARANTINE_SECONDS * 1.9, "dead"))

    def test_a_quarantine_that_has_ended_is_tried_by_one_entry_of_the_fleet_at_a_time(self):
        crashed = 0
        evidence = [(1.0, "e1"), (3.0, "e2")]
        fleet = [PromptQuarantine(lambda _, rank=rank: rank) for rank in range(12)]
        for quarantine in fleet:
            for at, engine in evidence:
                quarantine.evidence.add(CrashRecord(engine, at, {"dead"}))
        # Each entry has such a request every 0.1 s; a crash is known to all 0.5 s later.
        ended_at = 3.0 + QUARANTINE_SECONDS
        for step in range(60):
            now = ended_at + step * 0.1
            for quarantine in fleet:
                if quarantine.admit(f"r{step}", ["dead"], now) is None:
                    crashed += 1
                    quarantine.evidence.add(CrashRecord(f"x{crashed}", now, {"dead"}))
            if step == 5:
                for quarantine in fleet:
                    quarantine.evidence.add(CrashRecord("x1", ended_at, {"dead"}))
        self.assertEqual(crashed, 1)

    def test_suspects_are_not_retried_and_sound_ones_are(self):
        self.evidence.record_sound(["popular"], 0.0)
        self.crash(1.0, "popular", "dead")
        self.assertTrue(self.quarantine.is_suspect(["popular", "dead"]))
        self.assertFalse(self.quarantine.is_suspect(["popular", "other"]))

    def test_a_lifted_part_is_served_until_it_crashes_engines_again(self):
        for at in (1.0, 3.0):
            self.crash(at, "dead")
        self.assertTrue(self.evidence.clear(["dead"], 4.0))
        self.assertTrue(self.admitted(4.1, "dead"))
        for at in (5.0, 6.0):
            self.crash(at, "dead")
        self.assertFalse(self.admitted(6.1, "dead"))


class CrashEvidenceTest(QuarantineCase):
    def test_evidence_expires_and_is_bounded(self):
        for number in range(MAX_CRASHES + 9):
            self.crash(float(number), *(f"s{number}-{each}" for each in range(MAX_SUSPECTS + 9)))
        self.assertEqual(len(self.evidence), MAX_CRASHES)
        self.assertTrue(all(len(each.begun) == MAX_SUSPECTS for each in self.evidence))
        for number in range(MAX_SOUND_SEGMENTS + 9):
            self.evidence.record_sound([f"s{number}"], 0.0)
        self.assertEqual(len(self.evidence._sound), MAX_SOUND_SEGMENTS)
        self.evidence.expire(MAX_CRASHES + 9 + EVIDENCE_SECONDS + 1.0)
        self.assertEqual(len(self.evidence), 0)

    def test_records_merge_alike_in_any_order_and_repeated(self):
        rng = Random(11)
        records = [
            CrashRecord(
                f"e{rng.randrange(4)}",
                float(rng.randrange(5)),
                *({rng.choice("abcdef") for _ in range(rng.randrange(4))} for _ in range(4)),
                rng.random(),
            )
            for _ in range(30)
        ]
        seen = set()
        for _ in range(20):
            evidence = CrashEvidence()
            for record in rng.sample(records, len(records)) + rng.choices(records, k=10):
                evidence.add(
                    CrashRecord(record.engine, record.at, *map(set, record.sets), record.exposure)
                )
            state = sorted(
                (
                    each.engine,
                    each.at,
                    each.exposure,
                    *(tuple(sorted(every)) for every in each.sets),
                )
                for each in evidence
            )
            seen.add(str(state))
        self.assertEqual(len(seen), 1)

    def test_an_engine_that_crashes_again_under_its_name_has_another_record(self):
        for at, expected in ((1.0, "e/1"), (1.5, "e/1"), (4.0, "e/1#2"), (4.2, "e/1#2")):
            name = self.evidence.crash_id("e/1", at)
            self.assertEqual(name, expected)
            self.evidence.add(CrashRecord(name, at, {"dead"}))
        self.assertFalse(self.admitted(4.3, "dead"))

    def test_a_prompt_names_its_shared_segments_by_model_within_bounds(self):
        prompt = tuple(PromptSegment(f"{number:x}", 10) for number in range(200))
        self.assertEqual(len(shared_segments(RequestHead("r", model="m", prompt=prompt))), 64)
        self.assertEqual(MAX_SEGMENTS, 64)
        short = RequestHead("r", model="m", prompt=prompt[:2])
        self.assertEqual(shared_segments(short), ("m/0",))
        long = [
            RequestHead("r", prompt=(PromptSegment("x" * 5000 + end, 1), prompt[0])) for end in "ab"
        ]
        names = {shared_segments(each)[0] for each in long}
        self.assertEqual(len(names), 2)
        self.assertTrue(all(len(each) <= MAX_SEGMENT_CHARS for each in names))


class CrashNoticeTest(QuarantineCase):
    def test_a_notice_and_a_row_carry_whole_records_to_another_clock(self):
        record = self.crash(5.0, "a", unsettled=["b"])
        record.cleared.add("c")
        record.sound.add("d")
        record.exposure = 0.5
        (heard,) = decode_crashes(encode_crashes(self.evidence, 6.5), 100.0)
        self.assertEqual((heard.engine, heard.sets), ("e1", record.sets))
        self.assertEqual(heard.exposure, 0.5)
        self.assertAlmostEqual(heard.at, 98.5)
        read = read_crash_row(crash_row(record, 6.5, 1000.0), 100.0, 1002.0)
        self.assertEqual((read.engine, read.sets), ("e1", record.sets))
        self.assertAlmostEqual(read.at, 96.5)
        self.assertIsNone(read_crash_row(crash_row(record, 6.5, 0.0), 5000.0, 4000.0))

    def test_a_notice_stays_within_its_bound_and_leaves_the_oldest_out(self):
        for number in range(MAX_CRASHES):
            self.crash(float(number), *(f"{number:04}-{each:060}" for each in range(20)))
        data = encode_crashes(self.evidence, 100.0)
        self.assertLessEqual(len(data), MAX_NOTICE_BYTES)
        heard = {each.engine for each in decode_crashes(data, 100.0)}
        self.assertIn(f"e{MAX_CRASHES}", heard)
        self.assertNotIn("e1", heard)

    def test_malformed_notices_and_rows_are_refused(self):
        whole = encode_crashes([CrashRecord("e", 1.0, {"a"})], 2.0)
        for cut in range(len(whole)):
            with self.assertRaises(NoticeInvalid):
                decode_crashes(whole[:cut], 2.0)
        rng = Random(3)
        for _ in range(300):
            data = bytearray(whole)
            data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode_crashes(bytes(data), 2.0)
            except NoticeInvalid:
                pass
        for value in (None, 3, {}, {"at": "x", "crash": []}, {"at": 1.0, "crash": ["e", 1]}):
            self.assertIsNone(read_crash_row(value, 0.0, 0.0))

    def test_rows_of_another_writer_are_no_crashes(self):
        whole = crash_row(CrashRecord("e", 1.0, {"a"}, exposure=1.0), 2.0, 900.0)
        self.assertEqual(read_crash_row(whole, 2.0, 900.0).begun, {"a"})
        for at in (10**400, math.nan, math.inf, True, [], None):
            self.assertIsNone(read_crash_row({**whole, "at": at}, 2.0, 900.0))
        for engine, part in (("e\ud800", "a"), ("e", "a\udfff"), ("e", "a\n"), ("e", 3), ("", "a")):
            fields = [engine, 1.0, 1.0, [part], [], [], []]
            self.assertIsNone(read_crash_row({"at": 899.0, "crash": fields}, 2.0, 900.0))
