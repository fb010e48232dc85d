import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.errors import RefusalReason, RetryReason
from bilberryplank_core.messages import AttemptId, Failed, Load, NotRun
from bilberryplank_core.routing import (
    CompleteAnswer,
    DeliveryProgress,
    GiveUp,
    IgnoreEvent,
    QueryOutcome,
    RequestAttempts,
    RequestKind,
    RequestTraits,
    RetryBudget,
    RoundRobinChooser,
    SendAttempt,
    counts_against_upstream,
)
from bilberryplank_core.world import Upstream, UpstreamKind

UPSTREAMS = [Upstream(name, "a", UpstreamKind.ENGINE, "127.0.0.1:1") for name in "abcde"]
SHED = RefusalReason.SHED
FAILED = RefusalReason.UPSTREAM_FAILED
CUT = DeliveryProgress(started=True, resumable=True, tokens=7, text="seven")


class FixedSuspicionChooser(RoundRobinChooser):
    def __init__(self, suspect):
        super().__init__()
        self.suspect = suspect

    def is_suspect(self, upstream, now):
        return self.suspect


def attempts(
    idempotent=True,
    tries_all_upstreams=True,
    budget=None,
    max_attempts=3,
    deadline=10.0,
    chooser=None,
):
    traits = RequestTraits("r", "e", idempotent, deadline, tries_all_upstreams)
    budget = budget or RetryBudget(0.2, 5.0)
    return RequestAttempts(traits, UPSTREAMS, chooser or RoundRobinChooser(), budget, max_attempts)


class KindRecordingChooser(RoundRobinChooser):
    def choose(self, candidates, now, excluded, affinity=None, may_try_ejected=True, kind=None):
        self.kind = kind
        return super().choose(candidates, now, excluded)


