"""Decides whether a request is refused at once because no engine can serve it in time.

A late answer to a request of the least urgent kind earns little and delays the requests behind it;
refused at once, the request may be retried when the backlog is gone. More urgent requests are
refused only where they could not start before their caller leaves: nothing less urgent is served in
their place.

Motivating load: for some seconds, more prompt tokens than the engines can prefill.
"""

from __future__ import annotations

from random import Random

MAX_QUEUEING_SHARE = 0.4
"""Share of the objective that the least urgent requests may spend queueing. An engine in continuous
prefill emits a token in some 50 ms: long answers would not end in time."""

DEFERRED_TIME_SHARE = 0.6
"""Share of the time left that a deferred request may be expected to take."""

DEFERRED_URGENCY = (9, 9)
"""Urgency of deferred requests: behind those of every route and organisation."""

MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 2.0
"""Bounds on the retry delay: callers wait no longer than a third of the time they have."""

RETRY_JITTER = 0.4
"""Retries of requests that were refused together are spread over this share of the delay."""


def should_admit(
    delay: float, wait: float, objective: float, time_left: float, least_urgent: bool
) -> bool:
    """Returns True where a request should be sent to an engine.

    The least urgent requests are judged without their own prefill, else large prompts would
    never be admitted.

    Args:
        delay: Expected queueing delay in seconds.
        wait: Expected seconds until its first token, its own prefill included.
        objective: Objective of the time to the first token in seconds.
        time_left: Seconds that its caller still waits.
        least_urgent: True where nothing less urgent uses the service.
    """
    if least_urgent and delay > MAX_QUEUEING_SHARE * objective:
        return False
    return wait <= time_left


def may_defer(wait: float, output_seconds: float, time_left: float) -> bool:
    """Returns True where a request that should not be admitted now may go behind all others.

    It delays nothing that can still be in time, and a late answer is worth more to its caller than
    none. The rest of its time is left for what comes before it meanwhile.

    Args:
        wait: Expected seconds until its first token behind all others.
        output_seconds: Expected seconds from there to its last token.
        time_left: Seconds that its caller still waits.
    """
    return wait + output_seconds <= DEFERRED_TIME_SHARE * time_left


def retry_delay(delay: float, objective: float, rng: Random) -> float:
    """Returns the seconds after which a refused request should find a short enough queue.

    Args:
        delay: Expected queueing delay in seconds if it were sent now.
        objective: Objective of the time to the first token in seconds.
        rng: Source of the jitter.
    """
    excess_delay = delay - MAX_QUEUEING_SHARE * objective
    retry_seconds = min(max(excess_delay, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return retry_seconds * rng.uniform(1 - RETRY_JITTER / 2, 1 + RETRY_JITTER / 2)
