"""Prefix affinity: requests with the same prompt prefix prefer the same upstream.

Rendezvous hashing orders the upstreams for each prefix, and the first one with room takes the
request: consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, SODA 2018).
"""

from __future__ import annotations

from collections.abc import Sequence

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


def pick_within_bound(key: bytes, loads: dict[str, float]) -> str | None:
    """Returns the first preferred name whose load stays within the bound.

    Args:
        key: Affinity key of the request.
        loads: Requests at each upstream, as a share of its slots.
    """
    if not loads:
        return None
    bound = max(LOAD_FACTOR * sum(loads.values()) / len(loads), 1.0)
    for name in rank_names(key, list(loads)):
        if loads[name] < bound:
            return name
    return None
