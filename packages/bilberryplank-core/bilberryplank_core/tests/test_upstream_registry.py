import unittest
from dataclasses import replace

from bilberryplank_core.direct import DirectUpstream, UpstreamRegistry

A = DirectUpstream("a", "s", "1.1.1.1:1", "z", 4, started_at=1)
B = DirectUpstream("b", "s", "1.1.1.2:1", "z", 4, started_at=1)


class UpstreamRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = UpstreamRegistry()
        self.registry.replace_all([A, B], 0.0)

    def names(self):
        return {each.name for each in self.registry.available("s")}

    def test_a_leaving_or_removed_upstream_gets_no_new_work_at_once(self):
        change = self.registry.update([replace(A, leaving=True)], ["b"], 1.0)
        self.assertEqual([each.name for each in change.leaving], ["a"])
        self.assertEqual([each.name for each in change.gone], ["b"])
        self.assertEqual(self.names(), set())

    def test_rows_that_lapsed_in_an_outage_have_time_to_come_back(self):
        self.registry.record_store_recovery(10.0)
        self.assertFalse(self.registry.replace_all([A], 10.1))
        self.assertEqual(self.names(), {"a", "b"})
        self.assertEqual(self.registry.expires_at, 12.0)
        self.assertFalse(self.registry.expire(11.9))
        self.assertEqual([each.name for each in self.registry.expire(12.0).gone], ["b"])
        self.assertEqual(self.names(), {"a"})
        self.assertIsNone(self.registry.expires_at)

    def test_a_row_that_came_back_stays(self):
        self.registry.record_store_recovery(10.0)
        self.registry.replace_all([A], 10.1)
        self.registry.update([B], [], 11.0)
        self.assertFalse(self.registry.expire(13.0))
        self.assertEqual(self.names(), {"a", "b"})

    def test_a_leaving_upstream_has_no_such_time(self):
        self.registry.update([replace(B, leaving=True)], [], 1.0)
        self.registry.record_store_recovery(10.0)
        self.assertEqual([each.name for each in self.registry.replace_all([A], 10.1).gone], ["b"])

    def test_a_new_start_under_the_same_name_counts_as_joined(self):
        change = self.registry.update([replace(A, started_at=2)], [], 1.0)
        self.assertEqual([each.name for each in change.joined], ["a"])

    def test_one_that_says_it_leaves_stays_out_until_it_starts_anew(self):
        """Load pattern: a release; answers tell it before the rows do."""
        change = self.registry.mark_leaving(A)
        self.assertEqual([each.name for each in change.leaving], ["a"])
        self.assertFalse(self.registry.mark_leaving(A))
        cases = (
            ("an older row", lambda: self.registry.update([replace(A, zone="y")], [], 1.0), {"b"}),
            ("all rows again", lambda: self.registry.replace_all([A, B], 2.0), {"b"}),
            ("the row is gone", lambda: self.registry.update([], ["a"], 3.0), {"b"}),
            ("and back", lambda: self.registry.update([A], [], 4.0), {"b"}),
            (
                "a new start",
                lambda: self.registry.update([replace(A, started_at=2)], [], 5.0),
                None,
            ),
        )
        for name, happens, usable in cases:
            with self.subTest(name):
                happens()
                self.assertEqual(self.names(), usable or {"a", "b"})

    def test_the_word_of_an_earlier_start_does_not_hold_for_the_next(self):
        self.registry.update([replace(A, started_at=2)], [], 1.0)
        self.assertFalse(self.registry.mark_leaving(A))
        self.assertEqual(self.names(), {"a", "b"})

    def test_without_a_time_of_start_a_name_that_comes_back_is_a_new_start(self):
        unknown = replace(A, started_at=None)
        self.registry.update([unknown], [], 1.0)
        self.registry.mark_leaving(unknown)
        self.registry.update([unknown], [], 2.0)
        self.assertEqual(self.names(), {"b"})
        self.registry.update([], ["a"], 3.0)
        self.registry.update([unknown], [], 4.0)
        self.assertEqual(self.names(), {"a", "b"})
