"""Membership state of each upstream, from the host list, sidecar reports, drain flags and silence.

The first rule that matches applies:

1. GONE: not configured; or silent for `gone_after` seconds and not listed as live.
2. LEAVING: the operators' drain flag is set, the present run of the sidecar reported that it is
   leaving, or the host list showed its host as leaving.
3. SUSPECT: no contact yet, the link was lost, or silent for `suspect_after` seconds.
4. LIVE: otherwise.

LEAVING is final for a run of a sidecar: a later report or host list to the contrary was delayed and
is ignored. Only a handshake with a new epoch resets it, and only once the host list no longer shows
the host as leaving.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._world import Host, HostState, Role

SUSPECT_AFTER_SECONDS = 12.0
GONE_AFTER_SECONDS = 60.0


class MemberState(Enum):
    """How an entry may use an upstream.

    LIVE receives new requests; SUSPECT only if no other upstream is live; LEAVING and GONE receive
    none. Links to SUSPECT upstreams are retried; links to LEAVING ones stay open until their
    responses have ended.
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
    last_contact_at: float | None = None
    link_lost: bool = False
    reported_leaving: bool = False
    listed_as_leaving: bool = False
    listed_state: HostState | None = None


class Membership:
    """Keeps what is known of each configured upstream; times are monotonic seconds."""

    __slots__ = ("_gone_after", "_hosts", "_members", "_suspect_after")

    def __init__(
        self, suspect_after: float = SUSPECT_AFTER_SECONDS, gone_after: float = GONE_AFTER_SECONDS
    ) -> None:
        self._suspect_after = suspect_after
        self._gone_after = gone_after
        self._members: dict[str, _Member] = {}
        self._hosts: list[Host] = []

    @property
    def live_hosts(self) -> list[Host]:
        """Hosts that the host list shows as live, for the ranking of shared jobs."""
        return [host for host in self._hosts if host.state is HostState.LIVE]

    def apply_configuration(self, configuration: Configuration) -> None:
        """Applies the configured upstreams and their drain flags."""
        members = {}
        for upstream in configuration.parts.upstreams:
            member = self._members.get(upstream.name)
            if member is None or member.address != upstream.address:
                member = _Member(upstream.address, upstream.draining)
            member.draining = upstream.draining
            members[upstream.name] = member
        self._members = members
        self._apply_hosts()

    def apply_host_list(self, hosts: Iterable[Host]) -> None:
        """Applies a host list; not to be called while the list is unavailable."""
        self._hosts = list(hosts)
        self._apply_hosts()

    def record_handshake(self, upstream: str, epoch: str, now: float) -> None:
        """Records a handshake with a sidecar."""
        member = self._members.get(upstream)
        if member is None:
            return
        if epoch != member.epoch:
            rejoined = member.epoch != ""
            member.epoch = epoch
            member.reported_leaving = False
            if rejoined:
                member.listed_as_leaving = member.listed_state is HostState.LEAVING
        member.link_lost = False
        member.last_contact_at = now

    def record_load_report(self, upstream: str, epoch: str, leaving: bool, now: float) -> None:
        """Records a load report; a delayed report of an earlier sidecar run is ignored."""
        member = self._members.get(upstream)
        if member is None or epoch != member.epoch:
            return
        member.reported_leaving = member.reported_leaving or leaving
        member.last_contact_at = now

    def record_link_lost(self, upstream: str, epoch: str) -> None:
        """Records that the link to a sidecar run failed."""
        member = self._members.get(upstream)
        if member is not None and member.epoch == epoch:
            member.link_lost = True

    def state(self, upstream: str, now: float) -> MemberState:
        """Returns the state of an upstream by the rules of this module."""
        member = self._members.get(upstream)
        if member is None or self._is_gone(member, now):
            return MemberState.GONE
        if member.draining or member.reported_leaving or member.listed_as_leaving:
            return MemberState.LEAVING
        if member.link_lost or self._silence(member, now) > self._suspect_after:
            return MemberState.SUSPECT
        return MemberState.LIVE

    def states(self, now: float) -> dict[str, MemberState]:
        """Returns the state of each configured upstream."""
        return {name: self.state(name, now) for name in self._members}

    def _is_gone(self, member: _Member, now: float) -> bool:
        silent = self._silence(member, now) > self._gone_after
        return silent and bool(self._hosts) and member.listed_state is not HostState.LIVE

    def _silence(self, member: _Member, now: float) -> float:
        return float("inf") if member.last_contact_at is None else now - member.last_contact_at

    def _apply_hosts(self) -> None:
        states = {host.address: host.state for host in self._hosts if host.role is Role.SIDECAR}
        for member in self._members.values():
            member.listed_state = states.get(member.address)
            if member.listed_state is HostState.LEAVING:
                member.listed_as_leaving = True
            elif member.listed_state is None and not member.epoch:
                member.listed_as_leaving = False
