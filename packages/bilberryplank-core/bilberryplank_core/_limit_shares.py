"""Divides the rate and concurrency limits of organisations between entries, by their demand.

An entry is a router process that takes callers' requests. One process adds up the demand that each
entry reports every few seconds; an entry's share of a limit is in proportion to its demand. A
fraction of each limit is divided equally, so that an entry whose traffic has just started does not
get a share of 0. Each limit is identified by its name and the name of an organisation that it
covers (`_limits.LimitId`).
"""

from __future__ import annotations

from collections.abc import Mapping
from math import exp

EQUAL_SHARE_FRACTION = 0.1
"""Fraction of each limit that is divided equally."""

DEMAND_TIME_CONSTANT_SECONDS = 5.0
MIN_DEMAND_RATE = 0.01
"""Requests per second below which the demand counts as 0."""


class DemandMeter:
    """Rate of requests, decaying with the time constant `DEMAND_TIME_CONSTANT_SECONDS`."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = float("-inf")

    def add(self, count: float, now: float) -> None:
        """Records requests, whether admitted or not."""
        self._decay(now)
        self._rate += count / DEMAND_TIME_CONSTANT_SECONDS

    def rate(self, now: float) -> float:
        """Returns the requests per second; 0 if the rate is below `MIN_DEMAND_RATE`."""
        self._decay(now)
        return self._rate if self._rate >= MIN_DEMAND_RATE else 0.0

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._rate *= exp((self._updated_at - now) / DEMAND_TIME_CONSTANT_SECONDS)
            self._updated_at = now


def add_demands(
    demands: Mapping[str, Mapping[tuple[str, str], float]],
) -> dict[tuple[str, str], float]:
    """Returns the sum of all entries' requests per second, by limit.

    Args:
        demands: For each entry, requests per second by limit.
    """
    totals: dict[tuple[str, str], float] = {}
    for reported in demands.values():
        for limit_id, rate in reported.items():
            totals[limit_id] = totals.get(limit_id, 0.0) + rate
    return totals


def shares_of_entry(
    reported: Mapping[tuple[str, str], float],
    totals: Mapping[tuple[str, str], float],
    entries: int,
) -> dict[tuple[str, str], float]:
    """Returns one entry's share, 0 to 1, of each limit for which any entry has demand.

    Args:
        reported: The entry's requests per second, by limit.
        totals: Sum of all entries' requests per second, including this entry's, by limit.
        entries: Number of entries that sent a report.
    """
    equal = EQUAL_SHARE_FRACTION / max(entries, 1)
    return {
        limit_id: equal + (1 - EQUAL_SHARE_FRACTION) * reported.get(limit_id, 0.0) / total
        for limit_id, total in totals.items()
        if total > 0
    }


def divide_shares(
    demands: Mapping[str, Mapping[tuple[str, str], float]],
) -> dict[str, dict[tuple[str, str], float]]:
    """Returns each entry's share of each limit.

    The shares of a limit add up to 1; limits for which no entry has demand are left out.

    Args:
        demands: For each entry, requests per second by limit.
    """
    totals = add_demands(demands)
    return {
        entry: shares_of_entry(reported, totals, len(demands))
        for entry, reported in demands.items()
    }
