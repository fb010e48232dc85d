"""What the configuration costs a process by its number of organisations."""

from __future__ import annotations

import asyncio

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.world import Role
from bilberryplank_testing._slope_bench import BenchPlatform, configuration, upstream_name
from bilberryplank_testing._slope_fit import Point, Slope

ORGANISATION_COUNTS = (100, 1000, 8600)
CHANGES = 8
CHANGE_INTERVAL_SECONDS = 1.5
SETTLE_SECONDS = 2.0
THOUSAND = 1000.0
MEGABYTES = 1 / (1024 * 1024)
MILLISECONDS = 1e3


async def measure_configuration(role: Role, repeats: int) -> list[Slope]:
    """Returns slopes of memory and of the processor time of one change."""
    name = role.value
    memory = Slope(f"{name}: memory per 1,000 organisations", "MB", MEGABYTES, THOUSAND)
    title = f"{name}: processor per change and 1,000 organisations"
    change = Slope(title, "ms", MILLISECONDS, THOUSAND)
    for _ in range(repeats):
        resident, processor = [], []
        for count in ORGANISATION_COUNTS:
            points = await _measure_one(role, count)
            resident.append(points[0])
            processor.append(points[1])
        memory.repeats.append(resident)
        change.repeats.append(processor)
    return [memory, change]


def document_bytes(organisations: int) -> int:
    """Returns the bytes of a configuration of so many organisations."""
    return len(Configuration.from_document(1, configuration(organisations, [])).to_bytes())


async def _measure_one(role: Role, organisations: int) -> tuple[Point, Point]:
    async with BenchPlatform() as bench:
        store = bench.store()
        await store.write(0, configuration(organisations, ["127.0.0.1:1"]))
        if role is Role.SIDECAR:
            upstream = {"upstream": upstream_name(0), "upstream_kind": "service"}
            await bench.start(role, upstream_url=bench.url, **upstream)
        else:
            await bench.start(role)
        await asyncio.sleep(SETTLE_SECONDS)
        resident = bench.usage().resident_bytes
        idle = await bench.processor_rate(CHANGES * CHANGE_INTERVAL_SECONDS)
        cost = await _cost_of_change(bench, store, idle)
        return Point(organisations, resident), Point(organisations, cost)


async def _cost_of_change(bench: BenchPlatform, store: ConfigurationStore, idle: float) -> float:
    """Returns the processor seconds of one change above those of a process at rest."""
    loop = asyncio.get_running_loop()
    before, start = bench.usage().processor_seconds, loop.time()
    for number in range(CHANGES):
        await store.drain_upstream(upstream_name(0), number % 2 == 0)
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
    used = bench.usage().processor_seconds - before
    return (used - idle * (loop.time() - start)) / CHANGES
