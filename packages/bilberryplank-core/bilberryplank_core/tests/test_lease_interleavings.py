import itertools
import unittest
from functools import partial
from random import Random

from bilberryplank_core.errors import LeaseLost, PlatformUnavailable
from bilberryplank_core.fleet import LeaseHolder
from bilberryplank_core.tests._explore import Process, StepTable, SystemModel, explore

DURATION = 4.0
MARGIN = 1.0


class LeaseModel(SystemModel):
    """Two contenders with different clock offsets; each sends an order when its guard allows it."""

    tick_seconds = 2.5
    remaining_ticks = 6
    remaining_faults = 1

    def __init__(self):
        super().__init__()
        self.orders = []
        self.leases = []
        for index, offset in enumerate((0.0, 1000.0)):
            owner = f"p{index}"
            lease = self.make_lease(owner, offset)
            self.leases.append((lease, offset))
            self.processes.append(Process(partial(self.send_orders, lease, owner)))

    def make_lease(self, owner, offset):
        id_numbers = itertools.count()
        return LeaseHolder(
            "job",
            owner,
            StepTable(),
            lambda: self.now + offset,
            DURATION,
            MARGIN,
            Random(1),
            lambda: f"{owner}-{next(id_numbers)}",
        )

    async def send_orders(self, lease, owner, process):
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
        parts = [self.remaining_ticks, tuple(self.orders[-1:])]
        for lease, offset in self.leases:
            now = self.now + offset
            pending = sorted(
                (grant, now - sent_at) for grant, sent_at in lease._pending_grants.items()
            )
            parts.append((lease._grant, now - lease._expires_at, tuple(pending)))
            parts.append((lease._observed_revision, now - lease._observed_at))
        return repr(parts)

    def check(self):
        held = [lease.held(self.now + offset) for lease, offset in self.leases]
        assert sum(held) <= 1, "two processes hold the lease"
        fences = [fence for fence, _ in self.orders]
        assert fences == sorted(fences), "an order with a stale fencing token"
        assert len(set(self.orders)) == len(set(fences)), "a fencing token was granted twice"


class RelinquishedLeaseModel(LeaseModel):
    """The first process relinquishes its lease after an order and announces it to the other.

    The announcement may arrive at any later time, because the other process reads it before a call
    and its calls may return at any time.
    """

    announced_grant = None

    async def send_orders(self, lease, owner, process):
        if owner != "p0":
            await self.contend_for_lease(lease, owner, process)
            return
        while self.announced_grant is None:
            process.trace.clear()
            try:
                await lease.try_acquire()
                guard = lease.guard()
                await lease._table.read("orders", "any")
                guard.check()
                self.orders.append((guard.fence, owner))
                self.announced_grant = lease.relinquish()
            except (LeaseLost, PlatformUnavailable):
                pass
        await lease.release()

    async def contend_for_lease(self, lease, owner, process):
        while True:
            process.trace.clear()
            try:
                if self.announced_grant:
                    lease.record_relinquished(self.announced_grant)
                await lease.try_acquire()
                guard = lease.guard()
                await lease._table.read("orders", "any")
                guard.check()
                self.orders.append((guard.fence, owner))
            except (LeaseLost, PlatformUnavailable):
                pass

    def state(self):
        relinquished = [lease._relinquished_grant for lease, _ in self.leases]
        return repr((super().state(), self.announced_grant, relinquished))


class StoppedHolderModel(LeaseModel):
    """The first process is stopped at any moment, also while its order is on the way.

    The order arrives at any moment until the lease that its guard saw has expired. Its sender has
    its answer later than that, or never.
    """

    remaining_faults = 0
    in_transit = None
    arrived = False
    stopped = False
    announced_grant = ""

    def __init__(self):
        super().__init__()
        lease, _ = self.leases[0]
        self.processes.append(Process(partial(self.stop_holder, lease)))
        self.processes.append(Process(self.deliver))

    async def send_orders(self, lease, owner, process):
        while not (self.stopped and owner == "p0"):
            process.trace.clear()
            if self.announced_grant and owner != "p0":
                lease.record_relinquished(self.announced_grant)
            try:
                await lease.try_acquire()
                guard = lease.guard()
                await lease._table.read("orders", "any")
                call = guard.begin_call()
            except (LeaseLost, PlatformUnavailable):
                continue
            if owner != "p0":
                self.orders.append((guard.fence, owner))
                call.end(answered=True)
                continue
            self.arrived = False
            self.in_transit = guard.fence, self.now + guard.remaining()
            await lease._table.read("orders", "answer")
            call.end(answered=self.arrived)

    async def deliver(self, process):
        while True:
            process.trace.clear()
            await StepTable().read("orders", "arrival")
            if self.in_transit is not None:
                (fence, until), self.in_transit = self.in_transit, None
                if self.now < until:
                    self.arrived = True
                    self.orders.append((fence, "p0"))

    async def stop_holder(self, lease, process):
        await lease._table.read("orders", "stop")
        self.stopped = True
        lease.relinquish()
        while lease.awaits_answer():
            process.trace.clear()
            await lease._table.read("orders", "wait")
        self.announced_grant = lease.relinquish()
        await lease.release()

    def state(self):
        calls = [
            (
                lease._calls.await_answer(self.now + offset),
                lease._calls.may_arrive(self.now + offset),
            )
            for lease, offset in self.leases
        ]
        until = self.in_transit and (self.in_transit[0], self.in_transit[1] - self.now)
        relinquished = [lease._relinquished_grant for lease, _ in self.leases]
        own = until, self.arrived, self.stopped, self.announced_grant, relinquished, calls
        return repr((super().state(), own))


class LeaseInterleavingsTest(unittest.TestCase):
    def test_a_relinquished_lease_never_has_two_holders(self):
        self.assertGreater(explore(RelinquishedLeaseModel, 9), 1000)

    # An order of a stopped holder arrived after one of its successor.
    def test_a_stopped_holder_never_has_an_order_arrive_after_its_successor_s(self):
        self.assertGreater(explore(StoppedHolderModel, 11), 10000)

    def test_no_interleaving_gives_the_lease_two_holders(self):
        self.assertGreater(explore(LeaseModel, 9), 10000)
