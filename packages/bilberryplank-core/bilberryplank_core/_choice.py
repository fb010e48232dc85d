"""Choice of the upstream for a request.

The informed policy draws two of the upstreams with fresh load hints and takes the one with the
shorter estimated wait: the power of two choices (Mitzenmacher 2001), with hints carried on
answers and probes kept for a stale pool (Prequal, Wydrowski et al., NSDI 2024).
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from bilberryplank_core._affinity import pick_within_bound
from bilberryplank_core._ejection import StragglerDetector
from bilberryplank_core._messages import Load
from bilberryplank_core._settings import RoutingSettings
from bilberryplank_core._track import UpstreamTrack
from bilberryplank_core._world import Upstream

SPILL_MARGIN_SECONDS = 0.05
CHOICES = 2
MIN_FRESH = 2
PROBE_INTERVAL_SECONDS = 1.0
LOSS_COOLDOWN_SECONDS = 0.5
MAX_LOSS_COOLDOWN_SECONDS = 10.0
AFFINITY_MARGIN_SECONDS = 0.3


class UpstreamChooser(ABC):
    """Chooses upstreams and takes in what is learned of them; times are monotonic seconds."""

    __slots__ = ()

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[Upstream],
        now: float,
        excluded: set[str],
        affinity: bytes | None = None,
        cost: float = 0,
    ) -> Upstream | None:
        """Returns the upstream for a request, or None where no candidate takes new work.

        Args:
            candidates: Eligible upstreams.
            now: Current time.
            excluded: Names that must not be chosen.
            affinity: Key of the prompt's prefix; None without affinity.
            cost: Estimated tokens of the request.
        """

    @abstractmethod
    def record_sent(self, upstream: str, cost: float, now: float) -> None:
        """Takes in that a request was sent."""

    @abstractmethod
    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Takes in a load hint."""

    @abstractmethod
    def record_answer(
        self, upstream: str, first_token_seconds: float | None, ok: bool, now: float
    ) -> None:
        """Takes in how long the first token took, or that the attempt failed; once an attempt."""

    @abstractmethod
    def record_end(self, upstream: str, now: float) -> None:
        """Takes in that a request is no longer there; once for each `record_sent`."""

    @abstractmethod
    def record_lost(self, upstream: str, now: float) -> None:
        """Takes in that the link was lost or could not be made."""

    @abstractmethod
    def wants_probe(self, now: float) -> str | None:
        """Returns an upstream of the last choice to ask for its load, where hints are stale."""


