"""The load-balancing policy `informed`: chooses an upstream by its estimated load.

Round robin among the upstreams whose estimated wait exceeds neither the median nor the mean; while
upstreams of the entry's own zone are nearly idle, among these alone. Half of a pool is wide enough
that entries with the same stale hints do not herd; picking the least loaded of all does herd, and
the least loaded of two (Mitzenmacher 2001) does less so. Load hints arrive with answers; probes
are sent only when the hints of a pool are stale (Prequal, Wydrowski et al., NSDI 2024). An old hint
has less weight (Dahlin, "Interpreting stale load information", 1999), and the entry's own recent
requests are added to it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from math import exp, inf

from bilberryplank_core._affinity import pick_within_bound
from bilberryplank_core._ejection import MAX_EJECTED_SHARE, OutlierEjector
from bilberryplank_core._load_tracker import UpstreamLoadTracker
from bilberryplank_core._messages import Load
from bilberryplank_core._request_kind import UNKNOWN_KIND, RequestKind
from bilberryplank_core._settings import RoutingSettings
from bilberryplank_core._upstream_chooser import UpstreamChooser, accepts_new_work
from bilberryplank_core._world import Upstream

MIN_FRESH_HINTS = 2
WAIT_SLACK_SECONDS = 0.01
MAX_IDLE_WAIT_SECONDS = 0.0125
HINT_DECAY_SECONDS = 2.0
MAX_AFFINITY_EXTRA_WAIT_SECONDS = 0.3
OVERDUE_FACTOR = 4.0
OVERDUE_EXCESS_SECONDS = 0.5
PROBE_INTERVAL_SECONDS = 1.0
LOSS_COOLDOWN_SECONDS = 0.5
MAX_LOSS_COOLDOWN_SECONDS = 10.0
MAX_LOSS_DOUBLINGS = 6


class InformedChooser(UpstreamChooser):
    """Chooses by estimated wait, zone and prefix affinity, and avoids stragglers.

    Args:
        hint_lifetime: Seconds after which a load hint is stale.
        own_zone: Availability zone of the entry.
        rng: Source of the random order in which upstreams are first used.
    """

    __slots__ = (
        "_ejector",
        "_hint_lifetime",
        "_last_pool",
        "_rng",
        "_trackers",
        "_choice_count",
        "_zone",
    )

    def __init__(self, hint_lifetime: float, own_zone: str, rng: random.Random) -> None:
        self._hint_lifetime = hint_lifetime
        self._zone = own_zone
        self._rng = rng
        self._trackers: dict[str, UpstreamLoadTracker] = {}
        self._ejector = OutlierEjector()
        self._last_pool: tuple[str, ...] = ()
        self._choice_count = 0

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
        """Returns the next of the less loaded half, without suspects if others are available."""
        self._last_pool = tuple(item.name for item in candidates)
        accepting = [
            item
            for item in candidates
            if accepts_new_work(item, excluded) and not self._tracker(item.name).leaving
        ]
        if not accepting:
            return None
        reachable = [
            item for item in accepting if self._tracker(item.name).cooldown_until <= now
        ] or accepting
        if may_try_ejected and (trial_upstream := self._pick_ejected(reachable, now)):
            return trial_upstream
        unsuspected = self._without_suspects(reachable, now)
        waits = self._estimate_waits(unsuspected, now, kind.rank)
        chosen = self._pick_by_zone_and_wait(unsuspected, waits)
        if affinity is not None:
            chosen = self._prefer_cached(affinity, unsuspected, chosen, waits, kind.rank)
        self._choice_count += 1
        self._tracker(chosen.name).record_chosen(self._choice_count, self._last_pool)
        return chosen

    def record_sent(
        self, upstream: str, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND
    ) -> None:
        """Counts a request that this entry sent to the upstream."""
        self._tracker(upstream).record_sent(cost, now, kind)

    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Replaces the upstream's load hint; as it arrived, the link works."""
        tracker = self._tracker(upstream)
        tracker.record_hint(load, now)
        tracker.consecutive_losses = 0
        tracker.cooldown_until = now

    def record_outcome(
        self,
        upstream: str,
        first_token_seconds: float | None,
        ok: bool,
        now: float,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> None:
        """Compares the attempt's outcome with the pool from which the upstream was last chosen."""
        tracker = self._tracker(upstream)
        tracker.record_first_token(kind.rank)
        pool = tracker.pool or (upstream,)
        self._ejector.record(upstream, first_token_seconds, ok, pool, now, kind.class_name)

    def record_refused(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Removes a request that was refused or cancelled before its first token."""
        tracker = self._tracker(upstream)
        tracker.record_withdrawn(kind.rank)
        tracker.record_end(kind.rank)

    def record_end(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Removes a request that has ended."""
        self._tracker(upstream).record_end(kind.rank)

    def record_link_lost(self, upstream: str, now: float) -> None:
        """Starts a cool-down without new requests, which doubles with each consecutive loss."""
        tracker = self._tracker(upstream)
        cooldown = LOSS_COOLDOWN_SECONDS * 2 ** min(tracker.consecutive_losses, MAX_LOSS_DOUBLINGS)
        tracker.consecutive_losses += 1
        tracker.cooldown_until = now + min(cooldown, MAX_LOSS_COOLDOWN_SECONDS)
        tracker.forget_load()

    def upstream_to_probe(self, now: float) -> str | None:
        """Returns the upstream with the oldest hint if too few hints are fresh, otherwise None."""
        trackers = {name: self._tracker(name) for name in self._last_pool}
        oldest_fresh = now - self._hint_lifetime
        fresh = sum(tracker.hint_received_at >= oldest_fresh for tracker in trackers.values())
        if fresh >= min(MIN_FRESH_HINTS, len(trackers)):
            return None
        due = [
            name
            for name, tracker in trackers.items()
            if tracker.cooldown_until <= now and now - tracker.probed_at >= PROBE_INTERVAL_SECONDS
        ]
        if not due:
            return None
        oldest = min(due, key=lambda name: trackers[name].hint_received_at)
        trackers[oldest].probed_at = now
        return oldest

    def is_suspect(self, upstream: str, now: float) -> bool:
        """Returns True while the upstream is ejected or a first token from it is overdue."""
        overdue = self._overdue(self._tracker(upstream).pool, self._tracker(upstream).pool, now)
        return self.is_ejected(upstream) or upstream in overdue

    def forget(self, upstream: str) -> None:
        """Drops the state of an upstream that is no longer configured."""
        self._trackers.pop(upstream, None)
        self._ejector.forget(upstream)

    def is_ejected(self, upstream: str) -> bool:
        """Returns True while the upstream is ejected as a straggler."""
        return self._ejector.is_ejected(upstream)

    def _pick_ejected(self, reachable: list[Upstream], now: float) -> Upstream | None:
        for item in reachable:
            idle = self._tracker(item.name).in_flight == 0
            if idle and self._ejector.try_acquire_trial(item.name, now):
                return item
        return None

    def _without_suspects(self, reachable: list[Upstream], now: float) -> list[Upstream]:
        unsuspected = [
            item for item in reachable if not self._ejector.is_ejected(item.name)
        ] or reachable
        overdue = self._overdue([item.name for item in unsuspected], self._last_pool, now)
        return [item for item in unsuspected if item.name not in overdue] or unsuspected

    def _overdue(self, names: Sequence[str], pool: Sequence[str], now: float) -> set[str]:
        """Returns upstreams with an overdue first token, up to the ejectable share of the pool."""
        limits: dict[str, float] = {}
        seconds_overdue = {}
        for name in names:
            tracker = self._tracker(name)
            for awaited in tracker.awaited_first_tokens():
                class_name = awaited.kind.class_name
                if class_name not in limits:
                    limits[class_name] = self._overdue_limit(class_name, pool, now)
                overdue_by = tracker.awaited_seconds(awaited, now) - limits[class_name]
                seconds_overdue[name] = max(seconds_overdue.get(name, 0.0), overdue_by)
        overdue_names = [name for name, seconds in seconds_overdue.items() if seconds > 0]
        overdue_names.sort(key=seconds_overdue.__getitem__, reverse=True)
        return set(overdue_names[: int(len(pool) * MAX_EJECTED_SHARE)])

    def _overdue_limit(self, class_name: str, pool: Sequence[str], now: float) -> float:
        typical = self._ejector.typical_first_token_seconds(pool, now, class_name)
        if typical is None:
            return inf
        return max(typical * OVERDUE_FACTOR, typical + OVERDUE_EXCESS_SECONDS)

    def _estimate_waits(self, reachable: list[Upstream], now: float, rank: int) -> dict[str, float]:
        """Returns each upstream's estimated wait; an old hint is shrunk towards the mean."""
        trackers = {item.name: self._tracker(item.name) for item in reachable}
        known = {
            name: tracker.estimated_wait_seconds(now, rank)
            for name, tracker in trackers.items()
            if tracker.load is not None
        }
        mean = sum(known.values()) / len(known) if known else 0.0
        waits = {}
        for item in reachable:
            age = now - trackers[item.name].hint_received_at
            hint_weight = exp(-max(age, 0.0) / HINT_DECAY_SECONDS)
            waits[item.name] = mean + (known.get(item.name, mean) - mean) * hint_weight
        return waits

    def _pick_by_zone_and_wait(
        self, reachable: list[Upstream], waits: dict[str, float]
    ) -> Upstream:
        idle = [
            item
            for item in reachable
            if item.zone == self._zone and waits[item.name] <= MAX_IDLE_WAIT_SECONDS
        ]
        return self._pick_in_turn(idle or reachable, waits)

    def _pick_in_turn(self, reachable: list[Upstream], waits: dict[str, float]) -> Upstream:
        ordered = sorted(waits[item.name] for item in reachable)
        median, mean = ordered[(len(ordered) - 1) // 2], sum(ordered) / len(ordered)
        limit = min(median, mean) + WAIT_SLACK_SECONDS
        better_half = [item for item in reachable if waits[item.name] <= limit]
        return min(better_half, key=lambda item: self._tracker(item.name).last_chosen_number)

    def _prefer_cached(
        self,
        affinity: bytes,
        reachable: list[Upstream],
        best: Upstream,
        waits: dict[str, float],
        rank: int,
    ) -> Upstream:
        in_flight = {
            item.name: self._tracker(item.name).in_flight_ahead(rank) for item in reachable
        }
        name = pick_within_bound(affinity, in_flight)
        if waits[name] > waits[best.name] + MAX_AFFINITY_EXTRA_WAIT_SECONDS:
            return best
        return next(item for item in reachable if item.name == name)

    def _tracker(self, name: str) -> UpstreamLoadTracker:
        tracker = self._trackers.get(name)
        if tracker is None:
            tracker = self._trackers[name] = UpstreamLoadTracker(self._rng.random())
        return tracker
