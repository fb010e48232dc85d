import asyncio
import unittest

from bilberryplank._pool_loads import LoadProbe, busy, pool_load
from bilberryplank._pool_view import PoolView
from bilberryplank.links import Identity, LinkListener
from bilberryplank_core.configuration import Configuration, ConfigurationParts
from bilberryplank_core.fleet import Drain, PoolMember
from bilberryplank_core.messages import Heartbeat, Load, LoadReport
from bilberryplank_core.settings import LinkSettings, ScalingSettings
from bilberryplank_core.world import (
    Host,
    HostState,
    ModelRoute,
    Role,
    Upstream,
    UpstreamKind,
)

FLEET_KEY = "fleet-key-of-the-tests"
BUSY = Load(2, 4, 4, 50.0, 400.0, attainment=0.5, arrivals=3.0)
IDLE = Load(0, 0, 4, 4e-14, 0.0, attainment=1.0, arrivals=1.0)


def member(name, drain=Drain.NONE):
    return PoolMember(name, "a", 0, 1.0, drain)


def upstream(name, zone="a", draining=False, address=""):
    address = address or f"10.0.0.{name[-1]}:1"
    labels = {"pool": "models"}
    return Upstream(name, zone, UpstreamKind.ENGINE, address, labels, ("m",), draining)


def listed(item, state=HostState.LIVE):
    return Host(f"sidecar-{item.name}", item.zone, Role.SIDECAR, item.address, state)


class PoolLoadTest(unittest.TestCase):
    def test_sums_are_extrapolated_from_those_that_answered(self):
        members = [member("u1"), member("u2"), member("u3"), member("u4", Drain.POLICY)]
        loads = {"u1": BUSY, "u2": IDLE, "u4": BUSY}
        found = pool_load("models", members, loads, ("a",), 1)
        self.assertEqual(found.queued_cost, 75.0)
        self.assertEqual(found.drain_rate, 600.0)
        self.assertEqual(found.capacity, 1200.0)
        self.assertEqual(found.requests_per_second, 6.0)
        self.assertEqual(found.attainment, 0.625)
        self.assertEqual(found.open_orders, 1)

    def test_nobody_answers(self):
        found = pool_load("models", [member("u1")], {}, ("a",), 0)
        self.assertEqual((found.queued_cost, found.capacity, found.attainment), (0.0, 0.0, 1.0))

    def test_one_that_was_not_asked_is_not_idle(self):
        self.assertEqual([busy(None), busy(IDLE), busy(BUSY)], [1, 0, 6])


class PoolViewTest(unittest.TestCase):
    def view(self, *upstreams, hosts, **settings):
        route = ModelRoute("r", "m", "pool=models")
        parts = ConfigurationParts(upstreams=upstreams, model_routes=(route,))
        settings = ScalingSettings(pools=("models",), **settings)
        return PoolView(Configuration(1, parts), hosts, settings)

    def test_where_a_pool_may_grow(self):
        u1, u2, u3 = upstream("u1"), upstream("u2", "b"), upstream("u3", "c", draining=True)
        leaving = listed(u1, HostState.LEAVING)
        cases = {
            "a free name": ([listed(u1)], {}, ["b"]),
            "its host is listed as leaving": ([leaving], {}, ["b"]),
            "a zone that is not allowed": ([listed(u1)], {"zones": ("a",)}, []),
            "none is listed": ([], {}, ["a", "b"]),
        }
        for name, (hosts, settings, expected) in cases.items():
            with self.subTest(name):
                view = self.view(u1, u2, u3, hosts=hosts, **settings)
                self.assertEqual(view.zones("models"), expected)
                self.assertEqual(view.zones("others"), [])

    def test_needed(self):
        u1, u2 = upstream("u1"), upstream("u2")
        drained = upstream("u2", draining=True)
        both = [listed(u1), listed(u2)]
        cases = {
            "two work": ((u1, u2), both, (), (), set()),
            "the other is silent": ((u1, u2), both, ("u2",), (), {"u1"}),
            "the other is drained": ((u1, drained), both, (), ("u2",), {"u1"}),
            "only the drained one is left": ((u1, drained), both, ("u1",), ("u2",), {"u2"}),
            "the other's host is gone": ((u1, drained), both[1:], (), ("u2",), {"u2"}),
        }
        for name, (upstreams, hosts, silent, drains, expected) in cases.items():
            with self.subTest(name):
                view = self.view(*upstreams, hosts=hosts)
                self.assertEqual(view.needed(silent, drains), expected)

    def test_sample_is_bounded_and_has_every_drain(self):
        upstreams = [upstream(f"u{number}") for number in range(8)]
        drained = upstream("u9", draining=True)
        hosts = [listed(item) for item in (*upstreams, drained)]
        view = self.view(*upstreams, drained, hosts=hosts, sample_size=3)
        names = [item.name for item in view.sample("models", {"u9"})]
        self.assertEqual(len(names), 4)
        self.assertIn("u9", names)

    def test_others_that_could_take_over(self):
        u1, u2, u3 = upstream("u1"), upstream("u2"), upstream("u3", draining=True)
        view = self.view(u1, u2, u3, hosts=[listed(u1), listed(u2), listed(u3)])
        self.assertEqual([[item.name for item in part] for part in view.others("u1")], [["u2"]])


class Sidecar:
    """Answers heartbeats with one load."""

    def __init__(self, answers=True):
        self.answers = answers
        self.asked = 0

    def link_ready(self, link):
        pass

    def link_message(self, link, message):
        match message:
            case Heartbeat():
                self.asked += 1
                if self.answers:
                    link.send(LoadReport(BUSY))

    def link_closed(self, link, exc):
        pass


class LoadProbeTest(unittest.IsolatedAsyncioTestCase):
    async def listen(self, handler, name):
        identity = Identity(Role.SIDECAR, f"sidecar-{name}", "epoch", name)
        listener = LinkListener("127.0.0.1:0", identity, FLEET_KEY, LinkSettings(), handler)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        return f"127.0.0.1:{listener.port}"

    async def test_asks_all_and_takes_who_answers(self):
        answering, silent = Sidecar(), Sidecar(answers=False)
        u1 = upstream("u1", address=await self.listen(answering, "u1"))
        u2 = upstream("u2", address=await self.listen(silent, "u2"))
        other = upstream("u3", address=await self.listen(Sidecar(), "not-u3"))
        probe = LoadProbe("entry-a", FLEET_KEY, LinkSettings())
        for _ in range(2):
            self.assertEqual(await probe.ask([u1, u2, other]), {"u1": BUSY})
        self.assertEqual((answering.asked, silent.asked), (2, 2))
        probe.retain(())
        await asyncio.sleep(0)
