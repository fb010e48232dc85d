"""Retry decisions after each attempt: deliver the response, retry, refuse or fail.

A request that must not be executed twice is retried only if the upstream stated that it did not
execute it, or if no byte reached the upstream. The caller is told that its request was not executed
only if that is certain for every attempt.

Motivating load: upstreams that refuse, fail, lose responses or stop responding, one or all at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bilberryplank_core._direct_types import ResponseHead, RetryRule

MAX_ATTEMPTS = 3
"""Limit on attempts that reach an upstream, and on failed connections, for each request. Each retry
uses up part of the fleet's retry budget."""

MISDIRECTED_STATUS = 421
"""Misdirected request: the address belongs to another upstream, which executes nothing."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell a caller that its request was not executed."""


class Outcome(Enum):
    """What is known about the execution of one attempt.

    Attributes:
        NOT_REACHED: No byte of the request was sent.
        NOT_RUN: The upstream states that it did not and will not execute it.
        UNKNOWN: It may have been executed, and no complete response arrived.
        FAILED: It was executed, and the upstream responded with an error.
        ANSWERED: A complete response, or one that is to be streamed to the caller.
    """

    NOT_REACHED = "not_reached"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    ANSWERED = "answered"


class NextAction(Enum):
    """What to do after an attempt."""

    DELIVER = "deliver"
    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


def classify_response(head: ResponseHead, request_id: str) -> Outcome:
    """Returns the outcome that the header of a response shows."""
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
    """Counts the attempts of one request.

    Attributes:
        retry_rule: Whether the request may be sent again.
        max_executions: Maximum number of upstreams that may execute it.
        delivered: Attempts that reached an upstream.
        possible_runs: Attempts that an upstream may have executed.
        connect_failures: Attempts that reached no upstream.
    """

    retry_rule: RetryRule
    max_executions: int
    delivered: int = 0
    possible_runs: int = 0
    connect_failures: int = 0

    @property
    def not_run(self) -> bool:
        """True if it is certain that no upstream executed the request."""
        return self.possible_runs == 0

    def record(self, outcome: Outcome) -> None:
        """Records the outcome of an attempt."""
        if outcome is Outcome.NOT_REACHED:
            self.connect_failures += 1
            return
        self.delivered += 1
        if outcome is not Outcome.NOT_RUN:
            self.possible_runs += 1

    def may_retry(self, outcome: Outcome) -> bool:
        """Returns True if another attempt is safe and within the limits of this request.

        The retry budget is checked elsewhere.
        """
        if self.delivered >= MAX_ATTEMPTS or self.connect_failures >= MAX_ATTEMPTS:
            return False
        if outcome in (Outcome.NOT_REACHED, Outcome.NOT_RUN):
            return self.possible_runs < self.max_executions
        return self.retry_rule.idempotent and self.possible_runs < self.max_executions

    def next_action(self, outcome: Outcome, can_retry: bool) -> NextAction:
        """Returns what to do after an attempt.

        Args:
            outcome: Outcome of the attempt, already recorded.
            can_retry: True if the time left, the retry budget and the available upstreams allow
                another attempt.
        """
        if outcome is Outcome.ANSWERED:
            return NextAction.DELIVER
        if can_retry and self.may_retry(outcome):
            return NextAction.RETRY
        if outcome is Outcome.FAILED:
            return NextAction.DELIVER
        return NextAction.REFUSE if self.not_run else NextAction.FAIL
