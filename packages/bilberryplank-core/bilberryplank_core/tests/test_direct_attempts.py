import itertools
import unittest
from random import Random

from bilberryplank_core._upstream_health import MAX_BACKOFF_SECONDS
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
    def test_outcomes_of_heads(self):
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
        for found, outcome in cases:
            with self.subTest(found=found):
                self.assertIs(classify_response(found, "r"), outcome)


class RequestAttemptsTest(unittest.TestCase):
    def test_no_sequence_of_outcomes_breaks_a_promise(self):
        """Whatever happens: at most once, never more runs than allowed, "not run" is true."""
        outcomes = [each for each in Outcome if each is not Outcome.ANSWERED]
        for retry_rule, max_executions in itertools.product(RetryRule, (1, 2)):
            for sequence in itertools.product(outcomes, repeat=4):
                self.check(RequestAttempts(retry_rule, max_executions), sequence)

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

    def test_without_leave_nothing_is_tried_again(self):
        log = RequestAttempts(RetryRule.SAFE, 3)
        log.record(Outcome.NOT_RUN)
        self.assertIs(log.next_action(Outcome.NOT_RUN, can_retry=False), NextAction.REFUSE)


class WindowRetryBudgetTest(unittest.TestCase):
    """Load pattern: every request fails for a while, then few do."""

    def test_no_window_has_more_further_attempts_than_allowed(self):
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
            # The rule takes the busiest of this window, the one before and the half one before.
            made = max(
                sum(end - window < at <= end for at in requests)
                for end in (now, now - window / 2, now - window)
            )
            self.assertLessEqual(used, ratio * made + allowance)
        self.assertGreater(len(spent), 0.1 * len(requests))


class UpstreamHealthTest(unittest.TestCase):
    """Load pattern: an upstream goes dark and comes back; another loses answers now and then."""

    def test_an_unreachable_upstream_is_held_out_at_once_and_tried_singly(self):
        health = UpstreamHealth()
        self.assertTrue(health.record("u", Outcome.NOT_REACHED, 0.0))
        self.assertFalse(health.is_available("u", 0.5))
        self.assertTrue(health.is_available("u", 0.9))
        health.begin("u", 0.9)
        self.assertFalse(health.is_available("u", 1.0))
        health.record("u", Outcome.ANSWERED, 1.1)
        self.assertTrue(health.is_available("u", 1.1))

    def test_each_further_failure_holds_it_out_longer(self):
        health = UpstreamHealth()
        now, holds = 0.0, []
        for _ in range(4):
            health.record("u", Outcome.NOT_REACHED, now)
            began = now
            while not health.is_available("u", now):
                now += 0.1
            holds.append(now - began)
        self.assertEqual(holds, sorted(holds))
        self.assertGreater(holds[-1], 2 * holds[0])

    def test_lost_answers_hold_it_out_only_in_a_row(self):
        health = UpstreamHealth()
        for _ in range(10):
            self.assertFalse(health.record("u", Outcome.UNKNOWN, 0.0))
            self.assertFalse(health.record("u", Outcome.UNKNOWN, 0.0))
            health.record("u", Outcome.ANSWERED, 0.0)
        for _ in range(2):
            health.record("u", Outcome.UNKNOWN, 0.0)
        self.assertTrue(health.record("u", Outcome.UNKNOWN, 0.0))

    def test_refusals_are_no_fault(self):
        health = UpstreamHealth()
        for _ in range(10):
            health.record("u", Outcome.NOT_RUN, 0.0)
        self.assertTrue(health.is_available("u", 0.0))
        self.assertEqual(health.failure_share("u"), 0.0)

    def test_one_that_asks_for_rest_gets_nothing_until_it_is_over_then_one_request(self):
        """Load pattern: an upstream too busy to refuse more; its earlier answers still come in."""
        health = UpstreamHealth()
        self.assertEqual(health.back_off("u", 2.0, 0.0), 2.0)
        health.record("u", Outcome.ANSWERED, 0.5)
        self.assertFalse(health.is_available("u", 1.9))
        self.assertEqual(health.backoff_left(["u"], 0.5), 1.5)
        self.assertIsNone(health.backoff_left(["u", "other"], 0.5))
        self.assertTrue(health.is_available("u", 2.0))
        health.begin("u", 2.0)
        self.assertFalse(health.is_available("u", 2.1))
        health.record("u", Outcome.ANSWERED, 2.2)
        self.assertTrue(health.is_available("u", 2.2))

    def test_a_rest_is_never_shortened_and_nonsense_is_none(self):
        nan = float("nan")
        for asked, granted in ((-1.0, 0.0), (0.0, 0.0), (nan, 0.0), (1e9, MAX_BACKOFF_SECONDS)):
            with self.subTest(asked):
                health = UpstreamHealth()
                self.assertEqual(health.back_off("u", asked, 0.0), granted)
                self.assertEqual(health.is_available("u", 0.1), not granted)
        health.back_off("u", 0.5, 0.0)
        self.assertFalse(health.is_available("u", 1.0))
