"""Whether a request should be refused at once because no engine can serve it in time.

Served late, a request of the least urgent kind earns little and makes those behind it late too;
refused at once, it may come back when the backlog is gone. More urgent requests are refused only
where they could not begin before their caller leaves: nothing less urgent is served in their place.

Load pattern: more prompt tokens than the engines can read, for seconds.
"""

from __future__ import annotations

from random import Random

BACKLOG_SHARE = 0.4
"""Share of the objective for which the least urgent requests may wait for others. An engine that
reads without a break makes a token in some 50 ms: long answers would not end in time."""

LEAST_RETURN_SECONDS = 0.3
MOST_RETURN_SECONDS = 2.0
"""Bounds on when to come back: callers wait no longer than a third of the time they have."""

SPREAD = 0.4
"""Callers that were refused together come back spread over this share of the time."""


def should_admit(
    delay: float, wait: float, objective: float, time_left: float, least_urgent: bool
) -> bool:
    """Returns True where a request should go to an engine.

    Its own reading does not count against it, else large prompts would never enter.

    Args:
        delay: Expected seconds for which it waits for others.
        wait: Expected seconds until its first token, its own reading included.
        objective: Seconds to the first token that earn the full benefit.
        time_left: Seconds that its caller still waits.
        least_urgent: True where nothing less urgent uses the service.
    """
    if least_urgent and delay > BACKLOG_SHARE * objective:
        return False
    return wait <= time_left


def retry_delay(delay: float, objective: float, rng: Random) -> float:
    """Returns the seconds after which a refused request should find a short enough wait.

    Args:
        delay: Expected seconds for which it would wait for others now.
        objective: Seconds to the first token that earn the full benefit.
        rng: Spreads those that were refused together.
    """
    excess = delay - BACKLOG_SHARE * objective
    bounded = min(max(excess, LEAST_RETURN_SECONDS), MOST_RETURN_SECONDS)
    return bounded * rng.uniform(1 - SPREAD / 2, 1 + SPREAD / 2)
