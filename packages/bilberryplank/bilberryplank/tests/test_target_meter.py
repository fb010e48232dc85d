import unittest

from bilberryplank._target_meter import WINDOW_SECONDS, TargetMeter
from bilberryplank_core.errors import RefusalReason


class TargetMeterTest(unittest.TestCase):
    def test_attainment(self):
        cases = {
            "nothing came": ([], 1.0),
            "all in time": ([True, True], 1.0),
            "one late": ([True, False], 0.5),
            "refused for want of capacity": ([True, RefusalReason.QUEUE_FULL], 0.5),
            "refused for a withdrawn key": ([True, RefusalReason.KEY_WITHDRAWN], 1.0),
        }
        for name, (events, expected) in cases.items():
            with self.subTest(name):
                meter = TargetMeter()
                for event in events:
                    if isinstance(event, RefusalReason):
                        meter.refused(event, 10.0)
                    else:
                        meter.answered(event, 10.0)
                self.assertEqual(meter.attainment(10.0), expected)

    def test_old_misses_are_forgotten(self):
        meter = TargetMeter()
        meter.answered(False, 0.0)
        for _ in range(1000):
            meter.answered(False, 1.0)
        self.assertEqual(meter.attainment(WINDOW_SECONDS), 0.0)
        self.assertEqual(meter.attainment(2 * WINDOW_SECONDS), 1.0)

    def test_arrivals_a_second(self):
        meter = TargetMeter()
        for step in range(2000):
            meter.arrived(step / 20)
        self.assertAlmostEqual(meter.arrivals(100.0), 20.0, delta=0.2)
