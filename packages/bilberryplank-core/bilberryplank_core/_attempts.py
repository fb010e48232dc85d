"""Attempts to run one request: what to do after each outcome.

A non-idempotent request is sent again only once its last attempt is known not to have run. An
attempt whose link was lost is settled with its sidecar first. The entry is the only layer that
retries. A refused attempt cost its upstream no work, so it spends nothing of the retry budget and
is bounded by asking each upstream once; a failed one spends a token. A preempted one spends none:
the wasted-work budget bounds preemption already, and a request must not end for having made way.
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
from bilberryplank_core._chooser import UpstreamChooser
from bilberryplank_core._errors import RefusalReason, RetryReason
from bilberryplank_core._messages import AttemptId, End, Failed, Head, NotRun
from bilberryplank_core._retry_budget import RetryBudget
from bilberryplank_core._steps import (
    NOTHING_DELIVERED,
    Deliver,
    GiveUp,
    Ignore,
    Progress,
    SendTo,
    SettleWith,
    Step,
)
from bilberryplank_core._world import Upstream

REPLY_MARGIN_SECONDS = 0.05
SETTLE_DELAYS_SECONDS = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8)
_ASK_ONCE = (None, RetryReason.NOT_RUN, RetryReason.LINK_FAILED)


class RequestAttempts:
    """Decides the next step of one request; all times are monotonic seconds.

    Args:
        traits: What is known of the request.
        candidates: Eligible upstreams.
        chooser: Chooses among them.
        retry_budget: Shared by the requests of the entry.
        max_attempts: Bound on attempts that may have run, and on all of a lowest-tier request.
        spare: Eligible upstreams that are asked only once none of the candidates is left.
    """

    __slots__ = (
        "_cancelled",
        "_candidates",
        "_current",
        "_deadline",
        "_history",
        "_max_attempts",
        "_retry_budget",
        "_settles",
        "_traits",
        "_upstream",
        "ignored",
    )

    def __init__(
        self,
        traits: RequestTraits,
        candidates: Sequence[Upstream],
        chooser: UpstreamChooser,
        retry_budget: RetryBudget,
        max_attempts: int,
        spare: Sequence[Upstream] = (),
    ) -> None:
        self._traits = traits
        self._deadline = traits.deadline
        self._candidates = Candidates(candidates, chooser, traits, spare)
        self._retry_budget = retry_budget
        self._max_attempts = max_attempts
        self._history = AttemptHistory()
        self._current: AttemptId | None = None
        self._upstream: Upstream | None = None
        self._settles = 0
        self._cancelled = False
        self.ignored = 0

    @property
    def current(self) -> AttemptId | None:
        """The attempt whose frames count; None before the first and after the last."""
        return self._current

    @property
    def upstream(self) -> Upstream | None:
        """Where the current attempt was sent."""
        return self._upstream

    @property
    def none_ran(self) -> bool:
        """True where no attempt ran or ever will run."""
        return self._history.none_ran

    def start(self, now: float) -> Step:
        """Returns the first step."""
        return self._send(None, NOTHING_DELIVERED, now)

    def not_sent(self, attempt: AttemptId, now: float) -> Step:
        """Takes in that there was no link, so that not a byte of the attempt was sent."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.note_refusal(RefusalReason.NO_UPSTREAM, None)
        return self._retry_not_run(RetryReason.LINK_FAILED, now)

    def should_cancel(self, now: float) -> bool:
        """Returns True, once an attempt, where it is better cancelled and made elsewhere.

        Asked while nothing of an answer came. The sidecar answers `Cancel` with `NotRun` where the
        attempt was still queued, and with `Failed` otherwise; both then lead to another attempt.
        """
        if self._current is None or self._cancelled or not self._traits.idempotent:
            return False
        if self._retry_budget.tokens < 1 or self._candidates.all_in(self._history.asked):
            return False
        self._cancelled = self._candidates.is_suspect(self._upstream, now)
        return self._cancelled

    def extend(self, deadline: float) -> None:
        """Moves the deadline of a request whose answer has begun, so that it can be resumed."""
        self._deadline = deadline

    def not_run(
        self,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: float | None,
        now: float,
        progress: Progress = NOTHING_DELIVERED,
    ) -> Step:
        """Takes in `NotRun`: the sidecar never dispatched the attempt and never will."""
        if attempt != self._current:
            return self._ignore(attempt)
        retry = RetryReason.SETTLED_NOT_RUN if self._settles else RetryReason.NOT_RUN
        if progress.started:
            return self.failed(attempt, RefusalReason.UPSTREAM_FAILED, now, progress)
        if self._cancelled and reason is RefusalReason.CANCELLED:
            reason = RefusalReason.NO_UPSTREAM
        self._history.note_refusal(reason, retry_after)
        if reason in FINAL_REASONS:
            self._history.note_not_run()
            return self._give_up(reason)
        return self._retry_not_run(retry, now)

    def failed(
        self,
        attempt: AttemptId,
        reason: RefusalReason,
        now: float,
        progress: Progress = NOTHING_DELIVERED,
    ) -> Step:
        """Takes in `Failed`: the attempt was dispatched and may have run."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.note_may_have_run()
        own_cancel = self._cancelled and reason is RefusalReason.CANCELLED
        if reason in FINAL_REASONS and not own_cancel:
            return self._give_up(reason)
        preempted = reason is RefusalReason.PREEMPTED
        retry = RetryReason.PREEMPTED if preempted else RetryReason.IDEMPOTENT_FAILURE
        return self._retry_failure(retry, reason, progress, now)

    def link_lost(
        self, attempt: AttemptId, now: float, progress: Progress = NOTHING_DELIVERED
    ) -> Step:
        """Takes in that the link went after the request was sent, or while settling."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.note_may_have_run()
        if progress.complete or (self._may_repeat(progress) and self._retry_budget.tokens >= 1):
            retry, reason = RetryReason.IDEMPOTENT_FAILURE, RefusalReason.UPSTREAM_FAILED
            return self._retry_failure(retry, reason, progress, now)
        return self._settle(now)

    def settled(
        self,
        attempt: AttemptId,
        answer: Head | End | NotRun | Failed,
        now: float,
        progress: Progress = NOTHING_DELIVERED,
    ) -> Step:
        """Takes in the sidecar's answer to `Settle`."""
        match answer:
            case NotRun(reason=reason, retry_after=retry_after):
                known = parse_reason(reason)
                return self.not_run(attempt, known, retry_after, now, progress)
            case Failed(reason=reason):
                return self.failed(attempt, parse_reason(reason), now, progress)
            case _:
                return Deliver(attempt) if attempt == self._current else self._ignore(attempt)

    def expired(self, now: float) -> Step:
        """Takes in that the deadline passed while an attempt was pending."""
        self._history.note_expired()
        return self._give_up(RefusalReason.DEADLINE_PASSED)

    def finished(self, attempt: AttemptId) -> Step:
        """Takes in that the whole answer of an attempt was delivered."""
        if attempt != self._current:
            return self._ignore(attempt)
        self._history.note_may_have_run()
        self._retry_budget.earn()
        return self._deliver()

    def _retry_not_run(self, retry: RetryReason, now: float) -> Step:
        self._history.note_not_run()
        bounded = not self._traits.asks_all and self._history.count >= self._max_attempts
        if bounded:
            return self._give_up(self._history.refusal)
        return self._send(retry, NOTHING_DELIVERED, now)

    def _retry_failure(
        self, retry: RetryReason, reason: RefusalReason, progress: Progress, now: float
    ) -> Step:
        if progress.complete:
            return self._deliver()
        if not self._may_repeat(progress):
            return self._give_up(reason)
        bounded_elsewhere = retry is RetryReason.PREEMPTED
        if not bounded_elsewhere and not self._retry_budget.try_spend():
            return self._give_up(reason)
        return self._send(RetryReason.RESUMED if progress.started else retry, progress, now)

    def _may_repeat(self, progress: Progress) -> bool:
        if not self._traits.idempotent or self._history.ran >= self._max_attempts:
            return False
        return progress.resumable or not progress.started

    def _send(self, retry: RetryReason | None, progress: Progress, now: float) -> Step:
        budget = self._deadline - now - REPLY_MARGIN_SECONDS
        if budget <= 0:
            return self._give_up(RefusalReason.DEADLINE_PASSED)
        upstream = self._choose(retry, now)
        if upstream is None:
            return self._give_up(self._history.refusal)
        self._history.begin(upstream.name)
        self._settles = 0
        self._cancelled = False
        self._upstream = upstream
        number = self._history.count
        self._current = AttemptId(self._traits.request, number, self._traits.epoch)
        tokens, text = (progress.tokens, progress.text) if progress.started else (0, "")
        return SendTo(upstream, self._current, budget, retry, tokens, text)

    def _choose(self, retry: RetryReason | None, now: float) -> Upstream | None:
        upstream = self._candidates.choose(self._history.asked, now)
        may_ask_again = retry not in _ASK_ONCE and self._history.count < self._max_attempts
        if upstream is None and may_ask_again:
            return self._candidates.choose(set(), now)
        return upstream

    def _settle(self, now: float) -> Step:
        delay = SETTLE_DELAYS_SECONDS[min(self._settles, len(SETTLE_DELAYS_SECONDS) - 1)]
        budget = self._deadline - now - delay
        if budget <= 0:
            return self._give_up(RefusalReason.OUTCOME_UNKNOWN)
        self._settles += 1
        return SettleWith(self._upstream, self._current, delay, budget)

    def _deliver(self) -> Deliver:
        attempt = self._current
        self._current = None
        return Deliver(attempt)

    def _give_up(self, reason: RefusalReason) -> GiveUp:
        self._current = None
        return GiveUp(self._history.refuse(reason))

    def _ignore(self, attempt: AttemptId) -> Ignore:
        self.ignored += 1
        return Ignore(attempt)
