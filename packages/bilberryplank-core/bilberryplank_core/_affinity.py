"""Prefix affinity: requests with the same prompt prefix prefer the same upstream.

Rendezvous hashing orders the upstreams for each prefix, and the first one with room takes the
request: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, SODA 2018).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil

import xxhash

LOAD_FACTOR = 1.25
PREFIX_BYTES = 1024


def affinity_key(organisation: str, prompt: bytes) -> bytes:
    """Returns the key of a prompt's prefix; prefixes are never shared between organisations."""
    digest = xxhash.xxh3_64()
    digest.update(organisation.encode())
    digest.update(b"\0")
    digest.update(prompt[:PREFIX_BYTES])
    return digest.digest()


def rendezvous_score(key: bytes, name: str) -> int:
    """Returns the score of a name for a key (Thaler, Ravishankar 1998); the largest wins."""
    return xxhash.xxh3_64_intdigest(key + b"\0" + name.encode())


def rank_names(key: bytes, names: Sequence[str]) -> list[str]:
    """Returns the names in the key's order of preference."""
    return sorted(names, key=lambda name: (rendezvous_score(key, name), name), reverse=True)


def pick_within_bound(key: bytes, in_flight: Mapping[str, int]) -> str:
    """Returns the first preferred name whose requests stay within the bound.

    Args:
        key: Affinity key of the request.
        in_flight: The entry's own requests at each upstream; unlike hints, they don't lag.
    """
    bound = ceil(LOAD_FACTOR * (sum(in_flight.values()) + 1) / len(in_flight))
    ranked = rank_names(key, list(in_flight))
    return next(name for name in ranked if in_flight[name] < bound)
