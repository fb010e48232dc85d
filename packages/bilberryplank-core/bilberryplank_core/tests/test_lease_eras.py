"""Leases where the store comes back from an older copy of itself."""

import unittest
from random import Random

from bilberryplank_core.direct import LeaseHolder
from bilberryplank_core.errors import PlatformError
from bilberryplank_core.tests._memory_platform import RestorableTable, RestoredTable

DURATION = 6.0
MARGIN = 1.0
WAIT = DURATION + MARGIN


class RestoredLeaseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 50.0
        self.store = RestorableTable()
        self.first = self.make_holder("first")
        self.second = self.make_holder("second")
        self.empty = self.store.keep_copy()

    def make_holder(self, owner):
        table = RestoredTable(self.store)
        return LeaseHolder(
            "job", owner, table, lambda: self.now, DURATION, MARGIN, Random(1), eras=table.eras
        )

    async def acquire(self, holder):
        """Takes the lease in the first era, whose beginning contenders wait out too."""
        await self.attempt(holder)
        self.now += WAIT
        self.assertTrue(await self.attempt(holder))

    async def attempt(self, holder):
        try:
            return (
                await (holder.renew() if holder.held(self.now) else holder.try_acquire())
                or await holder.try_acquire()
            )
        except PlatformError:
            return await holder.try_acquire()

    async def test_no_fence_is_given_out_twice_by_two_copies(self):
        await self.acquire(self.first)
        fences = [self.first.fence]
        for holder in (self.second, self.first, self.second):
            self.store.restore(self.empty)
            await self.attempt(holder)
            self.now += 2 * WAIT
            self.assertTrue(await self.attempt(holder))
            fences.append(holder.fence)
        self.assertEqual(fences, sorted(set(fences)))
