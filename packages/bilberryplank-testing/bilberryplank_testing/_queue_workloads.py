"""Open-loop workloads of both deployments for measurements of a queue in virtual time."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from bilberryplank_core.messages import AttemptId
from bilberryplank_core.scheduling import QueuedRequest

BURST_PERIOD = 16.0
"""Seconds from one burst to the next."""

BURST_LENGTH = 4.0
"""Seconds of a burst."""

BURST_FACTOR = 2.0
"""Arrival rate in a burst, as a multiple of the rate between bursts."""

ORGANISATION_SHARES = (0.3, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05)
"""Shares of the requests; a few organisations are large."""

OUTPUT_SPREAD = 0.6
"""Standard deviation of the logarithm of output lengths."""


@dataclass(slots=True, frozen=True)
class ClassProfile:
    """A class of a workload; tokens are medians, times in seconds.

    Attributes:
        name: Name of the class.
        rank: Rank of its tier.
        share: Share of the requests.
        prompt_tokens: Prompt tokens.
        output_tokens: Output tokens.
        first_token_target: Seconds until the first token.
        deadline: Seconds that a request may take.
        floor_share: Least share of dispatches.
        batch: Requests that one organisation sends at once.
    """

    name: str
    rank: int
    share: float
    prompt_tokens: int
    output_tokens: int
    first_token_target: float
    deadline: float
    floor_share: float = 0.05
    batch: int = 1


@dataclass(slots=True)
class Arrival:
    """A request and what it will turn out to generate."""

    req: QueuedRequest
    output_tokens: int


WORKLOADS: dict[str, tuple[ClassProfile, ...]] = {
    "maclarty": (
        ClassProfile("delivery-note", 0, 0.45, 150, 40, 0.38, 10.0),
        ClassProfile("stockist-question", 1, 0.25, 400, 120, 2.0, 30.0),
        ClassProfile("history-reorder", 1, 0.1, 6000, 250, 6.0, 60.0),
        ClassProfile("reconciliation", 2, 0.2, 1500, 200, 30.0, 300.0),
    ),
    "maclarty-season": (
        ClassProfile("delivery-note", 0, 0.35, 150, 40, 0.38, 10.0),
        ClassProfile("stockist-question", 1, 0.2, 400, 120, 2.0, 30.0),
        ClassProfile("history-reorder", 1, 0.35, 6000, 250, 6.0, 60.0),
        ClassProfile("reconciliation", 2, 0.1, 1500, 200, 30.0, 300.0),
    ),
    "rarangi-night": (
        ClassProfile("courier-reply", 0, 0.1, 250, 50, 0.38, 10.0),
        ClassProfile("supervisor-brief", 1, 0.2, 1500, 150, 3.0, 30.0),
        ClassProfile("reconciliation", 2, 0.7, 2500, 250, 60.0, 300.0, batch=60),
    ),
    "rarangi": (
        ClassProfile("courier-reply", 0, 0.5, 250, 50, 0.38, 10.0),
        ClassProfile("supervisor-brief", 1, 0.2, 1500, 150, 3.0, 30.0),
        ClassProfile("reconciliation", 2, 0.3, 2500, 250, 30.0, 300.0),
    ),
}


def generate(
    profiles: tuple[ClassProfile, ...], rate: float, seconds: float, seed: int
) -> list[Arrival]:
    """Returns Poisson arrivals at a mean rate, in requests a second, with bursts."""
    rng = random.Random(seed)
    quiet = rate / (1.0 + (BURST_FACTOR - 1.0) * BURST_LENGTH / BURST_PERIOD)
    arrivals = []
    now = rng.expovariate(quiet * BURST_FACTOR)
    while now < seconds:
        in_burst = now % BURST_PERIOD < BURST_LENGTH
        if in_burst or rng.random() < 1.0 / BURST_FACTOR:
            profile = rng.choices(profiles, [entry.share for entry in profiles])[0]
            index = rng.choices(range(len(ORGANISATION_SHARES)), ORGANISATION_SHARES)[0]
            if rng.random() < 1.0 / profile.batch:
                for _ in range(profile.batch):
                    arrivals.append(_arrival(rng, profile, index, len(arrivals), now))
        now += rng.expovariate(quiet * BURST_FACTOR)
    return arrivals


def _arrival(
    rng: random.Random, profile: ClassProfile, index: int, number: int, now: float
) -> Arrival:
    output = profile.output_tokens * math.exp(rng.gauss(0.0, OUTPUT_SPREAD))
    req = QueuedRequest(
        attempt=AttemptId(f"r{number}", 1, "bench"),
        organisation=f"organisation-{index}",
        key_id=f"key-{index}",
        class_name=profile.name,
        rank=profile.rank,
        prompt_tokens=max(1, int(profile.prompt_tokens * rng.uniform(0.7, 1.3))),
        output_limit=0,
        arrived=now,
        deadline=now + profile.deadline,
        first_token_target=profile.first_token_target,
        floor_share=profile.floor_share,
        preemptible=profile.rank > 0,
    )
    return Arrival(req, max(1, int(output)))
