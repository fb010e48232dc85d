import unittest
from dataclasses import replace

from bilberryplank_core.direct import DirectUpstream, UpstreamRegistry

A = DirectUpstream("a", "s", "1.1.1.1:1", "z", 4, started_at=1)
B = DirectUpstream("b", "s", "1.1.1.2:1", "z", 4, started_at=1)


class UpstreamRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = UpstreamRegistry()
        self.registry.replace_all([A, B], 0.0)

    def available_names(self):
        return {upstream.name for upstream in self.registry.available("s")}

    def test_a_leaving_or_removed_upstream_gets_no_new_requests_at_once(self):
        change = self.registry.update([replace(A, leaving=True)], ["b"], 1.0)
        self.assertEqual([upstream.name for upstream in change.leaving], ["a"])
        self.assertEqual([upstream.name for upstream in change.gone], ["b"])
        self.assertEqual(self.available_names(), set())

    def test_rows_that_expired_in_an_outage_have_a_grace_period(self):
        self.registry.record_store_recovery(10.0)
        self.assertFalse(self.registry.replace_all([A], 10.1))
        self.assertEqual(self.available_names(), {"a", "b"})
        self.assertEqual(self.registry.expires_at, 12.0)
        self.assertFalse(self.registry.expire(11.9))
        self.assertEqual([upstream.name for upstream in self.registry.expire(12.0).gone], ["b"])
        self.assertEqual(self.available_names(), {"a"})
        self.assertIsNone(self.registry.expires_at)

    def test_an_upstream_whose_row_is_written_again_stays(self):
        self.registry.record_store_recovery(10.0)
        self.registry.replace_all([A], 10.1)
        self.registry.update([B], [], 11.0)
        self.assertFalse(self.registry.expire(13.0))
        self.assertEqual(self.available_names(), {"a", "b"})

    def test_a_leaving_upstream_has_no_grace_period(self):
        self.registry.update([replace(B, leaving=True)], [], 1.0)
        self.registry.record_store_recovery(10.0)
        self.assertEqual(
            [upstream.name for upstream in self.registry.replace_all([A], 10.1).gone], ["b"]
        )

    def test_a_new_instance_with_the_same_name_counts_as_joined(self):
        change = self.registry.update([replace(A, started_at=2)], [], 1.0)
        self.assertEqual([upstream.name for upstream in change.joined], ["a"])

    def test_an_upstream_that_announced_leaving_gets_nothing_until_it_restarts(self):
        """Load: a rolling release; responses announce it before the rows do."""
        change = self.registry.mark_leaving(A)
        self.assertEqual([upstream.name for upstream in change.leaving], ["a"])
        self.assertFalse(self.registry.mark_leaving(A))
        cases = (
            ("an older row", lambda: self.registry.update([replace(A, zone="y")], [], 1.0), {"b"}),
            ("all rows again", lambda: self.registry.replace_all([A, B], 2.0), {"b"}),
            ("the row is gone", lambda: self.registry.update([], ["a"], 3.0), {"b"}),
            ("the row is back", lambda: self.registry.update([A], [], 4.0), {"b"}),
            (
                "a new instance",
                lambda: self.registry.update([replace(A, started_at=2)], [], 5.0),
                None,
            ),
        )
        for name, apply_update, available in cases:
            with self.subTest(name):
                apply_update()
                self.assertEqual(self.available_names(), available or {"a", "b"})

    def test_an_announcement_of_an_earlier_instance_is_ignored_for_the_next(self):
        self.registry.update([replace(A, started_at=2)], [], 1.0)
        self.assertFalse(self.registry.mark_leaving(A))
        self.assertEqual(self.available_names(), {"a", "b"})

    def test_without_a_start_time_a_name_that_comes_back_is_a_new_instance(self):
        unknown = replace(A, started_at=None)
        self.registry.update([unknown], [], 1.0)
        self.registry.mark_leaving(unknown)
        self.registry.update([unknown], [], 2.0)
        self.assertEqual(self.available_names(), {"b"})
        self.registry.update([], ["a"], 3.0)
        self.registry.update([unknown], [], 4.0)
        self.assertEqual(self.available_names(), {"a", "b"})