class RoundRobinChooser(UpstreamChooser):
    """Takes the candidates in turn; the baseline of measurements."""

    __slots__ = ("_leaving", "_next")

    def __init__(self) -> None:
        self._next = 0
        self._leaving: set[str] = set()

    def choose(
        self,
        candidates: Sequence[Upstream],
        now: float,
        excluded: set[str],
        affinity: bytes | None = None,
        cost: float = 0,
    ) -> Upstream | None:
        """Returns the next candidate that takes new work."""
        for _ in range(len(candidates)):
            upstream = candidates[self._next % len(candidates)]
            self._next += 1
            if _takes_work(upstream, excluded) and upstream.name not in self._leaving:
                return upstream
        return None

    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Takes in whether the upstream is leaving."""
        if load.leaving:
            self._leaving.add(upstream)
        else:
            self._leaving.discard(upstream)

    def record_sent(self, upstream: str, cost: float, now: float) -> None:
        """Learns nothing."""

    def record_answer(
        self, upstream: str, first_token_seconds: float | None, ok: bool, now: float
    ) -> None:
        """Learns nothing."""

    def record_end(self, upstream: str, now: float) -> None:
        """Learns nothing."""

    def record_lost(self, upstream: str, now: float) -> None:
        """Learns nothing."""

    def wants_probe(self, now: float) -> str | None:
        """Returns None."""
        return None


class InformedChooser(UpstreamChooser):
    """Chooses by estimated wait, zone, stragglers and prefix affinity."""

    __slots__ = ("_detector", "_hint_lifetime", "_pool", "_rng", "_tracks", "_zone")

    def __init__(self, hint_lifetime: float, own_zone: str, rng: random.Random) -> None:
        self._hint_lifetime = hint_lifetime
        self._zone = own_zone
        self._rng = rng
        self._tracks: dict[str, UpstreamTrack] = {}
        self._detector = StragglerDetector()
        self._pool: tuple[str, ...] = ()

    @classmethod
    def from_settings(
        cls, cfg: RoutingSettings, own_zone: str, rng: random.Random
    ) -> InformedChooser:
        """Returns the chooser for an entry in `own_zone`."""
        return cls(cfg.hint_lifetime, own_zone, rng)

    def choose(
        self,
        candidates: Sequence[Upstream],
        now: float,
        excluded: set[str],
        affinity: bytes | None = None,
        cost: float = 0,
    ) -> Upstream | None:
        """Returns the upstream with the shorter wait of two, stragglers and lost links last."""
        self._pool = tuple(item.name for item in candidates)
        willing = [
            item
            for item in candidates
            if _takes_work(item, excluded) and not self._track(item.name).leaving
        ]
        if not willing:
            return None
        linked = [item for item in willing if self._track(item.name).lost_until <= now]
        usable = linked or willing
        trickle = self._pick_trickle(usable, now)
        if trickle is not None:
            return trickle
        steady = [item for item in usable if not self._detector.is_ejected(item.name)] or usable
        return self._pick(steady, now, affinity)

    def record_sent(self, upstream: str, cost: float, now: float) -> None:
        """Adds the request to the entry's own in flight."""
        self._track(upstream).send(cost)

    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Replaces the upstream's hint."""
        track = self._track(upstream)
        track.hear(load, now)
        track.losses = 0
        track.lost_until = now

    def record_answer(
        self, upstream: str, first_token_seconds: float | None, ok: bool, now: float
    ) -> None:
        """Judges the upstream against the pool of the last choice."""
        pool = self._pool if upstream in self._pool else (*self._pool, upstream)
        self._detector.record(upstream, first_token_seconds, ok, pool, now)

    def record_end(self, upstream: str, now: float) -> None:
        """Takes the request off the entry's own in flight."""
        track = self._track(upstream)
        track.in_flight = max(track.in_flight - 1, 0)

    def record_lost(self, upstream: str, now: float) -> None:
        """Keeps new work away for a cool-down that doubles with each loss in a row."""
        track = self._track(upstream)
        cooldown = LOSS_COOLDOWN_SECONDS * 2 ** min(track.losses, 6)
        track.losses += 1
        track.lost_until = now + min(cooldown, MAX_LOSS_COOLDOWN_SECONDS)
        track.load = Load(leaving=True) if track.leaving else None
        track.heard_at = float("-inf")

    def wants_probe(self, now: float) -> str | None:
        """Returns the upstream with the oldest hint where too few hints are fresh."""
        tracks = {name: self._track(name) for name in self._pool}
        fresh = sum(self._is_fresh(track, now) for track in tracks.values())
        if fresh >= min(MIN_FRESH, len(tracks)):
            return None
        due = [
            name
            for name, track in tracks.items()
            if track.lost_until <= now and now - track.probed_at >= PROBE_INTERVAL_SECONDS
        ]
        if not due:
            return None
        oldest = min(due, key=lambda name: tracks[name].heard_at)
        tracks[oldest].probed_at = now
        return oldest

    def forget(self, upstream: str) -> None:
        """Drops what is known of an upstream that is no longer configured."""
        self._tracks.pop(upstream, None)
        self._detector.forget(upstream)

    def is_ejected(self, upstream: str) -> bool:
        """Returns True while the upstream is ejected as a straggler."""
        return self._detector.is_ejected(upstream)

    def _pick_trickle(self, usable: list[Upstream], now: float) -> Upstream | None:
        for item in usable:
            if self._detector.take_trickle(item.name, now):
                return item
        return None

    def _pick(self, usable: list[Upstream], now: float, affinity: bytes | None) -> Upstream:
        near = [item for item in usable if item.zone == self._zone]
        best = self._pick_of_two(near or usable, now)
        if near and len(near) < len(usable):
            best = self._spill(best, [item for item in usable if item.zone != self._zone], now)
        if affinity is None:
            return best
        return self._prefer_cached(affinity, usable, best, now)

    def _spill(self, near: Upstream, others: list[Upstream], now: float) -> Upstream:
        far = self._pick_of_two(others, now)
        waits = self._wait(near, now), self._wait(far, now)
        return far if waits[0] > waits[1] + SPILL_MARGIN_SECONDS else near

    def _pick_of_two(self, pool: list[Upstream], now: float) -> Upstream:
        known = [item for item in pool if self._is_worth_drawing(item, now)]
        drawn_from = known if len(known) >= min(CHOICES, len(pool)) else pool
        drawn = self._rng.sample(drawn_from, min(CHOICES, len(drawn_from)))
        return min(drawn, key=lambda item: self._wait(item, now))

    def _is_worth_drawing(self, upstream: Upstream, now: float) -> bool:
        """Leaves out upstreams that have not answered for long though they were sent requests."""
        track = self._track(upstream.name)
        return track.in_flight == 0 or self._is_fresh(track, now)

    def _prefer_cached(
        self, affinity: bytes, usable: list[Upstream], best: Upstream, now: float
    ) -> Upstream:
        loads = {item.name: self._track(item.name).occupancy() for item in usable}
        name = pick_within_bound(affinity, loads)
        if name is None:
            return best
        cached = next(item for item in usable if item.name == name)
        limit = self._wait(best, now) + AFFINITY_MARGIN_SECONDS
        return cached if self._wait(cached, now) <= limit else best

    def _wait(self, upstream: Upstream, now: float) -> float:
        track = self._track(upstream.name)
        return track.wait() if self._is_fresh(track, now) else track.unknown_wait()

    def _is_fresh(self, track: UpstreamTrack, now: float) -> bool:
        return now - track.heard_at <= self._hint_lifetime

    def _track(self, name: str) -> UpstreamTrack:
        track = self._tracks.get(name)
        if track is None:
            track = self._tracks[name] = UpstreamTrack()
        return track


def _takes_work(upstream: Upstream, excluded: set[str]) -> bool:
    return upstream.name not in excluded and not upstream.draining
