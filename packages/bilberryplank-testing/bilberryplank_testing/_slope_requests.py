"""What requests cost entry and sidecar: processor time by request and token, memory in flight."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from bilberryplank_testing._caller import Caller, Outcome
from bilberryplank_testing._load_usage import ProcessUsage
from bilberryplank_testing._slope_fit import Point, Slope
from bilberryplank_testing._workloads import SECRET_PREFIX, rarangi
from bilberryplank_testing.deployment import Deployment, DeploymentSpec

SLOTS = 256
STEP_SECONDS = 0.02
REQUEST_RATES = (5, 10, 20, 40)
TOKEN_COUNTS = (10, 40, 160)
TOKEN_REQUEST_RATE = 5
IN_FLIGHT_COUNTS = (0, 50, 100, 200)
UNSTREAMED_TOKENS = 20
BODY_CHARS = 4000
WARM_UP_REQUESTS = 50
SETTLE_SECONDS = 2.0
MILLISECONDS = 1e3
MICROSECONDS = 1e6
KILOBYTES = 1 / 1024


@dataclass(slots=True, frozen=True)
class PairUsage:
    """Usage of the entry and of the sidecar."""

    entry: ProcessUsage
    sidecar: ProcessUsage


class RequestBench:
    """One entry, one sidecar and one fast engine."""

    def __init__(self, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self._deployment = deployment
        self._caller = Caller(session, deployment.entry_urls["entry-1"])
        self._upstream = deployment.spec.upstreams[0].name

    @classmethod
    def new_deployment(cls) -> Deployment:
        """Returns the deployment that it needs."""
        workload = rarangi()
        options = [f"--slots={SLOTS}", f"--step-seconds={STEP_SECONDS}", "--batch-slowdown=0"]
        options += ["--prefill-rate=10000000", "--kv-tokens=10000000"]
        upstreams = workload.upstreams(1, 0, options)
        upstreams[0].queue = {"slots": SLOTS, "max_queued": SLOTS, "long_prefill_share": 1.0}
        spec = DeploymentSpec(upstreams, workload.document, workload.secrets(), 1)
        return Deployment(spec)

    def usage(self) -> PairUsage:
        """Returns what both processes used so far."""
        entry = self._deployment.entries["entry-1"].pid
        sidecar = self._deployment.sidecars[self._upstream].pid
        return PairUsage(ProcessUsage.read(entry), ProcessUsage.read(sidecar))

    async def hang(self, hung: bool) -> None:
        """Has the engine make no step."""
        await self._deployment.tell(self._upstream, "/_control", {"hang": hung})

    async def send(self, tokens: int, stream: bool) -> None:
        """Sends one request and checks its answer."""
        body = {
            "model": "courier-small",
            "stream": stream,
            "max_tokens": tokens,
            "fake_output_tokens": tokens,
            "messages": [{"role": "user", "content": "x" * BODY_CHARS}],
        }
        headers = {"Authorization": f"Bearer {SECRET_PREFIX}key-rarangi-01"}
        outcome = Outcome("courier-reply", "rarangi-01", stream)
        await self._caller.call(outcome, "POST", "/v1/chat/completions", headers, body)
        if not outcome.answered or outcome.tokens != tokens:
            raise RuntimeError(f"request failed: {outcome.status} {outcome.refusal}")

    async def send_evenly(self, rate: float, seconds: float, tokens: int, stream: bool) -> None:
        """Sends requests at an even rate and waits for their answers."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for number in range(round(rate * seconds)):
            await asyncio.sleep(max(0.0, start + number / rate - loop.time()))
            tasks.append(loop.create_task(self.send(tokens, stream)))
        await asyncio.gather(*tasks)

    async def cost(self, rate: float, seconds: float, tokens: int, stream: bool) -> list[float]:
        """Returns the processor seconds of entry and sidecar for such requests."""
        before = self.usage()
        await self.send_evenly(rate, seconds, tokens, stream)
        after = self.usage()
        return [
            after.entry.processor_seconds - before.entry.processor_seconds,
            after.sidecar.processor_seconds - before.sidecar.processor_seconds,
        ]


async def measure_requests(repeats: int, seconds: float) -> list[Slope]:
    """Returns slopes over requests and tokens."""
    async with _open_bench() as bench:
        slopes = await _measure_rates(bench, repeats, seconds)
        return slopes + await _measure_tokens(bench, repeats, seconds)


async def measure_in_flight(repeats: int, seconds: float) -> list[Slope]:
    """Returns slopes over requests in flight; each repeat has processes of its own."""
    slopes = _pair("memory per request in flight", "KB", KILOBYTES)
    for _ in range(repeats):
        async with _open_bench() as bench:
            _add(slopes, [await _resident(bench, count) for count in IN_FLIGHT_COUNTS])
    return slopes


@asynccontextmanager
async def _open_bench() -> AsyncIterator[RequestBench]:
    """Yields a bench that has served its first requests."""
    connector = aiohttp.TCPConnector(limit=0)
    deployment = RequestBench.new_deployment()
    async with deployment, aiohttp.ClientSession(connector=connector) as session:
        bench = RequestBench(deployment, session)
        await bench.send_evenly(WARM_UP_REQUESTS, 1.0, UNSTREAMED_TOKENS, True)
        yield bench


async def _measure_rates(bench: RequestBench, repeats: int, seconds: float) -> list[Slope]:
    slopes = _pair("processor per unstreamed request", "ms", MILLISECONDS)
    for _ in range(repeats):
        found = []
        for rate in REQUEST_RATES:
            costs = await bench.cost(rate, seconds, UNSTREAMED_TOKENS, False)
            found.append([Point(rate * seconds, cost) for cost in costs])
        _add(slopes, found)
    return slopes


async def _measure_tokens(bench: RequestBench, repeats: int, seconds: float) -> list[Slope]:
    slopes = _pair("processor per streamed token", "us", MICROSECONDS)
    requests = TOKEN_REQUEST_RATE * seconds
    for _ in range(repeats):
        found = []
        for tokens in TOKEN_COUNTS:
            costs = await bench.cost(TOKEN_REQUEST_RATE, seconds, tokens, True)
            found.append([Point(tokens, cost / requests) for cost in costs])
        _add(slopes, found)
    return slopes


async def _resident(bench: RequestBench, count: int) -> list[Point]:
    await bench.hang(True)
    tasks = [asyncio.create_task(bench.send(UNSTREAMED_TOKENS, True)) for _ in range(count)]
    await asyncio.sleep(SETTLE_SECONDS)
    usage = bench.usage()
    await bench.hang(False)
    await asyncio.gather(*tasks)
    return [
        Point(count, usage.entry.resident_bytes),
        Point(count, usage.sidecar.resident_bytes),
    ]


def _pair(name: str, unit: str, scale: float) -> list[Slope]:
    return [Slope(f"{role}: {name}", unit, scale) for role in ("entry", "sidecar")]


def _add(slopes: list[Slope], found: list[list[Point]]) -> None:
    for place, slope in enumerate(slopes):
        slope.repeats.append([points[place] for points in found])
