import unittest

from bilberryplank_core._stepwise import ITEMS_PER_STEP
from bilberryplank_core.stepwise import finish, map_in_steps


class StepsTest(unittest.TestCase):
    def test_results_come_in_order_after_a_step_for_each_few_items(self):
        steps, number = map_in_steps(str, range(3 * ITEMS_PER_STEP)), 0
        for _ in steps:
            number += 1
        self.assertEqual(number, 3)
        self.assertEqual(finish(map_in_steps(str, range(130))), [str(each) for each in range(130)])

    def test_a_failure_ends_the_work(self):
        with self.assertRaises(ZeroDivisionError):
            finish(map_in_steps(lambda each: 1 / each, [1, 0]))
