"""The things that operators know: organisations, keys, classes, tiers, routes, upstreams, hosts."""

from __future__ import annotations

from dataclasses import dataclass, field

from bilberryplank_core._world_kinds import HostState, Role, UpstreamKind

Labels = dict[str, str]
"""Label names to label values."""


@dataclass(slots=True, frozen=True)
class Host:
    """A host as the platform lists it.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        role: Which process of the system it runs.
        address: `ip:port` where peers reach that process.
        state: Live or leaving.
    """

    name: str
    zone: str
    role: Role
    address: str
    state: HostState = HostState.LIVE


@dataclass(slots=True, frozen=True)
class Organisation:
    """Who owns keys and is billed."""

    name: str
    labels: Labels = field(default_factory=dict)
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Key:
    """An organisation's key; only its keyed hash is kept.

    Attributes:
        key_id: Public identifier.
        organisation: Name of the owner.
        digest: Hex keyed hash of the secret.
        labels: Labels of the callers that use the key.
        withdrawn: True once the key must not work any more.
    """

    key_id: str
    organisation: str
    digest: str
    labels: Labels = field(default_factory=dict)
    withdrawn: bool = False


@dataclass(slots=True, frozen=True)
class ServiceTier:
    """A service tier.

    Attributes:
        name: Unique name.
        rank: 0 is the highest tier; larger numbers are lower tiers.
    """

    name: str
    rank: int


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with its latency targets.

    Attributes:
        name: Unique name.
        tier: Name of its service tier.
        first_token_target: Seconds until the first byte of the answer.
        token_gap_target: Seconds between tokens.
        deadline: Seconds a request may take before it is given up.
        floor_share: Least share of dispatches at an upstream while requests wait, 0 to 1.
        organisations: Selector over the labels of organisation and key; empty for all.
        routes: Selector over the labels of routes; empty for all.
    """

    name: str
    tier: str
    first_token_target: float = 0.38
    token_gap_target: float = 0.048
    deadline: float = 60.0
    floor_share: float = 0.05
    organisations: str = ""
    routes: str = ""


@dataclass(slots=True, frozen=True)
class Limit:
    """A limit for each organisation that its selector matches, over all entries.

    Attributes:
        name: Unique name.
        organisations: Selector over the labels of organisation and key.
        classes: Names of the classes it covers; empty for all.
        requests_per_second: Requests admitted a second; None for no bound.
        tokens_per_second: Tokens admitted a second; None for no bound.
        in_flight: Requests running at once; None for no bound.
    """

    name: str
    organisations: str = ""
    classes: tuple[str, ...] = ()
    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    in_flight: int | None = None


@dataclass(slots=True, frozen=True)
class ModelRoute:
    """A route to model engines that serve one model.

    Attributes:
        name: Unique name.
        model: Model name that callers send.
        upstreams: Selector over the labels of upstreams.
        labels: Labels of the route.
        organisations: Selector over callers that may use it; empty for all.
    """

    name: str
    model: str
    upstreams: str
    labels: Labels = field(default_factory=dict)
    organisations: str = ""


@dataclass(slots=True, frozen=True)
class ServiceRoute:
    """A route to a plain service.

    Attributes:
        name: Unique name.
        path_prefix: Paths that begin with it take the route, the longest prefix first.
        methods: HTTP methods; empty for all.
        upstreams: Selector over the labels of upstreams.
        labels: Labels of the route.
        organisations: Selector over callers that may use it; empty for all.
        idempotent: False where a call may run at most once.
        idempotency_header: Header that identifies a caller's repeat; empty for none.
        idempotency_pointer: JSON pointer into the body that identifies a repeat; empty for none.
    """

    name: str
    path_prefix: str
    upstreams: str
    methods: tuple[str, ...] = ()
    labels: Labels = field(default_factory=dict)
    organisations: str = ""
    idempotent: bool = True
    idempotency_header: str = ""
    idempotency_pointer: str = ""


Route = ModelRoute | ServiceRoute


@dataclass(slots=True, frozen=True)
class Upstream:
    """A model engine or plain service behind its sidecar.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        kind: Engine or plain service.
        address: `ip:port` of its sidecar.
        labels: Labels for selectors.
        models: Models that it serves.
        draining: True once operators want no new work there.
        checks_fencing: True only where it refuses orders with old fencing numbers itself.
        cost_per_hour: What running it costs, in the operators' currency.
    """

    name: str
    zone: str
    kind: UpstreamKind
    address: str
    labels: Labels = field(default_factory=dict)
    models: tuple[str, ...] = ()
    draining: bool = False
    checks_fencing: bool = False
    cost_per_hour: float = 0.0
