"""What links cost an entry and a sidecar: processor time, memory and bytes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from bilberryplank_core.messages import Heartbeat, Load, LoadReport, encode
from bilberryplank_core.world import Role
from bilberryplank_testing._slope_bench import (
    AnsweringSidecars,
    BenchPlatform,
    SilentEntries,
    configuration,
    upstream_name,
)
from bilberryplank_testing._slope_fit import Point, Slope

LINK_COUNTS = (10, 40, 120)
INTERVAL_SECONDS = 1.0
HEARTBEAT_LINKS = {"heartbeat_interval": 0.5, "silence_limit": 30.0}
QUIET_LINKS = {"heartbeat_interval": 25.0, "silence_limit": 60.0}
SETTLE_SECONDS = 1.0
TIERS = 6
MICROSECONDS = 1e6
KILOBYTES = 1 / 1024


@dataclass(slots=True, frozen=True)
class LinkCost:
    """Processor share and memory of a process, and the control messages a second that it got."""

    processor_rate: float
    message_rate: float
    resident_bytes: int


Cost = Callable[[int, float], Awaitable[LinkCost]]


async def measure_entry_heartbeats(repeats: int, seconds: float) -> list[Slope]:
    """Returns slopes of an entry that sends a heartbeat a second on every link, all at once."""
    return await _measure("entry, answers to its heartbeats", _heartbeat_cost, repeats, seconds)


async def measure_entry_reports(repeats: int, seconds: float) -> list[Slope]:
    """Returns slopes of an entry that gets a report a second on every link, evenly spread."""
    return await _measure("entry, reports one by one", _report_cost, repeats, seconds)


async def measure_sidecar_links(repeats: int, seconds: float) -> list[Slope]:
    """Returns slopes of a sidecar that answers one heartbeat a second on every link."""
    return await _measure("sidecar, heartbeats one by one", _sidecar_cost, repeats, seconds)


def heartbeat_bytes() -> int:
    """Returns the bytes of a heartbeat and its answer, frames included, TCP and IP not."""
    by_rank = [12345.5] * TIERS
    load = Load(12, 8, 8, 12345.5, 234.5, False, 870, 0.53, 0.95, 5.4, by_rank)
    return len(encode(Heartbeat(870, 0.53))) + len(encode(LoadReport(load)))


async def _measure(role: str, cost: Cost, repeats: int, seconds: float) -> list[Slope]:
    processor = Slope(f"{role}: processor per message", "us", MICROSECONDS)
    memory = Slope(f"{role}: memory per link", "KB", KILOBYTES)
    for _ in range(repeats):
        costs = [await cost(count, seconds) for count in LINK_COUNTS]
        processor.repeats.append([Point(item.message_rate, item.processor_rate) for item in costs])
        sizes = zip(LINK_COUNTS, costs, strict=True)
        memory.repeats.append([Point(size, item.resident_bytes) for size, item in sizes])
    return [processor, memory]


async def _heartbeat_cost(count: int, seconds: float) -> LinkCost:
    async with _linked_entry(count, HEARTBEAT_LINKS) as (bench, sidecars):
        before = sidecars.heartbeats
        rate = await bench.processor_rate(seconds)
        messages = (sidecars.heartbeats - before) / seconds
        return LinkCost(rate, messages, bench.usage().resident_bytes)


async def _report_cost(count: int, seconds: float) -> LinkCost:
    async with _linked_entry(count, QUIET_LINKS) as (bench, sidecars):
        reports = asyncio.create_task(sidecars.report(seconds, INTERVAL_SECONDS))
        rate = await bench.processor_rate(seconds)
        messages = await reports / seconds
        return LinkCost(rate, messages, bench.usage().resident_bytes)


async def _sidecar_cost(count: int, seconds: float) -> LinkCost:
    async with BenchPlatform() as bench:
        await bench.store().write(0, configuration(10, ["127.0.0.1:1"]))
        upstream = {"upstream": upstream_name(0), "upstream_kind": "service"}
        await bench.start(Role.SIDECAR, upstream_url=bench.url, **upstream)
        entries = SilentEntries(count)
        await entries.open(bench.listen)
        await asyncio.sleep(SETTLE_SECONDS)
        beats = asyncio.create_task(entries.beat(seconds, INTERVAL_SECONDS))
        rate = await bench.processor_rate(seconds)
        messages = await beats / seconds
        entries.close()
        return LinkCost(rate, messages, bench.usage().resident_bytes)


@asynccontextmanager
async def _linked_entry(
    count: int, links: dict[str, float]
) -> AsyncIterator[tuple[BenchPlatform, AnsweringSidecars]]:
    """Yields an entry that has a link to each of `count` sidecars."""
    sidecars = AnsweringSidecars(count)
    await sidecars.start()
    try:
        async with BenchPlatform() as bench:
            await bench.store().write(0, configuration(10, sidecars.addresses))
            routing = {"policy": "round_robin", "subset_size": count}
            await bench.start(Role.ENTRY, links=links, routing=routing)
            await sidecars.linked()
            await asyncio.sleep(SETTLE_SECONDS)
            yield bench, sidecars
    finally:
        await sidecars.stop()
