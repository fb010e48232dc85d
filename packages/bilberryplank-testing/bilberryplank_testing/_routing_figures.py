"""Options and figures of a trial of routing."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

DEADLINE = 30.0
TARGET_SECONDS = 0.38


class FaultKind(Enum):
    """What happens to one upstream during a trial."""

    NONE = "none"
    STRAGGLER = "straggler"
    DEAD = "dead"


@dataclass(slots=True, frozen=True)
class TrialOptions:
    """Options of a trial.

    Attributes:
        policy: `informed` or `round_robin`.
        lag: Seconds by which load hints lag.
        fault: What happens to one upstream.
        affinity: True where requests carry the key of their prefix.
        load: Offered load as a share of capacity.
        tiers: True with classes of three tiers and tiered queues; only the burst counts.
        burst: Offered load of the burst, from 40 to 80 s, as a share of capacity.
        entries: Number of entries.
        told_apart: False where entries neither know tiers nor the wait in a sidecar.
    """

    policy: str
    lag: float = 0.0
    fault: FaultKind = FaultKind.NONE
    affinity: bool = False
    load: float = 0.7
    tiers: bool = False
    burst: float = 2.0
    entries: int = 3
    told_apart: bool = True


@dataclass(slots=True)
class TrialResult:
    """Figures of a trial; seconds where not said otherwise.

    Attributes:
        waits: First-token waits of requests that arrived after the warm-up.
        top_waits: Those of them of the top tier.
        offered: Requests that arrived after the warm-up.
        top_offered: Those of them of the top tier.
        refused: Those of them that were given up.
        attempts: Attempts for them.
        cancelled: Attempts that were cancelled to be made elsewhere.
        shares: Requests begun by each healthy upstream after the warm-up.
        cache_hits: Share of requests begun whose prefix was cached.
        timely: Requests of each rank whose first token came within its target.
        arrivals: Requests of each rank.
    """

    waits: list[float] = field(default_factory=list)
    top_waits: list[float] = field(default_factory=list)
    offered: int = 0
    top_offered: int = 0
    refused: int = 0
    attempts: int = 0
    cancelled: int = 0
    shares: list[int] = field(default_factory=list)
    cache_hits: float = 0.0
    timely: Counter[int] = field(default_factory=Counter)
    arrivals: Counter[int] = field(default_factory=Counter)

    def in_target(self, rank: int) -> float:
        """Share of a tier's requests whose first token came within its target."""
        return self.timely[rank] / max(self.arrivals[rank], 1)

    def quantile(self, share: float) -> float:
        """Returns a quantile of the waits; a request without a first token counts as `DEADLINE`."""
        return _quantile(self.waits, self.offered, share)

    def top_quantile(self, share: float) -> float:
        """Returns a quantile of the top tier's waits."""
        return _quantile(self.top_waits, self.top_offered, share)

    @property
    def attained(self) -> float:
        """Share of requests whose first token came within its target."""
        return sum(wait <= TARGET_SECONDS for wait in self.waits) / max(self.offered, 1)

    @property
    def spread(self) -> float:
        """The busiest healthy upstream's requests over the mean."""
        return max(self.shares) * len(self.shares) / max(sum(self.shares), 1)


def _quantile(waits: list[float], offered: int, share: float) -> float:
    ordered = sorted(waits) + [DEADLINE] * (offered - len(waits))
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else DEADLINE
