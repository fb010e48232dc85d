"""Inputs and decisions of the scaling policy."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Drain(Enum):
    """Who has drained an upstream."""

    NONE = "none"
    OPERATOR = "operator"
    POLICY = "policy"


@dataclass(slots=True, frozen=True)
class PoolMember:
    """One upstream of a pool.

    Attributes:
        name: Name of the upstream.
        zone: Availability zone.
        active_requests: Number of running and queued requests.
        cost_per_hour: Cost of running it.
        drain: Who has drained it, if anyone.
        needed: True if it is the last live upstream of some route.
    """

    name: str
    zone: str
    active_requests: int
    cost_per_hour: float
    drain: Drain = Drain.NONE
    needed: bool = False


@dataclass(slots=True, frozen=True)
class PoolLoad:
    """Load of a pool, summed over all zones.

    Attributes:
        pool: Name of the pool.
        members: Its live upstreams.
        zones: Zones in which it may grow.
        queued_cost: Estimated tokens of the queued requests.
        drain_rate: Estimated tokens completed per second.
        capacity: Tokens per second that the members open to new requests could complete.
        attainment: Share of recent requests that met their targets, 0 to 1.
        requests_per_second: Arrival rate.
        open_orders: Orders whose outcome is unknown or whose upstream has not joined yet.
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
