from __future__ import annotations

import unittest
from dataclasses import replace

from bilberryplank_core.scheduling import FifoQueue, TieredQueue
from bilberryplank_core.settings import QueueSettings
from bilberryplank_testing._queue_measures import max_min, measure
from bilberryplank_testing._queue_simulation import DECODE_RATE, PREFILL_RATE, Simulation
from bilberryplank_testing._queue_workloads import WORKLOADS, generate


class QueueBenchTest(unittest.TestCase):
    def test_max_min_split(self) -> None:
        cases = (
            ([1.0, 5.0, 9.0], 9.0, [1.0, 4.0, 4.0]),
            ([1.0, 2.0], 9.0, [1.0, 2.0]),
            ([4.0, 4.0], 2.0, [1.0, 1.0]),
        )
        for demands, total, expected in cases:
            with self.subTest(demands=demands):
                self.assertEqual(expected, max_min(demands, total))

    def test_a_lone_request_takes_its_prefill_and_decode_time(self) -> None:
        for serial in (False, True):
            with self.subTest(serial=serial):
                arrival = generate(WORKLOADS["maclarty"], 1.0, 60.0, seed=1)[0]
                queue = FifoQueue.from_settings(QueueSettings())
                (outcome,) = Simulation(queue, [arrival], serial).run()
                first = arrival.req.arrived + arrival.req.prompt_tokens / PREFILL_RATE
                self.assertAlmostEqual(first, outcome.first_token)
                self.assertAlmostEqual(first + arrival.output_tokens / DECODE_RATE, outcome.ended)

    def test_every_request_is_settled_the_same_way_each_time(self) -> None:
        for kind in (FifoQueue, TieredQueue):
            with self.subTest(kind.__name__):
                figures = []
                for _ in range(2):
                    arrivals = generate(WORKLOADS["rarangi"], 4.0, 120.0, seed=3)
                    queue = kind.from_settings(replace(QueueSettings(), slots=4))
                    outcomes = Simulation(queue, arrivals).run()
                    unsettled = [o for o in outcomes if o.ended is None and o.refused is None]
                    self.assertEqual([], unsettled)
                    figures.append(measure(outcomes, 120.0))
                self.assertEqual(figures[0], figures[1])


if __name__ == "__main__":
    unittest.main()
