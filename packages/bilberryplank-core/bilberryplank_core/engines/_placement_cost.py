"""Cost of an engine beside the time until the first token: its zone, its cache, its failures."""

from __future__ import annotations

UNKNOWN_CACHE_COST_SHARES = {0: 0.0, 1: 0.6}
"""Share of the cost of a repeated prefill that counts at an engine not known to have a segment
cached, by its rank among the preferred engines: the second one often has it, as all entries fall
back to the same one."""

CACHE_MISS_PROBABILITY = 0.35
"""Share of that cost that counts where peers do not report their placements: an engine may have a
segment cached that this entry did not send there."""

OTHER_ZONE_COST_SECONDS = 0.01
"""Cost of an engine in another zone: bytes between zones are billed."""

REPEATED_PREFILL_COST_FACTOR = 20.0
"""Queueing delay worth accepting to save the repeated prefill of a shared token, as a multiple of
its prefill time: the prefill also delays all others in the queue, several times over under load."""

FAILURE_COST_SECONDS = 1.0
"""Cost of an engine that fails every request."""


def repeated_prefill_tokens(
    missing: int, uncached: int, preference_rank: int, has_peer_reports: bool
) -> float:
    """Returns the shared tokens whose prefill at an engine counts as repeated.

    Args:
        missing: Shared tokens that the engine is not known to have cached.
        uncached: Those of them that no engine is known to have cached.
        preference_rank: Rank of the engine among the preferred engines of the shared segments.
        has_peer_reports: True where peers report their placements.
    """
    cost_share = UNKNOWN_CACHE_COST_SHARES.get(preference_rank, 1.0)
    if not has_peer_reports:
        return missing * cost_share * CACHE_MISS_PROBABILITY
    # Tokens cached nowhere need one prefill anywhere; entries agree on the preferred engine.
    return missing - uncached + uncached * cost_share


def placement_cost(same_zone: bool, repeated_seconds: float, failure_share: float) -> float:
    """Returns the cost of the zone, of a repeated prefill and of failures, in seconds.

    Args:
        same_zone: True if the engine is in the entry's availability zone.
        repeated_seconds: Prefill time of shared tokens that other engines have cached.
        failure_share: Share of failed attempts at the engine, 0 to 1.
    """
    zone_cost = 0.0 if same_zone else OTHER_ZONE_COST_SECONDS
    return (
        zone_cost
        + REPEATED_PREFILL_COST_FACTOR * repeated_seconds
        + FAILURE_COST_SECONDS * failure_share
    )
