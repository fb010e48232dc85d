"""Eras of a store that came back from an older copy."""

import unittest

from bilberryplank_core.direct import EraChanged, EraTracker, era_of_fence, next_fence


class EraTrackerTest(unittest.TestCase):
    def setUp(self):
        self.eras = EraTracker()
        self.heard = []
        self.eras.subscribe(self.heard.append)

    def test_the_first_era_is_no_change(self):
        self.eras.record_answer(None, 7)
        self.eras.record_answer(7, 7)
        self.assertEqual((self.eras.current, self.heard), (7, []))

    def test_a_store_without_eras_changes_nothing(self):
        self.eras.record_answer(None, None)
        self.assertEqual((self.eras.current, self.heard), (None, []))

    def test_a_new_era_is_told_once_and_the_answer_that_shows_it_is_discarded(self):
        self.eras.record_answer(None, 1)
        for _ in range(2):
            with self.assertRaises(EraChanged):
                self.eras.record_answer(1, 2)
        self.assertEqual((self.eras.current, self.heard), (2, [2]))

    def test_the_first_restore_of_a_store_that_counts_from_0_is_told(self):
        self.eras.record_answer(None, 0)
        with self.assertRaises(EraChanged):
            self.eras.record_answer(0, 1)
        self.assertEqual((self.eras.current, self.heard), (1, [1]))

    def test_an_answer_of_an_earlier_era_that_arrives_late_is_discarded(self):
        self.eras.record_answer(None, 2)
        with self.assertRaises(EraChanged):
            self.eras.record_answer(None, 1)
        self.assertEqual((self.eras.current, self.heard), (2, []))


class FencesTest(unittest.TestCase):
    def test_a_fence_of_a_later_era_is_higher_whatever_the_store_forgot(self):
        before = next_fence(1, next_fence(1, next_fence(1, 0)))
        for row_in_the_copy in (0, before - 2, before):
            self.assertGreater(next_fence(2, row_in_the_copy), before)

    def test_fences_rise_within_an_era_and_tell_it(self):
        first = next_fence(3, 0)
        self.assertGreater(next_fence(3, first), first)
        self.assertEqual((era_of_fence(first), era_of_fence(next_fence(0, 11))), (3, 0))


if __name__ == "__main__":
    unittest.main()
