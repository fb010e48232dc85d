"""Measures the scaling policy over a day of demand, as a fluid queue before one pool.

Tokens flow in and are worked off by the upstreams that run; a request that arrives while the wait
is over its limit misses its target. There are no single requests, engines or zones in it.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from bilberryplank_core.fleet import (
    Drain,
    DrainIntent,
    PoolLoad,
    PoolMember,
    ScalingPolicy,
    ScalingSettings,
    StartIntent,
    StopIntent,
)
from bilberryplank_testing._fleet_output import show

DAY = 24 * 3600
TOKENS_PER_UPSTREAM = 300.0
TOKENS_PER_REQUEST = 500.0
COST_PER_HOUR = 4.0
START_SECONDS = 90
WAIT_LIMIT = 1.0
ATTAINMENT_WINDOW = 60
BURST_FROM, BURST_TO = 15 * 3600, 17 * 3600


def demand(second: int) -> float:
    """Returns tokens a second: a curve over the day, and a burst of two hours in the afternoon."""
    curve = 1200 - 900 * math.cos(2 * math.pi * second / DAY)
    return curve * (2.0 if BURST_FROM <= second < BURST_TO else 1.0)


@dataclass(slots=True)
class Pool:
    """The state of the queue and of the upstreams."""

    members: dict[str, Drain]
    starting: list[int] = field(default_factory=list)
    backlog: float = 0.0
    requests: float = 0.0
    missed: float = 0.0
    upstream_seconds: int = 0
    changes: int = 0
    recent: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=ATTAINMENT_WINDOW)
    )

    def flow(self, second: int) -> float:
        """Lets one second pass; returns the tokens worked off."""
        capacity = TOKENS_PER_UPSTREAM * len(self.working)
        arrived = demand(second)
        done = min(self.backlog + arrived, capacity)
        self.backlog += arrived - done
        requests = arrived / TOKENS_PER_REQUEST
        missed = requests if self.backlog > WAIT_LIMIT * capacity else 0.0
        self.requests += requests
        self.missed += missed
        self.recent.append((requests, missed))
        self.upstream_seconds += len(self.members) + len(self.starting)
        return done

    @property
    def working(self) -> list[str]:
        """Names of the upstreams that take work."""
        return [name for name, drain in self.members.items() if drain is Drain.NONE]

    def load(self, done: float) -> PoolLoad:
        """Returns what the policy sees."""
        requests = sum(pair[0] for pair in self.recent)
        missed = sum(pair[1] for pair in self.recent)
        members = tuple(
            PoolMember(name, "a", 0, COST_PER_HOUR, drain) for name, drain in self.members.items()
        )
        return PoolLoad(
            "models",
            members,
            ("a",),
            self.backlog,
            done,
            TOKENS_PER_UPSTREAM * len(self.working),
            1 - missed / requests,
            requests / len(self.recent),
            len(self.starting),
        )

    def change(self, intent: StartIntent | DrainIntent | StopIntent, second: int) -> None:
        """Carries out a change."""
        self.changes += 1
        match intent:
            case StartIntent():
                self.starting.append(second + START_SECONDS)
            case DrainIntent(upstream, draining):
                self.members[upstream] = Drain.POLICY if draining else Drain.NONE
            case StopIntent(upstream):
                del self.members[upstream]

    def join(self, second: int) -> None:
        """Lets the upstreams join whose start is over."""
        ready = [at for at in self.starting if at <= second]
        self.starting = [at for at in self.starting if at > second]
        for number in range(len(ready)):
            self.members[f"u{second}-{number}"] = Drain.NONE


def measure_scaling() -> None:
    """Runs fixed pools and the policy at several prices of a miss."""
    for count in (4, 7, 14):
        _show(f"fixed_{count}", _run(count, None))
    for starts in (1, 2, 4, 8):
        settings = ScalingSettings(starts_at_once=starts)
        _show(f"policy_starts_{starts}", _run(3, ScalingPolicy(settings)))
    for cost in (0.0001, 0.001, 0.1):
        settings = ScalingSettings(cost_per_miss=cost)
        _show(f"policy_miss_{cost}", _run(3, ScalingPolicy(settings)))


def _run(count: int, policy: ScalingPolicy | None) -> Pool:
    pool = Pool({f"u{number}": Drain.NONE for number in range(count)})
    for second in range(DAY):
        pool.join(second)
        done = pool.flow(second)
        if policy is not None:
            for intent in policy.decide([pool.load(done)], float(second)):
                pool.change(intent, second)
    return pool


def _show(name: str, pool: Pool) -> None:
    hours = pool.upstream_seconds / 3600
    show(
        "scaling",
        way=name,
        upstream_hours=round(hours),
        cost=round(hours * COST_PER_HOUR),
        attainment=round(1 - pool.missed / pool.requests, 4),
        missed=round(pool.missed),
        changes=pool.changes,
    )
