"""Request properties that routing depends on, and the refusal reasons that rule out a retry."""

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
"""Reasons for which any other upstream would refuse the request too, so it is not retried."""


OVERLOAD_REASONS = frozenset(
    (RefusalReason.SHED, RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE_UNREACHABLE)
)
"""Reasons that are reported to the caller in preference to those of other upstreams."""


@dataclass(slots=True, frozen=True)
class RequestTraits:
    """Properties of a request that decide how it is routed and retried.

    Attributes:
        request_id: Request id.
        epoch: Epoch of the entry process.
        idempotent: False if the request may run at most once.
        deadline: Monotonic time by which it must be answered.
        tries_all_upstreams: True if every eligible upstream is tried before the request is refused
            for overload; so for all tiers but the lowest.
        affinity: Affinity key of the prompt's prefix; None without affinity.
        may_try_ejected: True if it may serve as the trial request of an ejected upstream; so for
            all tiers but the highest.
        kind: Class and tier of the request.
    """

    request_id: str
    epoch: str
    idempotent: bool
    deadline: float
    tries_all_upstreams: bool = True
    affinity: bytes | None = None
    may_try_ejected: bool = True
    kind: RequestKind = UNKNOWN_KIND


def counts_against_upstream(reason: RefusalReason) -> bool:
    """Returns whether a failed attempt counts as a failure of its upstream; preemption does not."""
    return reason is not RefusalReason.PREEMPTED


def parse_reason(text: str) -> RefusalReason:
    """Returns the reason that a peer sent; `INTERNAL` if this version does not know it."""
    try:
        return RefusalReason(text)
    except ValueError:
        return RefusalReason.INTERNAL
