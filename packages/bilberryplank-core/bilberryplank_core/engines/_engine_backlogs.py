"""Estimates the backlog of each engine, reported by peers or extrapolated from own requests.

Motivating load: many entries, each with requests at few of the engines.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bilberryplank_core.engines._engine_performance import LatencyObjective
from bilberryplank_core.engines._fleet_traffic import estimate_fleet_total
from bilberryplank_core.engines._peer_work import PeerWork
from bilberryplank_core.engines._queueing_delays import Urgency


@dataclass(slots=True)
class SentRequest:
    """A request of this entry at an engine.

    Attributes:
        upstream: The engine.
        urgency: Urgency of the request.
        prefill_tokens: Tokens of its prompt that the engine does not have cached.
        unshared_tokens: Those of them that no other request shares.
        sent_at: Seconds on the boot clock.
        objective: Latency objective of its stream.
        at_preferred: True at the preferred engine of the shared prefix.
        event_at: Time of the last event; None before the first.
        events: Events after the first.
        longest_gap: Longest time per event since the first, in seconds.
    """

    upstream: str
    urgency: Urgency
    prefill_tokens: int
    unshared_tokens: int
    sent_at: float
    objective: LatencyObjective
    at_preferred: bool
    event_at: float | None = None
    events: int = 0
    longest_gap: float = 0.0

    @property
    def started(self) -> bool:
        return self.event_at is not None


@dataclass(slots=True)
class _LocalBacklog:
    """This entry's requests at one engine, with prefill tokens ahead of and behind a new one."""

    requests: int = 0
    waiting: int = 0
    ahead: int = 0
    behind: int = 0

    def add(self, request: SentRequest, urgency: Urgency) -> None:
        self.requests += 1
        if request.started:
            return
        self.waiting += 1
        if request.urgency <= urgency:
            self.ahead += request.prefill_tokens
        else:
            self.behind += request.prefill_tokens


@dataclass(slots=True, frozen=True)
class Backlog:
    """Requests at an engine, and tokens that it prefills before a new request."""

    requests: float
    prefill_tokens: float


def local_backlogs(
    engines: Sequence[str], requests: Iterable[SentRequest], urgency: Urgency
) -> dict[str, _LocalBacklog]:
    """Returns this entry's backlog at each engine, for a new request of an urgency."""
    backlogs = {name: _LocalBacklog() for name in engines}
    for request in requests:
        if request.upstream in backlogs:
            backlogs[request.upstream].add(request, urgency)
    return backlogs


def reported_backlogs(
    local: dict[str, _LocalBacklog],
    peers: PeerWork,
    scale: float,
    urgency: Urgency,
    residual_tokens: float,
) -> dict[str, Backlog]:
    """Returns the backlogs as the sum of this entry's and those that peers reported.

    A request overtakes less urgent ones, except the prompt whose prefill is in progress.

    Args:
        local: Backlogs of this entry.
        peers: Outstanding work of the peers.
        scale: Factor on the sums that accounts for peers without a fresh notice.
        urgency: Urgency of the new request.
        residual_tokens: Mean tokens left of the prompt whose prefill is in progress.
    """
    for name, work in peers.reported_work():
        backlog = local.get(name)
        if backlog is None:
            continue
        backlog.requests += work.requests
        for peer_urgency, tokens in work.prefill_tokens:
            if peer_urgency <= urgency:
                backlog.ahead += tokens
            else:
                backlog.behind += tokens
    return {
        name: Backlog(
            scale * backlog.requests,
            scale * backlog.ahead + min(scale * backlog.behind, residual_tokens),
        )
        for name, backlog in local.items()
    }


def extrapolated_backlogs(
    local: dict[str, _LocalBacklog], fleet_ratio: float, residual_tokens: float
) -> dict[str, Backlog]:
    """Returns the expected backlogs of all entries, extrapolated from this entry's.

    Args:
        local: Backlogs of this entry.
        fleet_ratio: Requests of all entries for each one of this entry.
        residual_tokens: Mean tokens left of the prompt whose prefill is in progress.
    """
    count = len(local)
    requests = sum(backlog.requests for backlog in local.values())
    waiting = sum(backlog.waiting for backlog in local.values())
    ahead = sum(backlog.ahead for backlog in local.values())
    behind = sum(backlog.behind for backlog in local.values())
    tokens_per_request = (ahead + behind) / waiting if waiting else 0.0
    estimates = {}
    for name, backlog in local.items():
        ahead_tokens = estimate_fleet_total(
            backlog.ahead, ahead / count, tokens_per_request, fleet_ratio
        )
        behind_tokens = estimate_fleet_total(
            backlog.behind, behind / count, tokens_per_request, fleet_ratio
        )
        running_requests = estimate_fleet_total(
            backlog.requests, requests / count, 1.0, fleet_ratio
        )
        estimates[name] = Backlog(
            running_requests, ahead_tokens + min(behind_tokens, residual_tokens)
        )
    return estimates
