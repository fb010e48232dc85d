import unittest
from dataclasses import replace

from bilberryplank_core.direct import DirectUpstream, UpstreamRegistry

A = DirectUpstream("a", "s", "1.1.1.1:1", "z", 4, started_at=1)
B = DirectUpstream("b", "s", "1.1.1.2:1", "z", 4, started_at=1)


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.roster = UpstreamRegistry()
        self.roster.replace([A, B], 0.0)

    def names(self):
        return {each.name for each in self.roster.usable("s")}

    def test_a_leaving_or_removed_upstream_gets_no_new_work_at_once(self):
        change = self.roster.update([replace(A, leaving=True)], ["b"], 1.0)
        self.assertEqual([each.name for each in change.leaving], ["a"])
        self.assertEqual([each.name for each in change.gone], ["b"])
        self.assertEqual(self.names(), set())

    def test_rows_that_lapsed_in_an_outage_have_time_to_come_back(self):
        self.roster.record_store_recovery(10.0)
        self.assertFalse(self.roster.replace([A], 10.1))
        self.assertEqual(self.names(), {"a", "b"})
        self.assertEqual(self.roster.expires_at, 12.0)
        self.assertFalse(self.roster.expire(11.9))
        self.assertEqual([each.name for each in self.roster.expire(12.0).gone], ["b"])
        self.assertEqual(self.names(), {"a"})
        self.assertIsNone(self.roster.expires_at)

    def test_a_row_that_came_back_stays(self):
        self.roster.record_store_recovery(10.0)
        self.roster.replace([A], 10.1)
        self.roster.update([B], [], 11.0)
        self.assertFalse(self.roster.expire(13.0))
        self.assertEqual(self.names(), {"a", "b"})

    def test_a_leaving_upstream_has_no_such_time(self):
        self.roster.update([replace(B, leaving=True)], [], 1.0)
        self.roster.record_store_recovery(10.0)
        self.assertEqual([each.name for each in self.roster.replace([A], 10.1).gone], ["b"])

    def test_a_new_start_under_the_same_name_counts_as_joined(self):
        change = self.roster.update([replace(A, started_at=2)], [], 1.0)
        self.assertEqual([each.name for each in change.joined], ["a"])

    def test_one_that_says_it_leaves_stays_out_until_it_starts_anew(self):
        """Load pattern: a release; answers tell it before the rows do."""
        change = self.roster.mark_leaving(A)
        self.assertEqual([each.name for each in change.leaving], ["a"])
        self.assertFalse(self.roster.mark_leaving(A))
        cases = (
            ("an older row", lambda: self.roster.update([replace(A, zone="y")], [], 1.0), {"b"}),
            ("all rows again", lambda: self.roster.replace([A, B], 2.0), {"b"}),
            ("the row is gone", lambda: self.roster.update([], ["a"], 3.0), {"b"}),
            ("and back", lambda: self.roster.update([A], [], 4.0), {"b"}),
            ("a new start", lambda: self.roster.update([replace(A, started_at=2)], [], 5.0), None),
        )
        for name, happens, usable in cases:
            with self.subTest(name):
                happens()
                self.assertEqual(self.names(), usable or {"a", "b"})

    def test_the_word_of_an_earlier_start_does_not_hold_for_the_next(self):
        self.roster.update([replace(A, started_at=2)], [], 1.0)
        self.assertFalse(self.roster.mark_leaving(A))
        self.assertEqual(self.names(), {"a", "b"})

    def test_without_a_time_of_start_a_name_that_comes_back_is_a_new_start(self):
        unknown = replace(A, started_at=None)
        self.roster.update([unknown], [], 1.0)
        self.roster.mark_leaving(unknown)
        self.roster.update([unknown], [], 2.0)
        self.assertEqual(self.names(), {"b"})
        self.roster.update([], ["a"], 3.0)
        self.roster.update([unknown], [], 4.0)
        self.assertEqual(self.names(), {"a", "b"})
