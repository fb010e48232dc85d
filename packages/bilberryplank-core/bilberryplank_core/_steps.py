"""Steps that `RequestAttempts` returns for the entry to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core._errors import Refused, RetryReason
from bilberryplank_core._messages import AttemptId
from bilberryplank_core._world import Upstream


@dataclass(slots=True, frozen=True)
class DeliveryProgress:
    """The part of an answer that has reached the caller.

    Attributes:
        started: True once any byte of the answer has reached the caller.
        resumable: True if another upstream can continue after the last token.
        tokens_complete: True if the caller has every token and only the closing events are missing.
        tokens: Number of tokens that the caller has.
        text: Text of these tokens.
    """

    started: bool = False
    resumable: bool = False
    tokens_complete: bool = False
    tokens: int = 0
    text: str = ""


NOTHING_DELIVERED = DeliveryProgress()


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to an upstream.

    Attributes:
        upstream: The upstream.
        attempt: Identity of the attempt.
        budget_seconds: Time that the request has left, less a margin for the reply. It covers the
            whole request, not only the first byte of the answer.
        retry: Reason for which the request is sent again; None for the first attempt.
        resume_tokens: Number of answer tokens that the caller already has.
        resume_text: Text of these tokens.
    """

    upstream: Upstream
    attempt: AttemptId
    budget_seconds: float
    retry: RetryReason | None = None
    resume_tokens: int = 0
    resume_text: str = ""


@dataclass(slots=True, frozen=True)
class QueryOutcome:
    """Ask the sidecar for the outcome of an attempt, over a new connection.

    Attributes:
        upstream: The upstream whose sidecar is asked.
        attempt: Identity of the attempt.
        delay_seconds: Time to wait before asking.
        budget_seconds: Time that the query may take.
    """

    upstream: Upstream
    attempt: AttemptId
    delay_seconds: float
    budget_seconds: float


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Refuse the request, or cut its answer off if a part has been delivered."""

    refused: Refused


@dataclass(slots=True, frozen=True)
class CompleteAnswer:
    """Finish the caller's answer: it is complete, or lacks only its closing events."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class IgnoreEvent:
    """Do nothing: the report is about an attempt that is no longer current."""

    attempt: AttemptId


Step = SendAttempt | QueryOutcome | GiveUp | CompleteAnswer | IgnoreEvent
