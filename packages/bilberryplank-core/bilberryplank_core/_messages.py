"""Typed messages between entries and sidecars.

Each message is one msgpack array `[tag, field, field, ...]`, which `_frames` encodes and decodes.
Processes of neighbouring releases are compatible: a process ignores unknown messages and unknown
trailing fields, and uses the defaults of missing trailing fields. New messages and fields
therefore go to the end, and new fields have a default. A change that older processes must not
ignore needs a new `PROTOCOL_VERSION`.

Times in messages are durations in seconds, never wall-clock times, because the clocks of hosts
differ.
"""

from __future__ import annotations

from dataclasses import dataclass, field

Headers = list[list[str]]
"""Header fields as `[name, value]` pairs, in order."""

MAX_RANKS = 16
"""Tiers whose queued cost a load hint lists; the cost of later tiers is dropped."""


@dataclass(slots=True, frozen=True)
class AttemptId:
    """Identity of one attempt to run a request.

    Attributes:
        request: Request id, unique over the fleet.
        number: Attempt number, from 1.
        epoch: Epoch of the entry process that started it.
    """

    request: str
    number: int
    epoch: str


@dataclass(slots=True)
class Load:
    """Load of one upstream, sent with every response of its sidecar.

    Attributes:
        queued: Requests queued in the sidecar.
        running: Requests running at the upstream.
        slots: Requests that the upstream can run at once.
        queued_cost: Estimated tokens of the queued requests.
        drain_rate: Estimated tokens completed per second.
        leaving: True once the upstream accepts no new requests.
        version: Configuration version in force at the sidecar.
        confirmed_age: Seconds since a store read confirmed that version.
        attainment: Share of recent requests whose first token met its target; a refusal is a miss.
        arrivals: Requests that arrived per second.
        queued_by_rank: Estimated tokens of the queued requests of each tier, indexed by its rank;
            empty if they are not reported by tier.
    """

    queued: int = 0
    running: int = 0
    slots: int = 1
    queued_cost: float = 0.0
    drain_rate: float = 0.0
    leaving: bool = False
    version: int = 0
    confirmed_age: float = 0.0
    attainment: float = 1.0
    arrivals: float = 0.0
    queued_by_rank: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        del self.queued_by_rank[MAX_RANKS:]

    def queued_ahead(self, rank: int) -> float:
        """Returns the estimated queued tokens that run before a new request of a tier."""
        if not self.queued_by_rank:
            return self.queued_cost
        return sum(self.queued_by_rank[: rank + 1])

    def may_queue(self, rank: int) -> bool:
        """Returns whether a request of a tier was queued, so that a new one may have to queue."""
        if not self.queued_by_rank:
            return self.queued > 0
        return rank < len(self.queued_by_rank) and self.queued_by_rank[rank] > 0


