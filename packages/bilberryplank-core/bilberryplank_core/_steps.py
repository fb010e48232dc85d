"""Next steps of a request, as its attempts decide them."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core._errors import Refused, RetryReason
from bilberryplank_core._messages import AttemptId
from bilberryplank_core._world import Upstream


@dataclass(slots=True, frozen=True)
class Progress:
    """What of an answer reached the caller.

    Attributes:
        started: True once any byte of the answer reached the caller.
        resumable: True where another upstream can go on after the last token.
        complete: True where the caller has every token and only the end is missing.
        tokens: Tokens that the caller has.
        text: Their text.
    """

    started: bool = False
    resumable: bool = False
    complete: bool = False
    tokens: int = 0
    text: str = ""


NOTHING_DELIVERED = Progress()


@dataclass(slots=True, frozen=True)
class SendTo:
    """Send the request.

    Attributes:
        upstream: Where to.
        attempt: Identity of the attempt.
        budget: Seconds that the sidecar has.
        retry: Why it is sent again; None the first time.
        resume_tokens: Tokens that the caller already has.
        resume_text: Their text.
    """

    upstream: Upstream
    attempt: AttemptId
    budget: float
    retry: RetryReason | None = None
    resume_tokens: int = 0
    resume_text: str = ""


@dataclass(slots=True, frozen=True)
class SettleWith:
    """Ask over a new connection what became of an attempt.

    Attributes:
        upstream: Whose sidecar to ask.
        attempt: Identity of the attempt.
        delay: Seconds to wait first.
        budget: Seconds that asking may take.
    """

    upstream: Upstream
    attempt: AttemptId
    delay: float
    budget: float


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Refuse the request, or cut its answer off where a part was delivered."""

    refused: Refused


@dataclass(slots=True, frozen=True)
class Deliver:
    """The caller's answer is whole, or can be made whole from what came."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class Ignore:
    """The event was of an attempt that is no longer current; nothing to do."""

    attempt: AttemptId


Step = SendTo | SettleWith | GiveUp | Deliver | Ignore
