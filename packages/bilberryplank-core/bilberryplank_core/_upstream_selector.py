"""Choice among the upstreams of a plain service.

Load pattern: few slots, upstreams of unequal speed, some that fail part of their requests.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bilberryplank_core._direct_types import DirectUpstream, UpstreamLoad
from bilberryplank_core._upstream_health import UpstreamHealth

LOAD_REPORT_LIFETIME_SECONDS = 0.5
"""A reported load counts less with its age and nothing after this long."""

SERVICE_TIME_WEIGHT = 0.2
"""Weight of one answer in the running service time of an upstream."""

FAILURE_COST_FACTOR = 1.5
"""A full share of failures weighs as much as this many times the service time."""

CROSS_ZONE_COST_SECONDS = 0.002
"""Cost of a choice outside the zone: about a round trip."""

INITIAL_SERVICE_SECONDS = 0.02
"""Service time assumed before the first answer."""


class UpstreamSelector:
    """What one entry knows of the upstreams of one plain service.

    Args:
        zone: Availability zone of the entry.
        health: Which upstreams are held out.
        rng: Breaks ties.
    """

    __slots__ = ("_health", "_in_flight", "_loads", "_rng", "_service_seconds", "_zone")

    def __init__(self, zone: str, health: UpstreamHealth, rng: Random) -> None:
        self._zone = zone
        self._health = health
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._loads: dict[str, tuple[UpstreamLoad, float]] = {}
        self._service_seconds: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Requests of this entry at upstreams of the service."""
        return sum(self._in_flight.values())

    def choose(self, upstreams: Sequence[DirectUpstream], now: float) -> DirectUpstream | None:
        """Returns the upstream that should answer first; None where all are held out."""
        available = [
            upstream for upstream in upstreams if self._health.is_available(upstream.name, now)
        ]
        if not available:
            return None
        return min(available, key=lambda upstream: (self._cost(upstream, now), self._rng.random()))

    def begin(self, name: str) -> None:
        """Counts a request that goes to an upstream."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def end(self, name: str, seconds: float | None) -> None:
        """Counts its end, and its service time where it was answered."""
        remaining = self._in_flight.get(name, 0) - 1
        if remaining > 0:
            self._in_flight[name] = remaining
        else:
            self._in_flight.pop(name, None)
        if seconds is not None:
            previous = self._service_seconds.get(name, seconds)
            self._service_seconds[name] = previous + SERVICE_TIME_WEIGHT * (seconds - previous)

    def report(self, name: str, load: UpstreamLoad, now: float) -> None:
        """Takes in a load that an upstream told."""
        self._loads[name] = (load, now)

    def forget(self, name: str) -> None:
        """Drops an upstream that is gone."""
        for records in (self._loads, self._service_seconds):
            records.pop(name, None)

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
