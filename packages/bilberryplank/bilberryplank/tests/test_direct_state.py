import time
import unittest
from random import Random

from bilberryplank._direct_state import DirectState
from bilberryplank_core.direct import (
    DirectConfiguration,
    DirectService,
    DirectUpstream,
    FleetClock,
    Outcome,
    RegistryChange,
    RouteIndex,
    UpstreamLoad,
)
from bilberryplank_core.engines._prefix_cache_model import MAX_SEGMENTS, PrefixCacheModel
from bilberryplank_core.settings import DirectEntrySettings
from bilberryplank_core.stepwise import finish


def configuration(version, *names):
    services = {name: DirectService(name, 10, None) for name in names}
    cfg = DirectConfiguration(version=version, routes=(), services=services, organisations={})
    return finish(RouteIndex.build(cfg))


def upstream(name, service="plain"):
    return DirectUpstream.checked(name, service, "127.0.0.1:9", "a", 4, leaving=False, started_at=1)


class DirectStateTest(unittest.TestCase):
    """Load pattern: services and upstreams that come and go for months."""

    def setUp(self):
        settings = DirectEntrySettings("e", "a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
        self.state = DirectState(settings, Random(1), FleetClock(time.monotonic))

    # Each service ever named kept its records for good.
    def test_services_that_are_gone_leave_nothing(self):
        for version in range(1, 50):
            self.state.apply_configuration(configuration(version, "plain", f"s{version}"))
            for name in ("plain", f"s{version}"):
                self.state.board(name)
                self.state.budget(name)
        self.assertEqual(set(self.state._boards), {"plain", "s49"})
        self.assertEqual(set(self.state._budgets), {"plain", "s49"})

    def test_a_service_whose_requests_still_run_is_kept_until_they_end(self):
        self.state.apply_configuration(configuration(1, "old"))
        self.state.board("old").begin("p1")
        self.state.apply_configuration(configuration(2, "plain"))
        self.assertEqual(self.state.in_flight(), 1)
        self.state.board("old").end("p1", 0.1)
        self.state.apply_configuration(configuration(3, "plain"))
        self.assertNotIn("old", self.state._boards)

    # An answer that came after the upstream had left made its records anew.
    def test_upstreams_that_are_gone_leave_nothing(self):
        self.state.apply_configuration(configuration(1, "plain"))
        for number in range(50):
            each = upstream(f"p{number}")
            change = self.state.registry.update([each], [f"p{number - 1}"], float(number))
            self.state.apply_roster(change)
            board = self.state.board("plain")
            board.begin(each.name)
            gone = self.state.registry.update([], [each.name], float(number))
            self.state.apply_roster(gone)
            board.end(each.name, 0.1)
            board.report(each.name, UpstreamLoad(1, 1, 4), float(number))
            self.state.record(each, Outcome.UNKNOWN, "r")
        self.state.apply_roster(RegistryChange())
        self.assertEqual(board._loads, {})
        self.assertEqual(board._service_seconds, {})
        self.assertEqual(self.state.health._states, {})


class PrefixCacheModelTest(unittest.TestCase):
    # Parts of no tokens filled no cache, and so were never evicted.
    def test_segments_of_no_tokens_are_forgotten_too(self):
        model = PrefixCacheModel(10000)
        for number in range(3 * MAX_SEGMENTS):
            model.add([(f"k{number}", 0)])
        self.assertEqual(len(model._segments), MAX_SEGMENTS)
        self.assertEqual(model.cached_tokens([("k0", 5)]), 0)
