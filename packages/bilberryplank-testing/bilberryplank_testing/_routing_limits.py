"""How close the rate admitted over several entries comes to a limit, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Iterator
from statistics import mean

from bilberryplank_core.configuration import Configuration, ConfigurationParts
from bilberryplank_core.errors import Refused
from bilberryplank_core.routing import OrganisationLimits, divide_shares
from bilberryplank_core.world import Key, Limit, Organisation

LIMIT_PER_SECOND = 100.0
OFFERED_OF_LIMIT = 2.0
SECONDS = 60.0
SHARES_INTERVAL_SECONDS = 5.0
ENTRY_COUNTS = (3, 10, 350)
KEY = Key("key", "org", "digest")


def limit_rows(seeds: int) -> Iterator[str]:
    """Yields a row for each number of entries, demand and way of sharing."""
    for count in ENTRY_COUNTS:
        for demand in ("even", "skewed", "one entry"):
            for weighted in (False, True):
                ratios = [_ratio(count, demand, weighted, seed) for seed in range(1, seeds + 1)]
                word = "by demand" if weighted else "equal"
                spread = f"{mean(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})"
                yield f"{count} | {demand} | {word} | {spread}"


def _ratio(count: int, demand: str, weighted: bool, seed: int) -> float:
    rng = random.Random(seed)
    organisations = (Organisation("org"),)
    limits = (Limit("limit", requests_per_second=LIMIT_PER_SECOND),)
    parts = ConfigurationParts(organisations, (KEY,), limits=limits)
    entries = [OrganisationLimits(Configuration(1, parts), count) for _ in range(count)]
    weights = _weights(count, demand)
    now, next_shares, admitted = 0.0, SHARES_INTERVAL_SECONDS, 0
    while now < SECONDS:
        now += rng.expovariate(LIMIT_PER_SECOND * OFFERED_OF_LIMIT)
        if weighted and now >= next_shares:
            next_shares += SHARES_INTERVAL_SECONDS
            _share(entries, now)
        admitted += _admit(rng.choices(entries, weights)[0], now)
    return admitted / (LIMIT_PER_SECOND * SECONDS)


def _weights(count: int, demand: str) -> list[float]:
    match demand:
        case "even":
            return [1.0] * count
        case "skewed":
            return [1.0 / (index + 1) for index in range(count)]
        case _:
            return [1.0] + [0.0] * (count - 1)


def _admit(entry: OrganisationLimits, now: float) -> bool:
    try:
        entry.settle(entry.admit(KEY, "class", 0, now), 0)
    except Refused:
        return False
    return True


def _share(entries: list[OrganisationLimits], now: float) -> None:
    reports = {str(index): entry.demand(now) for index, entry in enumerate(entries)}
    for name, shares in divide_shares(reports).items():
        entries[int(name)].set_shares(shares, now)
