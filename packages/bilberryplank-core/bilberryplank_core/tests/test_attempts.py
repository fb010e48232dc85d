import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.errors import RefusalReason, RetryReason
from bilberryplank_core.messages import AttemptId, Failed, Load, NotRun
from bilberryplank_core.routing import (
    Deliver,
    GiveUp,
    Ignore,
    Progress,
    RequestAttempts,
    RequestKind,
    RequestTraits,
    RetryBudget,
    RoundRobinChooser,
    SendTo,
    SettleWith,
    blames_upstream,
)
from bilberryplank_core.world import Upstream, UpstreamKind

UPSTREAMS = [Upstream(name, "a", UpstreamKind.ENGINE, "127.0.0.1:1") for name in "abcde"]
SHED = RefusalReason.SHED
FAILED = RefusalReason.UPSTREAM_FAILED
CUT = Progress(started=True, resumable=True, tokens=7, text="seven")


class Suspecting(RoundRobinChooser):
    def __init__(self, suspect):
        super().__init__()
        self.suspect = suspect

    def is_suspect(self, upstream, now):
        return self.suspect


def attempts(
    idempotent=True, asks_all=True, budget=None, max_attempts=3, deadline=10.0, chooser=None
):
    traits = RequestTraits("r", "e", idempotent, deadline, asks_all)
    budget = budget or RetryBudget(0.2, 5.0)
    return RequestAttempts(traits, UPSTREAMS, chooser or RoundRobinChooser(), budget, max_attempts)


class Listening(RoundRobinChooser):
    def choose(self, candidates, now, excluded, affinity=None, tries_ejected=True, kind=None):
        self.kind = kind
        return super().choose(candidates, now, excluded)


