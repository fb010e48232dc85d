"""What the host list costs an entry by the number of hosts."""

from __future__ import annotations

from bilberryplank_core.world import Role
from bilberryplank_testing._slope_bench import BenchPlatform, configuration
from bilberryplank_testing._slope_fit import Point, Slope

HOST_COUNTS = (100, 400, 1040)
READ_INTERVALS = 2
HOSTS_READ_PER_SECOND = 50.0
MICROSECONDS = 1e6


async def measure_hosts(repeats: int, seconds: float) -> list[Slope]:
    """Returns slopes of processor time and bytes over the listed hosts."""
    processor = Slope("entry: processor at rest per 100 hosts", "us/s", MICROSECONDS, 100.0)
    size = Slope("entry: bytes of a host list per host", "bytes")
    for _ in range(repeats):
        points = [await _measure_one(count) for count in HOST_COUNTS]
        processor.repeats.append([point for point, _ in points])
        size.repeats.append([point for _, point in points])
    return [processor, size]


async def _measure_one(count: int) -> tuple[Point, Point]:
    async with BenchPlatform(count) as bench:
        await bench.store().write(0, configuration(10, ["127.0.0.1:1"]))
        await bench.start(Role.ENTRY)
        # Whole read intervals, so that each run holds as many reads as the next.
        rate = await bench.processor_rate(READ_INTERVALS * max(4.0, count / HOSTS_READ_PER_SECOND))
        async with bench.session.get(f"{bench.url}/hosts") as resp:
            size = len(await resp.read())
    return Point(count, rate), Point(count, size)
