"""Replays loads over many entries, each of which sees little of it."""

import unittest

from bilberryplank_core.tests.engine_fleet import Fleet, Stream

LONG = Stream("long", 32.0, 13_300, 3_720, 120, 1.5, 8.0, 1.0, 2, 690, least_urgent=True)
MIDDLE = Stream("middle", 19.0, 6_300, 2_890, 54, 0.5, 5.0, 0.4, 1, 231)
SHORT = Stream("short", 44.0, 350, 1_110, 174, 0.3, 10.0, 0.25, 0, 800)
STREAMS = (LONG, MIDDLE, SHORT)


class ManyEntriesTest(unittest.TestCase):
    """Each of 24 entries has a request at few of 24 engines."""

    def play(self, burst, refuses=True, seed=1, queries_loads=True, seconds=20.0):
        return Fleet(24, 24, STREAMS, refuses, seed, burst, queries_loads).play(seconds)

    def test_long_prompts_of_a_burst_are_refused_if_they_cannot_start_in_time(self):
        """Motivating load: 5 times the long prompts from 2 s to 12 s, over engine capacity."""

        def burst(name, now):
            return 5.0 if name == "long" and 2 < now < 12 else 1.0

        fleet = self.play(burst)
        admitting_all = self.play(burst, refuses=False)
        self.assertGreater(fleet.in_time["long"], 1.3 * admitting_all.in_time["long"])
        self.assertGreater(fleet.in_time["long"] / fleet.started["long"], 0.8)
        for name in ("middle", "short"):
            self.assertGreater(fleet.share_in_time(name), 0.9, name)

    def test_load_queries_improve_a_burst_right_after_the_start(self):
        """Motivating load: 2.5 times the long prompts right after the start, with empty caches."""

        def burst(name, now):
            return 2.5 if name == "long" and 0.5 < now < 9 else 1.0

        shares = [
            sum(
                self.play(
                    burst, seed=seed, queries_loads=queries_loads, seconds=12.0
                ).share_in_time("long")
                for seed in (1, 2, 3)
            )
            for queries_loads in (False, True)
        ]
        self.assertGreater(shares[1], shares[0] + 0.05)

    def test_load_queries_grow_with_long_prompts_not_with_entries_times_engines(self):
        calm = self.play(lambda name, now: 1.0)
        self.assertLess(calm.load_queries, 3.5 * calm.arrived["long"])

    def test_a_burst_of_short_prompts_is_served(self):
        """Motivating load: 3 times the short prompts from 2 s to 8 s."""

        def burst(name, now):
            return 3.0 if name == "short" and 2 < now < 8 else 1.0

        fleet = self.play(burst)
        self.assertGreater(fleet.share_in_time("short"), 0.9)
        self.assertGreater(fleet.share_in_time("long"), 0.8)
