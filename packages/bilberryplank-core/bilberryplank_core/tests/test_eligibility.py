"""Tests of which upstreams a request may go to, in virtual time."""

import unittest
from collections import Counter
from random import Random

from bilberryplank_core._rendezvous import rank_of
from bilberryplank_core.direct import DirectService, DirectUpstream
from bilberryplank_core.eligibility import (
    ColdLimits,
    ColdUpstreams,
    ZoneEvacuations,
    is_at_home,
    regions_allowed,
)
from bilberryplank_core.eligibility._cold_upstreams import FIRST_SECONDS
from bilberryplank_core.eligibility._zone_evacuations import DOUBT_SECONDS

LIMITS = ColdLimits(rate_factor=1.5, allowance=5.0)
SERVICE = DirectService("pool", 400, None, cold_seconds=3.0, cold_per_second=9.1)
BOUND = 9.1 * 1.5 + 5.0
SEEDS = 200


def upstream(name="e1", remaining=0.0, zone="a", service="pool"):
    return DirectUpstream(name, service, "10.0.0.1:80", zone, 64, cold_remaining=remaining)


class Entry:
    """One entry of a fleet, with its own view of the members."""

    def __init__(self, name, view, now, limits=LIMITS):
        self.name, self.view = name, view
        self.cold = ColdUpstreams(limits, now, lambda job: rank_of(job, name, self.view))
        self.cold.apply_services([SERVICE])

    def send(self, engine, now):
        """Returns True if it sends a request that it would like to send."""
        if not self.cold.may_send(engine, now):
            return False
        self.cold.record_sent(engine, now)
        return True


class ColdUpstreamsTest(unittest.TestCase):
    """Load pattern: every entry has requests for an upstream that just came back."""

    def worst_second(self, times):
        times = sorted(times)
        return max((sum(at <= each < at + 1.0 for each in times) for at in times), default=0)

    def play(self, seed, entries=24):
        """Returns the most requests in a second that a fleet in change sends to one cold engine."""
        rng, engine = Random(seed), upstream(remaining=20.0)
        names = [f"front-{number}" for number in range(entries)]
        # Some entries know all that joined since, others none of them.
        joined = [f"new-{number}" for number in range(rng.randrange(0, entries))]
        views = [names, names + joined]
        fleet = [Entry(name, rng.choice(views), -10.0) for name in names]
        fleet += [Entry(name, views[1], rng.uniform(-10.0, 2.0)) for name in joined]
        for each in fleet:
            each.cold.record_row(engine, 0.0)
        sent, now = [], 0.0
        while now < 8.0:
            now += rng.expovariate(300.0)
            number = rng.randrange(len(fleet))
            if rng.random() < 0.002:
                # A process that starts again has forgotten what it sent.
                fleet[number] = Entry(fleet[number].name, fleet[number].view, now)
                fleet[number].cold.record_row(engine, now)
            if fleet[number].send(engine, now):
                sent.append(now)
        return self.worst_second(sent)

    # Every entry sent to an upstream that came back at once, and it crashed again.
    def test_no_second_has_more_requests_than_the_bound_however_the_fleet_changes(self):
        worst = max(self.play(seed) for seed in range(SEEDS))
        self.assertLessEqual(worst, BOUND)
        self.assertGreater(worst, 5)

    def test_a_fleet_that_agrees_uses_half_of_the_bound(self):
        names, engine = [f"front-{number}" for number in range(24)], upstream(remaining=9.0)
        fleet = [Entry(name, names, -10.0) for name in names]
        for each in fleet:
            each.cold.record_row(engine, 0.0)
        sent = sum(each.send(engine, 0.01 * step) for step in range(100) for each in fleet)
        self.assertEqual(sent, 9)

    def test_each_entry_may_send_to_some_of_many_cold_engines(self):
        names = [f"front-{number}" for number in range(24)]
        engines = [upstream(f"e{number}", remaining=9.0) for number in range(23)]
        reached = Counter()
        for name in names:
            entry = Entry(name, names, -10.0)
            for engine in engines:
                entry.cold.record_row(engine, 0.0)
                reached[name] += entry.cold.may_send(engine, 0.0)
        self.assertEqual(sum(reached.values()), 3 * len(engines))
        self.assertGreaterEqual(len([each for each in reached.values() if each]), 20)

    def sole(self, **changes):
        return Entry("a", ["a", *(f"b{number}" for number in range(30))], -10.0, **changes)

    def test_a_row_a_start_a_failure_and_a_zone_taken_back_make_it_cold(self):
        for change in (
            lambda cold: cold.record_row(upstream(remaining=2.0), 0.0),
            lambda cold: cold.record_start(upstream(), 0.5, 0.0),
            lambda cold: cold.record_start(upstream(), None, 0.0),
            lambda cold: cold.record_failure(upstream()),
            lambda cold: cold.record_taken_back([upstream()], 0.0),
        ):
            entry = self.sole()
            self.assertFalse(entry.cold.is_cold("e1", 0.0))
            change(entry.cold)
            self.assertTrue(entry.cold.is_cold("e1", 1.0))

    def test_it_is_warm_again_after_its_time(self):
        entry = self.sole()
        entry.cold.record_row(upstream(remaining=2.0), 0.0)
        entry.cold.record_start(upstream("e2"), 1.0, 0.0)
        entry.cold.record_start(upstream("e3"), 60.0, 0.0)
        self.assertEqual([entry.cold.is_cold(f"e{n}", 0.0) for n in (1, 2, 3)], [True, True, False])
        self.assertEqual([entry.cold.is_cold(f"e{n}", 4.0) for n in (1, 2, 3)], [False] * 3)

    # The row of an upstream that starts again under its id comes later than its first answer.
    def test_one_that_failed_is_cold_for_its_time_after_its_next_answer(self):
        entry = self.sole()
        entry.cold.record_failure(upstream())
        self.assertTrue(entry.cold.is_cold("e1", 60.0))
        self.assertTrue(entry.cold.record_answer(upstream(), 60.0))
        self.assertTrue(entry.cold.is_cold("e1", 62.0))
        self.assertFalse(entry.cold.is_cold("e1", 64.0))

    def test_an_entry_sends_nothing_to_cold_ones_right_after_its_start(self):
        entry = Entry("a", ["a"], 0.0)
        entry.cold.record_row(upstream(remaining=9.0), 0.0)
        self.assertFalse(entry.cold.may_send(upstream(), 0.5))
        self.assertTrue(entry.cold.may_send(upstream(), FIRST_SECONDS))

    def test_what_was_sent_before_it_was_known_to_be_cold_counts(self):
        entry = Entry("a", ["a"], -10.0)
        for step in range(3):
            self.assertTrue(entry.send(upstream(), 0.1 * step))
        entry.cold.record_row(upstream(remaining=9.0), 0.3)
        self.assertFalse(entry.cold.may_send(upstream(), 0.9))
        self.assertTrue(entry.cold.may_send(upstream(), 1.1))

    def test_without_limits_nothing_is_cold(self):
        entry = self.sole(limits=None)
        entry.cold.record_row(upstream(remaining=9.0), 0.0)
        entry.cold.record_failure(upstream())
        entry.cold.record_start(upstream(), 0.0, 0.0)
        self.assertEqual(entry.cold.count(0.0), 0)
        self.assertTrue(entry.cold.may_send(upstream(), 0.0))

    def test_services_without_a_cold_time_are_left_alone(self):
        entry = self.sole()
        plain = upstream(remaining=9.0, service="plain")
        entry.cold.record_row(plain, 0.0)
        entry.cold.record_failure(plain)
        self.assertTrue(entry.cold.may_send(plain, 0.0))

    def test_nothing_is_kept_of_upstreams_that_are_gone(self):
        entry = self.sole()
        for number in range(100):
            engine = upstream(f"e{number}", remaining=9.0)
            entry.cold.record_row(engine, 0.0)
            entry.cold.record_failure(engine)
            entry.cold.record_sent(engine, 0.0)
        entry.cold.retain(["e1"])
        self.assertEqual(entry.cold.count(0.0), 1)


class ZoneEvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.evacuations = ZoneEvacuations()

    def test_rows_say_which_zones_are_evacuated(self):
        self.evacuations.replace_all(["a"], 0.0)
        self.evacuations.update(["b"], [])
        self.assertEqual(self.evacuations.zones(0.0), {"a", "b"})
        self.evacuations.update([], ["a", "c"])
        self.assertEqual(self.evacuations.zones(0.0), {"b"})
        self.evacuations.replace_all([], 1.0)
        self.assertEqual(self.evacuations.zones(1.0), set())

    # A copy of the store from before the request took the evacuation back for a moment.
    def test_a_row_that_a_restore_lost_is_kept_until_the_operator_had_time_to_write_it(self):
        self.evacuations.replace_all(["a", "b"], 0.0)
        self.evacuations.restored(10.0)
        self.evacuations.replace_all(["b"], 10.1)
        self.assertEqual(self.evacuations.zones(10.2), {"a", "b"})
        self.evacuations.update(["a"], [])
        after = 10.0 + DOUBT_SECONDS
        self.assertEqual(self.evacuations.zones(after), {"a", "b"})
        self.evacuations.restored(20.0)
        self.evacuations.replace_all([], 20.1)
        self.assertEqual(self.evacuations.zones(20.0 + DOUBT_SECONDS), set())

    def test_what_is_taken_back_during_the_doubt_is_not_kept(self):
        self.evacuations.replace_all(["a"], 0.0)
        self.evacuations.restored(10.0)
        self.evacuations.replace_all(["a"], 10.1)
        self.evacuations.update([], ["a"])
        self.assertEqual(self.evacuations.zones(10.2), set())


class HomesTest(unittest.TestCase):
    REGIONS = {"a": "north", "b": "north", "c": "south"}

    def test_route_and_organisation_both_bind(self):
        north, south, both = (
            frozenset({"north"}),
            frozenset({"south"}),
            frozenset(["north", "south"]),
        )
        none = frozenset()
        for route, organisation, zones in (
            (none, none, "abcx"),
            (north, none, "ab"),
            (none, south, "c"),
            (north, both, "ab"),
            (both, both, "abc"),
            (north, south, ""),
        ):
            with self.subTest(route=route, organisation=organisation):
                regions = regions_allowed(route, organisation)
                found = "".join(each for each in "abcx" if is_at_home(each, regions, self.REGIONS))
                self.assertEqual(found, zones)

    def test_without_known_regions_nothing_is_at_a_home(self):
        self.assertFalse(is_at_home("a", frozenset({"north"}), None))
        self.assertTrue(is_at_home("a", None, None))
