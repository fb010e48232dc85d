import unittest

import msgpack

from bilberryplank_core._usage_notices import MAX_TAKEN
from bilberryplank_core.direct import (
    COUNTS_FORMAT,
    LEASE_FORMAT,
    CountsNotice,
    LeaseNotice,
    NoticeInvalid,
    TakenCounts,
)


class UsageNoticeTest(unittest.TestCase):
    def test_what_is_told_is_heard(self):
        for notice in (
            CountsNotice(356434701, "front-1/ab12", {"org": 3, "other": 0}),
            LeaseNotice("usage", "5f0c"),
        ):
            with self.subTest(notice):
                self.assertEqual(type(notice).decode(notice.encode()), notice)

    def test_anything_else_is_refused(self):
        for kind, value in (
            (CountsNotice, b"junk"),
            (CountsNotice, [LEASE_FORMAT, 1, "a/1", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1"]),
            (CountsNotice, [COUNTS_FORMAT, -1, "a/1", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1.0, "a/1", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "no epoch", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/\n", {}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", [1]]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", {"org": -1}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", {"org": True}]),
            (CountsNotice, [COUNTS_FORMAT, 1, "a/1", {"o" * 9000: 1}]),
            (LeaseNotice, [LEASE_FORMAT, "usage", 5]),
            (LeaseNotice, [LEASE_FORMAT, "", "5f0c"]),
            (LeaseNotice, [LEASE_FORMAT, "usage", "x" * 300]),
        ):
            data = value if isinstance(value, bytes) else msgpack.packb(value)
            with self.subTest(data[:30]), self.assertRaises(NoticeInvalid):
                kind.decode(data)

    def test_counts_that_do_not_fit_are_not_sent_cut(self):
        with self.assertRaises(NoticeInvalid):
            CountsNotice(1, "a/1", {f"organisation-{n}": n for n in range(1000)}).encode()


class TakenCountsTest(unittest.TestCase):
    def test_a_row_waits_once_until_it_is_stored(self):
        taken, notice = TakenCounts(), CountsNotice(7, "a/1", {"org": 2})
        self.assertTrue(taken.take(notice))
        self.assertFalse(taken.take(notice))
        rows = taken.unsaved()
        self.assertEqual(rows, {(7, "a/1"): {"org": 2}})
        taken.saved(rows)
        self.assertFalse(taken.take(notice))
        self.assertEqual(taken.unsaved(), {})
        taken.forget_before(8)
        self.assertTrue(taken.take(notice))

    def test_newer_counts_that_come_while_the_older_are_stored_stay(self):
        taken = TakenCounts()
        taken.take(CountsNotice(7, "a/1", {"org": 2}))
        rows = taken.unsaved()
        taken.take(CountsNotice(7, "a/1", {"org": 3}))
        taken.saved(rows)
        self.assertEqual(taken.unsaved(), {(7, "a/1"): {"org": 3}})

    def test_rows_are_bounded(self):
        taken = TakenCounts()
        kept = [taken.take(CountsNotice(7, f"a/{n}", {})) for n in range(MAX_TAKEN + 5)]
        self.assertEqual(kept.count(True), MAX_TAKEN)
