"""What the scaling policy sees, what it decides, and its bounds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Drain(Enum):
    """Who wants no new work at an upstream."""

    NONE = "none"
    OPERATOR = "operator"
    POLICY = "policy"


@dataclass(slots=True, frozen=True)
class PoolMember:
    """One upstream of a pool.

    Attributes:
        name: Name of the upstream.
        zone: Availability zone.
        busy: Requests that run or wait there.
        cost_per_hour: What running it costs.
        drain: Whether it is drained, and by whom.
        needed: True where it is the last live one that some class or route needs.
    """

    name: str
    zone: str
    busy: int
    cost_per_hour: float
    drain: Drain = Drain.NONE
    needed: bool = False


@dataclass(slots=True, frozen=True)
class PoolLoad:
    """Load of a pool over all zones.

    Attributes:
        pool: Name of the pool.
        members: Its upstreams that live.
        zones: Zones in which it may grow.
        queued_cost: Estimated tokens waiting.
        drain_rate: Estimated tokens finished a second.
        capacity: Tokens a second that the members that take work could finish.
        attainment: Share of the last requests that met their targets, 0 to 1.
        requests_per_second: Requests that arrived.
        open_orders: Orders whose outcome is unknown or whose upstream has not joined.
    """

    pool: str
    members: tuple[PoolMember, ...]
    zones: tuple[str, ...]
    queued_cost: float
    drain_rate: float
    capacity: float
    attainment: float
    requests_per_second: float
    open_orders: int = 0


@dataclass(slots=True, frozen=True)
class StartIntent:
    """Start one upstream of a pool in a zone."""

    pool: str
    zone: str


@dataclass(slots=True, frozen=True)
class DrainIntent:
    """Set or clear the drain of an upstream."""

    upstream: str
    draining: bool


@dataclass(slots=True, frozen=True)
class StopIntent:
    """Stop a drained upstream."""

    upstream: str
    zone: str


ScalingIntent = StartIntent | DrainIntent | StopIntent
