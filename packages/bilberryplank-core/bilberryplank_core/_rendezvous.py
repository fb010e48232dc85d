"""Rendezvous hashing: selects the few of many processes that do a shared job.

Highest random weight (Thaler and Ravishankar, 1998): every process ranks the same names the same
way, and a name that is added or removed changes the rank of few others.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

import xxhash


def rendezvous_weight(job: str, name: str) -> int:
    """Returns the weight of a name for a job; the highest weight ranks first."""
    return xxhash.xxh3_64_intdigest(f"{job}\0{name}".encode())


def ranked(job: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the `count` names of highest weight for a job, the highest first."""
    return nlargest(count, names, key=lambda name: (rendezvous_weight(job, name), name))


def rank_of(job: str, name: str, names: Iterable[str]) -> int:
    """Returns how many of `names` rank before `name` for a job."""
    own = (rendezvous_weight(job, name), name)
    return sum((rendezvous_weight(job, other), other) > own for other in names if other != name)


def is_ranked(job: str, name: str, names: Iterable[str], count: int) -> bool:
    """Returns True where `name` is among the first `count` of `names` and itself."""
    return rank_of(job, name, names) < count
