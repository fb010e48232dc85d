"""What an entry that calls upstreams itself knows: routes, services, upstreams and calls."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RetryRule(Enum):
    """What may be done again when the outcome of an attempt is unknown."""

    SAFE = "safe"
    ONCE = "once"
    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def idempotent(self) -> bool:
        """True where a second run does no harm."""
        return self in (RetryRule.SAFE, RetryRule.STREAM_RESUMABLE)

    @property
    def streamed(self) -> bool:
        """True where the answer is a stream of events."""
        return self in (RetryRule.STREAM_ONCE, RetryRule.STREAM_RESUMABLE)


@dataclass(slots=True, frozen=True)
class PromptSegment:
    """A part of a prompt that other requests may share; parts are kept in order."""

    segment_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class RequestHead:
    """What the head of a caller's request says.

    Attributes:
        request_id: The caller's id of this attempt.
        time_limit: Seconds that the caller waits; None where it did not say.
        credential: The caller's key; None without one.
        model: Name of the model; empty for a plain service.
        prompt: Parts of the prompt, in order; the last belongs to this request or session.
        prompt_tokens: Tokens of the whole prompt.
        max_output_tokens: Most tokens that the answer may have.
        expected_output_tokens: The caller's own estimate; None without one.
        last_event_id: Id of the last event that the caller has; None for a fresh request.
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
    """Where requests of one authority and path prefix go.

    Attributes:
        name: Unique name.
        authority: Value of the HTTP `Host` header.
        prefix: Path prefix, with a slash at both ends.
        retry_rule: What may be repeated.
        timeout: Longest time in seconds that a request is kept waiting.
        objective: Seconds to the answer, or to the first event, that earn the full benefit.
        inter_event_objective: Longest pause in seconds between events; 0 where none is set.
        rank: Urgency; 0 is the highest.
        targets: Names of services with their weights.
        max_executions: Most upstreams on which one request may run.
        public: True where no key is needed.
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


@dataclass(slots=True, frozen=True)
class EngineCapacity:
    """Size of the engines of a service.

    Attributes:
        slots: Requests in one batch.
        kv_cache_tokens: Tokens that fit into the memory of prompts and answers.
        stride: Tokens in one event of a stream.
    """

    slots: int
    kv_cache_tokens: int
    stride: int = 1


@dataclass(slots=True, frozen=True)
class DirectService:
    """A service; `engine` is None for a plain one."""

    name: str
    max_connections: int
    engine: EngineCapacity | None = None


@dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation; `rank` goes before the route's where it is set."""

    name: str
    rank: int | None = None


@dataclass(slots=True, frozen=True)
class DirectConfiguration:
    """One version of the configuration; organisations are looked up by key.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: Services by name.
        organisations: Organisations by key; None where no keys are used.
    """

    version: int
    routes: tuple[DirectRoute, ...]
    services: dict[str, DirectService]
    organisations: dict[str, Organisation] | None = field(repr=False)


@dataclass(slots=True, frozen=True)
class DirectUpstream:
    """An upstream that entries call by address.

    Attributes:
        name: Unique id of this start of it.
        service: Name of its service.
        address: `ip:port`.
        zone: Availability zone.
        slots: Requests that it runs at once.
        leaving: True where it takes no new work.
        started_at: Start in milliseconds since 1970; None where it did not say.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    started_at: int | None = None


@dataclass(slots=True, frozen=True)
class UpstreamLoad:
    """Load that an upstream told with an answer."""

    running: int
    waiting: int
    slots: int

    def is_plausible(self, max_requests: int | None) -> bool:
        """Returns True where an upstream that holds at most `max_requests` requests can have this load."""
        counts = (self.running, self.waiting)
        return min(counts) >= 0 and (max_requests is None or sum(counts) <= max_requests)


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """What the head of an upstream's answer says.

    Attributes:
        status: HTTP status.
        request_id: Id of the request that it answers; None where it does not say.
        refused: True where the upstream states that the request never ran there.
        signed: True where the answer carries the upstream's signature.
        load: Load at the upstream; None where it does not say.
        leaving: True where the upstream says that it takes no new work from now on.
        backoff_seconds: Seconds for which the upstream wants nothing from this entry; NaN where what it says
            cannot be read, None where it says nothing.
    """

    status: int
    request_id: str | None
    refused: bool
    signed: bool
    load: UpstreamLoad | None = None
    leaving: bool = False
    backoff_seconds: float | None = None
