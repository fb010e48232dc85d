import unittest
from random import Random

from bilberryplank_core.errors import LeaseLost, PlatformUnavailable
from bilberryplank_core.fleet import ConfigurationStore, LeaseHolder, PolicyDrains
from bilberryplank_core.tests._memory_platform import MemoryTable, TableFault
from bilberryplank_core.tests.test_configuration_store import DOCUMENT


class PolicyDrainsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 0.0
        self.table = MemoryTable()
        self.store = ConfigurationStore(self.table)
        await self.store.write(0, DOCUMENT)
        lease = LeaseHolder("scaling", "p", self.table, lambda: self.now, 6.0, 1.0, Random(1))
        await lease.try_acquire()
        self.drains = PolicyDrains(self.table, self.store, lease)

    async def state(self):
        configuration = await self.store.read()
        draining = configuration.upstreams["u1"].draining
        return draining, "u1" in await self.drains.drained_upstreams(configuration)

    async def test_a_policy_drain_is_set_and_cleared(self):
        await self.drains.set_drain("u1")
        self.assertEqual(await self.state(), (True, True))
        await self.drains.clear_drain("u1")
        self.assertEqual(await self.state(), (False, False))
        await self.store.drain_upstream("u1")
        self.assertEqual(await self.state(), (True, False))

    async def test_an_operator_drain_is_left_unchanged(self):
        await self.store.drain_upstream("u1")
        self.assertIsNone(await self.drains.set_drain("u1"))
        self.assertEqual(await self.state(), (True, False))

    async def test_a_row_without_a_drain_flag_has_no_effect(self):
        self.table.faults.extend([None] + [TableFault.DOWN] * 4)
        with self.assertRaises(PlatformUnavailable):
            await self.drains.set_drain("u1")
        self.assertEqual(await self.state(), (False, False))
        await self.drains.set_drain("u1")
        self.assertEqual(await self.state(), (True, True))

    async def test_nothing_is_written_without_the_lease(self):
        self.now = 10.0
        with self.assertRaises(LeaseLost):
            await self.drains.set_drain("u1")
        with self.assertRaises(LeaseLost):
            await self.drains.clear_drain("u1")
        self.assertEqual(await self.state(), (False, False))
