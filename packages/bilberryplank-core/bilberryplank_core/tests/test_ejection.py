import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.routing import OutlierEjector, RetryBudget

POOL = tuple("abcdef")


def feed(subject, slow=(), failing=(), start=0.0, rounds=10, pool=POOL):
    for index in range(rounds):
        for name in pool:
            ok = name not in failing
            seconds = (2.0 if name in slow else 0.2) if ok else None
            subject.record(name, seconds, ok, pool, start + index * 0.1)


class OutlierEjectorTest(unittest.TestCase):
    def test_slow_and_failing_upstreams_are_ejected(self):
        cases = [
            ("none", {}, set()),
            ("one slow", {"slow": "a"}, {"a"}),
            ("one failing", {"failing": "b"}, {"b"}),
            ("one of each", {"slow": "a", "failing": "b"}, {"a", "b"}),
            ("all slow alike", {"slow": POOL}, set()),
        ]
        for name, options, ejected in cases:
            with self.subTest(name):
                subject = OutlierEjector()
                feed(subject, **options)
                self.assertEqual(subject.ejected_upstreams(POOL), ejected)

    def test_latency_is_compared_within_a_class(self):
        subject = OutlierEjector()
        for index in range(40):
            for name in POOL:
                long = name == "a"
                class_name, seconds = ("prefill", 3.0) if long else ("chat", 0.2)
                subject.record(name, seconds, True, POOL, index * 0.1, class_name)
                subject.record(name, 3.0, True, POOL, index * 0.1, "prefill")
        self.assertEqual(subject.ejected_upstreams(POOL), set())
        for index in range(8):
            subject.record("b", 2.0, True, POOL, 4.0 + index * 0.1, "chat")
        self.assertEqual(subject.ejected_upstreams(POOL), {"b"})

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.integers(1, 8),
        st.lists(
            st.tuples(st.integers(0, 7), st.floats(0, 9), st.booleans(), st.floats(0, 3)),
            max_size=120,
        ),
    )
    def test_ejected_share_is_bounded(self, size, outcomes):
        pool = tuple(f"u{index}" for index in range(size))
        subject = OutlierEjector()
        now = 0.0
        for index, seconds, ok, gap in outcomes:
            now += gap
            subject.record(pool[index % size], seconds if ok else None, ok, pool, now)
            self.assertLessEqual(len(subject.ejected_upstreams(pool)), 0.34 * size)

    def test_successful_trials_readmit(self):
        subject = OutlierEjector()
        feed(subject, slow="a")
        self.assertFalse(subject.try_acquire_trial("a", 2.0))
        for now in (6.0, 7.5, 9.0):
            self.assertTrue(subject.is_ejected("a"))
            self.assertTrue(subject.try_acquire_trial("a", now))
            self.assertFalse(subject.try_acquire_trial("a", now + 0.5))
            subject.record("a", 0.2, True, POOL, now + 0.7)
        self.assertFalse(subject.is_ejected("a"))

    # The 1,025th failure in a row raised OverflowError.
    def test_an_upstream_that_fails_all_trials_stays_ejected(self):
        subject = OutlierEjector()
        feed(subject, failing="a")
        for number in range(1, 1500):
            now = number * 100.0
            self.assertTrue(subject.try_acquire_trial("a", now))
            subject.record("a", None, False, POOL, now)
        self.assertTrue(subject.is_ejected("a"))

    def test_failed_trial_ejects_for_longer(self):
        subject = OutlierEjector()
        feed(subject, slow="a")
        self.assertTrue(subject.try_acquire_trial("a", 6.0))
        subject.record("a", 2.0, True, POOL, 8.0)
        self.assertFalse(subject.try_acquire_trial("a", 13.0))
        self.assertTrue(subject.try_acquire_trial("a", 16.5))


class RetryBudgetTest(unittest.TestCase):
    def test_successes_earn_and_retries_spend_tokens(self):
        subject = RetryBudget(0.5, 2.0)
        self.assertEqual([subject.try_spend() for _ in range(3)], [True, True, False])
        subject.record_success()
        self.assertFalse(subject.try_spend())
        for _ in range(9):
            subject.record_success()
        self.assertEqual(subject.tokens, 2.0)
