"""Entities of the configuration: organisations, keys, classes, tiers, routes, upstreams, hosts."""

from __future__ import annotations

from dataclasses import dataclass, field

from bilberryplank_core._world_kinds import HostState, Role, UpstreamKind

Labels = dict[str, str]
"""Maps label names to label values."""


@dataclass(slots=True, frozen=True)
class Host:
    """A host as it appears in the platform's host list.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        role: Kind of process that the host runs.
        address: `ip:port` at which peers reach that process.
        state: Whether the host is live or leaving.
    """

    name: str
    zone: str
    role: Role
    address: str
    state: HostState = HostState.LIVE


@dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation, which owns keys and is billed for their use."""

    name: str
    labels: Labels = field(default_factory=dict)
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Key:
    """An API key of an organisation; only its keyed hash is stored.

    Attributes:
        key_id: Public identifier.
        organisation: Name of the organisation that owns the key.
        digest: Keyed hash of the secret, as hex text.
        labels: Labels that apply to the callers who use the key.
        withdrawn: True once the key has been revoked.
    """

    key_id: str
    organisation: str
    digest: str
    labels: Labels = field(default_factory=dict)
    withdrawn: bool = False


@dataclass(slots=True, frozen=True)
class ServiceTier:
    """A service tier, which orders requests by rank.

    Attributes:
        name: Unique name.
        rank: Position among the tiers; 0 is the highest.
    """

    name: str
    rank: int


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests with its latency targets.

    Attributes:
        name: Unique name.
        tier: Name of its service tier.
        first_token_target: Target for the time to the first byte of the response, in seconds.
        token_gap_target: Target for the inter-token latency, in seconds.
        deadline: Maximum duration of a request in seconds.
        floor_share: Guaranteed share of the dispatches at an upstream while requests of the class
            wait, 0 to 1.
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
    """A limit that applies to each matching organisation separately, across all entries.

    Attributes:
        name: Unique name.
        organisations: Selector over the labels of organisation and key.
        classes: Names of the request classes that the limit covers; empty for all.
        requests_per_second: Maximum rate of admitted requests; None for no limit.
        tokens_per_second: Maximum rate of admitted tokens; None for no limit.
        in_flight: Maximum number of concurrent requests; None for no limit.
    """

    name: str
    organisations: str = ""
    classes: tuple[str, ...] = ()
    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    in_flight: int | None = None


@dataclass(slots=True, frozen=True)
class ModelRoute:
    """A route to the engines that serve one model.

    Attributes:
        name: Unique name.
        model: Model name in the requests of callers.
        upstreams: Selector over the labels of upstreams.
        labels: Labels of the route.
        organisations: Selector over the callers that may use the route; empty for all.
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
        path_prefix: Prefix of the paths that the route matches; the longest matching prefix wins.
        methods: HTTP methods; empty for all.
        upstreams: Selector over the labels of upstreams.
        labels: Labels of the route.
        organisations: Selector over the callers that may use the route; empty for all.
        idempotent: False if a call may run at most once.
        idempotency_header: Header by which repeats of a request are recognised; empty for none.
        idempotency_pointer: JSON pointer to the value in the body by which repeats are
            recognised; empty for none.
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
    """A model engine or a plain service behind its sidecar.

    Attributes:
        name: Unique name.
        zone: Availability zone.
        kind: Whether the upstream is an engine or a plain service.
        address: `ip:port` of its sidecar.
        labels: Labels that selectors match.
        models: Names of the models that the upstream serves.
        draining: True once the upstream is to receive no new requests.
        checks_fencing: True only if the upstream rejects orders with outdated fencing tokens.
        cost_per_hour: Cost of running the upstream for an hour, in the operators' currency.
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