@dataclass(slots=True)
class Usage:
    """Usage of one response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    calls: int = 1


@dataclass(slots=True)
class Hello:
    """First message of each side of a link.

    Attributes:
        protocol: Version of this protocol.
        role: `entry` or `sidecar`.
        process: Name of the process.
        epoch: Random id of this run of the process.
        upstream: Name of the upstream behind a sidecar; empty for an entry.
        nonce: Random bytes that the proof of the peer must cover.
    """

    protocol: int
    role: str
    process: str
    epoch: str
    upstream: str
    nonce: bytes


@dataclass(slots=True)
class Proof:
    """Keyed hash over both `Hello` messages; proves that the sender has the fleet key."""

    mac: bytes


@dataclass(slots=True)
class Heartbeat:
    """Sent by an entry on an idle link; the sidecar responds with `LoadReport`."""

    version: int
    confirmed_age: float


@dataclass(slots=True)
class LoadReport:
    """Response to a heartbeat or probe; also sent unsolicited when an upstream is leaving."""

    load: Load


@dataclass(slots=True)
class Dispatch:
    """Request of an entry that a sidecar run an attempt.

    Attributes:
        attempt: Identity of this attempt.
        organisation: The key's organisation.
        key_id: Id of the key; the secret is never sent.
        class_name: Request class.
        route: Route name.
        method: HTTP method.
        path: Path and query, without any key.
        headers: Headers, without any key.
        body: Complete body.
        budget: Seconds left until the deadline of the request.
        idempotent: False if the request may run at most once.
        prompt_tokens: Estimated prompt tokens.
        output_limit: Limit on output tokens that the caller set; 0 if it set none.
        resume_tokens: Tokens of the response that the caller already has.
        resume_text: Text of those tokens.
        version: Configuration version in force at the entry.
        confirmed_age: Seconds since a store read confirmed it.
    """

    attempt: AttemptId
    organisation: str
    key_id: str
    class_name: str
    route: str
    method: str
    path: str
    headers: Headers
    body: bytes
    budget: float
    idempotent: bool = True
    prompt_tokens: int = 0
    output_limit: int = 0
    resume_tokens: int = 0
    resume_text: str = ""
    version: int = 0
    confirmed_age: float = 0.0


@dataclass(slots=True)
class Cancel:
    """The entry cancels an attempt."""

    attempt: AttemptId


@dataclass(slots=True)
class Head:
    """Status and headers of a response; shows that the attempt has started to run.

    Attributes:
        attempt: Identity of the attempt.
        status: HTTP status.
        headers: Headers of the response.
        load: Load of the upstream.
        waited: Seconds that the attempt was queued in the sidecar before it went to the upstream.
    """

    attempt: AttemptId
    status: int
    headers: Headers
    load: Load
    waited: float = 0.0


@dataclass(slots=True)
class Body:
    """A part of a response body; `sequence` counts from 0 without gaps."""

    attempt: AttemptId
    sequence: int
    data: bytes


@dataclass(slots=True)
class End:
    """End of a response, which consists of `parts` body parts."""

    attempt: AttemptId
    parts: int
    usage: Usage
    load: Load


@dataclass(slots=True)
class NotRun:
    """The sidecar never dispatched the attempt and never will.

    Attributes:
        attempt: Identity of the attempt.
        reason: Value of a `RefusalReason`.
        retry_after: Seconds after which a retry is worthwhile.
        load: Load of the upstream.
    """

    attempt: AttemptId
    reason: str
    retry_after: float
    load: Load


@dataclass(slots=True)
class Failed:
    """The attempt was dispatched and failed; it may have run.

    Attributes:
        attempt: Identity of the attempt.
        reason: Value of a `RefusalReason`.
        load: Load of the upstream.
    """

    attempt: AttemptId
    reason: str
    load: Load


@dataclass(slots=True)
class Settle:
    """Asks for the outcome of an attempt whose link was lost.

    The sidecar responds with the retained response (`Head`, `Body`..., `End`), with `NotRun` after
    it stored a tombstone, or with `Failed`. It responds with `Failed` to an unknown attempt of an
    entry whose link began in an older epoch of the sidecar.

    Attributes:
        attempt: Identity of the attempt.
        sidecar_epoch: Epoch of the sidecar to which the attempt was sent.
        accepts_response: False if a running response must stay on its current link; the sidecar
            then sends `Failed` with the reason `duplicate_in_progress`.
    """

    attempt: AttemptId
    sidecar_epoch: str
    accepts_response: bool


@dataclass(slots=True)
class Acknowledge:
    """The entry has the complete response; the sidecar may discard its copy."""

    attempt: AttemptId


@dataclass(slots=True)
class FetchConfiguration:
    """Asks a peer for its configuration, which is newer than that of the sender."""

    version: int


@dataclass(slots=True)
class ConfigurationDocument:
    """A configuration, as JSON bytes."""

    version: int
    confirmed_age: float
    document: bytes


@dataclass(slots=True)
class UsageStored:
    """These usage records are stored; the receiver may drop its copies."""

    record_ids: list[str]


@dataclass(slots=True)
class Credit:
    """The entry consumed `size` bytes of a response; the sidecar may send that many more."""

    attempt: AttemptId
    size: int


@dataclass(slots=True)
class Goodbye:
    """The sender closes the link intentionally."""

    reason: str


@dataclass(slots=True)
class OrderEngine:
    """Order to an engine, which the holder of the lease of engine orders sends to its sidecar.

    Attributes:
        order_id: Unique id; a run of a sidecar executes it once.
        fence: Fencing token of the lease.
        action: As in `EngineOrder`.
        argument: As in `EngineOrder`.
    """

    order_id: str
    fence: int
    action: str
    argument: str


@dataclass(slots=True)
class EngineOrdered:
    """Response to `OrderEngine`: `done`, `rejected`, `stale` or `unknown`."""

    order_id: str
    outcome: str


Message = (
    Hello
    | Proof
    | Heartbeat
    | LoadReport
    | Dispatch
    | Cancel
    | Head
    | Body
    | End
    | NotRun
    | Failed
    | Settle
    | Acknowledge
    | FetchConfiguration
    | ConfigurationDocument
    | UsageStored
    | Goodbye
    | Credit
    | OrderEngine
    | EngineOrdered
)

MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    Proof,
    Heartbeat,
    LoadReport,
    Dispatch,
    Cancel,
    Head,
    Body,
    End,
    NotRun,
    Failed,
    Settle,
    Acknowledge,
    FetchConfiguration,
    ConfigurationDocument,
    UsageStored,
    Goodbye,
    Credit,
    OrderEngine,
    EngineOrdered,
)
"""Message types; the index in this tuple is the tag on the wire, so new ones go to the end."""
