"""Contenders, flush intervals and expired rows for fleets of all sizes."""

import math
import unittest

from bilberryplank_core._fleet_members import (
    LEASE_CONTENDERS,
    MEMBER_LIFETIME_SECONDS,
    SLOW_LINK,
    FleetMembers,
)
from bilberryplank_core._table_notices import TABLE_POLLERS


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

    # Streams of pollers on slow links were late while these read a long configuration for all.
    def test_entries_on_slow_links_poll_only_where_too_few_others_are_left(self):
        slow = {f"s{number}" for number in range(20)}
        rows = {
            name: {"at": 100.0, "address": f"10.0.0.{place}:1", SLOW_LINK: name in slow}
            for place, name in enumerate([*sorted(slow), *(f"f{number}" for number in range(6))])
        }
        members = {name: FleetMembers(name, name in slow) for name in rows}
        for each in members.values():
            each.update(rows, 100.0)
        for lost in range(len(rows)):
            silent = {rows[name]["address"] for name in list(members)[-lost:][: lost or 0]}
            alive = {name for name in rows if rows[name]["address"] not in silent}
            polling = {name for name in alive if members[name].is_table_poller(silent)}
            self.assertEqual(len(polling), min(len(alive), TABLE_POLLERS))
            if len(alive - slow) >= TABLE_POLLERS:
                self.assertFalse(polling & slow)

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

    def test_rows_of_another_writer_are_no_entries(self):
        """Load pattern: rows that would fail in arithmetic, hashing or as a datagram's address."""
        members = FleetMembers("a")
        row = {"at": 1000.0, "address": "10.0.0.1:7340"}
        times = (10**400, 1e300, math.nan, math.inf, True, "1000", None, [], -1)
        rows = {f"at{number}": {**row, "at": at} for number, at in enumerate(times)}
        odd = (
            "10.0.0.1:70000",
            "10.0.0.1:0",
            "10.0.0.1:\u00b2",
            ":80",
            "host:80",
            "x",
            3,
            None,
            [],
        )
        rows |= {f"b{number}": {**row, "address": each} for number, each in enumerate(odd)}
        rows |= {"n\ud800": row, "n\r\n": row, "": row, "n" * 201: row}
        good = {"ok": row, "deaf": {"at": 1000.0, "address": ""}}
        self.assertEqual(members.update({**rows, **good}, 1000.0), sorted(rows))
        self.assertEqual(members.addresses, {"10.0.0.1:7340"})
        self.assertEqual(members.size, 3)
        members.contends("usage")

    def test_an_entry_counts_itself_even_without_a_row(self):
        members = FleetMembers("a")
        self.assertEqual(members.update({}, 0.0), [])
        self.assertEqual(members.size, 1)
