"""When to start, drain and stop upstreams of a pool: cost against attainment, with hysteresis."""

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
class _PoolMemory:
    pressed_since: float | None = None
    slack_since: float | None = None
    drained_since: float | None = None
    rests_until: float = field(default=float("-inf"))


class ScalingPolicy:
    """Decides one change at a time for each pool: some starts, one drain or one stop.

    Its memory lasts as long as the lease under which it runs: a new holder begins anew, so that a
    takeover only delays a change.
    """

    __slots__ = ("_memories", "_settings")

    def __init__(self, settings: ScalingSettings) -> None:
        self._settings = settings
        self._memories: dict[str, _PoolMemory] = {}

    def decide(self, pools: Iterable[PoolLoad], now: float) -> list[ScalingIntent]:
        """Returns the changes that are due now; times in seconds, monotonic."""
        intents = []
        for pool in pools:
            memory = self._memories.setdefault(pool.pool, _PoolMemory())
            self._remember(memory, pool, now)
            changes = self._decide_pool(memory, pool, now)
            if changes:
                memory.rests_until = now + self._settings.settle
                memory.pressed_since = memory.slack_since = None
                intents.extend(changes)
        return intents

    def _remember(self, memory: _PoolMemory, pool: PoolLoad, now: float) -> None:
        pressed, slack = self._is_pressed(pool), self._has_slack(pool)
        drained = bool(_drained(pool))
        memory.pressed_since = _since(memory.pressed_since, pressed, now)
        memory.slack_since = _since(memory.slack_since, slack, now)
        memory.drained_since = _since(memory.drained_since, drained, now)

    def _decide_pool(self, memory: _PoolMemory, pool: PoolLoad, now: float) -> ScalingIntent | None:
        if pool.open_orders:
            return None
        drained = _drained(pool)
        if drained:
            return self._finish_drain(memory, drained[0], now)
        if now < memory.rests_until:
            return []
        if self._lasted(memory.pressed_since, self._settings.hold_up, now):
            return self._start(pool)
        if self._lasted(memory.slack_since, self._settings.hold_down, now):
            return self._drain(pool)
        return []

    def _finish_drain(
        self, memory: _PoolMemory, member: PoolMember, now: float
    ) -> list[ScalingIntent]:
        pressed = self._lasted(memory.pressed_since, self._settings.hold_up, now)
        if member.needed or pressed:
            return [DrainIntent(member.name, draining=False)]
        spread = self._lasted(memory.drained_since, self._settings.drain_spread, now)
        if member.busy or not spread:
            return []
        return [StopIntent(member.name, member.zone)]

    def _start(self, pool: PoolLoad) -> list[ScalingIntent]:
        if not pool.zones:
            return []
        counts = {zone: 0 for zone in pool.zones}
        for member in _working(pool):
            counts[member.zone] = counts.get(member.zone, 0) + 1
        starts: list[ScalingIntent] = []
        for _ in range(min(self._missing(pool), self._settings.most - len(pool.members))):
            zone = min(pool.zones, key=lambda zone: (counts[zone], zone))
            counts[zone] += 1
            starts.append(StartIntent(pool.pool, zone))
        return starts

    def _missing(self, pool: PoolLoad) -> int:
        """Returns how many more would work the queue off in `catch_up`, at least one."""
        working = len(_working(pool))
        if not working or not pool.capacity:
            return 1
        wanted = pool.drain_rate + pool.queued_cost / self._settings.catch_up
        more = ceil(wanted * working / pool.capacity) - working
        return max(1, min(self._settings.starts_at_once, more))

    def _drain(self, pool: PoolLoad) -> list[ScalingIntent]:
        working = _working(pool)
        spare = [member for member in working if not member.needed]
        if not spare:
            return []
        counts: dict[str, int] = {}
        for member in working:
            counts[member.zone] = counts.get(member.zone, 0) + 1
        chosen = min(
            spare,
            key=lambda member: (
                -counts[member.zone],
                -member.cost_per_hour,
                member.busy,
                member.name,
            ),
        )
        return [DrainIntent(chosen.name, draining=True)]

    def _is_pressed(self, pool: PoolLoad) -> bool:
        working = _working(pool)
        if not working:
            return pool.queued_cost > 0 or pool.requests_per_second > 0
        wait = pool.queued_cost / pool.drain_rate if pool.drain_rate else float("inf")
        waits = pool.queued_cost > 0 and wait > self._settings.wait_limit
        misses = max(0.0, self._settings.attainment_target - pool.attainment)
        if not waits and not misses:
            return False
        worth = misses * pool.requests_per_second * SECONDS_PER_HOUR * self._settings.cost_per_miss
        return worth > min(member.cost_per_hour for member in working)

    def _has_slack(self, pool: PoolLoad) -> bool:
        working = _working(pool)
        if len(working) < 2 or pool.attainment < self._settings.attainment_target:
            return False
        left = pool.capacity * (len(working) - 1) / len(working)
        return pool.queued_cost == 0 and pool.drain_rate < self._settings.low_use * left

    @staticmethod
    def _lasted(since: float | None, seconds: float, now: float) -> bool:
        return since is not None and now - since >= seconds


def _since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since


def _working(pool: PoolLoad) -> list[PoolMember]:
    return [member for member in pool.members if member.drain is Drain.NONE]


def _drained(pool: PoolLoad) -> list[PoolMember]:
    return [member for member in pool.members if member.drain is Drain.POLICY]
