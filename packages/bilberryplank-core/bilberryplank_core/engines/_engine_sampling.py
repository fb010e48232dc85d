"""Which engines are compared, and which are asked for their load, for one request."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from heapq import nlargest

from bilberryplank_core._direct_types import DirectUpstream

PREFERRED_ENGINES = 2
"""Preferred engines of a shared segment that are compared and queried."""

MIN_QUERY_PROMPT_TOKENS = 4_000
"""Prefill of a shorter prompt takes tens of milliseconds; a load query would cost more than it
saves."""

MAX_QUERIED_ENGINES = 3
"""Engines queried for one request."""

LOAD_QUERY_INTERVAL_SECONDS = 0.1
"""A load that is no older is not queried again; engines report it some 200 ms late."""

MAX_CANDIDATES, MAX_CACHE_OWNERS = 96, 16
"""Engines that are compared for one request, and those of them chosen for their cached tokens."""


def sample_engines(
    shuffled: Sequence[DirectUpstream],
    preferred: Sequence[DirectUpstream],
    cached: Mapping[str, int],
    partition: Collection[str],
) -> Sequence[DirectUpstream]:
    """Returns the engines to compare: all of a small fleet, a sample of a large one.

    The sample has the preferred engines, those with most of the prompt cached, and random engines
    from inside and outside the partition. The best of a few dozen is hardly worse than the best of
    all (Azar, Broder, Karlin and Upfal, 1994), and the time of a choice does not grow with the
    fleet.

    Motivating load: hundreds of engines of one service, ten long prompts a second at an entry.

    Args:
        shuffled: Engines in random order.
        preferred: Preferred engines of the prompt's shared prefix.
        cached: Tokens of the prompt that each engine has cached.
        partition: Names of the engines in the request's partition.
    """
    if len(shuffled) <= MAX_CANDIDATES:
        return shuffled
    cache_owners = nlargest(MAX_CACHE_OWNERS, shuffled, key=lambda engine: cached[engine.name])
    inside = [engine for engine in shuffled if engine.name in partition]
    outside = [engine for engine in shuffled if engine.name not in partition]
    side_size = (MAX_CANDIDATES - MAX_CACHE_OWNERS - PREFERRED_ENGINES) // 2
    sample = [*preferred, *cache_owners, *inside[:side_size], *outside[:side_size]]
    return list({engine.name: engine for engine in sample}.values())
