from __future__ import annotations

import unittest

from bilberryplank_core.errors import OrderRejected
from bilberryplank_core.scheduling import FenceRegister, FenceStale, FenceUnlearned


class FenceRegisterTest(unittest.TestCase):
    def test_orders_are_admitted_by_fencing_token(self) -> None:
        cases = (
            ("unlearned", [], 7, FenceUnlearned),
            ("learned elsewhere", [("other", 3)], 7, FenceUnlearned),
            ("equal", [("engine", 7)], 7, None),
            ("newer", [("engine", 6)], 7, None),
            ("older", [("engine", 8)], 7, FenceStale),
            ("stale read after newer", [("engine", 8), ("engine", 5)], 7, FenceStale),
        )
        for name, learned, fence, error in cases:
            with self.subTest(name):
                register = FenceRegister()
                for upstream, token in learned:
                    register.learn(upstream, token)
                if error is None:
                    register.admit("engine", fence)
                    self.assertEqual(fence, register.highest("engine"))
                else:
                    with self.assertRaises(error) as caught:
                        register.admit("engine", fence)
                    self.assertIsInstance(caught.exception, OrderRejected)

    def test_an_admitted_order_raises_the_highest_token(self) -> None:
        register = FenceRegister()
        register.learn("engine", 1)
        register.admit("engine", 9)
        with self.assertRaises(FenceStale):
            register.admit("engine", 8)


if __name__ == "__main__":
    unittest.main()
