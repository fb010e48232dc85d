"""Which upstreams an entry may use for a route right now."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import Membership, MemberState
from bilberryplank_core.routing import choose_subset
from bilberryplank_core.settings import RoutingSettings
from bilberryplank_core.world import Host, HostState, Role, Upstream


class UpstreamView:
    """Joins configuration, host list, subsets and membership.

    Attributes:
        membership: State of each upstream.
        entries: Names of the live entries, this one included.
    """

    def __init__(self, name: str, zone: str, routing: RoutingSettings) -> None:
        self.membership = Membership()
        self.entries: set[str] = {name}
        self._name = name
        self._zone = zone
        self._routing = routing
        self._upstreams: dict[str, Upstream] = {}
        self._subsets: dict[tuple[str, ...], list[Upstream]] = {}

    def configure(self, configuration: Configuration) -> None:
        """Takes a new configuration."""
        self._upstreams = configuration.upstreams
        self._subsets.clear()
        self.membership.apply_configuration(configuration)

    def list_hosts(self, hosts: Sequence[Host]) -> None:
        """Takes a new host list."""
        self.membership.apply_host_list(hosts)
        entries = {host.name for host in hosts if _is_live_entry(host)}
        entries.add(self._name)
        if entries != self.entries:
            self.entries = entries
            self._subsets.clear()

    def candidates(self, names: tuple[str, ...]) -> tuple[Sequence[Upstream], Sequence[Upstream]]:
        """Returns the upstreams of a route that live, and those that are only suspected.

        Args:
            names: Names of the route's eligible upstreams.
        """
        now = asyncio.get_running_loop().time()
        by_state: dict[MemberState, list[Upstream]] = {state: [] for state in MemberState}
        for upstream in self._subset(names):
            by_state[self.membership.state(upstream.name, now)].append(upstream)
        return by_state[MemberState.LIVE], by_state[MemberState.SUSPECT]

    def is_linked(self) -> bool:
        """Returns True where each upstream of the subsets in use was heard."""
        if self._upstreams and not self._subsets:
            return False
        now = asyncio.get_running_loop().time()
        used = {item.name for subset_ in self._subsets.values() for item in subset_}
        states = {self.membership.state(name, now) for name in used}
        return MemberState.SUSPECT not in states

    def linked(self, routes: Sequence[tuple[str, ...]]) -> dict[str, Upstream]:
        """Returns the upstreams to keep links to, by name."""
        return {item.name: item for names in routes for item in self._subset(names)}

    def _subset(self, names: tuple[str, ...]) -> list[Upstream]:
        found = self._subsets.get(names)
        if found is None:
            upstreams = [self._upstreams[name] for name in names if name in self._upstreams]
            found = choose_subset(
                self._name,
                upstreams,
                self._routing.subset_size,
                zone=self._zone,
                entries=self.entries,
            )
            self._subsets[names] = found
        return found


def _is_live_entry(host: Host) -> bool:
    return host.role is Role.ENTRY and host.state is HostState.LIVE
