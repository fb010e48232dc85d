"""Contenders, flush intervals and expired rows for fleets of all sizes."""

import unittest

from bilberryplank_core._fleet_members import (
    LEASE_CONTENDERS,
    MEMBER_LIFETIME_SECONDS,
    FleetMembers,
)


def fleet(size, now=100.0):
    rows = {f"entry-{number}": {"at": now} for number in range(size)}
    members = [FleetMembers(name) for name in rows]
    for member in members:
        member.update(rows, now)
    return members


class FleetMembersTest(unittest.TestCase):
    def test_few_entries_contend_in_fleets_of_any_size(self):
        for size in (1, 4, 6, 30, 68, 300, 1000):
            contending = sum(member.contends("usage") for member in fleet(size))
            self.assertEqual(contending, min(size, LEASE_CONTENDERS))

    def test_before_the_first_read_each_entry_contends_and_flushes_often(self):
        members = FleetMembers("a")
        self.assertIsNone(members.size)
        self.assertTrue(members.contends("usage"))
        self.assertEqual(members.flush_interval(1.25, 5.0, 0.05), 1.25)

    def test_a_killed_entry_loses_no_more_than_the_tolerance_of_a_report(self):
        for size in (4, 5, 8, 12, 20, 68, 1000):
            members = fleet(size)[0]
            interval = members.flush_interval(1.0, 5.0, 0.05)
            self.assertLessEqual(interval / 5.0 / size, 0.05 + 1e-9)
            self.assertLessEqual(interval, 5.0)
        self.assertEqual(fleet(68)[0].flush_interval(1.25, 5.0, 0.05), 5.0)

    def test_expired_and_invalid_rows_do_not_count_and_are_returned(self):
        members = FleetMembers("a")
        fresh, old = {"at": 1000.0}, {"at": 1000.0 - MEMBER_LIFETIME_SECONDS}
        rows = {"a": fresh, "b": fresh, "c": old, "d": None, "e": {"at": "x"}}
        self.assertEqual(members.update(rows, 1000.0), ["c", "d", "e"])
        self.assertEqual(members.size, 2)

    def test_an_entry_counts_itself_even_without_a_row(self):
        members = FleetMembers("a")
        self.assertEqual(members.update({}, 0.0), [])
        self.assertEqual(members.size, 1)
