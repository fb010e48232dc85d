"""What a deployment asks of the platform by its number of processes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Any

import aiohttp

from bilberryplank_testing._caller import Caller, PlannedRequest
from bilberryplank_testing._slope_fit import Point, Slope
from bilberryplank_testing._workloads import rarangi
from bilberryplank_testing.deployment import Deployment, DeploymentSpec

SIZES = ((1, 2), (2, 6), (4, 12))
LOAD_PER_SECOND = 10.0
SETTLE_SECONDS = 3.0
WRITE_METHODS = ("POST", "PUT", "DELETE")
KINDS = ("table reads", "host list reads", "writes")
ENGINE_OPTIONS = ["--slots=64", "--step-seconds=0.01", "--prefill-rate=1000000"]


@dataclass(slots=True)
class PlatformCounts:
    """Calls a second that the platform got, by kind."""

    by_kind: dict[str, float]

    @classmethod
    def of(cls, entries: list[dict[str, Any]], seconds: float) -> PlatformCounts:
        """Returns the counts of a run log over a span."""
        kinds = [kind_of(entry) for entry in entries]
        return cls({kind: kinds.count(kind) / seconds for kind in KINDS})


def kind_of(entry: dict[str, Any]) -> str:
    """Returns the kind of a call in the platform's log."""
    if entry["method"] in WRITE_METHODS:
        return "writes"
    return "host list reads" if entry["service"] == "hosts" else "table reads"


async def measure_platform(repeats: int, seconds: float) -> list[Slope]:
    """Returns slopes of reads and writes over the number of processes, at rest and under load."""
    slopes = []
    for name, rate in (("at rest", 0.0), (f"at {LOAD_PER_SECOND:g} requests/s", LOAD_PER_SECOND)):
        found = [Slope(f"platform: {kind} per process {name}", "calls/s") for kind in KINDS]
        for _ in range(repeats):
            counts = [await _count(*size, rate, seconds) for size in SIZES]
            for slope, kind in zip(found, KINDS, strict=True):
                points = zip(SIZES, counts, strict=True)
                slope.repeats.append([Point(sum(at), item.by_kind[kind]) for at, item in points])
        slopes += found
    return slopes


async def _count(entries: int, sidecars: int, rate: float, seconds: float) -> PlatformCounts:
    workload = rarangi()
    upstreams = workload.upstreams(sidecars - 1, 1, ENGINE_OPTIONS)
    spec = DeploymentSpec(upstreams, workload.document, workload.secrets(), entries)
    async with Deployment(spec) as deployment:
        await _show_hosts(deployment)
        await asyncio.sleep(SETTLE_SECONDS)
        before = await deployment.get("platform", "/_log")
        await _send(deployment, rate, seconds)
        after = await deployment.get("platform", "/_log")
    return PlatformCounts.of(after["entries"][len(before["entries"]) :], seconds)


async def _show_hosts(deployment: Deployment) -> None:
    names = [("entry", name) for name in deployment.entries]
    names += [("sidecar", f"sidecar-{name}") for name in deployment.sidecars]
    hosts = [
        {"name": name, "zone": "zone-a", "role": role, "address": "127.0.0.1:1", "state": "live"}
        for role, name in names
    ]
    url = deployment.fake_urls["platform"] + "/_hosts"
    async with deployment.session.put(url, json={"hosts": hosts}) as resp:
        resp.raise_for_status()


async def _send(deployment: Deployment, rate: float, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    rng = random.Random(1)
    kinds = rarangi().kinds
    tasks = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        callers = [Caller(session, url) for url in deployment.entry_urls.values()]
        for number in range(round(rate * seconds)):
            planned = PlannedRequest.draw(number, 0.0, kinds, rng)
            tasks.append(loop.create_task(callers[number % len(callers)].send(planned)))
            await asyncio.sleep(1 / rate)
        await asyncio.sleep(max(0.0, end - loop.time()))
        await asyncio.gather(*tasks)
