"""Choice of the upstream for a request by what is known of their load.

The upstreams whose estimated wait is no worse than median and mean take turns, those of the own
zone alone while they are all but idle. Half of a pool is wide enough that entries with the same
stale hints don't herd, which the least of all does, and the least of two (Mitzenmacher 2001) less.
Load comes with answers, and probes are kept for a stale pool (Prequal, Wydrowski et al., NSDI
2024). An old hint counts for less (Dahlin, "Interpreting stale load information", 1999), and the
entry's own recent requests count beside it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from math import exp, inf

from bilberryplank_core._affinity import pick_within_bound
from bilberryplank_core._chooser import UpstreamChooser, takes_work
from bilberryplank_core._ejection import MAX_EJECTED_SHARE, StragglerDetector
from bilberryplank_core._messages import Load
from bilberryplank_core._request_kind import UNKNOWN_KIND, RequestKind
from bilberryplank_core._settings import RoutingSettings
from bilberryplank_core._track import UpstreamTrack
from bilberryplank_core._world import Upstream

MIN_FRESH = 2
SLACK_SECONDS = 0.01
IDLE_WAIT_SECONDS = 0.0125
HINT_DECAY_SECONDS = 2.0
AFFINITY_MARGIN_SECONDS = 0.3
OVERDUE_FACTOR = 4.0
OVERDUE_EXCESS_SECONDS = 0.5
PROBE_INTERVAL_SECONDS = 1.0
LOSS_COOLDOWN_SECONDS = 0.5
MAX_LOSS_COOLDOWN_SECONDS = 10.0
MAX_LOSS_DOUBLINGS = 6


class InformedChooser(UpstreamChooser):
    """Chooses by estimated wait, zone, stragglers and prefix affinity.

    Args:
        hint_lifetime: Seconds after which a load hint is stale.
        own_zone: Availability zone of the entry.
        rng: Decides the order of first use.
    """

    __slots__ = ("_detector", "_hint_lifetime", "_pool", "_rng", "_tracks", "_uses", "_zone")

    def __init__(self, hint_lifetime: float, own_zone: str, rng: random.Random) -> None:
        self._hint_lifetime = hint_lifetime
        self._zone = own_zone
        self._rng = rng
        self._tracks: dict[str, UpstreamTrack] = {}
        self._detector = StragglerDetector()
        self._pool: tuple[str, ...] = ()
        self._uses = 0

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
        may_try_ejected: bool = True,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> Upstream | None:
        """Returns the next in turn of the less loaded half, suspects left out where others are."""
        self._pool = tuple(item.name for item in candidates)
        willing = [
            item
            for item in candidates
            if takes_work(item, excluded) and not self._track(item.name).leaving
        ]
        if not willing:
            return None
        usable = [item for item in willing if self._track(item.name).lost_until <= now] or willing
        if may_try_ejected and (tried := self._pick_ejected(usable, now)):
            return tried
        steady = self._without_suspects(usable, now)
        waits = self._estimate(steady, now, kind.rank)
        chosen = self._pick_near(steady, waits)
        if affinity is not None:
            chosen = self._prefer_cached(affinity, steady, chosen, waits, kind.rank)
        self._uses += 1
        self._track(chosen.name).use(self._uses, self._pool)
        return chosen

    def record_sent(
        self, upstream: str, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND
    ) -> None:
        """Adds the request to the entry's own."""
        self._track(upstream).send(cost, now, kind)

    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Replaces the upstream's hint; the link works."""
        track = self._track(upstream)
        track.hear(load, now)
        track.losses = 0
        track.lost_until = now

    def record_answer(
        self,
        upstream: str,
        first_token_seconds: float | None,
        ok: bool,
        now: float,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> None:
        """Judges the upstream against the pool that it was last chosen from."""
        track = self._track(upstream)
        track.answer(kind.rank)
        pool = track.pool or (upstream,)
        self._detector.record(upstream, first_token_seconds, ok, pool, now, kind.class_name)

    def record_refused(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Takes the request off the entry's own."""
        track = self._track(upstream)
        track.withdraw(kind.rank)
        track.end(kind.rank)

    def record_end(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Takes the request off the entry's own."""
        self._track(upstream).end(kind.rank)

    def record_lost(self, upstream: str, now: float) -> None:
        """Keeps new work away for a cool-down that doubles with each loss in a row."""
        track = self._track(upstream)
        cooldown = LOSS_COOLDOWN_SECONDS * 2 ** min(track.losses, MAX_LOSS_DOUBLINGS)
        track.losses += 1
        track.lost_until = now + min(cooldown, MAX_LOSS_COOLDOWN_SECONDS)
        track.forget_load()

    def wants_probe(self, now: float) -> str | None:
        """Returns the upstream with the oldest hint where too few hints are fresh."""
        tracks = {name: self._track(name) for name in self._pool}
        oldest_fresh = now - self._hint_lifetime
        fresh = sum(track.heard_at >= oldest_fresh for track in tracks.values())
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

    def is_suspect(self, upstream: str, now: float) -> bool:
        """Returns True while the upstream is ejected, or owes a first token for too long."""
        overdue = self._overdue(self._track(upstream).pool, self._track(upstream).pool, now)
        return self.is_ejected(upstream) or upstream in overdue

    def forget(self, upstream: str) -> None:
        """Drops what is known of an upstream that is no longer configured."""
        self._tracks.pop(upstream, None)
        self._detector.forget(upstream)

    def is_ejected(self, upstream: str) -> bool:
        """Returns True while the upstream is ejected as a straggler."""
        return self._detector.is_ejected(upstream)

    def _pick_ejected(self, usable: list[Upstream], now: float) -> Upstream | None:
        for item in usable:
            idle = self._track(item.name).in_flight == 0
            if idle and self._detector.take_trickle(item.name, now):
                return item
        return None

    def _without_suspects(self, usable: list[Upstream], now: float) -> list[Upstream]:
        steady = [item for item in usable if not self._detector.is_ejected(item.name)] or usable
        overdue = self._overdue([item.name for item in steady], self._pool, now)
        return [item for item in steady if item.name not in overdue] or steady

    def _overdue(self, names: Sequence[str], pool: Sequence[str], now: float) -> set[str]:
        """Returns those where a request that began has no first token for much too long."""
        limits: dict[str, float] = {}
        lateness = {}
        for name in names:
            track = self._track(name)
            for owed in track.owed_tokens():
                class_name = owed.kind.class_name
                if class_name not in limits:
                    limits[class_name] = self._overdue_limit(class_name, pool, now)
                late_by = track.owed_for(owed, now) - limits[class_name]
                lateness[name] = max(lateness.get(name, 0.0), late_by)
        late = [name for name, seconds in lateness.items() if seconds > 0]
        late.sort(key=lateness.__getitem__, reverse=True)
        return set(late[: int(len(pool) * MAX_EJECTED_SHARE)])

    def _overdue_limit(self, class_name: str, pool: Sequence[str], now: float) -> float:
        typical = self._detector.typical_seconds(pool, now, class_name)
        if typical is None:
            return inf
        return max(typical * OVERDUE_FACTOR, typical + OVERDUE_EXCESS_SECONDS)

    def _estimate(self, usable: list[Upstream], now: float, rank: int) -> dict[str, float]:
        """Returns the estimated wait at each; an old hint is drawn towards the mean."""
        tracks = {item.name: self._track(item.name) for item in usable}
        known = {
            name: track.wait(now, rank) for name, track in tracks.items() if track.load is not None
        }
        mean = sum(known.values()) / len(known) if known else 0.0
        waits = {}
        for item in usable:
            age = now - tracks[item.name].heard_at
            trust = exp(-max(age, 0.0) / HINT_DECAY_SECONDS)
            waits[item.name] = mean + (known.get(item.name, mean) - mean) * trust
        return waits

    def _pick_near(self, usable: list[Upstream], waits: dict[str, float]) -> Upstream:
        idle = [
            item
            for item in usable
            if item.zone == self._zone and waits[item.name] <= IDLE_WAIT_SECONDS
        ]
        return self._pick_in_turn(idle or usable, waits)

    def _pick_in_turn(self, usable: list[Upstream], waits: dict[str, float]) -> Upstream:
        ordered = sorted(waits[item.name] for item in usable)
        median, mean = ordered[(len(ordered) - 1) // 2], sum(ordered) / len(ordered)
        limit = min(median, mean) + SLACK_SECONDS
        better_half = [item for item in usable if waits[item.name] <= limit]
        return min(better_half, key=lambda item: self._track(item.name).last_use)

    def _prefer_cached(
        self,
        affinity: bytes,
        usable: list[Upstream],
        best: Upstream,
        waits: dict[str, float],
        rank: int,
    ) -> Upstream:
        in_flight = {item.name: self._track(item.name).in_flight_ahead(rank) for item in usable}
        name = pick_within_bound(affinity, in_flight)
        if waits[name] > waits[best.name] + AFFINITY_MARGIN_SECONDS:
            return best
        return next(item for item in usable if item.name == name)

    def _track(self, name: str) -> UpstreamTrack:
        track = self._tracks.get(name)
        if track is None:
            track = self._tracks[name] = UpstreamTrack(self._rng.random())
        return track
