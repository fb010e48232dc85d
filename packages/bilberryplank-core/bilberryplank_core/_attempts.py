"""Retry policy of one request: the next step after the outcome of each attempt.

A non-idempotent request is sent again only once its last attempt is known not to have run. If the
link was lost, the entry first asks the sidecar for the outcome of the attempt. The entry is the
only layer that retries. A refused attempt cost its upstream no work, so it spends no retry token
and is bounded by trying each upstream once; a failed attempt spends a token. A preempted attempt
spends none: the wasted-work budget bounds preemption already, and a request must not fail because
it was preempted.
"""

from __future__ import annotations

from collections.abc import Sequence

from bilberryplank_core._attempt_history import AttemptHistory
from bilberryplank_core._attempt_rules import (
    FINAL_REASONS,
    RequestTraits,
    parse_reason,
)
from bilberryplank_core._candidates import Candidates
from bilberryplank_core._errors import RefusalReason, RetryReason
from bilberryplank_core._messages import AttemptId, End, Failed, Head, NotRun
from bilberryplank_core._retry_budget import RetryBudget
from bilberryplank_core._steps import (
    NOTHING_DELIVERED,
    CompleteAnswer,
    DeliveryProgress,
    GiveUp,
    IgnoreEvent,
    QueryOutcome,
    SendAttempt,
    Step,
)
from bilberryplank_core._upstream_chooser import UpstreamChooser
from bilberryplank_core._world import Upstream

REPLY_MARGIN_SECONDS = 0.05
SETTLE_DELAYS_SECONDS = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8)
_SINGLE_TRY_REASONS = (None, RetryReason.NOT_RUN, RetryReason.LINK_FAILED)


