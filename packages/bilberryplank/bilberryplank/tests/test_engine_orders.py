import unittest

from bilberryplank._engine_orders import FENCE_KEY, LEASE_TABLE, SidecarOrders
from bilberryplank_core.contracts import EngineControl, Row
from bilberryplank_core.errors import OrderRejected, PlatformUnavailable
from bilberryplank_core.messages import OrderEngine


class FenceTable:
    """Has the lease's fence row only."""

    def __init__(self, fence):
        self.fence = fence
        self.down = False
        self.reads = 0

    async def read(self, table, key):
        assert (table, key) == (LEASE_TABLE, FENCE_KEY)
        self.reads += 1
        if self.down:
            raise PlatformUnavailable("down")
        return Row(table, key, {"fence": self.fence}, 1) if self.fence else None


class Engine(EngineControl):
    """Takes any order, whatever its number."""

    def __init__(self):
        self.fences = []
        self.failure = None

    async def load(self):
        raise NotImplementedError

    async def cancel(self, request_id):
        raise NotImplementedError

    async def order(self, order):
        self.fences.append(order.fence)
        if self.failure is not None:
            raise self.failure


class SidecarOrdersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table, self.engine = FenceTable(3), Engine()
        self.orders = self.restarted()

    def restarted(self, checks_fencing=False):
        return SidecarOrders("e1", self.engine, self.table, checks_fencing)

    async def send(self, fence, order_id="", orders=None):
        message = OrderEngine(order_id or f"order-{fence}", fence, "set_role", "prefill")
        return (await (orders or self.orders).carry_out(message)).outcome

    async def test_old_numbers_never_reach_the_engine(self):
        self.assertEqual(await self.send(3), "done")
        self.table.fence = 4
        self.assertEqual(await self.send(3, "late"), "stale")
        self.assertEqual(await self.send(4), "done")
        self.assertEqual(await self.send(3, "later"), "stale")
        self.assertEqual(self.engine.fences, [3, 4])

    async def test_after_a_restart_the_number_comes_from_the_table(self):
        await self.send(3)
        for checks_fencing in (False, True):
            with self.subTest(checks_fencing=checks_fencing):
                again = self.restarted(checks_fencing)
                self.assertEqual(await self.send(2, orders=again), "stale")
        self.table.down = True
        self.assertEqual(await self.send(3, "x", self.restarted()), "unknown")
        self.assertEqual(self.engine.fences, [3])

    async def test_the_table_is_read_once_for_an_engine_that_checks(self):
        orders = self.restarted(checks_fencing=True)
        for fence in (3, 4, 5):
            await self.send(fence, orders=orders)
        self.assertEqual(self.table.reads, 1)

    async def test_an_order_is_carried_out_once(self):
        for _ in range(2):
            self.assertEqual(await self.send(3, "one"), "done")
        self.assertEqual(self.engine.fences, [3])

    async def test_what_is_unknown_may_be_sent_again(self):
        self.engine.failure = PlatformUnavailable("no answer")
        self.assertEqual(await self.send(3, "one"), "unknown")
        self.engine.failure = OrderRejected("no such model")
        self.assertEqual(await self.send(3, "one"), "rejected")
        self.assertEqual(await self.send(3, "one"), "rejected")
        self.assertEqual(len(self.engine.fences), 2)

    async def test_a_service_takes_no_orders(self):
        orders = SidecarOrders("s", None, self.table, False)
        self.assertEqual(await self.send(3, orders=orders), "rejected")
