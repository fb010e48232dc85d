"""Estimates the load of all entries at engines from one entry's own requests and load reports.

Motivating load: many entries, each with requests at few of the engines.
"""

from __future__ import annotations

REPORT_WEIGHT = 0.02
"""Weight of one report in the moving averages of the traffic."""

PRIOR_REPORTS = 5
"""Number of reports that the initial assumption of a single entry counts for."""

MAX_FLEET_RATIO = 1024.0
"""Upper limit of the ratio, so that a few outliers in reports do not reject all requests."""

PRIOR_REQUESTS = 2.0
"""Number of own requests at an engine from which its own sample weighs as much as the mean."""


class FleetTrafficRatio:
    """Ratio of the requests of all entries at engines to this entry's own.

    Load reports count the requests of all entries. By comparing them with its own requests at that
    time, an entry learns the factor by which its own backlog must be scaled. The request whose
    response carries the report is left out of both counts, as an entry gets reports only from
    engines where it has a request.
    """

    __slots__ = ("_fleet_mean", "_own_mean", "_reports")

    def __init__(self) -> None:
        self._own_mean = 1.0
        self._fleet_mean = 1.0
        self._reports = PRIOR_REPORTS

    def record_report(self, own_requests: int, all_requests: int) -> None:
        """Records one load report, with the entry's own requests at that engine."""
        self._reports += 1
        weight = max(REPORT_WEIGHT, 1.0 / self._reports)
        self._own_mean += weight * (own_requests - 1 - self._own_mean)
        self._fleet_mean += weight * (max(own_requests, all_requests) - 1 - self._fleet_mean)

    def ratio(self) -> float:
        """Returns the requests of all entries divided by this entry's own; at least 1."""
        if self._fleet_mean <= self._own_mean:
            return 1.0
        return self._fleet_mean / max(self._own_mean, self._fleet_mean / MAX_FLEET_RATIO)


def estimate_fleet_total(own: float, mean: float, request_size: float, fleet_ratio: float) -> float:
    """Estimates the load of all entries at one engine from one entry's own load.

    With many entries, the own load is a small sample that says little about this engine, so the
    estimate stays near the mean of all engines (posterior mean of a gamma prior with Poisson
    samples).

    Args:
        own: The entry's own load at the engine.
        mean: The mean of its own loads over all engines.
        request_size: Load of one request, in the same unit.
        fleet_ratio: Ratio of the requests of all entries to its own.
    """
    if mean <= 0:
        return fleet_ratio * own
    prior = PRIOR_REQUESTS * request_size
    return fleet_ratio * mean * (prior + own) / (prior + mean)
