"""Measures ranking, and works out how a version of the configuration spreads over links."""

from __future__ import annotations

import heapq
import random

from bilberryplank_core.fleet import is_ranked, ranked
from bilberryplank_testing._fleet_output import MICROSECONDS, least, show

UPSTREAMS = 690
ENTRIES = 350
LINKS = 12
HEARTBEAT = 5.0
HOP = 0.02
POLLERS = 10


def measure_ranking() -> None:
    """Measures rendezvous ranking over the processes of a zone, and over all upstreams."""
    zone = [f"host-{number}" for number in range((ENTRIES + UPSTREAMS) // 5)]
    upstreams = [f"runner-{number:03d}" for number in range(UPSTREAMS)]
    show(
        "ranking",
        zone_hosts=len(zone),
        is_ranked_us=least(lambda: is_ranked("poll/a", "host-1", zone, 2)) * MICROSECONDS,
        upstreams=len(upstreams),
        ranked_us=least(lambda: ranked("entry-1", upstreams, LINKS)) * MICROSECONDS,
    )


def measure_spread() -> None:
    """Works out how long a version takes over the links, by heartbeats alone and when pushed.

    A shortest path over the graph of links, each hop waiting for the next heartbeat of its link
    or, when pushed, for one message; no traffic and no loss.
    """
    for name, wait in (("heartbeats", HEARTBEAT), ("pushed", 0.0)):
        rng = random.Random(3)
        links = _links(rng)
        times = sorted(_reach(links, wait, rng).values())
        show(
            "spread",
            by=name,
            processes=len(times),
            median_s=times[len(times) // 2],
            last_s=times[-1],
            messages=sum(len(peers) for peers in links.values()),
        )


def _links(rng: random.Random) -> dict[str, set[str]]:
    links: dict[str, set[str]] = {}
    upstreams = [f"u{number}" for number in range(UPSTREAMS)]
    entries = [f"e{number}" for number in range(ENTRIES)]
    for entry in entries:
        for upstream in ranked(entry, upstreams, LINKS):
            links.setdefault(entry, set()).add(upstream)
            links.setdefault(upstream, set()).add(entry)
    for upstream in upstreams:
        for entry in ranked(upstream, entries, 2):
            links.setdefault(entry, set()).add(upstream)
            links.setdefault(upstream, set()).add(entry)
    return links


def _reach(links: dict[str, set[str]], wait: float, rng: random.Random) -> dict[str, float]:
    reached: dict[str, float] = {}
    phases = {}
    for name, peers in sorted(links.items()):
        for peer in sorted(peers):
            phases.setdefault(tuple(sorted((name, peer))), rng.uniform(0, HEARTBEAT))
    pollers = rng.sample(sorted(links), POLLERS)
    frontier = [(rng.uniform(0, 1.0), name) for name in pollers]
    heapq.heapify(frontier)
    while frontier:
        at, name = heapq.heappop(frontier)
        if name in reached:
            continue
        reached[name] = at
        for peer in links[name]:
            if peer not in reached:
                phase = phases[tuple(sorted((name, peer)))]
                until_next = (phase - at) % wait if wait else 0.0
                heapq.heappush(frontier, (at + until_next + HOP, peer))
    return reached
