"""Figures of the links that entries keep, at the size of the target."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from statistics import mean

from bilberryplank_core.routing import choose_subset
from bilberryplank_core.world import Upstream, UpstreamKind

ENTRIES = 350
UPSTREAMS = 690
MODELS = 9
ZONES = 5
LINKS = 12

Links = dict[str, set[str]]


def link_rows() -> Iterator[str]:
    """Yields rows for one pool of all upstreams, for one model's, and for a small fleet."""
    yield _row("350 entries, 690 upstreams", ENTRIES, UPSTREAMS)
    yield _row("350 entries, 77 upstreams of a model", ENTRIES, UPSTREAMS // MODELS)
    yield _row("3 entries, 20 upstreams", 3, 20)


def _row(name: str, entry_count: int, upstream_count: int) -> str:
    entries = [f"entry-{index}" for index in range(entry_count)]
    upstreams = [
        Upstream(f"up-{index}", f"z{index % ZONES}", UpstreamKind.ENGINE, "127.0.0.1:1")
        for index in range(upstream_count)
    ]
    links = _links(entries, upstreams)
    without_entry = _changes(links, _links(entries[1:], upstreams))
    without_upstream = _changes(links, _links(entries, upstreams[1:]))
    sidecars = Counter({item.name: 0 for item in upstreams})
    sidecars.update(upstream for names in links.values() for upstream in names)
    own = f"{len(links[entries[0]])} its own", f"{sidecars[upstreams[0].name]} its own"
    cells = [
        name,
        _spread(list(sidecars.values())),
        _spread([len(names) for names in links.values()]),
        f"{without_entry} ({own[0]})",
        f"{without_upstream} ({own[1]})",
    ]
    return " | ".join(cells)


def _links(entries: Sequence[str], upstreams: Sequence[Upstream]) -> Links:
    found = {}
    for name in entries:
        zone = f"z{int(name.rpartition('-')[2]) % ZONES}"
        chosen = choose_subset(name, upstreams, LINKS, zone=zone, entries=entries)
        found[name] = {item.name for item in chosen}
    return found


def _changes(before: Links, after: Links) -> int:
    names = {*before, *after}
    return sum(len(before.get(name, set()) ^ after.get(name, set())) for name in names)


def _spread(counts: list[int]) -> str:
    return f"{mean(counts):.1f} ({min(counts)} to {max(counts)})"
