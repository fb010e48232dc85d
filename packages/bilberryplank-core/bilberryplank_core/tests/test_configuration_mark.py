import unittest

from bilberryplank_core.direct import MarkChecks, mark_value, read_mark
from bilberryplank_core.errors import ValueInvalid


class MarkTest(unittest.TestCase):
    def test_a_row_tells_the_version_that_was_written(self):
        self.assertEqual(read_mark(mark_value(13)), 13)

    def test_a_row_of_another_form_is_refused(self):
        for value in (None, 13, [], {}, {"version": True}, {"version": -1}, {"version": 2**60}):
            with self.subTest(value=value), self.assertRaises(ValueInvalid):
                read_mark(value)


class MarkChecksTest(unittest.TestCase):
    def test_nothing_is_read_without_a_restore(self):
        self.assertFalse(MarkChecks().is_due(1e9))

    def test_reads_are_due_from_the_end_of_the_doubt_at_growing_intervals(self):
        checks = MarkChecks()
        checks.begin(10.0)
        due = []
        for tick in range(80, 600):
            now = tick / 10
            if checks.is_due(now):
                due.append(now)
                checks.record(now)
        self.assertEqual(due, [10.0, 11.0, 13.0, 17.0, 25.0, 41.0])

    def test_a_read_in_time_takes_the_place_of_those_before_it(self):
        checks = MarkChecks()
        checks.begin(10.0)
        checks.record(12.0)
        self.assertFalse(checks.is_due(12.9))
        self.assertTrue(checks.is_due(13.0))

    def test_a_later_restore_begins_anew(self):
        checks = MarkChecks()
        checks.begin(10.0)
        checks.record(100.0)
        checks.begin(10.0)
        self.assertFalse(checks.is_due(100.0))
        checks.begin(101.0)
        self.assertTrue(checks.is_due(101.0))
