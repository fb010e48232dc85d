"""State of each upstream, merged from the host list, the sidecars' own word, drains and silence.

The rule, first match first:

1. GONE: not configured; or silent for `gone_after` and not listed as live.
2. LEAVING: the operators' drain flag is set, or the run of the sidecar that is known said that it
   leaves, or the host list showed its host as leaving.
3. SUSPECT: never heard, its link was lost, or silent for `suspect_after`.
4. LIVE: else.

What a run of a sidecar said, or what the list showed while it ran, holds for that run: later words
or lists to the contrary are late and don't revive it. Only a handshake with a new epoch does, and
only once the list no longer shows its host as leaving.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._world import Host, HostState, Role

SUSPECT_AFTER = 12.0
GONE_AFTER = 60.0


class MemberState(Enum):
    """What an entry may do with an upstream.

    LIVE takes new work; SUSPECT only where no other is live; LEAVING and GONE take none. Links to
    SUSPECT ones are tried again; links to LEAVING ones stay until their answers have ended.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class _Member:
    address: str
    draining: bool
    epoch: str = ""
    heard_at: float | None = None
    link_lost: bool = False
    said_leaving: bool = False
    shown_leaving: bool = False
    listed: HostState | None = None


class Membership:
    """Merges what is known of upstreams; times in seconds, monotonic."""

    __slots__ = ("_gone_after", "_hosts", "_members", "_suspect_after")

    def __init__(
        self, suspect_after: float = SUSPECT_AFTER, gone_after: float = GONE_AFTER
    ) -> None:
        self._suspect_after = suspect_after
        self._gone_after = gone_after
        self._members: dict[str, _Member] = {}
        self._hosts: list[Host] = []

    @property
    def processes(self) -> list[Host]:
        """Hosts that the list shows as live, for the ranking of shared jobs."""
        return [host for host in self._hosts if host.state is HostState.LIVE]

    def configure(self, configuration: Configuration) -> None:
        """Takes the configured upstreams and their drain flags."""
        members = {}
        for upstream in configuration.parts.upstreams:
            member = self._members.get(upstream.name)
            if member is None or member.address != upstream.address:
                member = _Member(upstream.address, upstream.draining)
            member.draining = upstream.draining
            members[upstream.name] = member
        self._members = members
        self._apply_hosts()

    def list_hosts(self, hosts: Iterable[Host]) -> None:
        """Takes an answer of the host list; not called while it is unavailable."""
        self._hosts = list(hosts)
        self._apply_hosts()

    def hello(self, upstream: str, epoch: str, now: float) -> None:
        """Notes a handshake with a sidecar."""
        member = self._members.get(upstream)
        if member is None:
            return
        if epoch != member.epoch:
            rejoined = member.epoch != ""
            member.epoch = epoch
            member.said_leaving = False
            if rejoined:
                member.shown_leaving = member.listed is HostState.LEAVING
        member.link_lost = False
        member.heard_at = now

    def heard(self, upstream: str, epoch: str, leaving: bool, now: float) -> None:
        """Notes the load on an answer of a sidecar's run; an older run's is late and ignored."""
        member = self._members.get(upstream)
        if member is None or epoch != member.epoch:
            return
        member.said_leaving = member.said_leaving or leaving
        member.heard_at = now

    def link_lost(self, upstream: str, epoch: str) -> None:
        """Notes that the link to a sidecar's run failed."""
        member = self._members.get(upstream)
        if member is not None and member.epoch == epoch:
            member.link_lost = True

    def state(self, upstream: str, now: float) -> MemberState:
        """Returns the state of an upstream by the rule above."""
        member = self._members.get(upstream)
        if member is None or self._is_gone(member, now):
            return MemberState.GONE
        if member.draining or member.said_leaving or member.shown_leaving:
            return MemberState.LEAVING
        if member.link_lost or self._silence(member, now) > self._suspect_after:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def states(self, now: float) -> dict[str, MemberState]:
        """Returns the state of each configured upstream."""
        return {name: self.state(name, now) for name in self._members}

    def _is_gone(self, member: _Member, now: float) -> bool:
        silent = self._silence(member, now) > self._gone_after
        return silent and bool(self._hosts) and member.listed is not HostState.LIVE

    def _silence(self, member: _Member, now: float) -> float:
        return float("inf") if member.heard_at is None else now - member.heard_at

    def _apply_hosts(self) -> None:
        states = {host.address: host.state for host in self._hosts if host.role is Role.SIDECAR}
        for member in self._members.values():
            member.listed = states.get(member.address)
            if member.listed is HostState.LEAVING:
                member.shown_leaving = True
            elif member.listed is None and not member.epoch:
                member.shown_leaving = False
