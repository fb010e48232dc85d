import unittest
from random import Random

from bilberryplank_core.contracts import StartUpstream, StopUpstream, UpstreamOrders
from bilberryplank_core.errors import LeaseLost, OrderRejected, PlatformUnavailable
from bilberryplank_core.fleet import LeaseHolder, OrderJournal, OrderState
from bilberryplank_core.tests._explore import Call, Process, StepTable
from bilberryplank_core.tests._memory_platform import MemoryTable, TableFault


class MemoryOrders(UpstreamOrders):
    """Carries out each order id once and records the fencing token of each copy received."""

    def __init__(self):
        self.received = []
        self.carried_out = {}
        self.lose = self.reject = False

    async def send(self, order, guard):
        guard.check()
        if self.reject:
            raise OrderRejected("no room in the zone")
        self.received.append(order.fence)
        self.carried_out.setdefault(order.order_id, order)
        if self.lose:
            self.lose = False
            raise PlatformUnavailable("answer lost")


class SlowOrders(MemoryOrders):
    """Suspends before the write that completes an order, and again before the response."""

    async def send(self, order, guard):
        await Call("read", ("orders", "connection"))
        await super().send(order, guard)
        await Call("read", ("orders", "answer"))


class OrderJournalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 0.0
        self.table = MemoryTable()
        self.orders = MemoryOrders()
        self.lease = self.make_holder("first", self.table)
        await self.lease.try_acquire()
        self.journal = OrderJournal(self.table, self.orders, self.lease)

    def make_holder(self, owner, table):
        return LeaseHolder("scaling", owner, table, lambda: self.now, 6.0, 1.0, Random(1))

    async def take_over(self):
        second = self.make_holder("second", self.table)
        await second.try_acquire()
        self.now += 7.0
        self.assertTrue(await second.try_acquire())
        return OrderJournal(self.table, self.orders, second)

    async def test_done_and_rejected_orders_are_not_left_open(self):
        outcome = await self.journal.start("zone-a", "models")
        self.assertEqual((outcome.state, outcome.order.fence), (OrderState.DONE, 1))
        self.orders.reject = True
        self.assertIs((await self.journal.stop("zone-a", "u1")).state, OrderState.REJECTED)
        self.assertEqual(await self.journal.open_orders(), [])

    async def test_an_order_of_unknown_outcome_is_sent_again_with_the_same_id(self):
        self.orders.lose = True
        with self.assertRaises(PlatformUnavailable):
            await self.journal.start("zone-a", "models")
        settled = await self.journal.settle(lambda order: True)
        self.assertEqual([item.state for item in settled], [OrderState.DONE])
        self.assertEqual((len(self.orders.received), len(self.orders.carried_out)), (2, 1))

    async def test_an_order_is_carried_out_once_despite_table_faults(self):
        for faults in ([TableFault.LOST_ANSWER], [TableFault.DOWN], [None, TableFault.DOWN]):
            with self.subTest(faults=faults):
                self.orders.carried_out.clear()
                self.table.faults.extend(faults)
                try:
                    await self.journal.start("zone-a", "models")
                except PlatformUnavailable:
                    await self.journal.settle(lambda order: True)
                self.assertEqual(len(self.orders.carried_out), 1)
                self.assertEqual(await self.journal.open_orders(), [])

    async def test_the_next_holder_sends_or_abandons_open_orders(self):
        cases = {True: OrderState.DONE, False: OrderState.ABANDONED}
        for wanted, state in cases.items():
            with self.subTest(wanted=wanted):
                await self.asyncSetUp()
                self.orders.lose = True
                with self.assertRaises(PlatformUnavailable):
                    await self.journal.stop("zone-a", "u1")
                second = await self.take_over()
                settled = await second.settle(lambda order, wanted=wanted: wanted)
                self.assertEqual([item.state for item in settled], [state])
                self.assertIsInstance(settled[0].order, StopUpstream)
                self.assertEqual(self.orders.received, [1, 2] if wanted else [1])
                self.assertEqual(len(self.orders.carried_out), 1)
                self.assertEqual(await second.open_orders(), [])

    async def test_a_holder_that_lost_the_lease_writes_no_order(self):
        await self.take_over()
        with self.assertRaises(LeaseLost):
            await self.journal.start("zone-a", "models")
        with self.assertRaises(LeaseLost):
            await self.journal.send(StartUpstream("o", 1, "zone-a", "models"))
        self.assertEqual(await self.journal.open_orders(), [])

    async def test_a_holder_frozen_at_any_step_sends_nothing_after_a_takeover(self):
        frozen_steps = 0
        for steps in range(20):
            await self.asyncSetUp()
            self.orders = SlowOrders()
            finished = await self.freeze_after(steps)
            if finished:
                break
            frozen_steps += 1
        self.assertEqual(frozen_steps, 4)

    async def freeze_after(self, steps):
        """Runs a holder for `steps` steps, freezes it and resumes it after a takeover.

        Returns:
            True if the holder finished within the steps.
        """
        step_table = StepTable()
        lease = self.make_holder("frozen", step_table)
        lease._grant, lease._expires_at = self.lease._grant, self.lease._expires_at
        journal = OrderJournal(step_table, self.orders, lease, lambda: "o1")

        async def program(process):
            try:
                await journal.start("zone-a", "models")
            except LeaseLost:
                pass

        process = Process(program)
        for _ in range(steps):
            if process.call is None:
                return True
            await self.step(process)
        if process.call is None:
            return True
        before = list(self.orders.received)
        second = await self.take_over()
        settled = await second.settle(lambda order: False)
        self.assertIn(len(settled), (0, 1))
        while process.call is not None:
            await self.step(process)
        self.assertEqual(self.orders.received, before)
        self.assertEqual(await second.open_orders(), [])
        return False

    async def step(self, process):
        call = process.call
        try:
            result = await getattr(self.table, call.name)(*call.args)
        except Exception as exc:
            result = exc
        process.resume(result)

    async def test_the_number_of_finished_orders_kept_is_bounded(self):
        for _ in range(300):
            await self.journal.start("zone-a", "models")
        await self.journal.settle(lambda order: True)
        finished = [key for _, key in self.table.rows if key.startswith("done/")]
        self.assertEqual(len(finished), 256)
