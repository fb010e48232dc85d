import math
import unittest

from bilberryplank_core.direct import StopSchedule


class StopScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = StopSchedule()

    def test_before_a_stop_nothing_is_refused(self):
        self.assertTrue(self.schedule.may_take(1e9, 1e6))
        self.assertTrue(self.schedule.may_begin(1e9, 1e6, 1e6, True))
        self.assertEqual(self.schedule.answers_due, math.inf)
        self.assertIsNone(self.schedule.age(1e9))

    def test_an_attempt_begins_only_if_it_should_end_before_answers_are_due(self):
        self.schedule.begin(100.0, 3.0, 4.0)
        for at, expected, limit, is_first, may in (
            (0.1, 0.5, 12.0, True, True),
            (0.1, 6.8, 12.0, True, True),
            (0.1, 7.0, 12.0, True, False),
            (2.9, 5.0, 12.0, True, False),
            (2.9, 5.0, 4.0, True, True),
            (3.1, 0.5, 12.0, True, False),
            (3.1, 0.5, 0.6, True, True),
            (3.1, 0.5, 12.0, False, True),
            (6.4, 0.5, 12.0, False, True),
            (6.6, 0.5, 12.0, False, False),
            (6.6, 0.5, 0.3, False, True),
        ):
            with self.subTest(at=at, expected=expected, limit=limit, is_first=is_first):
                self.assertIs(self.schedule.may_begin(100.0 + at, expected, limit, is_first), may)

    def test_a_request_that_is_sure_to_end_in_time_is_taken_late(self):
        self.schedule.begin(100.0, 3.0, 4.0)
        for at, limit, takes in ((3.1, 3.8, True), (3.1, 4.0, False), (6.9, 0.2, False)):
            with self.subTest(at=at, limit=limit):
                self.assertIs(self.schedule.may_take(100.0 + at, limit), takes)

    def test_a_late_event_loop_takes_no_request_for_longer(self):
        """What counts is the time of the signal, not when a timer of the loop fires."""
        self.schedule.begin(100.0, 3.0, 4.0)
        self.schedule.begin(101.0, 3.0, 4.0)
        self.assertTrue(self.schedule.may_take(102.99, 12.0))
        self.assertFalse(self.schedule.may_take(103.0, 12.0))
        self.assertEqual((self.schedule.strict_from, self.schedule.answers_due), (103.0, 107.0))
        self.assertEqual(self.schedule.age(103.5), 3.5)
