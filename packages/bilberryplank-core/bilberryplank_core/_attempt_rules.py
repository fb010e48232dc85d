"""What attempts need to know of a request, and which refusal reasons end it."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core._errors import RefusalReason
from bilberryplank_core._request_kind import UNKNOWN_KIND, RequestKind

FINAL_REASONS = frozenset(
    (
        RefusalReason.MALFORMED_REQUEST,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.KEY_UNKNOWN,
        RefusalReason.KEY_WITHDRAWN,
        RefusalReason.KEY_NOT_ALLOWED,
        RefusalReason.RATE_LIMITED,
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.DUPLICATE_IN_PROGRESS,
        RefusalReason.DUPLICATE_UNSETTLED,
        RefusalReason.IDEMPOTENCY_CONFLICT,
        RefusalReason.CANCELLED,
    )
)
"""Reasons that another upstream would only repeat."""


OVERLOAD_REASONS = frozenset(
    (RefusalReason.SHED, RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE_UNREACHABLE)
)
"""Reasons that tell a caller more than what other upstreams said."""


@dataclass(slots=True, frozen=True)
class RequestTraits:
    """What the attempts need to know of a request.

    Attributes:
        request: Request id.
        epoch: Epoch of the entry process.
        idempotent: False where it may run at most once.
        deadline: Monotonic time by which it must be answered.
        asks_all: True where every eligible upstream is asked before a refusal for overload; for
            all tiers but the lowest.
        affinity: Key of the prompt's prefix; None without affinity.
        tries_ejected: True where it may try out an ejected upstream; for all tiers but the highest.
        kind: Its class and tier.
    """

    request: str
    epoch: str
    idempotent: bool
    deadline: float
    asks_all: bool = True
    affinity: bytes | None = None
    tries_ejected: bool = True
    kind: RequestKind = UNKNOWN_KIND


def blames_upstream(reason: RefusalReason) -> bool:
    """Returns whether a failed attempt speaks against its upstream; a preempted one doesn't."""
    return reason is not RefusalReason.PREEMPTED


def parse_reason(text: str) -> RefusalReason:
    """Returns the reason that a peer sent; `INTERNAL` where this version does not know it."""
    try:
        return RefusalReason(text)
    except ValueError:
        return RefusalReason.INTERNAL
