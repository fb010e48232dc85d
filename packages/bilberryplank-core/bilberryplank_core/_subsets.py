"""Subsetting: to which of a route's upstreams an entry keeps links.

Rendezvous hashing (Thaler, Ravishankar 1998) in both directions: an entry selects the upstreams
that score best for it, most of them in its own zone, and each upstream is also selected by the few
entries that score best for it, so that none is left without links. A host that is added or removed
moves only its own links, or one further link for each of these.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from bilberryplank_core._affinity import rendezvous_score
from bilberryplank_core._world import Upstream

OWN_ZONE_SHARE = 0.75
ENTRIES_PER_UPSTREAM = 2
MIN_BEST_SHARE = 0.5


def choose_subset(
    entry_name: str,
    upstreams: Sequence[Upstream],
    size: int,
    *,
    zone: str = "",
    entries: Collection[str] = (),
) -> list[Upstream]:
    """Returns the upstreams that an entry keeps links to, in the order given.

    Args:
        entry_name: Name of the entry.
        upstreams: Eligible upstreams.
        size: Number of links wanted; entries of a small fleet get more, so that every upstream
            has links.
        zone: Availability zone of the entry.
        entries: Names of all entries; if empty, an upstream may be left without links.
    """
    if len(upstreams) <= size:
        return list(upstreams)
    assigned = _assigned_to_entry(entry_name, upstreams, entries)
    expected = ENTRIES_PER_UPSTREAM * len(upstreams) / max(len(entries), 1) if entries else 0
    chosen_size = max(round(size - expected), round(size * MIN_BEST_SHARE))
    chosen = assigned | _best_for_entry(entry_name, upstreams, chosen_size, zone)
    return [item for item in upstreams if item.name in chosen]


def _best_for_entry(
    entry_name: str, upstreams: Sequence[Upstream], size: int, zone: str
) -> set[str]:
    key = entry_name.encode()
    ranked = sorted(
        upstreams, key=lambda item: (rendezvous_score(key, item.name), item.name), reverse=True
    )
    near = [item.name for item in ranked if item.zone == zone]
    far = [item.name for item in ranked if item.zone != zone]
    near_size = max(min(round(size * OWN_ZONE_SHARE), len(near)), size - len(far))
    return {*near[:near_size], *far[: size - near_size]}


def _assigned_to_entry(
    entry_name: str, upstreams: Sequence[Upstream], entries: Collection[str]
) -> set[str]:
    if not entries:
        return set()
    keys = [name.encode() for name in entries if name != entry_name]
    return {
        item.name
        for item in upstreams
        if _is_among_best_entries(entry_name.encode(), item.name, keys)
    }


def _is_among_best_entries(own: bytes, upstream: str, others: Sequence[bytes]) -> bool:
    own_score = rendezvous_score(own, upstream), own
    better = 0
    for other in others:
        if (rendezvous_score(other, upstream), other) > own_score:
            better += 1
            if better >= ENTRIES_PER_UPSTREAM:
                return False
    return True
