"""A short run of both users' deployments: `python -m bilberryplank_testing.demo`."""

from __future__ import annotations

import asyncio
import random
import sys
from typing import Any

from bilberryplank_testing._caller import Caller, Outcome, PlannedRequest
from bilberryplank_testing._report import format_summaries, summarize
from bilberryplank_testing._workloads import Workload, maclarty, rarangi
from bilberryplank_testing.deployment import Deployment, DeploymentSpec

REQUESTS_PER_USER = 60
ARRIVALS_PER_SECOND = 20.0
SEED = 1
ENGINE_OPTIONS = ["--step-seconds", "0.01", "--prefill-rate", "20000"]


def merge_documents(workloads: list[Workload]) -> dict[str, Any]:
    """Returns one configuration for several users; tiers with the same rank stay apart."""
    merged: dict[str, Any] = {}
    for workload in workloads:
        for name, items in workload.document.items():
            merged.setdefault(name, []).extend(items)
    return merged


def build_spec(workloads: list[Workload]) -> DeploymentSpec:
    """Returns a small deployment for the workloads: two engines and one plain service each."""
    upstreams = [spec for item in workloads for spec in item.upstreams(2, 1, ENGINE_OPTIONS)]
    secrets = {key: value for item in workloads for key, value in item.secrets().items()}
    return DeploymentSpec(upstreams, merge_documents(workloads), secrets)


async def send_all(deployment: Deployment, workload: Workload) -> list[Outcome]:
    """Sends the requests of one user at their times, through the entries in turn."""
    rng = random.Random(f"{SEED}/{workload.name}")
    callers = [Caller(deployment.session, url) for url in deployment.entry_urls.values()]
    tasks = []
    at = 0.0
    for number in range(REQUESTS_PER_USER):
        pause = rng.expovariate(ARRIVALS_PER_SECOND)
        at += pause
        planned = PlannedRequest.draw(number, at, workload.kinds, rng)
        await asyncio.sleep(pause)
        caller = callers[number % len(callers)]
        tasks.append(asyncio.create_task(caller.send(planned)))
    return list(await asyncio.gather(*tasks))


async def run() -> int:
    """Runs the demo and returns the exit code."""
    workloads = [rarangi(), maclarty()]
    deployment = Deployment(build_spec(workloads))
    async with deployment:
        print(f"{len(deployment.operations)} processes and {len(deployment.fakes)} fakes are ready")
        groups = await asyncio.gather(*(send_all(deployment, item) for item in workloads))
        outcomes = [outcome for group in groups for outcome in group]
        print(format_summaries(summarize(outcomes)))
        codes = await deployment.stop()
    clean = all(code == 0 for code in codes.values())
    print(f"stopped gracefully: {clean}")
    answered = sum(outcome.answered for outcome in outcomes)
    print(f"{answered} of {len(outcomes)} requests answered whole")
    return 0 if clean and answered == len(outcomes) else 1


def main() -> None:
    """Runs the demo."""
    sys.exit(asyncio.run(run()))


if __name__ == "__main__":
    main()
