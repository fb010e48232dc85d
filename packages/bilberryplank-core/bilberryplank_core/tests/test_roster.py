import unittest
from dataclasses import replace

from bilberryplank_core.direct import DirectUpstream, Roster

A = DirectUpstream("a", "s", "1.1.1.1:1", "z", 4, started_at=1)
B = DirectUpstream("b", "s", "1.1.1.2:1", "z", 4, started_at=1)


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.roster = Roster()
        self.roster.replace([A, B], 0.0)

    def names(self):
        return {each.name for each in self.roster.usable("s")}

    def test_a_leaving_or_removed_upstream_gets_no_new_work_at_once(self):
        change = self.roster.update([replace(A, leaving=True)], ["b"], 1.0)
        self.assertEqual([each.name for each in change.leaving], ["a"])
        self.assertEqual([each.name for each in change.gone], ["b"])
        self.assertEqual(self.names(), set())

    def test_rows_that_lapsed_in_an_outage_have_time_to_come_back(self):
        self.roster.store_returned(10.0)
        self.assertFalse(self.roster.replace([A], 10.1))
        self.assertEqual(self.names(), {"a", "b"})
        self.assertFalse(self.roster.expire(11.9))
        self.assertEqual([each.name for each in self.roster.expire(12.0).gone], ["b"])
        self.assertEqual(self.names(), {"a"})

    def test_a_row_that_came_back_stays(self):
        self.roster.store_returned(10.0)
        self.roster.replace([A], 10.1)
        self.roster.update([B], [], 11.0)
        self.assertFalse(self.roster.expire(13.0))
        self.assertEqual(self.names(), {"a", "b"})

    def test_a_leaving_upstream_has_no_such_time(self):
        self.roster.update([replace(B, leaving=True)], [], 1.0)
        self.roster.store_returned(10.0)
        self.assertEqual([each.name for each in self.roster.replace([A], 10.1).gone], ["b"])

    def test_a_new_start_under_the_same_name_counts_as_joined(self):
        change = self.roster.update([replace(A, started_at=2)], [], 1.0)
        self.assertEqual([each.name for each in change.joined], ["a"])
