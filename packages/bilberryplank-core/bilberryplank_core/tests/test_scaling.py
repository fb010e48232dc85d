import unittest
from dataclasses import replace

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import (
    Drain,
    DrainIntent,
    PoolLoad,
    PoolMember,
    ScalingPolicy,
    ScalingSettings,
    StartIntent,
    StopIntent,
    needed_upstreams,
)

SETTINGS = ScalingSettings(hold_up=15, hold_down=300, settle=60, drain_spread=20)
U1 = PoolMember("u1", "a", 0, 2.0)
U2 = PoolMember("u2", "b", 0, 3.0)
U3 = PoolMember("u3", "a", 0, 2.5)
IDLE = PoolLoad("models", (U1, U2, U3), ("a", "b", "c"), 0.0, 100.0, 3000.0, 1.0, 5.0)
BUSY = replace(IDLE, queued_cost=9000.0, drain_rate=2900.0, attainment=0.6)
BALANCED = replace(IDLE, drain_rate=1800.0)


def policy_drained(member, **changes):
    return replace(member, drain=Drain.POLICY, **changes)


class ScalingPolicyTest(unittest.TestCase):
    def run_policy(self, *phases, policy=None):
        """Runs phases of (pool load, seconds); returns the (time, change) pairs decided."""
        policy = policy or ScalingPolicy(SETTINGS)
        now, changes = 0.0, []
        for pool, seconds in phases:
            for _ in range(int(seconds)):
                changes.extend((now, change) for change in policy.decide([pool], now))
                now += 1.0
        return changes

    def test_load_and_members_decide_the_changes(self):
        draining_pool = replace(IDLE, members=(U1, policy_drained(U3)))
        start, drain = StartIntent("models", "c"), DrainIntent("u3", True)
        cases = {
            "lasting overload": ([(BUSY, 20)], [(15.0, start)]),
            "passing overload": ([(BUSY, 14), (BALANCED, 1), (BUSY, 14)], []),
            "one change, then a cooldown": ([(BUSY, 90)], [(15.0, start), (75.0, start)]),
            "a long queue, several starts at once": (
                [(replace(BUSY, queued_cost=900_000.0), 20)],
                [(15.0, StartIntent("models", zone)) for zone in "cbca"],
            ),
            "no more than the pool maximum": (
                [(replace(BUSY, queued_cost=900_000.0, members=(U1,) * 998), 20)],
                [(15.0, StartIntent("models", zone)) for zone in "bc"],
            ),
            "none while an order is open": ([(replace(BUSY, open_orders=1), 100)], []),
            "lasting underuse": ([(IDLE, 301)], [(300.0, drain)]),
            "passing underuse": ([(IDLE, 290), (BALANCED, 1), (IDLE, 290)], []),
            "neither overload nor underuse": ([(BALANCED, 900)], []),
            "misses that cost less than an upstream": (
                [(replace(BUSY, requests_per_second=0.01), 90)],
                [],
            ),
            "no zone to grow in": ([(replace(BUSY, zones=()), 90)], []),
            "no upstream at all": (
                [(replace(BUSY, members=(), drain_rate=0.0), 20)],
                [(15.0, StartIntent("models", "a"))],
            ),
            "idle without any upstream": (
                [(replace(IDLE, members=(), requests_per_second=0.0), 90)],
                [],
            ),
            "last upstream": ([(replace(IDLE, members=(U1,)), 900)], []),
            "all needed": (
                [
                    (
                        replace(IDLE, members=(replace(U1, needed=True), replace(U2, needed=True))),
                        900,
                    )
                ],
                [],
            ),
            "drained and idle": ([(draining_pool, 21)], [(20.0, StopIntent("u3", "a"))]),
            "drained and busy": (
                [(replace(draining_pool, members=(U1, policy_drained(U3, active_requests=1))), 90)],
                [],
            ),
            "drained by an operator": (
                [(replace(IDLE, members=(U1, replace(U3, drain=Drain.OPERATOR))), 900)],
                [],
            ),
            "needed after it was drained": (
                [(replace(draining_pool, members=(U1, policy_drained(U3, needed=True))), 1)],
                [(0.0, DrainIntent("u3", False))],
            ),
            "overload while it drains": (
                [(replace(BUSY, members=(U1, policy_drained(U3, active_requests=2))), 16)],
                [(15.0, DrainIntent("u3", False))],
            ),
        }
        for name, (phases, changes) in cases.items():
            with self.subTest(name):
                self.assertEqual(self.run_policy(*phases), changes)

    def test_load_around_a_threshold_causes_no_oscillation(self):
        pools = [(BALANCED, 30), (replace(BALANCED, drain_rate=1100.0), 30)] * 30
        self.assertEqual(self.run_policy(*pools), [])

    def test_the_last_upstream_of_a_route_is_needed(self):
        engine = {"kind": "engine", "address": "10.0.0.1:1"}
        document = {
            "upstreams": [
                {"name": "u1", "zone": "a", "models": ["m1", "m2"], **engine},
                {"name": "u2", "zone": "a", "models": ["m1"], **engine},
                {"name": "u3", "zone": "b", "models": ["m1"], "draining": True, **engine},
            ],
            "model_routes": [
                {"name": "r1", "model": "m1", "upstreams": ""},
                {"name": "r2", "model": "m2", "upstreams": ""},
            ],
        }
        cases = [(("u1", "u2", "u3"), {"u1"}), (("u2", "u3"), {"u2"}), (("u1", "u3"), {"u1"})]
        configuration = Configuration.from_document(1, document)
        for live, needed in cases:
            with self.subTest(live=live):
                self.assertEqual(needed_upstreams(configuration, live), needed)
