import unittest
from dataclasses import replace

from bilberryplank_core.direct import DirectUpstream, UpstreamRegistry

A = DirectUpstream("a", "s", "1.1.1.1:1", "z", 4, started_at=1)
B = DirectUpstream("b", "s", "1.1.1.2:1", "z", 4, started_at=1)


class RegistryTestCase(unittest.TestCase):
    def setUp(self):
        self.registry = UpstreamRegistry()
        self.registry.replace_all([A, B], 0.0)

    def available_names(self):
        return {upstream.name for upstream in self.registry.available("s")}


class UpstreamRegistryTest(RegistryTestCase):
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


class RestoredStoreTest(RegistryTestCase):
    """The store came back from a copy in which A and B are ready."""

    def restore(self, now):
        self.registry.begin_era(now)
        return self.registry.replace_all([A, B], now + 0.1)

    def test_an_upstream_that_left_stays_leaving_though_the_copy_calls_it_ready(self):
        self.registry.update([replace(A, leaving=True)], [], 1.0)
        self.assertFalse(self.restore(5.0))
        self.assertEqual(self.available_names(), {"b"})
        self.registry.update([A], [], 30.0)
        self.assertEqual(self.available_names(), {"b"})

    def test_an_upstream_that_left_and_ended_gets_nothing_though_the_copy_has_its_row(self):
        self.registry.update([replace(A, leaving=True)], [], 1.0)
        self.registry.update([], ["a"], 2.0)
        self.restore(5.0)
        self.assertEqual(self.available_names(), {"b"})
        self.registry.expire(30.0)
        self.assertEqual(self.available_names(), {"b"})

    def test_a_removed_upstream_is_held_back_until_it_writes_its_row(self):
        self.registry.update([], ["a"], 2.0)
        self.restore(5.0)
        self.assertEqual((self.available_names(), self.registry.held_back), ({"b"}, 1))
        self.registry.replace_all([A, B], 6.0)
        self.assertEqual(self.available_names(), {"b"})
        change = self.registry.update([A], [], 7.0)
        self.assertEqual([upstream.name for upstream in change.joined], ["a"])
        self.assertEqual((self.available_names(), self.registry.held_back), ({"a", "b"}, 0))

    def test_a_removed_upstream_whose_row_does_not_expire_is_used_again(self):
        self.registry.update([], ["a"], 2.0)
        self.restore(5.0)
        self.assertEqual(self.registry.expires_at, 11.0)
        self.assertFalse(self.registry.expire(10.9))
        self.assertEqual([upstream.name for upstream in self.registry.expire(11.0).joined], ["a"])
        self.assertEqual(self.available_names(), {"a", "b"})

    def test_a_removed_upstream_whose_row_expires_is_not_used_again(self):
        self.registry.update([], ["a"], 2.0)
        self.restore(5.0)
        self.registry.update([], ["a"], 8.0)
        self.assertFalse(self.registry.expire(30.0))
        self.assertEqual(self.available_names(), {"b"})

    def test_an_upstream_that_the_copy_lacks_has_time_to_write_its_row(self):
        newcomer = replace(A, name="c")
        self.registry.update([newcomer], [], 1.0)
        self.assertFalse(self.restore(5.0))
        self.assertEqual(self.available_names(), {"a", "b", "c"})
        self.registry.update([newcomer], [], 6.0)
        self.assertFalse(self.registry.expire(30.0))
        self.assertEqual(self.available_names(), {"a", "b", "c"})

    def test_the_row_of_an_earlier_instance_does_not_take_the_place_of_the_present_one(self):
        self.registry.update([replace(A, started_at=2, address="1.1.1.3:1")], [], 1.0)
        self.assertFalse(self.restore(5.0))
        self.assertEqual(self.registry.upstreams["a"].started_at, 2)
        self.assertEqual(self.available_names(), {"a", "b"})
