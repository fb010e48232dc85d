"""Selects an upstream for each request to a plain service.

Motivating load: upstreams with few slots and of unequal speed, some of which fail part of their
requests.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from random import Random

from bilberryplank_core._direct_types import DirectUpstream, UpstreamLoad
from bilberryplank_core._upstream_health import UpstreamHealth
from bilberryplank_core.eligibility._cold_upstreams import SendRule, always

LOAD_REPORT_LIFETIME_SECONDS = 0.5
"""The weight of a reported load falls linearly with its age, to 0 at this age."""

SERVICE_TIME_WEIGHT = 0.2
"""Weight of one response in the moving average of an upstream's service time."""

FAILURE_COST_FACTOR = 1.5
"""Cost of an upstream that fails all requests, as a multiple of its service time."""

CROSS_ZONE_COST_SECONDS = 0.002
"""Cost of an upstream in another availability zone: about one round trip."""

INITIAL_SERVICE_SECONDS = 0.02
"""Service time assumed for an upstream before its first response."""


class UpstreamSelector:
    """Load and service times of the upstreams of one plain service, as seen by one entry.

    Args:
        zone: Availability zone of the entry.
        health: Which upstreams are ejected.
        rng: Breaks ties.
        may_send: Returns False for an upstream that this entry must send nothing to now.
    """

    __slots__ = (
        "_health",
        "_in_flight",
        "_loads",
        "_may_send",
        "_rng",
        "_service_seconds",
        "_zone",
    )

    def __init__(
        self, zone: str, health: UpstreamHealth, rng: Random, may_send: SendRule = always
    ) -> None:
        self._may_send = may_send
        self._zone = zone
        self._health = health
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._loads: dict[str, tuple[UpstreamLoad, float]] = {}
        self._service_seconds: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Requests of this entry that run at upstreams of the service."""
        return sum(self._in_flight.values())

    def choose(self, upstreams: Sequence[DirectUpstream], now: float) -> DirectUpstream | None:
        """Returns the upstream with the lowest expected latency; None if all are ejected."""
        available = [
            upstream
            for upstream in upstreams
            if self._health.is_available(upstream.name, now) and self._may_send(upstream, now)
        ]
        if not available:
            return None
        return min(available, key=lambda upstream: (self._cost(upstream, now), self._rng.random()))

    def begin(self, name: str) -> None:
        """Records that a request was sent to an upstream."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def end(self, name: str, seconds: float | None) -> None:
        """Records that a request ended.

        Args:
            name: Name of the upstream.
            seconds: Service time; None if there was no response.
        """
        remaining = self._in_flight.get(name, 0) - 1
        if remaining > 0:
            self._in_flight[name] = remaining
        else:
            self._in_flight.pop(name, None)
        if seconds is not None:
            previous = self._service_seconds.get(name, seconds)
            self._service_seconds[name] = previous + SERVICE_TIME_WEIGHT * (seconds - previous)

    def report(self, name: str, load: UpstreamLoad, now: float) -> None:
        """Records a load that an upstream reported."""
        self._loads[name] = (load, now)

    def forget(self, name: str) -> None:
        """Removes the records of a removed upstream."""
        for records in (self._loads, self._service_seconds):
            records.pop(name, None)

    def retain(self, names: Collection[str]) -> None:
        """Removes the records of all other upstreams; a late answer may have left some."""
        for name in {*self._loads, *self._service_seconds} - set(names):
            self.forget(name)

    def _cost(self, upstream: DirectUpstream, now: float) -> float:
        busy = float(self._in_flight.get(upstream.name, 0))
        report = self._loads.get(upstream.name)
        if report is not None:
            load, reported_at = report
            freshness = max(0.0, 1.0 - (now - reported_at) / LOAD_REPORT_LIFETIME_SECONDS)
            busy = max(busy, freshness * (load.running + load.waiting))
        seconds = self._service_seconds.get(upstream.name, INITIAL_SERVICE_SECONDS)
        wait = seconds * max(0.0, busy + 1 - upstream.slots) / max(1, upstream.slots)
        contention = seconds * 0.1 * busy / max(1, upstream.slots)
        failures = FAILURE_COST_FACTOR * seconds * self._health.failure_share(upstream.name)
        cross_zone = 0.0 if upstream.zone == self._zone else CROSS_ZONE_COST_SECONDS
        return seconds + wait + contention + failures + cross_zone
