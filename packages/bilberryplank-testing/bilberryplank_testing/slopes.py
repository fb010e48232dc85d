"""Measures the slopes of docs/CAPACITY.md: `python -m bilberryplank_testing.slopes`."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from json import dumps
from pathlib import Path

import defopt

from bilberryplank_core.world import Role
from bilberryplank_testing._slope_configuration import (
    ORGANISATION_COUNTS,
    document_bytes,
    measure_configuration,
)
from bilberryplank_testing._slope_fit import Slope
from bilberryplank_testing._slope_hosts import measure_hosts
from bilberryplank_testing._slope_links import (
    heartbeat_bytes,
    measure_entry_heartbeats,
    measure_entry_reports,
    measure_sidecar_links,
)
from bilberryplank_testing._slope_platform import measure_platform
from bilberryplank_testing._slope_requests import measure_in_flight, measure_requests
from bilberryplank_testing._slope_subsets import FLEETS, fleet_links

Measurement = Callable[[int, float], Awaitable[list[Slope]]]


async def measure_sizes(repeats: int, seconds: float) -> list[Slope]:
    """Prints the sizes that need no run."""
    print(f"heartbeat and its answer: {heartbeat_bytes()} bytes")
    for count in ORGANISATION_COUNTS:
        print(f"configuration of {count} organisations: {document_bytes(count)} bytes")
    for entries, sidecars in FLEETS:
        print(fleet_links(entries, sidecars).format())
    return []


async def measure_entry_configuration(repeats: int, seconds: float) -> list[Slope]:
    """Returns the slopes of an entry's configuration."""
    return await measure_configuration(Role.ENTRY, repeats)


async def measure_sidecar_configuration(repeats: int, seconds: float) -> list[Slope]:
    """Returns the slopes of a sidecar's configuration."""
    return await measure_configuration(Role.SIDECAR, repeats)


MEASUREMENTS: dict[str, Measurement] = {
    "sizes": measure_sizes,
    "entry-heartbeats": measure_entry_heartbeats,
    "entry-reports": measure_entry_reports,
    "sidecar-links": measure_sidecar_links,
    "hosts": measure_hosts,
    "requests": measure_requests,
    "in-flight": measure_in_flight,
    "entry-configuration": measure_entry_configuration,
    "sidecar-configuration": measure_sidecar_configuration,
    "platform": measure_platform,
}


async def measure(names: list[str], repeats: int, seconds: float) -> list[Slope]:
    """Runs measurements one after another and prints each as it ends."""
    slopes = []
    for name in names:
        for slope in await MEASUREMENTS[name](repeats, seconds):
            print(slope.format(), flush=True)
            slopes.append(slope)
        print(f"    load average {os.getloadavg()[0]:.1f}", flush=True)
    return slopes


def main(
    *,
    only: str = ",".join(MEASUREMENTS),
    repeats: int = 3,
    seconds: float = 6.0,
    json: Path | None = None,
) -> None:
    """Measures what the system costs at three sizes or more.

    Args:
        only: Measurements, with commas.
        repeats: Repeats of each.
        seconds: Length of one measurement at one size.
        json: Where the points go as JSON.
    """
    slopes = asyncio.run(measure(only.split(","), repeats, seconds))
    if json is not None:
        json.write_text(dumps([slope.to_document() for slope in slopes], indent=1) + "\n")


if __name__ == "__main__":
    defopt.run(main)
