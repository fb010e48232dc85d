import unittest

from bilberryplank_testing._routing_figures import FaultKind, TrialOptions
from bilberryplank_testing._routing_trial import Trial


def run(policy, fault=FaultKind.NONE, **options):
    return Trial(TrialOptions(policy, fault=fault, **options), seed=1).run()


class RoutingTrialTest(unittest.TestCase):
    def test_a_trial_is_the_same_every_time(self):
        self.assertEqual(run("informed", lag=1.0), run("informed", lag=1.0))

    def test_the_informed_policy_against_round_robin(self):
        for fault, at_least in ((FaultKind.STRAGGLER, 0.02), (FaultKind.DEAD, -0.02)):
            baseline = run("round_robin", fault)
            for lag in (0.0, 3.0):
                with self.subTest(fault=fault, lag=lag):
                    informed = run("informed", fault, lag=lag)
                    self.assertEqual(informed.refused, 0)
                    self.assertGreater(informed.attained - baseline.attained, at_least)
                    self.assertLess(informed.attempts, baseline.attempts)

    def test_affinity_finds_cached_prefixes(self):
        hits = [run("informed", affinity=affinity).cache_hits for affinity in (False, True)]
        self.assertGreater(hits[1], hits[0] + 0.2)

    def test_tiers_in_a_burst(self):
        blind, told = (run("informed", tiers=True, told_apart=apart) for apart in (False, True))
        self.assertGreater(told.in_target(0), 0.95)
        for rank in (0, 1):
            self.assertGreater(told.in_target(rank), blind.in_target(rank) + 0.02)

    def test_a_straggler_in_a_burst_costs_the_top_tier_less_than_its_share(self):
        told, baseline = (
            run(policy, FaultKind.STRAGGLER, tiers=True) for policy in ("informed", "round_robin")
        )
        self.assertGreater(told.in_target(0), 5 / 6 + 0.05)
        self.assertGreater(told.in_target(0), baseline.in_target(0) + 0.02)
