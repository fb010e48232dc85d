"""What to do after an attempt at an upstream: deliver, try again, or give up, and with which word.

The rules: a request that must not run twice goes on only after the upstream stated that it never
ran, or where no byte reached it. "Not run" is told to a caller only where that is certain of every
attempt.

Load pattern: upstreams that refuse, fail, lose answers or fall silent, alone or all at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bilberryplank_core._direct_types import ResponseHead, RetryRule

MAX_SENDS = 3
"""Upstreams that see one request at the most; each costs a share of the fleet's retry budget."""

NEVER_RAN_STATUS = 421
"""An upstream that is another one than was meant; it runs nothing."""

PROMISE_STATUSES = (408, 421, 429, 503)
"""Statuses by which a caller understands that its request never ran."""


class Outcome(Enum):
    """What is known of one attempt.

    Attributes:
        NOT_REACHED: No byte of the request went out.
        NOT_RUN: The upstream states that it did not and will not run it.
        UNKNOWN: It may have run, and no whole answer came.
        FAILED: It ran, and the upstream answered with a failure.
        ANSWERED: A whole answer, or one that is to be passed on as it comes.
    """

    NOT_REACHED = "not_reached"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    ANSWERED = "answered"


class Step(Enum):
    """What follows."""

    DELIVER = "deliver"
    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


def judge_head(head: ResponseHead, request_id: str) -> Outcome:
    """Returns the outcome that the head of an answer shows."""
    if head.request_id is not None and head.request_id != request_id:
        return Outcome.UNKNOWN
    if head.refused or head.status == NEVER_RAN_STATUS:
        return Outcome.NOT_RUN
    if not head.signed or head.status in PROMISE_STATUSES:
        return Outcome.UNKNOWN
    if head.status >= 500:
        return Outcome.FAILED
    return Outcome.ANSWERED


@dataclass(slots=True)
class AttemptLog:
    """Attempts of one request so far.

    Attributes:
        repeat: What may be repeated.
        max_executions: Most upstreams on which it may run.
        sends: Attempts that reached an upstream.
        runs: Attempts that may have run.
        misses: Attempts that reached nobody.
    """

    repeat: RetryRule
    max_executions: int
    sends: int = 0
    runs: int = 0
    misses: int = 0

    @property
    def not_run(self) -> bool:
        """True where it is certain that no upstream ran the request."""
        return self.runs == 0

    def record(self, outcome: Outcome) -> None:
        """Takes in the outcome of an attempt."""
        if outcome is Outcome.NOT_REACHED:
            self.misses += 1
            return
        self.sends += 1
        if outcome is not Outcome.NOT_RUN:
            self.runs += 1

    def may_retry(self, outcome: Outcome) -> bool:
        """Returns True where the rules allow another attempt, budgets aside."""
        if self.sends >= MAX_SENDS or self.misses >= MAX_SENDS:
            return False
        if outcome in (Outcome.NOT_REACHED, Outcome.NOT_RUN):
            return self.runs < self.max_executions
        return self.repeat.idempotent and self.runs < self.max_executions

    def after(self, outcome: Outcome, can_retry: bool) -> Step:
        """Returns what follows an attempt.

        Args:
            outcome: How it ended; already recorded.
            can_retry: True where time, budget and upstreams allow another attempt.
        """
        if outcome is Outcome.ANSWERED:
            return Step.DELIVER
        if can_retry and self.may_retry(outcome):
            return Step.RETRY
        if outcome is Outcome.FAILED:
            return Step.DELIVER
        return Step.REFUSE if self.not_run else Step.FAIL
