"""Whether a request should be refused at once because no engine can serve it in time.

Served late, a request of the least urgent kind earns little and makes those behind it late too;
refused at once, it may come back when the backlog is gone. More urgent requests are refused only
where they could not begin before their caller leaves: nothing less urgent is served in their place.

Load pattern: more prompt tokens than the engines can read, for seconds.
"""

from __future__ import annotations

from random import Random

BACKLOG_SHARE = 1.0
"""Share of the objective up to which the least urgent requests may wait."""

LEAST_RETURN_SECONDS = 0.3
MOST_RETURN_SECONDS = 2.0
"""Bounds on when to come back: callers wait no longer than a third of the time they have."""

SPREAD = 0.4
"""Callers that were refused together come back spread over this share of the time."""


def may_enter(wait: float, objective: float, time_left: float, least_urgent: bool) -> bool:
    """Returns True where a request should go to an engine.

    Args:
        wait: Expected seconds until its first token.
        objective: Seconds to the first token that earn the full benefit.
        time_left: Seconds that its caller still waits.
        least_urgent: True where nothing less urgent uses the service.
    """
    if least_urgent:
        return wait <= min(BACKLOG_SHARE * objective, time_left)
    return wait <= time_left


def return_after(wait: float, objective: float, rng: Random) -> float:
    """Returns the seconds after which a refused request should find a shorter wait."""
    excess = min(max(wait - objective / 2, LEAST_RETURN_SECONDS), MOST_RETURN_SECONDS)
    return excess * rng.uniform(1 - SPREAD / 2, 1 + SPREAD / 2)
