import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bilberryplank.decisions import Decision, DecisionJournal, DecisionStep


class DecisionJournalTest(unittest.TestCase):
    def test_decisions_are_found_by_request_in_order(self):
        times = iter((10.0, 11.0, 12.0))
        journal = DecisionJournal(8, "entry-a", lambda: next(times))
        journal.record("r1", DecisionStep.CHOSEN, "upstream=m1")
        journal.record("r2", DecisionStep.REFUSED, "shed")
        journal.record("r1", DecisionStep.ANSWERED)
        expected = [
            Decision("r1", 10.0, "entry-a", DecisionStep.CHOSEN, "upstream=m1"),
            Decision("r1", 12.0, "entry-a", DecisionStep.ANSWERED, ""),
        ]
        self.assertEqual(journal.explain("r1"), expected)
        self.assertEqual(journal.explain("r3"), [])

    def test_long_texts_are_cut(self):
        journal = DecisionJournal(2)
        journal.record("r" * 1000, DecisionStep.REFUSED, "d" * 1000)
        (decision,) = journal.explain("r" * 1000)
        self.assertEqual((len(decision.request), len(decision.detail)), (128, 200))

    @settings(
        derandomize=True,
        max_examples=100,
        # Says how fast hypothesis itself draws, which a busy machine decides.
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.lists(st.sampled_from("abcd"), max_size=60), st.integers(1, 10))
    def test_it_holds_exactly_the_last_decisions(self, requests, capacity):
        journal = DecisionJournal(capacity, clock=lambda: 0.0)
        for number, request in enumerate(requests):
            journal.record(request, DecisionStep.QUEUED, str(number))
        kept = list(enumerate(requests))[-capacity:]
        self.assertEqual(len(journal), len(kept))
        for request in "abcd":
            expected = [str(number) for number, name in kept if name == request]
            self.assertEqual([item.detail for item in journal.explain(request)], expected)
        self.assertEqual(set(journal._by_request), {name for _, name in kept})
