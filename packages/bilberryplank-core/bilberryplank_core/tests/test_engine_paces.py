"""Tests of paces that engines tell, on uneven engines."""

import unittest
from random import Random

from bilberryplank_core.direct import (
    DirectUpstream,
    EngineCapacity,
    EngineSelector,
    LatencyObjective,
    PromptSegment,
    RequestHead,
    UpstreamHealth,
    UpstreamLoad,
)
from bilberryplank_core.engines import EnginePaces

NAMES = [f"e{number}" for number in range(8)]
ENGINES = [DirectUpstream(name, "pool", "10.0.0.1:80", "a", 64) for name in NAMES]
OBJECTIVE = LatencyObjective(event_gap=0.25, first_event=0.4)


class EnginePacesTest(unittest.TestCase):
    def setUp(self):
        self.paces = EnginePaces()

    def test_engines_that_tell_nothing_are_all_alike(self):
        self.assertEqual(self.paces.ratios(NAMES, 0.0), dict.fromkeys(NAMES, 1.0))

    def test_a_fresh_figure_counts_at_once_and_fades_to_the_usual(self):
        for name in NAMES:
            for step in range(50):
                self.paces.record(name, 1.0, 0.1 * step)
        self.paces.record("e0", 3.0, 10.0)
        fresh, later = (self.paces.ratios(["e0"], at)["e0"] for at in (10.0, 11.0))
        self.assertGreater(fresh, 2.5)
        self.assertLess(later, 1.5)

    def test_one_that_tells_nothing_is_a_middle_one(self):
        self.paces.record("e0", 0.7, 0.0)
        self.paces.record("e1", 1.7, 0.0)
        ratios = self.paces.ratios(["e0", "e1", "e2"], 9.0)
        self.assertLess(ratios["e0"], ratios["e2"])
        self.assertLess(ratios["e2"], ratios["e1"])
        self.assertAlmostEqual(ratios["e2"], 1.0)

    def test_ratios_are_bounded_whatever_is_told(self):
        self.paces.record("e0", 1e-9, 0.0)
        self.paces.record("e1", 1e9, 0.0)
        for ratio in self.paces.ratios(NAMES, 0.0).values():
            self.assertGreaterEqual(ratio, 0.25)
            self.assertLessEqual(ratio, 4.0)

    def test_nothing_is_kept_of_engines_that_are_gone(self):
        self.paces.record("e0", 2.0, 0.0)
        self.paces.forget("e0")
        self.assertEqual(list(self.paces.engines()), [])


class UnevenEnginesTest(unittest.TestCase):
    """Load pattern: idle engines of which a third work at 1.7 of the usual time."""

    def placed(self, tells):
        """Returns the share of requests that slow engines get."""
        rng = Random(5)
        board = EngineSelector("a", EngineCapacity(64, 600_000, 4), UpstreamHealth(), rng)
        paces = {name: 1.7 if number < 3 else 0.7 for number, name in enumerate(NAMES)}
        slow = 0
        for number in range(400):
            now = 0.05 * number
            call = RequestHead(
                f"r{number}", prompt=(PromptSegment(f"p{number}", 5000),), prompt_tokens=5000
            )
            choice = board.choose(call, OBJECTIVE, (1, 1), ENGINES, now)
            board.begin(choice, call, now)
            name = choice.upstream.name
            slow += paces[name] > 1
            told = paces[name] * rng.uniform(0.8, 1.25) if tells else None
            board.report(name, UpstreamLoad(1, 0, 64, told), now)
            board.record_events(call.request_id, 1, now + 0.04)
            board.end(call.request_id, now + 0.045)
        return slow / 400

    # Slow engines got as much as the others, and their requests were late.
    def test_slow_engines_get_less_where_engines_tell_their_pace(self):
        self.assertGreater(self.placed(tells=False), 0.25)
        self.assertLess(self.placed(tells=True), 0.2)
