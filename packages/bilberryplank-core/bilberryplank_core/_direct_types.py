"""Data types of an entry that calls upstreams directly: routes, services, upstreams, requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from bilberryplank_core._checked_values import (
    MAX_SAFE_INTEGER,
    check_endpoint,
    check_name,
    check_text,
    check_whole,
)


class RetryRule(Enum):
    """Whether a request may be sent again after an attempt whose outcome is unknown."""

    SAFE = "safe"
    ONCE = "once"
    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def idempotent(self) -> bool:
        """True if executing the request twice is harmless."""
        return self in (RetryRule.SAFE, RetryRule.STREAM_RESUMABLE)

    @property
    def streamed(self) -> bool:
        """True if the response is a stream of events."""
        return self in (RetryRule.STREAM_ONCE, RetryRule.STREAM_RESUMABLE)


@dataclass(slots=True, frozen=True)
class PromptSegment:
    """A segment of a prompt, which other requests may share; the order of segments matters."""

    segment_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Values from the header of a caller's request.

    Attributes:
        request_id: Id that the caller gave this attempt.
        time_limit: Seconds that the caller waits; None if it sent no limit.
        credential: The caller's API key; None if it sent none.
        model: Name of the model; empty for a plain service.
        prompt: Segments of the prompt, in order; the last is specific to this request or session.
        prompt_tokens: Length of the whole prompt in tokens.
        max_output_tokens: Upper limit on output tokens.
        expected_output_tokens: The caller's estimate of output tokens; None if it sent none.
        last_event_id: Id of the last event that the caller received; None for a new request.
    """

    request_id: str
    time_limit: float | None = None
    credential: str | None = field(default=None, repr=False)
    model: str = ""
    prompt: tuple[PromptSegment, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int | None = None
    last_event_id: str | None = None


@dataclass(slots=True, frozen=True)
class DirectRoute:
    """Target services and service levels of requests for one authority and path prefix.

    Attributes:
        name: Unique name.
        authority: Value of the HTTP `Host` header.
        prefix: Path prefix, with a slash at both ends.
        retry_rule: Whether requests may be sent again.
        timeout: Longest time in seconds that a request is kept waiting.
        objective: Seconds to the response, or to its first event, that earn the full benefit.
        inter_event_objective: Longest pause in seconds between events; 0 if unset.
        rank: Priority; 0 is the highest.
        targets: Names of services with their traffic weights.
        max_executions: Maximum number of upstreams that may execute one request.
        public: True if no API key is needed.
        homes: Regions in which it may be served; empty for any.
    """

    name: str
    authority: str
    prefix: str
    retry_rule: RetryRule
    timeout: float
    objective: float
    inter_event_objective: float
    rank: int
    targets: tuple[tuple[str, int], ...]
    max_executions: int
    public: bool
    homes: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class EngineCapacity:
    """Capacity of each engine of a service.

    Attributes:
        slots: Batch slots, the requests that run at the same time.
        kv_cache_tokens: Tokens of prompts and outputs that fit into the KV cache.
        stride: Tokens per event of a stream.
    """

    slots: int
    kv_cache_tokens: int
    stride: int = 1


@dataclass(slots=True, frozen=True)
class DirectService:
    """A service.

    Attributes:
        name: Unique name.
        max_connections: Connections that each upstream accepts.
        engine: Capacity of its engines; None for a plain service.
        cold_seconds: Time for which an upstream is cold after its start; 0 if never.
        cold_per_second: Requests a second that a cold upstream tolerates.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation.

    Attributes:
        name: Unique name.
        rank: Priority that takes precedence over the route's; None if unset.
        homes: Regions in which its requests may be served; empty for any.
    """

    name: str
    rank: int | None = None
    homes: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class DirectConfiguration:
    """One version of the configuration.

    Attributes:
        version: Increases with each change.
        routes: All routes.
        services: Services by name.
        organisations: Organisations by API key; None if keys are not used.
    """

    version: int
    routes: tuple[DirectRoute, ...]
    services: dict[str, DirectService]
    organisations: dict[str, Organisation] | None = field(repr=False)


@dataclass(slots=True, frozen=True)
class DirectUpstream:
    """An upstream that entries call directly.

    Attributes:
        name: Unique id of this instance.
        service: Name of its service.
        address: `ip:port`.
        zone: Availability zone.
        slots: Requests that it runs at the same time.
        leaving: True if it accepts no new requests.
        started_at: Start time in milliseconds since 1970; None if unknown.
        cold_remaining: Seconds for which it is cold from when it wrote this.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    started_at: int | None = None
    cold_remaining: float = 0.0

    @classmethod
    def checked(
        cls,
        name: Any,
        service: Any,
        address: Any,
        zone: Any,
        slots: Any,
        leaving: bool = False,
        started_at: Any = None,
        cold_remaining: float = 0.0,
    ) -> DirectUpstream:
        """Returns an upstream from values that another writer supplied.

        Raises:
            ValueInvalid: One of them is malformed or out of range.
        """
        if started_at is not None:
            check_whole(started_at, "the start time", most=MAX_SAFE_INTEGER)
        return cls(
            check_name(name, "the id"),
            check_text(service, "the service"),
            check_endpoint(address, "the address"),
            check_text(zone, "the zone"),
            check_whole(slots, "the number of slots", least=1),
            leaving,
            started_at,
            cold_remaining,
        )


@dataclass(slots=True, frozen=True)
class UpstreamLoad:
    """Load that an upstream reported with a response.

    Attributes:
        running: Requests that run there.
        waiting: Requests that wait there.
        slots: Requests that it runs at the same time.
        pace: Time that work takes there now, as a multiple of the usual; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None

    def is_plausible(self, max_requests: int | None) -> bool:
        """Returns True if an upstream limited to `max_requests` requests can have this load."""
        counts = (self.running, self.waiting)
        return min(counts) >= 0 and (max_requests is None or sum(counts) <= max_requests)


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Values from the header of an upstream's response.

    Attributes:
        status: HTTP status.
        request_id: Id of the request that it belongs to; None if absent.
        refused: True if the upstream states that it did not execute the request.
        signed: True if the response carries the upstream's signature.
        load: Load of the upstream; None if absent.
        leaving: True if the upstream accepts no new requests from now on.
        backoff_seconds: Seconds for which the upstream asks this entry to send nothing; NaN if the
            value cannot be parsed, None if absent.
    """

    status: int
    request_id: str | None
    refused: bool
    signed: bool
    load: UpstreamLoad | None = None
    leaving: bool = False
    backoff_seconds: float | None = None
