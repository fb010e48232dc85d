"""What stands at each engine before a new request: told by the other entries, or worked out.

Load pattern: many entries, each with requests at few of the engines.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bilberryplank_core._engine_performance import LatencyObjective
from bilberryplank_core._fleet_traffic import estimate_fleet_total
from bilberryplank_core._peer_work import PeerWork
from bilberryplank_core._queueing_delays import Urgency


@dataclass(slots=True)
class SentRequest:
    """A request of this entry at an engine."""

    upstream: str
    urgency: Urgency
    prefill_tokens: int
    own: int
    sent_at: float
    objective: LatencyObjective
    at_preferred: bool
    event_at: float | None = None
    events: int = 0
    longest_pause: float = 0.0

    @property
    def started(self) -> bool:
        return self.event_at is not None


@dataclass(slots=True)
class _OwnPart:
    """What this entry has at one engine: requests, and tokens before and behind a new request."""

    requests: int = 0
    waiting: int = 0
    ahead: int = 0
    behind: int = 0

    def add(self, sent: SentRequest, urgency: Urgency) -> None:
        self.requests += 1
        if sent.started:
            return
        self.waiting += 1
        if sent.urgency <= urgency:
            self.ahead += sent.prefill_tokens
        else:
            self.behind += sent.prefill_tokens


@dataclass(slots=True, frozen=True)
class Backlog:
    """Requests at an engine, and tokens that are read before a new request."""

    requests: float
    prefill_tokens: float


def own_parts(
    engines: Sequence[str], requests: Iterable[SentRequest], urgency: Urgency
) -> dict[str, _OwnPart]:
    """Returns what this entry has at each engine before and behind a request of an urgency."""
    own = {name: _OwnPart() for name in engines}
    for sent in requests:
        if sent.upstream in own:
            own[sent.upstream].add(sent, urgency)
    return own


def told_backlogs(
    own: dict[str, _OwnPart], peers: PeerWork, scale: float, urgency: Urgency, residual: float
) -> dict[str, Backlog]:
    """Returns the sums of this entry's parts and what the others told.

    What is less urgent than a request lets it go first, but for the prompt that is being read.

    Args:
        own: Parts of this entry.
        peers: What the others told.
        scale: By how much the sums are scaled, for entries that were not heard.
        urgency: Urgency of the new request.
        residual: Tokens that are left on average of the prompt that is being read.
    """
    for name, work in peers.told():
        part = own.get(name)
        if part is None:
            continue
        part.requests += work.requests
        for other, tokens in work.prefill_tokens:
            if other <= urgency:
                part.ahead += tokens
            else:
                part.behind += tokens
    return {
        name: Backlog(
            scale * part.requests, scale * part.ahead + min(scale * part.behind, residual)
        )
        for name, part in own.items()
    }


def likely_backlogs(
    own: dict[str, _OwnPart], entries: float, residual: float
) -> dict[str, Backlog]:
    """Returns what all entries are likely to have at each engine, by this entry's parts.

    Args:
        own: Parts of this entry.
        entries: Requests of all entries for each of its own.
        residual: Tokens that are left on average of the prompt that is being read.
    """
    count = len(own)
    requests = sum(each.requests for each in own.values())
    waiting = sum(each.waiting for each in own.values())
    ahead = sum(each.ahead for each in own.values())
    behind = sum(each.behind for each in own.values())
    unit = (ahead + behind) / waiting if waiting else 0.0
    found = {}
    for name, each in own.items():
        first = estimate_fleet_total(each.ahead, ahead / count, unit, entries)
        then = estimate_fleet_total(each.behind, behind / count, unit, entries)
        running = estimate_fleet_total(each.requests, requests / count, 1.0, entries)
        found[name] = Backlog(running, first + min(then, residual))
    return found
