"""One load run: the same arrivals for each policy, all policies side by side."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import aiohttp

from bilberryplank_testing._caller import Caller, Outcome, PlannedRequest
from bilberryplank_testing._load_plan import (
    ArrivalProfile,
    EngineFleet,
    bounded_document,
    plan_arrivals,
)
from bilberryplank_testing._load_usage import ProcessUsage
from bilberryplank_testing._workloads import Workload
from bilberryplank_testing.deployment import Deployment, DeploymentSpec

GRACE_SECONDS = 25.0
START_ATTEMPTS = 3
FAULT_SHARE = 1 / 3
STRAGGLER_SPEED = 0.1
MAX_EXPLAINED = 40
RETRIES_PREFIX = 'bilberryplank_retries_total{reason="'


class Policy(str, Enum):
    """What decides: the policy of the product, or its baseline."""

    TIERED = "tiered"
    BASELINE = "baseline"


class LoadFault(str, Enum):
    """What befalls the first engine a third into the run."""

    NONE = "none"
    STRAGGLER = "straggler"
    KILL = "kill"


@dataclass(slots=True, frozen=True)
class TrialPlan:
    """What a load run does.

    Attributes:
        workload: Whose mix.
        fleet: Engines.
        rate_factor: Arrivals within the burst as a share of the engines' capacity.
        seed: Seed of the arrivals.
        seconds: Length of the arrivals.
        fault: What befalls one engine.
    """

    workload: Workload
    fleet: EngineFleet
    rate_factor: float
    seed: int
    seconds: float
    fault: LoadFault

    def profile(self) -> ArrivalProfile:
        """Returns the rates of arrival."""
        capacity = self.fleet.capacity(self.workload.kinds)
        return ArrivalProfile(capacity, self.rate_factor, self.seconds)

    def arrivals(self) -> list[PlannedRequest]:
        """Returns the requests."""
        return plan_arrivals(self.workload, self.profile(), self.seed)


@dataclass(slots=True)
class TrialRecord:
    """What one policy did in a load run.

    Attributes:
        plan: What was run.
        policy: Who decided.
        outcomes: What callers got, in order of the plan.
        in_burst: For each outcome, whether it was sent within the burst.
        runs: Run logs of the engines.
        retries: Further attempts by reason.
        refusal_delays: Seconds from an entry's refusal to its arrival at the caller.
        verdict_delays: Seconds from a sidecar's last refusal to that arrival.
        entry_seconds: Processor seconds of all entries.
        sidecar_seconds: Processor seconds of all sidecars.
        machine_load: The machine's load average of the last minute.
    """

    plan: TrialPlan
    policy: Policy
    outcomes: list[Outcome] = field(default_factory=list)
    in_burst: list[bool] = field(default_factory=list)
    runs: list[dict[str, Any]] = field(default_factory=list)
    retries: dict[str, int] = field(default_factory=dict)
    refusal_delays: list[float] = field(default_factory=list)
    verdict_delays: list[float] = field(default_factory=list)
    entry_seconds: float = 0.0
    sidecar_seconds: float = 0.0
    machine_load: float = 0.0


async def run_trial(plan: TrialPlan, policies: list[Policy]) -> list[TrialRecord]:
    """Runs each policy in a deployment of its own, all at the same time."""
    ready = asyncio.Barrier(len(policies))
    runs = [PolicyRun(plan, policy, ready) for policy in policies]
    try:
        return list(await asyncio.gather(*(run.run() for run in runs)))
    finally:
        await asyncio.gather(*(run.stop() for run in runs))


class PolicyRun:
    """One policy under the arrivals of a plan."""

    def __init__(self, plan: TrialPlan, policy: Policy, ready: asyncio.Barrier) -> None:
        self._plan = plan
        self._ready = ready
        self._record = TrialRecord(plan, policy)
        self._spec = _build_spec(plan, policy)
        self._deployment = Deployment(self._spec)
        self._killed_runs: list[dict[str, Any]] = []

    async def run(self) -> TrialRecord:
        """Starts the processes, sends the plan's requests and reads what came of them."""
        await self._start()
        async with _new_session() as session:
            await self._ready.wait()
            before = self._processor_seconds()
            tasks = await self._send_all(session)
            self._record.outcomes = list(await asyncio.gather(*tasks))
            profile = self._plan.profile()
            self._record.in_burst = [profile.in_burst(item.at) for item in self._plan.arrivals()]
            after = self._processor_seconds()
            self._record.entry_seconds = after[0] - before[0]
            self._record.sidecar_seconds = after[1] - before[1]
            self._record.machine_load = os.getloadavg()[0]
            await self._read_logs()
        return self._record

    async def stop(self) -> None:
        """Ends every process."""
        await self._deployment.stop()

    async def _start(self) -> None:
        """Starts the processes; again where another program took a port meanwhile."""
        for attempt in range(START_ATTEMPTS):
            try:
                await self._deployment.__aenter__()
                return
            except (OSError, TimeoutError):
                if attempt == START_ATTEMPTS - 1:
                    raise
                self._deployment = Deployment(self._spec)

    async def _send_all(self, session: aiohttp.ClientSession) -> list[asyncio.Task[Outcome]]:
        plan = self._plan
        callers = [Caller(session, url) for url in self._deployment.entry_urls.values()]
        loop = asyncio.get_running_loop()
        start = loop.time()
        fault = loop.create_task(self._cause_fault(plan.seconds * FAULT_SHARE))
        tasks: list[asyncio.Task[Outcome]] = []
        for item in plan.arrivals():
            await asyncio.sleep(max(0.0, start + item.at - loop.time()))
            caller = callers[item.number % len(callers)]
            tasks.append(loop.create_task(_send(caller, item)))
        await fault
        return tasks

    async def _cause_fault(self, delay: float) -> None:
        await asyncio.sleep(delay)
        name = self._deployment.spec.upstreams[0].name
        match self._plan.fault:
            case LoadFault.STRAGGLER:
                await self._deployment.tell(name, "/_control", {"speed": STRAGGLER_SPEED})
            case LoadFault.KILL:
                self._killed_runs = (await self._deployment.get(name, "/_log"))["entries"]
                await self._deployment.fakes[name].kill()
            case LoadFault.NONE:
                return

    def _processor_seconds(self) -> tuple[float, float]:
        groups = (self._deployment.entries, self._deployment.sidecars)
        entries, sidecars = (
            sum(ProcessUsage.read(child.pid).processor_seconds for child in group.values())
            for group in groups
        )
        return entries, sidecars

    async def _read_logs(self) -> None:
        self._record.runs = list(self._killed_runs)
        for spec in self._deployment.spec.upstreams:
            if spec.kind == "engine" and self._deployment.fakes[spec.name].running:
                entries = (await self._deployment.get(spec.name, "/_log"))["entries"]
                self._record.runs += entries
        for name in self._deployment.entries:
            await self._read_retries(name)
        await self._explain_refusals()

    async def _read_retries(self, process: str) -> None:
        url = f"http://{self._deployment.operations[process]}/metrics"
        async with self._deployment.session.get(url) as resp:
            lines = (await resp.text()).splitlines()
        retries = self._record.retries
        for line in lines:
            if line.startswith(RETRIES_PREFIX):
                reason, _, count = line.removeprefix(RETRIES_PREFIX).partition('"} ')
                retries[reason] = retries.get(reason, 0) + round(float(count))

    async def _explain_refusals(self) -> None:
        offset = time.time() - time.monotonic()
        refused = [item for item in self._record.outcomes if item.refusal and item.request_id]
        for outcome in refused[:: max(1, len(refused) // MAX_EXPLAINED)]:
            received = outcome.sent + outcome.total + offset
            decisions = await self._decisions(self._deployment.entries, outcome.request_id)
            self._record.refusal_delays += _since_end(decisions, "refused", received)
            sidecars = [f"sidecar-{name}" for name in self._deployment.sidecars]
            verdicts = await self._decisions(sidecars, outcome.request_id)
            self._record.verdict_delays += _since_end(verdicts, "not_run", received)

    async def _decisions(self, processes: Any, request_id: str) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        for name in processes:
            url = f"http://{self._deployment.operations[name]}/decisions/{request_id}"
            async with self._deployment.session.get(url) as resp:
                if resp.status == 200:
                    found += (await resp.json())["decisions"]
        return sorted(found, key=lambda item: item["at"])


def _build_spec(plan: TrialPlan, policy: Policy) -> DeploymentSpec:
    upstreams = plan.workload.upstreams(plan.fleet.count, 1, plan.fleet.command_line())
    fifo = {"policy": "fifo"} if policy is Policy.BASELINE else {}
    for spec in upstreams:
        spec.queue = dict(fifo)
        if spec.kind == "engine":
            spec.queue["slots"] = plan.fleet.options.slots
    document = bounded_document(plan.workload)
    spec = DeploymentSpec(upstreams, document, plan.workload.secrets())
    if policy is Policy.BASELINE:
        spec.entry_settings["routing"] = {"policy": "round_robin"}
    return spec


def _new_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


async def _send(caller: Caller, planned: PlannedRequest) -> Outcome:
    outcome = Outcome(planned.kind.class_name, planned.organisation, planned.kind.streamed)
    try:
        async with asyncio.timeout(GRACE_SECONDS):
            return await caller.send(planned)
    except TimeoutError:
        outcome.total = GRACE_SECONDS
        return outcome


def _since_end(decisions: list[dict[str, Any]], step: str, received: float) -> list[float]:
    """Returns the seconds since the last decision, where that is a refusal."""
    if not decisions or decisions[-1]["step"] != step:
        return []
    return [received - decisions[-1]["at"]]
