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

MAX_ATTEMPTS = 3
"""Upstreams that see one request at the most; each costs a share of the fleet's retry budget."""

MISDIRECTED_STATUS = 421
"""An upstream that is another one than was meant; it runs nothing."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
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


class NextAction(Enum):
    """What follows."""

    DELIVER = "deliver"
    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


def classify_response(head: ResponseHead, request_id: str) -> Outcome:
    """Returns the outcome that the head of an answer shows."""
    if head.request_id is not None and head.request_id != request_id:
        return Outcome.UNKNOWN
    if head.refused or head.status == MISDIRECTED_STATUS:
        return Outcome.NOT_RUN
    if not head.signed or head.status in NOT_RUN_STATUSES:
        return Outcome.UNKNOWN
    if head.status >= 500:
        return Outcome.FAILED
    return Outcome.ANSWERED


@dataclass(slots=True)
class RequestAttempts:
    """Attempts of one request so far.

    Attributes:
        retry_rule: What may be repeated.
        max_executions: Most upstreams on which it may run.
        delivered: Attempts that reached an upstream.
        possible_runs: Attempts that may have run.
        connect_failures: Attempts that reached nobody.
    """

    retry_rule: RetryRule
    max_executions: int
    delivered: int = 0
    possible_runs: int = 0
    connect_failures: int = 0

    @property
    def not_run(self) -> bool:
        """True where it is certain that no upstream ran the request."""
        return self.possible_runs == 0

    def record(self, outcome: Outcome) -> None:
        """Takes in the outcome of an attempt."""
        if outcome is Outcome.NOT_REACHED:
            self.connect_failures += 1
            return
        self.delivered += 1
        if outcome is not Outcome.NOT_RUN:
            self.possible_runs += 1

    def may_retry(self, outcome: Outcome) -> bool:
        """Returns True where the rules allow another attempt, budgets aside."""
        if self.delivered >= MAX_ATTEMPTS or self.connect_failures >= MAX_ATTEMPTS:
            return False
        if outcome in (Outcome.NOT_REACHED, Outcome.NOT_RUN):
            return self.possible_runs < self.max_executions
        return self.retry_rule.idempotent and self.possible_runs < self.max_executions

    def next_action(self, outcome: Outcome, can_retry: bool) -> NextAction:
        """Returns what follows an attempt.

        Args:
            outcome: How it ended; already recorded.
            can_retry: True where time, budget and upstreams allow another attempt.
        """
        if outcome is Outcome.ANSWERED:
            return NextAction.DELIVER
        if can_retry and self.may_retry(outcome):
            return NextAction.RETRY
        if outcome is Outcome.FAILED:
            return NextAction.DELIVER
        return NextAction.REFUSE if self.not_run else NextAction.FAIL