class AttemptsTest(unittest.TestCase):
    def test_request_kind_is_passed_to_the_chooser(self):
        kind, chooser = RequestKind(2, "bulk"), KindRecordingChooser()
        traits = RequestTraits("r", "e", True, 10.0, kind=kind)
        RequestAttempts(traits, UPSTREAMS, chooser, RetryBudget(0.2, 5.0), 3).start(0.0)
        self.assertEqual(chooser.kind, kind)

    def test_preemption_does_not_count_against_the_upstream(self):
        for reason, expected in ((RefusalReason.PREEMPTED, False), (FAILED, True)):
            with self.subTest(reason=reason):
                self.assertEqual(counts_against_upstream(reason), expected)

    def test_preempted_attempt_spends_no_retry_token(self):
        for reason, expected in ((RefusalReason.PREEMPTED, SendAttempt), (FAILED, GiveUp)):
            with self.subTest(reason=reason):
                subject = attempts(budget=RetryBudget(0.2, 0.0))
                step = subject.on_failed(subject.start(0.0).attempt, reason, 0.0)
                self.assertIsInstance(step, expected)

    def test_extended_deadline_allows_resuming_after_the_first_deadline(self):
        for extended, expected in ((False, GiveUp), (True, SendAttempt)):
            with self.subTest(extended=extended):
                subject = attempts(deadline=10.0)
                sent = subject.start(0.0)
                if extended:
                    subject.extend(22.0)
                step = subject.on_failed(sent.attempt, FAILED, 12.0, CUT)
                self.assertIsInstance(step, expected)

    def test_only_higher_tiers_try_every_upstream(self):
        for tries_all_upstreams, expected in ((True, 5), (False, 3)):
            with self.subTest(tries_all_upstreams=tries_all_upstreams):
                subject = attempts(tries_all_upstreams=tries_all_upstreams)
                step, tried = subject.start(0.0), []
                while isinstance(step, SendAttempt):
                    tried.append(step.upstream.name)
                    step = subject.on_not_run(step.attempt, SHED, 5.0 - len(tried), 0.0)
                self.assertEqual(len(set(tried)), expected)
                self.assertEqual(len(tried), expected)
                self.assertTrue(step.refused.not_run)
                self.assertEqual(step.refused.reason, SHED)
                self.assertEqual(step.refused.retry_after, 5.0 - expected)

    def test_fallback_upstreams_are_tried_after_all_candidates(self):
        budget = RetryBudget(0.2, 5.0)
        traits = RequestTraits("r", "e", True, 10.0)
        chooser = RoundRobinChooser()
        live, fallbacks = UPSTREAMS[:2], UPSTREAMS[2:]
        subject = RequestAttempts(traits, live, chooser, budget, 3, fallbacks)
        step, tried = subject.start(0.0), []
        while isinstance(step, SendAttempt):
            tried.append(step.upstream)
            step = subject.on_not_run(step.attempt, SHED, 1.0, 0.0)
        self.assertEqual(set(map(str, tried[:2])), set(map(str, live)))
        self.assertEqual(set(map(str, tried[2:])), set(map(str, fallbacks)))

    def test_overload_reason_takes_precedence_in_the_refusal(self):
        subject = attempts(max_attempts=2, tries_all_upstreams=False)
        step = subject.on_not_run(subject.start(0.0).attempt, SHED, 1.0, 0.0)
        step = subject.on_not_run(step.attempt, RefusalReason.UPSTREAM_LEAVING, None, 0.0)
        self.assertEqual(step.refused.reason, SHED)

    def test_lost_link_is_settled_before_a_retry(self):
        subject = attempts(idempotent=False)
        sent = subject.start(0.0)
        step = subject.on_link_lost(sent.attempt, 0.0)
        self.assertIsInstance(step, QueryOutcome)
        self.assertEqual((step.upstream, step.attempt), (sent.upstream, sent.attempt))
        later = subject.on_link_lost(sent.attempt, 1.0)
        self.assertGreater(later.delay_seconds, step.delay_seconds)
        self.assertLessEqual(later.budget_seconds, 9.0)
        again = subject.on_settled(sent.attempt, NotRun(sent.attempt, "cancelled_", 0, Load()), 2.0)
        self.assertEqual(again.retry, RetryReason.SETTLED_NOT_RUN)
        self.assertNotEqual(again.attempt, sent.attempt)

    def test_outcome_still_unknown_at_the_deadline_is_reported_as_such(self):
        subject = attempts(idempotent=False)
        sent = subject.start(0.0)
        subject.on_link_lost(sent.attempt, 1.0)
        step = subject.on_link_lost(sent.attempt, 10.0)
        self.assertEqual(step.refused.reason, RefusalReason.OUTCOME_UNKNOWN)
        self.assertFalse(step.refused.not_run)

    def test_next_step_after_a_failure_depends_on_idempotency_and_progress(self):
        cases = [
            ("idempotent", True, DeliveryProgress(), SendAttempt, RetryReason.IDEMPOTENT_FAILURE),
            ("non-idempotent", False, DeliveryProgress(), GiveUp, None),
            ("cut", True, CUT, SendAttempt, RetryReason.RESUMED),
            ("cut, not resumable", True, DeliveryProgress(started=True), GiveUp, None),
            (
                "only the end missing",
                True,
                DeliveryProgress(True, True, True),
                CompleteAnswer,
                None,
            ),
        ]
        for name, idempotent, progress, kind, retry in cases:
            with self.subTest(name):
                subject = attempts(idempotent)
                sent = subject.start(0.0)
                step = subject.on_failed(sent.attempt, FAILED, 1.0, progress)
                self.assertIsInstance(step, kind)
                if retry:
                    self.assertEqual(step.retry, retry)
                    self.assertEqual(step.resume_tokens, progress.tokens)
                    self.assertEqual(step.resume_text, progress.text)
                    self.assertLess(step.budget_seconds, 9.0)
                if kind is GiveUp:
                    self.assertFalse(step.refused.not_run)

    def test_retry_budget_limits_retries_of_failures_but_not_of_refusals(self):
        budget = RetryBudget(0.5, 1.0)
        kinds = []
        for _ in range(3):
            subject = attempts(budget=budget)
            step = subject.on_not_run(subject.start(0.0).attempt, SHED, None, 0.0)
            kinds.append(type(subject.on_failed(step.attempt, FAILED, 0.0)))
        self.assertEqual(kinds, [SendAttempt, GiveUp, GiveUp])
        subject = attempts(budget=budget)
        self.assertIsInstance(subject.on_delivered(subject.start(0.0).attempt), CompleteAnswer)
        self.assertEqual(budget.tokens, 0.5)

    def test_attempt_budget_never_exceeds_the_deadline(self):
        subject = attempts(deadline=1.0)
        sent = subject.start(0.0)
        self.assertLess(sent.budget_seconds, 1.0)
        step = subject.on_not_run(sent.attempt, SHED, None, 0.99)
        self.assertEqual(step.refused.reason, RefusalReason.DEADLINE_PASSED)
        self.assertTrue(step.refused.not_run)

    def test_refusal_names_the_tried_upstreams_and_the_last_reason(self):
        subject = attempts(deadline=1.0)
        sent = subject.start(0.0)
        refused = subject.on_deadline_passed(1.0).refused
        self.assertIn(sent.upstream.name, str(refused))
        self.assertIn("no word came back", str(refused))
        subject = attempts(deadline=1.0)
        sent = subject.start(0.0)
        refused = subject.on_not_run(sent.attempt, SHED, None, 0.99).refused
        self.assertIn(f"asked {sent.upstream.name}, last word shed", str(refused))

    def test_idempotent_request_is_cancelled_once_per_attempt_at_a_suspect_upstream(self):
        for idempotent, suspect, expected in ((True, True, True), (True, False, False), (0, 1, 0)):
            with self.subTest(idempotent=idempotent, suspect=suspect):
                subject = attempts(bool(idempotent), chooser=FixedSuspicionChooser(bool(suspect)))
                sent = subject.start(0.0)
                self.assertEqual(subject.should_cancel(1.0), bool(expected))
                self.assertFalse(subject.should_cancel(1.1))
                cancelled = RefusalReason.CANCELLED
                step = subject.on_not_run(sent.attempt, cancelled, None, 1.2)
                self.assertIsInstance(step, SendAttempt if expected else GiveUp)
                if expected:
                    self.assertTrue(subject.should_cancel(1.3))
                    step = subject.on_failed(step.attempt, cancelled, 1.4)
                    self.assertIsInstance(step, SendAttempt)
                    step = subject.on_failed(step.attempt, cancelled, 1.5)
                    self.assertIsInstance(step, GiveUp)

    def test_final_reasons_are_not_retried(self):
        subject = attempts()
        step = subject.on_not_run(subject.start(0.0).attempt, RefusalReason.KEY_WITHDRAWN, None, 0)
        self.assertEqual(step.refused.reason, RefusalReason.KEY_WITHDRAWN)

    def test_events_of_other_attempts_are_ignored(self):
        subject = attempts()
        first = subject.start(0.0)
        second = subject.on_not_run(first.attempt, SHED, None, 0.0)
        for attempt in (first.attempt, AttemptId("r", 2, "old"), AttemptId("x", 2, "e")):
            self.assertIsInstance(subject.on_failed(attempt, FAILED, 0.0), IgnoreEvent)
        self.assertEqual(subject.current, second.attempt)
        self.assertEqual(subject.ignored_events, 3)

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(
        st.booleans(),
        st.booleans(),
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        "not_run",
                        "not_sent",
                        "failed",
                        "lost",
                        "settled",
                        "settled_failed",
                        "cancelled_queued",
                        "cancelled_running",
                        "late",
                    ]
                ),
                st.floats(0, 1.5),
            ),
            max_size=12,
        ),
    )
    def test_at_most_once_and_correct_not_run_refusals(
        self, idempotent, tries_all_upstreams, events
    ):
        """Draws each event together with whether the attempt really ran at the upstream.

        Guards against a second run of a non-idempotent request and a wrong `not_run`.
        """
        subject = attempts(idempotent, tries_all_upstreams, chooser=FixedSuspicionChooser(True))
        now, ran, sent = 0.0, set(), []
        step = subject.start(now)
        for event, delay in events:
            if isinstance(step, SendAttempt):
                self.assertLess(now + step.budget_seconds, 10.0)
                self.assertFalse(ran and not idempotent, "sent again though it may have run")
                if step.attempt not in sent:
                    sent.append(step.attempt)
            if not isinstance(step, SendAttempt | QueryOutcome | IgnoreEvent):
                break
            now += delay
            step = self.apply(subject, event, sent, ran, now)
        if isinstance(step, GiveUp):
            self.assertEqual(step.refused.not_run, not ran)

    def apply(self, subject, event, sent, ran, now):
        attempt = sent[-1]
        match event:
            case "not_run":
                ran.discard(attempt)
                return subject.on_not_run(attempt, SHED, 1.0, now)
            case "not_sent":
                ran.discard(attempt)
                return subject.on_not_sent(attempt, now)
            case "failed":
                ran.add(attempt)
                return subject.on_failed(attempt, FAILED, now)
            case "lost":
                ran.add(attempt)
                return subject.on_link_lost(attempt, now)
            case "settled":
                ran.discard(attempt)
                return subject.on_settled(attempt, NotRun(attempt, "shed", 1.0, Load()), now)
            case "settled_failed":
                ran.add(attempt)
                return subject.on_settled(attempt, Failed(attempt, "upstream_failed", Load()), now)
            case "cancelled_queued":
                subject.should_cancel(now)
                ran.discard(attempt)
                return subject.on_not_run(attempt, RefusalReason.CANCELLED, 0.0, now)
            case "cancelled_running":
                subject.should_cancel(now)
                ran.add(attempt)
                return subject.on_failed(attempt, RefusalReason.CANCELLED, now)
            case "late":
                return subject.on_failed(AttemptId("r", len(sent) + 1, "e"), FAILED, now)
