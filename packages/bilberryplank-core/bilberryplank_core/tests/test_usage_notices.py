import unittest

import msgpack

from bilberryplank_core._usage_notices import MAX_HANDED_OVER_ROWS
from bilberryplank_core.direct import (
    COUNTS_FORMAT,
    LEASE_FORMAT,
    SEAL_FORMAT,
    CountsNotice,
    HandedOverCounts,
    LeaseNotice,
    NoticeInvalid,
    SealNotice,
)


class UsageNoticeTest(unittest.TestCase):
    def test_notice_round_trip(self):
        for notice in (
            CountsNotice(356434701, "front-1/ab12", {"org": 3, "other": 0}),
            SealNotice(356434701, {"org": 3}),
            LeaseNotice("usage", "5f0c"),
        ):
            with self.subTest(notice):
                self.assertEqual(type(notice).decode(notice.encode()), notice)

    def test_invalid_notices_are_rejected(self):
        for notice_type, value in (
            (CountsNotice, b"junk"),
            (CountsNotice, [LEASE_FORMAT, 1, "a/1", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1"]),
            (CountsNotice, [COUNTS_FORMAT, -1, "a/1", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1.0, "a/1", {}]),
            (CountsNotice, [COUNTS_FORMAT, 2**53, "a/1", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", {"org": 2**64 - 1}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "no epoch", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/\n", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", [1]]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", {"org": -1}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", {"org": True}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", {"o" * 9000: 1}]),
            (SealNotice, [COUNTS_FORMAT, 1, {}]),
            (SealNotice, [SEAL_FORMAT, -1, {}]),
            (SealNotice, [SEAL_FORMAT, "1", {}]),
            (SealNotice, [SEAL_FORMAT, 1, {"org": 1.0}]),
            (SealNotice, [SEAL_FORMAT, 1, {"o" * 9000: 1}]),
            (LeaseNotice, [LEASE_FORMAT, "usage", 5]),
            (LeaseNotice, [LEASE_FORMAT, "", "5f0c"]),
            (LeaseNotice, [LEASE_FORMAT, "usage", "x" * 300]),
        ):
            data = value if isinstance(value, bytes) else msgpack.packb(value)
            with self.subTest(data[:30]), self.assertRaises(NoticeInvalid):
                notice_type.decode(data)

    def test_oversized_counts_are_rejected_and_not_truncated(self):
        with self.assertRaises(NoticeInvalid):
            CountsNotice(1, "a/1", {f"organisation-{n}": n for n in range(1000)}).encode()
        with self.assertRaises(NoticeInvalid):
            SealNotice(1, {f"organisation-{n}": n for n in range(1000)}).encode()


class HandedOverCountsTest(unittest.TestCase):
    def test_row_is_accepted_once_until_it_is_forgotten(self):
        counts, notice = HandedOverCounts(), CountsNotice(7, "a/1", {"org": 2})
        self.assertTrue(counts.add(notice))
        self.assertFalse(counts.add(notice))
        rows = counts.unsaved()
        self.assertEqual(rows, {(7, "a/1"): {"org": 2}})
        counts.mark_saved(rows)
        self.assertFalse(counts.add(notice))
        self.assertEqual(counts.unsaved(), {})
        counts.forget_before(8)
        self.assertTrue(counts.add(notice))

    def test_newer_counts_stay_unsaved_when_older_ones_are_saved(self):
        counts = HandedOverCounts()
        counts.add(CountsNotice(7, "a/1", {"org": 2}))
        rows = counts.unsaved()
        counts.add(CountsNotice(7, "a/1", {"org": 3}))
        counts.mark_saved(rows)
        self.assertEqual(counts.unsaved(), {(7, "a/1"): {"org": 3}})

    def test_number_of_rows_is_bounded(self):
        counts = HandedOverCounts()
        accepted = [
            counts.add(CountsNotice(7, f"a/{n}", {})) for n in range(MAX_HANDED_OVER_ROWS + 5)
        ]
        self.assertEqual(accepted.count(True), MAX_HANDED_OVER_ROWS)
