import itertools
import unittest
from functools import partial
from random import Random

from bilberryplank_core.errors import LeaseLost, PlatformUnavailable
from bilberryplank_core.fleet import LeaseHolder
from bilberryplank_core.tests._explore import Process, StepTable, World, explore

DURATION = 4.0
MARGIN = 1.0


class LeaseWorld(World):
    """Two contenders whose clocks stand apart; each sends an order whenever its guard lets it."""

    tick = 2.5
    ticks = 6
    budget = 1

    def __init__(self):
        super().__init__()
        self.orders = []
        self.leases = []
        for index, offset in enumerate((0.0, 1000.0)):
            owner = f"p{index}"
            lease = self.make_lease(owner, offset)
            self.leases.append((lease, offset))
            self.processes.append(Process(partial(self.serve, lease, owner)))

    def make_lease(self, owner, offset):
        numbers = itertools.count()
        return LeaseHolder(
            "job",
            owner,
            StepTable(),
            lambda: self.now + offset,
            DURATION,
            MARGIN,
            Random(1),
            lambda: f"{owner}-{next(numbers)}",
        )

    async def serve(self, lease, owner, process):
        while True:
            process.trace.clear()
            try:
                if not await lease.renew():
                    await lease.try_acquire()
                guard = lease.guard()
                await lease._table.read("orders", "any")
                guard.check()
                self.orders.append((guard.fence, owner))
            except (LeaseLost, PlatformUnavailable):
                pass

    def state(self):
        parts = [self.ticks, tuple(self.orders[-1:])]
        for lease, offset in self.leases:
            now = self.now + offset
            pending = sorted((grant, now - at) for grant, at in lease._pending.items())
            parts.append((lease._grant, now - lease._expires_at, tuple(pending)))
            parts.append((lease._seen_revision, now - lease._seen_at))
        return repr(parts)

    def check(self):
        held = [lease.held(self.now + offset) for lease, offset in self.leases]
        assert sum(held) <= 1, "two processes in charge"
        fences = [fence for fence, _ in self.orders]
        assert fences == sorted(fences), "an order with an old fencing number"
        assert len(set(self.orders)) == len(set(fences)), "a fencing number given twice"


class GivenUpWorld(LeaseWorld):
    """The first process gives its lease up when it has sent an order, and tells the other so.

    The notice may be heard at any later moment, as the other's calls may come back at any moment.
    """

    told = None

    async def serve(self, lease, owner, process):
        if owner != "p0":
            await self.contend(lease, owner, process)
            return
        while self.told is None:
            process.trace.clear()
            try:
                await lease.try_acquire()
                guard = lease.guard()
                await lease._table.read("orders", "any")
                guard.check()
                self.orders.append((guard.fence, owner))
                self.told = lease.give_up()
            except (LeaseLost, PlatformUnavailable):
                pass
        await lease.release()

    async def contend(self, lease, owner, process):
        while True:
            process.trace.clear()
            try:
                if self.told:
                    lease.take_given_up(self.told)
                await lease.try_acquire()
                guard = lease.guard()
                await lease._table.read("orders", "any")
                guard.check()
                self.orders.append((guard.fence, owner))
            except (LeaseLost, PlatformUnavailable):
                pass

    def state(self):
        given_up = [lease._given_up for lease, _ in self.leases]
        return repr((super().state(), self.told, given_up))


class LeaseInterleavingsTest(unittest.TestCase):
    def test_never_two_in_charge_where_one_gives_up_and_says_so(self):
        self.assertGreater(explore(GivenUpWorld, 9), 1000)

    def test_never_two_in_charge_whatever_the_interleaving(self):
        self.assertGreater(explore(LeaseWorld, 9), 10000)
