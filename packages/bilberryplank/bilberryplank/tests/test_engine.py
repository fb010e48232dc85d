import unittest

import aiohttp

from bilberryplank.engine import HttpEngineControl
from bilberryplank_core.contracts import EngineLoad, EngineOrder
from bilberryplank_core.errors import OrderRejected, PlatformUnavailable
from bilberryplank_testing.engine import EngineOptions, FakeEngine
from bilberryplank_testing.faults import Fault, FaultKind

FAULT_TIMEOUT = 1.0
TIMEOUT = 20.0
LONG = 5.0
ORDER = EngineOrder("o1", 5, "load_model", "m2")
CALLS = {
    "load": lambda engine: engine.load(),
    "cancel": lambda engine: engine.cancel("r1"),
    "order": lambda engine: engine.order(ORDER),
}
# Kind of fault and whether an order takes effect while the caller sees a failure.
FAULTS = [
    (Fault(FaultKind.FAIL), False),
    (Fault(FaultKind.FAIL_AFTER_EFFECT), True),
    (Fault(FaultKind.REFUSE_CONNECTION), False),
    (Fault(FaultKind.DROP_ANSWER), True),
    (Fault(FaultKind.SLOW, LONG), False),
]


class EngineControlTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        await self.start(EngineOptions(load_lag=0.0))

    async def start(self, opts, timeout=TIMEOUT):
        self.fake = FakeEngine(opts)
        url = await self.fake.start()
        self.session = aiohttp.ClientSession()
        self.engine = HttpEngineControl(self.session, url, timeout)

    async def asyncTearDown(self):
        await self.session.close()
        await self.fake.stop()

    async def test_every_call_under_every_fault_is_unavailable(self):
        await self.asyncTearDown()
        await self.start(EngineOptions(), FAULT_TIMEOUT)
        for fault, effect in FAULTS:
            for name, call in CALLS.items():
                with self.subTest(call=name, fault=fault.kind.value):
                    self.fake.orders.carried_out.clear()
                    self.fake.faults.set("engine", fault)
                    with self.assertRaises(PlatformUnavailable):
                        await call(self.engine)
                    done = self.fake.orders.carried_out
                    self.assertEqual(len(done), int(effect and name == "order"))

    async def test_load_and_cancel(self):
        self.assertEqual(await self.engine.load(), EngineLoad(0, 0, 8, 0.0, 0.0))
        await self.engine.cancel("no/such id")

    async def test_orders_and_fences(self):
        old = EngineOrder("o2", 4, "set_role", "decode")
        for ignore in (False, True):
            with self.subTest(ignore=ignore):
                await self.asyncTearDown()
                await self.start(EngineOptions(ignore_fences=ignore))
                await self.engine.order(ORDER)
                await self.engine.order(ORDER)
                self.assertEqual(self.fake.orders.models, ["m2"])
                if ignore:
                    await self.engine.order(old)
                else:
                    with self.assertRaises(OrderRejected):
                        await self.engine.order(old)
                self.assertEqual(len(self.fake.orders.carried_out), 1 + ignore)


if __name__ == "__main__":
    unittest.main()
