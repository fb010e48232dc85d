import itertools
import unittest
from random import Random

from bilberryplank_core._upstream_health import MAX_BACKOFF_SECONDS, MAX_EJECTION_SECONDS
from bilberryplank_core.direct import (
    NextAction,
    Outcome,
    RequestAttempts,
    ResponseHead,
    RetryRule,
    UpstreamHealth,
    WindowRetryBudget,
    classify_response,
)


def head(status, request_id="r", refused=False, signed=True):
    return ResponseHead(status, request_id, refused, signed)


class ClassifyResponseTest(unittest.TestCase):
    def test_response_headers_determine_the_outcome(self):
        cases = (
            (head(200), Outcome.ANSWERED),
            (head(404), Outcome.ANSWERED),
            (head(200, request_id="other"), Outcome.UNKNOWN),
            (head(200, signed=False), Outcome.UNKNOWN),
            (head(503, refused=True, signed=False), Outcome.NOT_RUN),
            (head(421, signed=False), Outcome.NOT_RUN),
            (head(503), Outcome.UNKNOWN),
            (head(429, signed=False), Outcome.UNKNOWN),
            (head(500), Outcome.FAILED),
        )
        for response, outcome in cases:
            with self.subTest(response=response):
                self.assertIs(classify_response(response, "r"), outcome)


class RequestAttemptsTest(unittest.TestCase):
    def test_no_sequence_of_outcomes_exceeds_the_execution_limit(self):
        """At most one execution if not idempotent, and "not run" is reported only if true."""
        outcomes = [outcome for outcome in Outcome if outcome is not Outcome.ANSWERED]
        for repeat, max_executions in itertools.product(RetryRule, (1, 2)):
            for sequence in itertools.product(outcomes, repeat=4):
                self.check(RequestAttempts(repeat, max_executions), sequence)

    def check(self, log, sequence):
        ran = 0
        for outcome in sequence:
            ran += outcome in (Outcome.UNKNOWN, Outcome.FAILED)
            log.record(outcome)
            step = log.next_action(outcome, can_retry=True)
            if step is not NextAction.RETRY:
                break
        limit = log.max_executions if log.retry_rule.idempotent else 1
        self.assertLessEqual(ran, limit, (log, sequence))
        if step is NextAction.REFUSE:
            self.assertEqual(ran, 0, (log, sequence))

    def test_nothing_is_retried_if_retries_are_impossible(self):
        log = RequestAttempts(RetryRule.SAFE, 3)
        log.record(Outcome.NOT_RUN)
        self.assertIs(log.next_action(Outcome.NOT_RUN, can_retry=False), NextAction.REFUSE)


class WindowRetryBudgetTest(unittest.TestCase):
    """Load: all requests fail for a while, then few do."""

    def test_no_window_has_more_retries_than_allowed(self):
        ratio, window, allowance = 0.2, 10.0, 3.0
        rng = Random(5)
        budget = WindowRetryBudget(ratio, window, allowance)
        requests, spent, now = [], [], 0.0
        for _ in range(4000):
            now += rng.expovariate(30.0 if 20 < now < 40 else 3.0)
            budget.record_request(now)
            requests.append(now)
            if rng.random() < 0.9 and budget.try_spend(now):
                spent.append(now)
            used = sum(at > now - window for at in spent)
            # The limit applies to the busiest of this window and those a half and a whole earlier.
            made = max(
                sum(end - window < at <= end for at in requests)
                for end in (now, now - window / 2, now - window)
            )
            self.assertLessEqual(used, ratio * made + allowance)
        self.assertGreater(len(spent), 0.1 * len(requests))


class UpstreamHealthTest(unittest.TestCase):
    """Load: an upstream becomes unreachable and recovers; another loses responses occasionally."""

    def test_an_unreachable_upstream_is_ejected_at_once_and_gets_single_trials(self):
        health = UpstreamHealth()
        self.assertTrue(health.record("u", Outcome.NOT_REACHED, 0.0))
        self.assertFalse(health.is_available("u", 0.5))
        self.assertTrue(health.is_available("u", 0.9))
        health.record_sent("u", 0.9)
        self.assertFalse(health.is_available("u", 1.0))
        health.record("u", Outcome.ANSWERED, 1.1)
        self.assertTrue(health.is_available("u", 1.1))

    def test_each_further_failure_ejects_it_for_longer(self):
        health = UpstreamHealth()
        now, ejections = 0.0, []
        for _ in range(4):
            health.record("u", Outcome.NOT_REACHED, now)
            ejected_at = now
            while not health.is_available("u", now):
                now += 0.1
            ejections.append(now - ejected_at)
        self.assertEqual(ejections, sorted(ejections))
        self.assertGreater(ejections[-1], 2 * ejections[0])

    # The 1,025th failure in a row raised OverflowError, which the caller got as a 500.
    def test_an_upstream_that_never_comes_back_stays_ejected(self):
        health = UpstreamHealth()
        for number in range(3000):
            health.record("u", Outcome.NOT_REACHED, float(number))
        self.assertFalse(health.is_available("u", 2999.0 + MAX_EJECTION_SECONDS - 0.1))
        self.assertTrue(health.is_available("u", 2999.0 + MAX_EJECTION_SECONDS + 0.1))

    def test_only_consecutive_lost_responses_eject_it(self):
        health = UpstreamHealth()
        for _ in range(10):
            self.assertFalse(health.record("u", Outcome.UNKNOWN, 0.0))
            self.assertFalse(health.record("u", Outcome.UNKNOWN, 0.0))
            health.record("u", Outcome.ANSWERED, 0.0)
        for _ in range(2):
            health.record("u", Outcome.UNKNOWN, 0.0)
        self.assertTrue(health.record("u", Outcome.UNKNOWN, 0.0))

    def test_refusals_do_not_count_as_failures(self):
        health = UpstreamHealth()
        for _ in range(10):
            health.record("u", Outcome.NOT_RUN, 0.0)
        self.assertTrue(health.is_available("u", 0.0))
        self.assertEqual(health.failure_share("u"), 0.0)

    def test_an_upstream_gets_nothing_during_its_back_off_and_then_one_request(self):
        """Load: an overloaded upstream; responses to earlier requests still arrive."""
        health = UpstreamHealth()
        self.assertEqual(health.record_back_off("u", 2.0, 0.0), 2.0)
        health.record("u", Outcome.ANSWERED, 0.5)
        self.assertFalse(health.is_available("u", 1.9))
        self.assertEqual(health.backoff_left(["u"], 0.5), 1.5)
        self.assertIsNone(health.backoff_left(["u", "other"], 0.5))
        self.assertTrue(health.is_available("u", 2.0))
        health.record_sent("u", 2.0)
        self.assertFalse(health.is_available("u", 2.1))
        health.record("u", Outcome.ANSWERED, 2.2)
        self.assertTrue(health.is_available("u", 2.2))

    def test_a_back_off_is_never_shortened_and_invalid_ones_are_ignored(self):
        nan = float("nan")
        for asked, granted in ((-1.0, 0.0), (0.0, 0.0), (nan, 0.0), (1e9, MAX_BACKOFF_SECONDS)):
            with self.subTest(asked):
                health = UpstreamHealth()
                self.assertEqual(health.record_back_off("u", asked, 0.0), granted)
                self.assertEqual(health.is_available("u", 0.1), not granted)
        health.record_back_off("u", 0.5, 0.0)
        self.assertFalse(health.is_available("u", 1.0))
