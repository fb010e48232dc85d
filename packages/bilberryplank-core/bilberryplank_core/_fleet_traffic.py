"""What all entries have at engines, worked out from one entry's own part and from load reports.

Load pattern: many entries, each with requests at few of the engines.
"""

from __future__ import annotations

REPORT_WEIGHT = 0.02
"""Weight of one report in the running share of the traffic."""

PRIOR_REPORTS = 5
"""Reports that the assumption of being alone counts for, until reports have come."""

MAX_FLEET_RATIO = 1024.0
"""Bound on the share, so that a few odd reports do not turn everything away."""

PRIOR_REQUESTS = 2.0
"""Requests of its own that an entry must see at an engine to believe in as much as in the mean."""


class FleetTrafficRatio:
    """How many requests all entries have at engines for each of this entry's own.

    Load reports count the requests of all entries; compared with its own at that moment, an entry
    learns by how much its own backlog must be scaled. The request that brings a report is left out
    of both: an entry hears only of engines where it has one.
    """

    __slots__ = ("_fleet_mean", "_own_mean", "_reports")

    def __init__(self) -> None:
        self._own_mean = 1.0
        self._fleet_mean = 1.0
        self._reports = PRIOR_REPORTS

    def record_report(self, own_requests: int, all_requests: int) -> None:
        """Takes in one report, beside the entry's own requests there."""
        self._reports += 1
        weight = max(REPORT_WEIGHT, 1.0 / self._reports)
        self._own_mean += weight * (own_requests - 1 - self._own_mean)
        self._fleet_mean += weight * (max(own_requests, all_requests) - 1 - self._fleet_mean)

    def ratio(self) -> float:
        """Returns the requests of all entries for each of this entry's own; at least 1."""
        if self._fleet_mean <= self._own_mean:
            return 1.0
        return self._fleet_mean / max(self._own_mean, self._fleet_mean / MAX_FLEET_RATIO)


def estimate_fleet_total(own: float, mean: float, request_size: float, fleet_ratio: float) -> float:
    """Returns what all entries are likely to have at one engine, by one entry's own part.

    With many entries an own part is a small sample: it says little of this engine, so the estimate
    stays near the mean of all engines (the mean of a gamma distribution after a Poisson sample).

    Args:
        own: The entry's own part at the engine.
        mean: The mean of its own parts over all engines.
        request_size: Size of the part that one request makes.
        fleet_ratio: Requests of all entries for each of its own.
    """
    if mean <= 0:
        return fleet_ratio * own
    prior = PRIOR_REQUESTS * request_size
    return fleet_ratio * mean * (prior + own) / (prior + mean)
