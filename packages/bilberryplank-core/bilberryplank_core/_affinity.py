"""Prefix affinity: requests with the same prompt prefix prefer the same upstream.

Rendezvous hashing orders the upstreams for each prefix, and the request goes to the first one whose
load is within the bound: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam,
SODA 2018).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil

import xxhash

LOAD_FACTOR = 1.25
"""Bound on an upstream's requests, as a multiple of the mean over the candidate upstreams.

The mean counts the new request too.
"""

PREFIX_BYTES = 1024
"""Length of the start of a prompt that determines its affinity."""


def affinity_key(organisation: str, prompt: bytes) -> bytes:
    """Returns the affinity key of a prompt's prefix; organisations never share a key."""
    digest = xxhash.xxh3_64()
    digest.update(organisation.encode())
    digest.update(b"\0")
    digest.update(prompt[:PREFIX_BYTES])
    return digest.digest()


def rendezvous_score(key: bytes, name: str) -> int:
    """Returns the rendezvous score of a name for a key (Thaler, Ravishankar 1998).

    The name with the highest score is preferred.
    """
    return xxhash.xxh3_64_intdigest(key + b"\0" + name.encode())


def rank_upstreams(key: bytes, upstreams: Sequence[str]) -> list[str]:
    """Returns the names of upstreams by descending score for the key."""
    return sorted(
        upstreams, key=lambda upstream: (rendezvous_score(key, upstream), upstream), reverse=True
    )


def pick_within_bound(key: bytes, in_flight: Mapping[str, int]) -> str:
    """Returns the highest-scoring upstream whose requests stay within the load bound.

    Args:
        key: Affinity key of the request.
        in_flight: For each candidate upstream, the requests that this entry (the router process
            that takes callers' requests) has in flight there. These counts are always up to date,
            unlike the load that upstreams report.
    """
    bound = ceil(LOAD_FACTOR * (sum(in_flight.values()) + 1) / len(in_flight))
    ranked = rank_upstreams(key, list(in_flight))
    return next(upstream for upstream in ranked if in_flight[upstream] < bound)
