"""Exceptions with stable codes, and the closed lists of refusal and retry reasons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus


class RefusalReason(Enum):
    """Why a request was refused; the value is the code in responses and metrics."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    SLOW_SENDER = "slow_sender"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    MEMORY_FULL = "memory_full"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    KEY_NOT_ALLOWED = "key_not_allowed"
    ROUTE_UNKNOWN = "route_unknown"
    MODEL_UNKNOWN = "model_unknown"
    CLASS_UNKNOWN = "class_unknown"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_FAILED = "upstream_failed"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFIGURATION_STALE = "configuration_stale"
    DUPLICATE_IN_PROGRESS = "duplicate_in_progress"
    DUPLICATE_UNSETTLED = "duplicate_unsettled"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    CANCELLED = "cancelled"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PREEMPTED = "preempted"
    PROMPT_QUARANTINED = "prompt_quarantined"
    INTERNAL = "internal"


class RetryReason(Enum):
    """Why an entry sent a request to an upstream again; the value is a metric label."""

    NOT_RUN = "not_run"
    LINK_FAILED = "link_failed"
    SETTLED_NOT_RUN = "settled_not_run"
    IDEMPOTENT_FAILURE = "idempotent_failure"
    RESUMED = "resumed"
    PREEMPTED = "preempted"


class BilberryplankError(Exception):
    """Base class of all exceptions of the project.

    Attributes:
        code: Stable, machine-readable name of the error type.
    """

    code = "internal"


class SettingsInvalid(BilberryplankError):
    """A settings file is invalid; nothing was started."""

    code = "settings_invalid"

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class ConfigurationInvalid(BilberryplankError):
    """A configuration document is invalid and was not accepted."""

    code = "configuration_invalid"

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults


class SelectorInvalid(BilberryplankError):
    """A selector could not be parsed."""

    code = "selector_invalid"


class FrameInvalid(BilberryplankError):
    """A peer sent bytes that are not a valid frame of this protocol."""

    code = "frame_invalid"


class MessageUnknown(FrameInvalid):
    """A peer sent a message of an unknown type; it may run a newer release."""

    code = "message_unknown"


class HandshakeFailed(BilberryplankError):
    """A peer did not prove that it belongs to the fleet, or uses another protocol version."""

    code = "handshake_failed"


class LinkClosed(BilberryplankError):
    """The connection to a peer was closed."""

    code = "link_closed"


class PlatformError(BilberryplankError):
    """Base class of the errors of the platform's services."""

    code = "platform"


class PlatformUnavailable(PlatformError):
    """The service did not respond, or responded with an error; the outcome is unknown."""

    code = "platform_unavailable"


class Conflict(PlatformError):
    """A conditional write found a different revision; nothing was written."""

    code = "conflict"


class ReportRejected(PlatformError):
    """The platform has already accepted different figures for this window."""

    code = "report_rejected"


class OrderRejected(PlatformError):
    """An order was rejected, for example because its fencing token is outdated."""

    code = "order_rejected"


class LeaseLost(BilberryplankError):
    """The process no longer holds the lease that the operation needs."""

    code = "lease_lost"


class Refused(BilberryplankError):
    """A request was refused or aborted.

    Attributes:
        reason: Why it was refused.
        not_run: True if no upstream has run or will run the request.
        retry_after: Seconds after which a retry is worthwhile; None if it is not.
    """

    code = "refused"

    def __init__(
        self,
        reason: RefusalReason,
        message: str,
        *,
        not_run: bool = True,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.not_run = not_run
        self.retry_after = retry_after


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault in a settings file or document.

    Attributes:
        place: File, line or path of the faulty value.
        message: What is wrong.
        expected: Which value is valid.
    """

    place: str
    message: str
    expected: str = ""

    def __str__(self) -> str:
        suffix = f" (expected {self.expected})" if self.expected else ""
        return f"{self.place}: {self.message}{suffix}"


REFUSAL_STATUS: dict[RefusalReason, HTTPStatus] = {
    RefusalReason.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.HEADERS_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    RefusalReason.SLOW_SENDER: HTTPStatus.REQUEST_TIMEOUT,
    RefusalReason.TOO_MANY_CONNECTIONS: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.MEMORY_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_WITHDRAWN: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_NOT_ALLOWED: HTTPStatus.FORBIDDEN,
    RefusalReason.ROUTE_UNKNOWN: HTTPStatus.NOT_FOUND,
    RefusalReason.MODEL_UNKNOWN: HTTPStatus.NOT_FOUND,
    RefusalReason.CLASS_UNKNOWN: HTTPStatus.FORBIDDEN,
    RefusalReason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.QUEUE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.SHED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DEADLINE_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalReason.NO_UPSTREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.UPSTREAM_LEAVING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.UPSTREAM_FAILED: HTTPStatus.BAD_GATEWAY,
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.CONFIGURATION_STALE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DUPLICATE_IN_PROGRESS: HTTPStatus.CONFLICT,
    RefusalReason.DUPLICATE_UNSETTLED: HTTPStatus.CONFLICT,
    RefusalReason.IDEMPOTENCY_CONFLICT: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.CANCELLED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    RefusalReason.PREEMPTED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.PROMPT_QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}
"""HTTP status of the response to the caller, by refusal reason."""