class AttemptsTest(unittest.TestCase):
    def test_the_chooser_learns_the_kind_of_request(self):
        kind, chooser = RequestKind(2, "bulk"), Listening()
        traits = RequestTraits("r", "e", True, 10.0, kind=kind)
        RequestAttempts(traits, UPSTREAMS, chooser, RetryBudget(0.2, 5.0), 3).start(0.0)
        self.assertEqual(chooser.kind, kind)

    def test_a_preempted_attempt_does_not_speak_against_its_upstream(self):
        for reason, blamed in ((RefusalReason.PREEMPTED, False), (FAILED, True)):
            with self.subTest(reason=reason):
                self.assertEqual(blames_upstream(reason), blamed)

    def test_a_preempted_attempt_spends_no_retry(self):
        for reason, expected in ((RefusalReason.PREEMPTED, SendTo), (FAILED, GiveUp)):
            with self.subTest(reason=reason):
                subject = attempts(budget=RetryBudget(0.2, 0.0))
                step = subject.failed(subject.start(0.0).attempt, reason, 0.0)
                self.assertIsInstance(step, expected)

    def test_an_answer_that_has_begun_can_be_resumed_after_the_first_deadline(self):
        for extended, expected in ((False, GiveUp), (True, SendTo)):
            with self.subTest(extended=extended):
                subject = attempts(deadline=10.0)
                sent = subject.start(0.0)
                if extended:
                    subject.extend(22.0)
                step = subject.failed(sent.attempt, FAILED, 12.0, CUT)
                self.assertIsInstance(step, expected)

    def test_a_higher_tier_asks_every_upstream(self):
        for asks_all, expected in ((True, 5), (False, 3)):
            with self.subTest(asks_all=asks_all):
                subject = attempts(asks_all=asks_all)
                step, asked = subject.start(0.0), []
                while isinstance(step, SendTo):
                    asked.append(step.upstream.name)
                    step = subject.not_run(step.attempt, SHED, 5.0 - len(asked), 0.0)
                self.assertEqual(len(set(asked)), expected)
                self.assertEqual(len(asked), expected)
                self.assertTrue(step.refused.not_run)
                self.assertEqual(step.refused.reason, SHED)
                self.assertEqual(step.refused.retry_after, 5.0 - expected)

    def test_spare_upstreams_are_asked_once_no_other_is_left(self):
        budget = RetryBudget(0.2, 5.0)
        traits = RequestTraits("r", "e", True, 10.0)
        chooser = RoundRobinChooser()
        live, spare = UPSTREAMS[:2], UPSTREAMS[2:]
        subject = RequestAttempts(traits, live, chooser, budget, 3, spare)
        step, asked = subject.start(0.0), []
        while isinstance(step, SendTo):
            asked.append(step.upstream)
            step = subject.not_run(step.attempt, SHED, 1.0, 0.0)
        self.assertEqual(set(map(str, asked[:2])), set(map(str, live)))
        self.assertEqual(set(map(str, asked[2:])), set(map(str, spare)))

    def test_overload_outweighs_other_reasons(self):
        subject = attempts(max_attempts=2, asks_all=False)
        step = subject.not_run(subject.start(0.0).attempt, SHED, 1.0, 0.0)
        step = subject.not_run(step.attempt, RefusalReason.UPSTREAM_LEAVING, None, 0.0)
        self.assertEqual(step.refused.reason, SHED)

    def test_unknown_is_settled_before_anything_else(self):
        subject = attempts(idempotent=False)
        sent = subject.start(0.0)
        step = subject.link_lost(sent.attempt, 0.0)
        self.assertIsInstance(step, SettleWith)
        self.assertEqual((step.upstream, step.attempt), (sent.upstream, sent.attempt))
        later = subject.link_lost(sent.attempt, 1.0)
        self.assertGreater(later.delay, step.delay)
        self.assertLessEqual(later.budget, 9.0)
        again = subject.settled(sent.attempt, NotRun(sent.attempt, "cancelled_", 0, Load()), 2.0)
        self.assertEqual(again.retry, RetryReason.SETTLED_NOT_RUN)
        self.assertNotEqual(again.attempt, sent.attempt)

    def test_unknown_to_the_end(self):
        subject = attempts(idempotent=False)
        sent = subject.start(0.0)
        subject.link_lost(sent.attempt, 1.0)
        step = subject.link_lost(sent.attempt, 10.0)
        self.assertEqual(step.refused.reason, RefusalReason.OUTCOME_UNKNOWN)
        self.assertFalse(step.refused.not_run)

    def test_failures(self):
        cases = [
            ("idempotent", True, Progress(), SendTo, RetryReason.IDEMPOTENT_FAILURE),
            ("non-idempotent", False, Progress(), GiveUp, None),
            ("cut", True, CUT, SendTo, RetryReason.RESUMED),
            ("cut, not resumable", True, Progress(started=True), GiveUp, None),
            ("only the end missing", True, Progress(True, True, True), Deliver, None),
        ]
        for name, idempotent, progress, kind, retry in cases:
            with self.subTest(name):
                subject = attempts(idempotent)
                sent = subject.start(0.0)
                step = subject.failed(sent.attempt, FAILED, 1.0, progress)
                self.assertIsInstance(step, kind)
                if retry:
                    self.assertEqual(step.retry, retry)
                    self.assertEqual(step.resume_tokens, progress.tokens)
                    self.assertEqual(step.resume_text, progress.text)
                    self.assertLess(step.budget, 9.0)
                if kind is GiveUp:
                    self.assertFalse(step.refused.not_run)

    def test_the_retry_budget_bounds_failures_but_not_refusals(self):
        budget = RetryBudget(0.5, 1.0)
        kinds = []
        for _ in range(3):
            subject = attempts(budget=budget)
            step = subject.not_run(subject.start(0.0).attempt, SHED, None, 0.0)
            kinds.append(type(subject.failed(step.attempt, FAILED, 0.0)))
        self.assertEqual(kinds, [SendTo, GiveUp, GiveUp])
        subject = attempts(budget=budget)
        self.assertIsInstance(subject.finished(subject.start(0.0).attempt), Deliver)
        self.assertEqual(budget.tokens, 0.5)

    def test_no_hop_waits_longer_than_the_request_has(self):
        subject = attempts(deadline=1.0)
        sent = subject.start(0.0)
        self.assertLess(sent.budget, 1.0)
        step = subject.not_run(sent.attempt, SHED, None, 0.99)
        self.assertEqual(step.refused.reason, RefusalReason.DEADLINE_PASSED)
        self.assertTrue(step.refused.not_run)

    def test_a_refusal_names_who_was_asked_and_the_last_word(self):
        subject = attempts(deadline=1.0)
        sent = subject.start(0.0)
        refused = subject.expired(1.0).refused
        self.assertIn(sent.upstream.name, str(refused))
        self.assertIn("no word came back", str(refused))
        subject = attempts(deadline=1.0)
        sent = subject.start(0.0)
        refused = subject.not_run(sent.attempt, SHED, None, 0.99).refused
        self.assertIn(f"asked {sent.upstream.name}, last word shed", str(refused))

    def test_a_suspect_upstream_is_left_once_where_that_is_safe(self):
        for idempotent, suspect, expected in ((True, True, True), (True, False, False), (0, 1, 0)):
            with self.subTest(idempotent=idempotent, suspect=suspect):
                subject = attempts(bool(idempotent), chooser=Suspecting(bool(suspect)))
                sent = subject.start(0.0)
                self.assertEqual(subject.should_cancel(1.0), bool(expected))
                self.assertFalse(subject.should_cancel(1.1))
                cancelled = RefusalReason.CANCELLED
                step = subject.not_run(sent.attempt, cancelled, None, 1.2)
                self.assertIsInstance(step, SendTo if expected else GiveUp)
                if expected:
                    self.assertTrue(subject.should_cancel(1.3))
                    step = subject.failed(step.attempt, cancelled, 1.4)
                    self.assertIsInstance(step, SendTo)
                    step = subject.failed(step.attempt, cancelled, 1.5)
                    self.assertIsInstance(step, GiveUp)

    def test_final_reasons_are_not_retried(self):
        subject = attempts()
        step = subject.not_run(subject.start(0.0).attempt, RefusalReason.KEY_WITHDRAWN, None, 0)
        self.assertEqual(step.refused.reason, RefusalReason.KEY_WITHDRAWN)

    def test_late_events_are_ignored(self):
        subject = attempts()
        first = subject.start(0.0)
        second = subject.not_run(first.attempt, SHED, None, 0.0)
        for attempt in (first.attempt, AttemptId("r", 2, "old"), AttemptId("x", 2, "e")):
            self.assertIsInstance(subject.failed(attempt, FAILED, 0.0), Ignore)
        self.assertEqual(subject.current, second.attempt)
        self.assertEqual(subject.ignored, 3)

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
    def test_at_most_once_and_true_refusals(self, idempotent, asks_all, events):
        """What the upstreams did is drawn beside what the entry is told of it."""
        subject = attempts(idempotent, asks_all, chooser=Suspecting(True))
        now, ran, sent = 0.0, set(), []
        step = subject.start(now)
        for event, delay in events:
            if isinstance(step, SendTo):
                self.assertLess(now + step.budget, 10.0)
                self.assertFalse(ran and not idempotent, "sent again though it may have run")
                if step.attempt not in sent:
                    sent.append(step.attempt)
            if not isinstance(step, SendTo | SettleWith | Ignore):
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
                return subject.not_run(attempt, SHED, 1.0, now)
            case "not_sent":
                ran.discard(attempt)
                return subject.not_sent(attempt, now)
            case "failed":
                ran.add(attempt)
                return subject.failed(attempt, FAILED, now)
            case "lost":
                ran.add(attempt)
                return subject.link_lost(attempt, now)
            case "settled":
                ran.discard(attempt)
                return subject.settled(attempt, NotRun(attempt, "shed", 1.0, Load()), now)
            case "settled_failed":
                ran.add(attempt)
                return subject.settled(attempt, Failed(attempt, "upstream_failed", Load()), now)
            case "cancelled_queued":
                subject.should_cancel(now)
                ran.discard(attempt)
                return subject.not_run(attempt, RefusalReason.CANCELLED, 0.0, now)
            case "cancelled_running":
                subject.should_cancel(now)
                ran.add(attempt)
                return subject.failed(attempt, RefusalReason.CANCELLED, now)
            case "late":
                return subject.failed(AttemptId("r", len(sent) + 1, "e"), FAILED, now)
