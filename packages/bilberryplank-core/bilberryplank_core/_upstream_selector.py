"""Choice among the upstreams of a plain service.

Load pattern: few slots, upstreams of unequal speed, some that fail part of their requests.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bilberryplank_core._direct_types import DirectUpstream, UpstreamLoad
from bilberryplank_core._upstream_health import UpstreamHealth

REPORT_SECONDS = 0.5
"""A reported load counts less with its age and nothing after this long."""

SPEED_WEIGHT = 0.2
"""Weight of one answer in the running service time of an upstream."""

FAILURE_PENALTY = 1.5
"""A full share of failures weighs as much as this many times the service time."""

OTHER_ZONE_SECONDS = 0.002
"""Cost of a choice outside the zone: about a round trip."""

FIRST_SERVICE_SECONDS = 0.02
"""Service time assumed before the first answer."""


class UpstreamSelector:
    """What one entry knows of the upstreams of one plain service.

    Args:
        zone: Availability zone of the entry.
        health: Which upstreams are held out.
        rng: Breaks ties.
    """

    __slots__ = ("_health", "_in_flight", "_loads", "_rng", "_seconds", "_zone")

    def __init__(self, zone: str, health: UpstreamHealth, rng: Random) -> None:
        self._zone = zone
        self._health = health
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._loads: dict[str, tuple[UpstreamLoad, float]] = {}
        self._seconds: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Requests of this entry at upstreams of the service."""
        return sum(self._in_flight.values())

    def choose(self, upstreams: Sequence[DirectUpstream], now: float) -> DirectUpstream | None:
        """Returns the upstream that should answer first; None where all are held out."""
        usable = [each for each in upstreams if self._health.is_available(each.name, now)]
        if not usable:
            return None
        return min(usable, key=lambda each: (self._cost(each, now), self._rng.random()))

    def begin(self, name: str) -> None:
        """Counts a request that goes to an upstream."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1

    def end(self, name: str, seconds: float | None) -> None:
        """Counts its end, and its service time where it was answered."""
        left = self._in_flight.get(name, 0) - 1
        if left > 0:
            self._in_flight[name] = left
        else:
            self._in_flight.pop(name, None)
        if seconds is not None:
            before = self._seconds.get(name, seconds)
            self._seconds[name] = before + SPEED_WEIGHT * (seconds - before)

    def report(self, name: str, load: UpstreamLoad, now: float) -> None:
        """Takes in a load that an upstream told."""
        self._loads[name] = (load, now)

    def forget(self, name: str) -> None:
        """Drops an upstream that is gone."""
        for known in (self._loads, self._seconds):
            known.pop(name, None)

    def _cost(self, upstream: DirectUpstream, now: float) -> float:
        busy = float(self._in_flight.get(upstream.name, 0))
        told = self._loads.get(upstream.name)
        if told is not None:
            load, at = told
            fresh = max(0.0, 1.0 - (now - at) / REPORT_SECONDS)
            busy = max(busy, fresh * (load.running + load.waiting))
        seconds = self._seconds.get(upstream.name, FIRST_SERVICE_SECONDS)
        wait = seconds * max(0.0, busy + 1 - upstream.slots) / max(1, upstream.slots)
        crowd = seconds * 0.1 * busy / max(1, upstream.slots)
        failures = FAILURE_PENALTY * seconds * self._health.failure_share(upstream.name)
        away = 0.0 if upstream.zone == self._zone else OTHER_ZONE_SECONDS
        return seconds + wait + crowd + failures + away
