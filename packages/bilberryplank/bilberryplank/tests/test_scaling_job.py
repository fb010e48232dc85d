import asyncio
import json
import random
import unittest
from types import SimpleNamespace

from bilberryplank._lease_job import LeaseJob
from bilberryplank._scaling_job import ScalingJob
from bilberryplank.metrics import ProcessMetrics
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.contracts import StartUpstream, StopUpstream
from bilberryplank_core.errors import PlatformUnavailable
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.messages import Load
from bilberryplank_core.settings import EntrySettings, PlatformSettings, ScalingSettings
from bilberryplank_core.tests._memory_platform import MemoryTable
from bilberryplank_core.world import Host, Role

ADDRESS = "10.0.0.1:1"
SCALING = ScalingSettings(
    enabled=True,
    pools=("models",),
    hold_up=0.0,
    hold_down=0.0,
    settle=0.0,
    drain_spread=0.0,
)
BUSY = Load(9, 4, 4, 900_000.0, 400.0, attainment=0.1, arrivals=9.0)
IDLE = Load(0, 0, 4, 0.0, 400.0)


def document(count):
    names = [f"u{number}" for number in range(count)]
    return {
        "upstreams": [
            {
                "name": name,
                "zone": "a",
                "kind": "engine",
                "address": f"10.0.1.{number}:1",
                "labels": {"pool": "models"},
                "models": ["m"],
            }
            for number, name in enumerate(names)
        ],
        "model_routes": [{"name": "r", "model": "m", "upstreams": "pool=models"}],
    }


class Orders:
    """Takes orders, or loses the answer."""

    def __init__(self):
        self.taken = []
        self.lost = 0

    async def send(self, order, guard):
        guard.check()
        self.taken.append(order)
        if self.lost:
            self.lost -= 1
            raise PlatformUnavailable("answer lost")


class Probe:
    """Answers with the loads that it is told."""

    def __init__(self):
        self.loads = {}

    async def ask(self, upstreams):
        return {item.name: self.loads[item.name] for item in upstreams if item.name in self.loads}

    def retain(self, upstreams):
        pass


class ScalingJobTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table, self.orders, self.probe = MemoryTable(), Orders(), Probe()
        self.hosts = SimpleNamespace(hosts=[], subscribe=lambda subscriber: None)
        self.feed = SimpleNamespace(configuration=Configuration())
        self.store = ConfigurationStore(self.table)

    async def configure(self, count, live):
        version = self.feed.configuration.version
        self.feed.configuration = await self.store.write(version, document(count))
        self.list(live)

    def list(self, live):
        self.hosts.hosts = [
            Host(f"sidecar-u{number}", "a", Role.SIDECAR, f"10.0.1.{number}:1") for number in live
        ]

    async def holder(self, name="entry-a"):
        job = self.new_job(name)
        self.assertTrue(await job.lease.try_acquire())
        return job

    def new_job(self, name):
        platform = PlatformSettings(*["http://10.0.0.9:1"] * 5)
        settings = EntrySettings(
            name, "a", ADDRESS, ADDRESS, "f" * 16, "h" * 16, platform, scaling=SCALING
        )
        services = SimpleNamespace(table=self.table, orders=self.orders)
        metrics, rng = ProcessMetrics(), random.Random(1)
        job = ScalingJob(settings, services, self.hosts, self.feed, metrics, rng)
        job._probe = self.probe
        return job

    async def work(self, job, times=1):
        for _ in range(times):
            await job.work()
            self.feed.configuration = await self.store.read()

    def kinds(self):
        return [type(order) for order in self.orders.taken]

    async def test_starts_are_bounded_by_free_names_and_then_waited_for(self):
        await self.configure(3, live=[0])
        self.probe.loads = {"u0": BUSY}
        job = await self.holder()
        await self.work(job, 4)
        self.assertEqual(self.kinds(), [StartUpstream] * 2)

    async def test_a_new_holder_waits_for_what_was_started_before(self):
        await self.configure(2, live=[0])
        self.probe.loads = {"u0": BUSY}
        job = await self.holder()
        await self.work(job)
        await job.lease.release()
        await self.work(await self.holder("entry-b"), 3)
        self.assertEqual(self.kinds(), [StartUpstream])

    # A holder that stopped gave its lease up while its order could still arrive.
    async def test_a_stop_gives_the_lease_up_once_an_order_is_answered(self):
        job = await self.holder()
        call = job.lease.guard().begin_call()
        stop = asyncio.create_task(LeaseJob.on_stop(job))
        await asyncio.sleep(0.1)
        self.assertFalse(stop.done())
        self.assertFalse(await self.new_job("entry-b").lease.try_acquire())
        call.end(answered=True)
        await stop
        self.assertTrue(await self.new_job("entry-b").lease.try_acquire())

    async def test_an_unknown_outcome_is_settled_before_the_next_order(self):
        await self.configure(4, live=[0])
        self.probe.loads = {"u0": BUSY}
        self.orders.lost = 1
        job = await self.holder()
        with self.assertRaises(PlatformUnavailable):
            await self.work(job)
        await self.work(job, 3)
        first, second = self.orders.taken
        self.assertEqual(first.order_id, second.order_id)

    async def test_slack_drains_then_stops_and_frees_the_name(self):
        await self.configure(2, live=[0, 1])
        self.probe.loads = {"u0": IDLE, "u1": IDLE}
        job = await self.holder()
        await self.work(job, 4)
        (order,) = self.orders.taken
        self.assertIsInstance(order, StopUpstream)
        self.assertTrue(self.feed.configuration.upstreams[order.upstream].draining)
        self.list([1 - int(order.upstream[1])])
        await self.work(job, 3)
        self.assertFalse(self.feed.configuration.upstreams[order.upstream].draining)
        self.assertEqual(self.kinds(), [StopUpstream])

    async def test_no_drain_where_the_other_does_not_answer(self):
        await self.configure(2, live=[0, 1])
        self.probe.loads = {"u0": IDLE}
        await self.work(await self.holder(), 4)
        self.assertFalse(any(item.draining for item in self.feed.configuration.parts.upstreams))

    async def test_an_upstream_that_operators_remove_ends_nothing_else(self):
        await self.configure(2, live=[0, 1])
        self.probe.loads = {"u0": IDLE, "u1": IDLE}
        job = await self.holder()
        await self.work(job)
        before = self.feed.configuration
        (drained,) = [item for item in before.parts.upstreams if item.draining]
        changed = json.loads(before.to_bytes())
        changed["upstreams"] = [i for i in changed["upstreams"] if i["name"] != drained.name]
        await self.store.write(before.version, changed)
        self.list([1 - int(drained.name[1])])
        await job.work()
        self.assertEqual(self.orders.taken, [])