class RequestAttempts:
    """State machine of one request: each event handler returns the next step.

    All times are monotonic seconds.

    Args:
        traits: Properties of the request.
        candidates: Eligible upstreams.
        chooser: Load-balancing policy that chooses among them.
        retry_budget: Retry budget that all requests of the entry share.
        max_attempts: Limit on attempts that may have run; for the lowest tier, on all attempts.
        fallbacks: Eligible upstreams that are tried only after all candidates.

    Attributes:
        ignored_events: Number of events that belonged to an attempt that is no longer current.
    """

    __slots__ = (
        "_cancelled",
        "_candidates",
        "_current",
        "_deadline",
        "_history",
        "_max_attempts",
        "_retry_budget",
        "_settle_count",
        "_traits",
        "_upstream",
        "ignored_events",
    )

    def __init__(
        self,
        traits: RequestTraits,
        candidates: Sequence[Upstream],
        chooser: UpstreamChooser,
        retry_budget: RetryBudget,
        max_attempts: int,
        fallbacks: Sequence[Upstream] = (),
    ) -> None:
        self._traits = traits
        self._deadline = traits.deadline
        self._candidates = Candidates(candidates, chooser, traits, fallbacks)
        self._retry_budget = retry_budget
        self._max_attempts = max_attempts
        self._history = AttemptHistory()
        self._current: AttemptId | None = None
        self._upstream: Upstream | None = None
        self._settle_count = 0
        self._cancelled = False
        self.ignored_events = 0

    @property
    def current(self) -> AttemptId | None:
        """The pending attempt; None before the first attempt and after the last."""
        return self._current

    @property
    def upstream(self) -> Upstream | None:
        """The upstream to which the latest attempt was sent."""
        return self._upstream

    @property
    def none_ran(self) -> bool:
        """True if no attempt has run or will ever run."""
        return self._history.none_ran

    def start(self, now: float) -> Step:
        """Returns the first step."""
        return self._send(None, NOTHING_DELIVERED, now)

    def on_not_sent(self, attempt: AttemptId, now: float) -> Step:
        """Records that there was no link, so that not a byte of the attempt was sent."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.record_refusal(RefusalReason.NO_UPSTREAM, None)
        return self._retry_not_run(RetryReason.LINK_FAILED, now)

    def should_cancel(self, now: float) -> bool:
        """Returns True, at most once per attempt, if it should be cancelled and sent elsewhere.

        To be called only before any byte of the answer has arrived. The sidecar answers `Cancel`
        with `NotRun` if the attempt was still queued, and with `Failed` otherwise; both then lead
        to another attempt.
        """
        if self._current is None or self._cancelled or not self._traits.idempotent:
            return False
        if self._retry_budget.tokens < 1 or self._candidates.all_tried(
            self._history.tried_upstreams
        ):
            return False
        self._cancelled = self._candidates.is_suspect(self._upstream, now)
        return self._cancelled

    def extend(self, deadline: float) -> None:
        """Moves the deadline of a request whose answer has begun, so that it can be resumed."""
        self._deadline = deadline

    def on_not_run(
        self,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: float | None,
        now: float,
        progress: DeliveryProgress = NOTHING_DELIVERED,
    ) -> Step:
        """Handles `NotRun`: the sidecar has not dispatched the attempt and never will."""
        if attempt != self._current:
            return self._ignore(attempt)
        retry_reason = RetryReason.SETTLED_NOT_RUN if self._settle_count else RetryReason.NOT_RUN
        if progress.started:
            return self.on_failed(attempt, RefusalReason.UPSTREAM_FAILED, now, progress)
        if self._cancelled and reason is RefusalReason.CANCELLED:
            reason = RefusalReason.NO_UPSTREAM
        self._history.record_refusal(reason, retry_after)
        if reason in FINAL_REASONS:
            self._history.record_not_run()
            return self._give_up(reason)
        return self._retry_not_run(retry_reason, now)

    def on_failed(
        self,
        attempt: AttemptId,
        reason: RefusalReason,
        now: float,
        progress: DeliveryProgress = NOTHING_DELIVERED,
    ) -> Step:
        """Handles `Failed`: the attempt was dispatched and may have run."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.record_may_have_run()
        cancelled_by_entry = self._cancelled and reason is RefusalReason.CANCELLED
        if reason in FINAL_REASONS and not cancelled_by_entry:
            return self._give_up(reason)
        preempted = reason is RefusalReason.PREEMPTED
        retry_reason = RetryReason.PREEMPTED if preempted else RetryReason.IDEMPOTENT_FAILURE
        return self._retry_failure(retry_reason, reason, progress, now)

    def on_link_lost(
        self, attempt: AttemptId, now: float, progress: DeliveryProgress = NOTHING_DELIVERED
    ) -> Step:
        """Records that the link was lost after the request was sent, or while settling it."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.record_may_have_run()
        if progress.tokens_complete or (
            self._may_repeat(progress) and self._retry_budget.tokens >= 1
        ):
            retry_reason, reason = RetryReason.IDEMPOTENT_FAILURE, RefusalReason.UPSTREAM_FAILED
            return self._retry_failure(retry_reason, reason, progress, now)
        return self._settle(now)

    def on_settled(
        self,
        attempt: AttemptId,
        answer: Head | End | NotRun | Failed,
        now: float,
        progress: DeliveryProgress = NOTHING_DELIVERED,
    ) -> Step:
        """Handles the sidecar's answer to `Settle`."""
        match answer:
            case NotRun(reason=reason, retry_after=retry_after):
                parsed_reason = parse_reason(reason)
                return self.on_not_run(attempt, parsed_reason, retry_after, now, progress)
            case Failed(reason=reason):
                return self.on_failed(attempt, parse_reason(reason), now, progress)
            case _:
                return (
                    CompleteAnswer(attempt) if attempt == self._current else self._ignore(attempt)
                )

    def on_deadline_passed(self, now: float) -> Step:
        """Records that the deadline passed while an attempt was pending."""
        self._history.record_deadline_passed()
        return self._give_up(RefusalReason.DEADLINE_PASSED)

    def on_delivered(self, attempt: AttemptId) -> Step:
        """Records that the whole answer of an attempt was delivered."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.record_may_have_run()
        self._retry_budget.record_success()
        return self._complete_answer()

    def _retry_not_run(self, retry_reason: RetryReason, now: float) -> Step:
        self._history.record_not_run()
        attempts_exhausted = (
            not self._traits.tries_all_upstreams
            and self._history.attempt_count >= self._max_attempts
        )
        if attempts_exhausted:
            return self._give_up(self._history.refusal)
        return self._send(retry_reason, NOTHING_DELIVERED, now)

    def _retry_failure(
        self,
        retry_reason: RetryReason,
        reason: RefusalReason,
        progress: DeliveryProgress,
        now: float,
    ) -> Step:
        if progress.tokens_complete:
            return self._complete_answer()
        if not self._may_repeat(progress):
            return self._give_up(reason)
        exempt_from_budget = retry_reason is RetryReason.PREEMPTED
        if not exempt_from_budget and not self._retry_budget.try_spend():
            return self._give_up(reason)
        return self._send(RetryReason.RESUMED if progress.started else retry_reason, progress, now)

    def _may_repeat(self, progress: DeliveryProgress) -> bool:
        if not self._traits.idempotent or self._history.may_have_run_count >= self._max_attempts:
            return False
        return progress.resumable or not progress.started

    def _send(
        self, retry_reason: RetryReason | None, progress: DeliveryProgress, now: float
    ) -> Step:
        budget_seconds = self._deadline - now - REPLY_MARGIN_SECONDS
        if budget_seconds <= 0:
            return self._give_up(RefusalReason.DEADLINE_PASSED)
        upstream = self._choose(retry_reason, now)
        if upstream is None:
            return self._give_up(self._history.refusal)
        self._history.begin_attempt(upstream.name)
        self._settle_count = 0
        self._cancelled = False
        self._upstream = upstream
        attempt_number = self._history.attempt_count
        self._current = AttemptId(self._traits.request_id, attempt_number, self._traits.epoch)
        tokens, text = (progress.tokens, progress.text) if progress.started else (0, "")
        return SendAttempt(upstream, self._current, budget_seconds, retry_reason, tokens, text)

    def _choose(self, retry_reason: RetryReason | None, now: float) -> Upstream | None:
        upstream = self._candidates.choose(self._history.tried_upstreams, now)
        may_try_again = (
            retry_reason not in _SINGLE_TRY_REASONS
            and self._history.attempt_count < self._max_attempts
        )
        if upstream is None and may_try_again:
            return self._candidates.choose(set(), now)
        return upstream

    def _settle(self, now: float) -> Step:
        delay_seconds = SETTLE_DELAYS_SECONDS[
            min(self._settle_count, len(SETTLE_DELAYS_SECONDS) - 1)
        ]
        budget_seconds = self._deadline - now - delay_seconds
        if budget_seconds <= 0:
            return self._give_up(RefusalReason.OUTCOME_UNKNOWN)
        self._settle_count += 1
        return QueryOutcome(self._upstream, self._current, delay_seconds, budget_seconds)

    def _complete_answer(self) -> CompleteAnswer:
        attempt = self._current
        self._current = None
        return CompleteAnswer(attempt)

    def _give_up(self, reason: RefusalReason) -> GiveUp:
        self._current = None
        return GiveUp(self._history.build_refusal(reason))

    def _ignore(self, attempt: AttemptId) -> IgnoreEvent:
        self.ignored_events += 1
        return IgnoreEvent(attempt)
