"""Autoscaling policy: when to start, drain and stop the upstreams of a pool.

Weighs the cost of an upstream against missed targets, with hysteresis and a cooldown.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

from bilberryplank_core._scaling_types import (
    Drain,
    DrainIntent,
    PoolLoad,
    PoolMember,
    ScalingIntent,
    StartIntent,
    StopIntent,
)
from bilberryplank_core._settings import ScalingSettings

SECONDS_PER_HOUR = 3600.0


@dataclass(slots=True)
class _PoolState:
    overloaded_since: float | None = None
    underused_since: float | None = None
    draining_since: float | None = None
    cooldown_until: float = field(default=float("-inf"))


class ScalingPolicy:
    """Decides one change at a time for each pool: several starts, one drain or one stop.

    Its state lasts only as long as the lease under which it runs. A new holder starts with empty
    state, so a takeover at most delays a change.
    """

    __slots__ = ("_pool_states", "_settings")

    def __init__(self, settings: ScalingSettings) -> None:
        self._settings = settings
        self._pool_states: dict[str, _PoolState] = {}

    def decide(self, pools: Iterable[PoolLoad], now: float) -> list[ScalingIntent]:
        """Returns the changes that are due at `now`, in monotonic seconds."""
        intents = []
        for pool in pools:
            state = self._pool_states.setdefault(pool.pool, _PoolState())
            self._update_state(state, pool, now)
            changes = self._decide_pool(state, pool, now)
            if changes:
                state.cooldown_until = now + self._settings.settle
                state.overloaded_since = state.underused_since = None
                intents.extend(changes)
        return intents

    def _update_state(self, state: _PoolState, pool: PoolLoad, now: float) -> None:
        overloaded, underused = self._is_overloaded(pool), self._is_underused(pool)
        draining = bool(_draining_members(pool))
        state.overloaded_since = _updated_since(state.overloaded_since, overloaded, now)
        state.underused_since = _updated_since(state.underused_since, underused, now)
        state.draining_since = _updated_since(state.draining_since, draining, now)

    def _decide_pool(self, state: _PoolState, pool: PoolLoad, now: float) -> ScalingIntent | None:
        if pool.open_orders:
            return None
        draining = _draining_members(pool)
        if draining:
            return self._finish_or_cancel_drain(state, draining[0], now)
        if now < state.cooldown_until:
            return []
        if self._has_lasted(state.overloaded_since, self._settings.hold_up, now):
            return self._start_intents(pool)
        if self._has_lasted(state.underused_since, self._settings.hold_down, now):
            return self._drain_intents(pool)
        return []

    def _finish_or_cancel_drain(
        self, state: _PoolState, member: PoolMember, now: float
    ) -> list[ScalingIntent]:
        overloaded = self._has_lasted(state.overloaded_since, self._settings.hold_up, now)
        if member.needed or overloaded:
            return [DrainIntent(member.name, draining=False)]
        drain_has_spread = self._has_lasted(state.draining_since, self._settings.drain_spread, now)
        if member.active_requests or not drain_has_spread:
            return []
        return [StopIntent(member.name, member.zone)]

    def _start_intents(self, pool: PoolLoad) -> list[ScalingIntent]:
        if not pool.zones:
            return []
        members_by_zone = {zone: 0 for zone in pool.zones}
        for member in _members_in_service(pool):
            members_by_zone[member.zone] = members_by_zone.get(member.zone, 0) + 1
        starts: list[ScalingIntent] = []
        for _ in range(min(self._wanted_starts(pool), self._settings.most - len(pool.members))):
            zone = min(pool.zones, key=lambda zone: (members_by_zone[zone], zone))
            members_by_zone[zone] += 1
            starts.append(StartIntent(pool.pool, zone))
        return starts

    def _wanted_starts(self, pool: PoolLoad) -> int:
        """Returns how many more upstreams would clear the queue within `catch_up`, at least one."""
        in_service = len(_members_in_service(pool))
        if not in_service or not pool.capacity:
            return 1
        required_rate = pool.drain_rate + pool.queued_cost / self._settings.catch_up
        missing = ceil(required_rate * in_service / pool.capacity) - in_service
        return max(1, min(self._settings.starts_at_once, missing))

    def _drain_intents(self, pool: PoolLoad) -> list[ScalingIntent]:
        in_service = _members_in_service(pool)
        candidates = [member for member in in_service if not member.needed]
        if not candidates:
            return []
        members_by_zone: dict[str, int] = {}
        for member in in_service:
            members_by_zone[member.zone] = members_by_zone.get(member.zone, 0) + 1
        chosen = min(
            candidates,
            key=lambda member: (
                -members_by_zone[member.zone],
                -member.cost_per_hour,
                member.active_requests,
                member.name,
            ),
        )
        return [DrainIntent(chosen.name, draining=True)]

    def _is_overloaded(self, pool: PoolLoad) -> bool:
        in_service = _members_in_service(pool)
        if not in_service:
            return pool.queued_cost > 0 or pool.requests_per_second > 0
        wait_seconds = pool.queued_cost / pool.drain_rate if pool.drain_rate else float("inf")
        queue_too_long = pool.queued_cost > 0 and wait_seconds > self._settings.wait_limit
        missed_share = max(0.0, self._settings.attainment_target - pool.attainment)
        if not queue_too_long and not missed_share:
            return False
        benefit_per_hour = (
            missed_share
            * pool.requests_per_second
            * SECONDS_PER_HOUR
            * self._settings.cost_per_miss
        )
        return benefit_per_hour > min(member.cost_per_hour for member in in_service)

    def _is_underused(self, pool: PoolLoad) -> bool:
        in_service = _members_in_service(pool)
        if len(in_service) < 2 or pool.attainment < self._settings.attainment_target:
            return False
        remaining_capacity = pool.capacity * (len(in_service) - 1) / len(in_service)
        return (
            pool.queued_cost == 0 and pool.drain_rate < self._settings.low_use * remaining_capacity
        )

    @staticmethod
    def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
        return since is not None and now - since >= seconds


def _updated_since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since


def _members_in_service(pool: PoolLoad) -> list[PoolMember]:
    return [member for member in pool.members if member.drain is Drain.NONE]


def _draining_members(pool: PoolLoad) -> list[PoolMember]:
    return [member for member in pool.members if member.drain is Drain.POLICY]
