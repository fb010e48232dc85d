"""Typed messages between entries and sidecars.

Every message is one msgpack array `[tag, field, field, ...]`; `_frames` has the bytes on the wire.
A process ignores messages and trailing fields that it does not know, and gives trailing fields that
are missing their default, so that processes of neighbouring releases talk to each other: new
messages and fields go to the end, fields with a default. What an older process must not miss needs
a new `PROTOCOL_VERSION`.

Times in messages are durations in seconds, never wall-clock times, because clocks of hosts differ.
"""

from __future__ import annotations

from dataclasses import dataclass, field

Headers = list[list[str]]
"""Header fields as `[name, value]` pairs, in order."""

MAX_RANKS = 16
"""Tiers whose queued cost a load hint tells apart; that of later ones is dropped."""


@dataclass(slots=True, frozen=True)
class AttemptId:
    """Identity of one attempt to run a request.

    Attributes:
        request: Request id, unique over the fleet.
        number: Attempt number, from 1.
        epoch: Epoch of the entry process that made it.
    """

    request: str
    number: int
    epoch: str


@dataclass(slots=True)
class Load:
    """Load of one upstream, carried on every answer of its sidecar.

    Attributes:
        queued: Requests waiting in the sidecar.
        running: Requests running at the upstream.
        slots: Requests that the upstream runs at once.
        queued_cost: Estimated tokens waiting.
        drain_rate: Estimated tokens finished a second.
        leaving: True once it takes no new work.
        version: Configuration version in force at the sidecar.
        confirmed_age: Seconds since a store read confirmed that version.
        attainment: Share of recent requests whose first token came in time; a refusal is a miss.
        arrivals: Requests that arrived a second.
        queued_by_rank: Estimated tokens waiting of each tier, by its rank from 0; empty where they
            are not told apart.
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
        """Returns the estimated tokens waiting that run before a newcomer of a tier."""
        if not self.queued_by_rank:
            return self.queued_cost
        return sum(self.queued_by_rank[: rank + 1])

    def may_queue(self, rank: int) -> bool:
        """Returns False where no request of a tier was waiting."""
        if not self.queued_by_rank:
            return self.queued > 0
        return rank < len(self.queued_by_rank) and self.queued_by_rank[rank] > 0


@dataclass(slots=True)
class Usage:
    """What one answer used."""

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
        nonce: Random bytes that the peer's proof must cover.
    """

    protocol: int
    role: str
    process: str
    epoch: str
    upstream: str
    nonce: bytes


@dataclass(slots=True)
class Proof:
    """Keyed hash over both hellos; shows that the sender has the fleet key."""

    mac: bytes


@dataclass(slots=True)
class Heartbeat:
    """Sent by an entry where a link was silent; the sidecar answers with `LoadReport`."""

    version: int
    confirmed_age: float


@dataclass(slots=True)
class LoadReport:
    """Answer to a heartbeat or probe, and unasked word that an upstream is leaving."""

    load: Load


@dataclass(slots=True)
class Dispatch:
    """An entry asks a sidecar to run a request.

    Attributes:
        attempt: Identity of this attempt.
        organisation: The key's organisation.
        key_id: Id of the key; the secret is never sent.
        class_name: Request class.
        route: Route name.
        method: HTTP method.
        path: Path and query, without any key.
        headers: Headers, without any key.
        body: Whole body.
        budget: Seconds that the request has left.
        idempotent: False where it may run at most once.
        prompt_tokens: Estimated prompt tokens.
        output_limit: Most output tokens that the caller allows; 0 where it names none.
        resume_tokens: Tokens of the answer that the caller already has.
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
    """The entry gave up on an attempt."""

    attempt: AttemptId


@dataclass(slots=True)
class Head:
    """Status and headers of an answer; it has begun to run.

    Attributes:
        attempt: Identity of the attempt.
        status: HTTP status.
        headers: Headers of the answer.
        load: Load of the upstream.
        waited: Seconds that the attempt waited in the sidecar before it went to the upstream.
    """

    attempt: AttemptId
    status: int
    headers: Headers
    load: Load
    waited: float = 0.0


@dataclass(slots=True)
class Body:
    """A part of an answer; `sequence` counts from 0 without gaps."""

    attempt: AttemptId
    sequence: int
    data: bytes


@dataclass(slots=True)
class End:
    """An answer is whole after `parts` parts."""

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
        retry_after: Seconds until it is worth coming back.
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
    """Asks what became of an attempt whose link was lost.

    The sidecar answers with the kept answer (`Head`, `Body`..., `End`), with `NotRun` after leaving
    a tombstone, or with `Failed`. An unknown attempt of an entry whose link began in an older epoch
    of the sidecar gets `Failed`.

    Attributes:
        attempt: Identity of the attempt.
        sidecar_epoch: Epoch of the sidecar to which the attempt was sent.
        takes_answer: False where a running answer must stay with the link that it goes to now; the
            sidecar then says `Failed` with the reason `duplicate_in_progress`.
    """

    attempt: AttemptId
    sidecar_epoch: str
    takes_answer: bool


@dataclass(slots=True)
class Acknowledge:
    """The entry has the whole answer; the sidecar may forget it."""

    attempt: AttemptId


@dataclass(slots=True)
class FetchConfiguration:
    """Asks a peer for its configuration, having seen that it is newer."""

    version: int


@dataclass(slots=True)
class ConfigurationDocument:
    """A configuration, as JSON bytes."""

    version: int
    confirmed_age: float
    document: bytes


@dataclass(slots=True)
class UsageStored:
    """The receiver may drop its copies of these usage records; the store has them."""

    record_ids: list[str]


@dataclass(slots=True)
class Credit:
    """The entry took `size` bytes of an answer; the sidecar may send that many more."""

    attempt: AttemptId
    size: int


@dataclass(slots=True)
class Goodbye:
    """The sender closes the link on purpose."""

    reason: str


@dataclass(slots=True)
class OrderEngine:
    """The holder of the lease of orders to engines has a sidecar give its engine an order.

    Attributes:
        order_id: Unique id; a sidecar's run carries it out once.
        fence: Fencing number of the lease.
        action: As in `EngineOrder`.
        argument: As in `EngineOrder`.
    """

    order_id: str
    fence: int
    action: str
    argument: str


@dataclass(slots=True)
class EngineOrdered:
    """Answer to `OrderEngine`: `done`, `rejected`, `stale` or `unknown`."""

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
"""Message types; the place in this tuple is the tag on the wire, so new ones go to the end."""
