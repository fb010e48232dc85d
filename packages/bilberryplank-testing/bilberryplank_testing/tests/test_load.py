import unittest

from bilberryplank_testing._caller import Outcome
from bilberryplank_testing._load_figures import (
    Targets,
    class_figures,
    figures_of,
    worst_organisation,
)
from bilberryplank_testing._load_plan import ArrivalProfile, EngineFleet, plan_arrivals
from bilberryplank_testing._load_spread import Cell, Spread
from bilberryplank_testing._load_trial import LoadFault, Policy, TrialPlan, TrialRecord
from bilberryplank_testing._workloads import rarangi
from bilberryplank_testing.engine import EngineOptions

TARGETS = Targets({"courier-reply": 1.0, "reconciliation": 10.0})
FLEET = EngineFleet(6, EngineOptions(slots=4))


def answer(first: float, organisation: str = "a", **values) -> Outcome:
    name = values.pop("class_name", "courier-reply")
    outcome = Outcome(name, organisation, True, status=200, first=first, tokens=11, whole=True)
    outcome.total = first + values.pop("gap", 0.03) * 10
    for key, value in values.items():
        setattr(outcome, key, value)
    return outcome


def record(outcomes: list[Outcome], generated: list[int]) -> TrialRecord:
    plan = TrialPlan(rarangi(), FLEET, 1.0, 1, 10.0, LoadFault.NONE)
    runs = [{"tokens": tokens} for tokens in generated]
    burst = [number % 2 == 0 for number in range(len(outcomes))]
    return TrialRecord(plan, Policy.TIERED, outcomes, burst, runs)


class PlanTest(unittest.TestCase):
    def test_same_seed_gives_same_arrivals(self):
        profile = ArrivalProfile(20.0, 2.0, 20.0)
        plans = [plan_arrivals(rarangi(), profile, seed) for seed in (1, 1, 2)]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])

    def test_rates_within_and_around_the_burst(self):
        cases = ((0.5, 0.5, 0.5), (1.0, 0.7, 1.0), (2.0, 0.7, 2.0))
        for factor, quiet, burst in cases:
            with self.subTest(factor=factor):
                profile = ArrivalProfile(20.0, factor, 20.0)
                plans = (plan_arrivals(rarangi(), profile, seed) for seed in range(20))
                times = [item.at for plan in plans for item in plan]
                inside = sum(5.0 <= at < 15.0 for at in times)
                self.assertAlmostEqual(inside / (20 * 10 * 20), burst, delta=0.05)
                self.assertAlmostEqual((len(times) - inside) / (20 * 10 * 20), quiet, delta=0.05)

    def test_capacity_follows_the_engines(self):
        kinds = rarangi().kinds
        double = EngineFleet(12, FLEET.options)
        self.assertAlmostEqual(double.capacity(kinds), 2 * FLEET.capacity(kinds))


class FiguresTest(unittest.TestCase):
    def test_targets(self):
        cases = {
            "met": (answer(0.9), True),
            "late": (answer(1.1), False),
            "slow tokens": (answer(0.5, gap=0.05), False),
            "cut": (answer(0.5, whole=False), False),
            "refused": (answer(0.01, status=429, refusal="queue_full"), False),
            "lower class": (answer(5.0, class_name="reconciliation"), True),
        }
        for name, (outcome, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(TARGETS.met(outcome), expected)

    def test_waste_is_what_no_caller_got_whole(self):
        outcomes = [answer(0.5), answer(0.5, whole=False)]
        figures = figures_of(record(outcomes, [11, 4, 5]), TARGETS)
        self.assertAlmostEqual(figures.wasted_percent, 45.0)
        self.assertAlmostEqual(figures.goodput, 0.1)
        self.assertAlmostEqual(figures.engine_seconds, 60.0)
        self.assertEqual(figures.burst_attainment, {"courier-reply": 100.0})

    def test_worst_organisation_is_judged_by_its_own_mix(self):
        low = {"class_name": "reconciliation"}
        fair = [answer(0.5, org) for org in "abc" for _ in range(8)]
        late = [answer(20.0, "a", **low) for _ in range(8)]
        self.assertAlmostEqual(worst_organisation(fair + late, TARGETS), 1.0)
        unfair = fair + [answer(2.0, "b") for _ in range(8)]
        self.assertLess(worst_organisation(unfair, TARGETS), 0.7)

    def test_spread_over_seeds(self):
        records = [record([answer(first) for first in firsts], [11]) for firsts in ([0.5], [2.0])]
        cell = Cell.of(records, [figures_of(item, TARGETS) for item in records], TARGETS)
        self.assertEqual(cell.classes["courier-reply"], Spread(0.0, 50.0, 100.0, 2))
        self.assertIn("rate=1", cell.format())

    def test_class_figures_count_refusals(self):
        refused = answer(0.01, status=429, refusal="queue_full")
        found = class_figures([answer(0.5), refused], TARGETS)["courier-reply"]
        self.assertEqual((found.attainment, found.summary.refused), (50.0, {"queue_full": 1}))
