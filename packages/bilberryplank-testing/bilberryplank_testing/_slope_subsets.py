"""How many links the subsets of a fleet make, and what computing them costs."""

from __future__ import annotations

import time
from dataclasses import dataclass
from statistics import median

from bilberryplank_core.routing import choose_subset
from bilberryplank_core.settings import RoutingSettings
from bilberryplank_core.world import Upstream, UpstreamKind

FLEETS = ((50, 100), (150, 300), (350, 690))
MODELS = 9
ZONES = 5
MILLISECONDS = 1e3


@dataclass(slots=True, frozen=True)
class FleetLinks:
    """Links of a fleet.

    Attributes:
        entries: Number of entries.
        sidecars: Number of sidecars, spread evenly over models and zones.
        by_entry: Links of each entry.
        by_sidecar: Links of each sidecar.
        seconds: Processor time in which one entry computes its subsets.
    """

    entries: int
    sidecars: int
    by_entry: list[int]
    by_sidecar: list[int]
    seconds: float

    def format(self) -> str:
        """Returns the figures as text."""
        return (
            f"{self.entries} entries, {self.sidecars} sidecars: "
            f"links of an entry {_spread(self.by_entry)}, of a sidecar {_spread(self.by_sidecar)}, "
            f"computed in {self.seconds * MILLISECONDS:.0f} ms"
        )


def fleet_links(entries: int, sidecars: int) -> FleetLinks:
    """Returns the links that subsets of the default size make."""
    names = [f"entry-{number}" for number in range(entries)]
    pools = [_pool(model, sidecars) for model in range(MODELS)]
    counts = {item.name: 0 for pool in pools for item in pool}
    by_entry = []
    begun = time.process_time()
    for number, name in enumerate(names):
        linked = _linked(name, f"zone-{number % ZONES}", pools, names)
        by_entry.append(len(linked))
        for upstream in linked:
            counts[upstream] += 1
    seconds = (time.process_time() - begun) / entries
    return FleetLinks(entries, sidecars, by_entry, list(counts.values()), seconds)


def _linked(name: str, zone: str, pools: list[list[Upstream]], entries: list[str]) -> list[str]:
    size = RoutingSettings().subset_size
    found = (choose_subset(name, pool, size, zone=zone, entries=entries) for pool in pools)
    return [upstream.name for upstreams in found for upstream in upstreams]


def _pool(model: int, sidecars: int) -> list[Upstream]:
    return [
        Upstream(f"engine-{number}", f"zone-{number // MODELS % ZONES}", UpstreamKind.ENGINE, "")
        for number in range(model, sidecars, MODELS)
    ]


def _spread(values: list[int]) -> str:
    return f"{min(values)}/{median(values):g}/{max(values)}"
