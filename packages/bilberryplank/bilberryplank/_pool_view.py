"""What is known of pools without asking anybody: the configuration and the host list."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import replace

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import needed_upstreams, ranked
from bilberryplank_core.routing import RouteTable
from bilberryplank_core.settings import ScalingSettings
from bilberryplank_core.world import Host, HostState, Role, Upstream

POOL_LABEL = "pool"


class PoolView:
    """Pools as one configuration and one host list show them.

    Attributes:
        live: Names of the upstreams whose hosts are listed as live.
    """

    __slots__ = ("_configuration", "_listed", "_settings", "live")

    def __init__(
        self, configuration: Configuration, hosts: Sequence[Host], settings: ScalingSettings
    ) -> None:
        sidecars = [host for host in hosts if host.role is Role.SIDECAR]
        live = {host.address for host in sidecars if host.state is HostState.LIVE}
        upstreams = configuration.parts.upstreams
        self.live = {item.name for item in upstreams if item.address in live}
        self._listed = {host.address for host in sidecars}
        self._configuration = configuration
        self._settings = settings

    def members(self, pool: str) -> list[Upstream]:
        """Returns the live upstreams of a pool, drained ones too."""
        return [item for item in self._of_pool(pool) if item.name in self.live]

    def free(self, pool: str) -> list[Upstream]:
        """Returns the names under which an upstream of a pool may be started."""
        zones = self._settings.zones
        return [
            item
            for item in self._of_pool(pool)
            if item.address not in self._listed
            and not item.draining
            and (not zones or item.zone in zones)
        ]

    def zones(self, pool: str) -> list[str]:
        """Returns the zones in which a pool may grow; none where it is not to be scaled."""
        if pool not in self._settings.pools:
            return []
        return sorted({item.zone for item in self.free(pool)})

    def sample(self, pool: str, drains: Collection[str]) -> list[Upstream]:
        """Returns the members to ask: a fixed choice of those that work, and all in `drains`."""
        members = self.members(pool)
        working = [item.name for item in members if not item.draining]
        chosen = set(ranked(f"sample/{pool}", working, self._settings.sample_size))
        return [item for item in members if item.name in chosen or item.name in drains]

    def gone(self, names: Collection[str]) -> list[str]:
        """Returns those of some upstreams whose hosts are not listed any more."""
        upstreams = self._configuration.upstreams
        return sorted(name for name in names if upstreams[name].address not in self._listed)

    def needed(self, silent: Collection[str], drains: Collection[str]) -> set[str]:
        """Returns the upstreams without which some route would have none.

        Args:
            silent: Upstreams that did not answer.
            drains: The policy's drains; each is judged as though it were taken back.
        """
        live = self.live.difference(silent)
        found = needed_upstreams(self._configuration, live)
        return found | {name for name in drains if self._is_needed(name, live)}

    def others(self, upstream: str) -> list[list[Upstream]]:
        """Returns, for each route of an upstream, some others that should work."""
        parts = self._configuration.parts
        table = RouteTable(parts)
        routes = map(table.upstreams, (*parts.model_routes, *parts.service_routes))
        return [self._chosen(names, upstream) for names in routes if upstream in names]

    def _chosen(self, names: Sequence[str], upstream: str) -> list[Upstream]:
        upstreams = self._configuration.upstreams
        working = [
            name
            for name in self.live.intersection(names)
            if name != upstream and not upstreams[name].draining
        ]
        return [upstreams[name] for name in ranked("spare", working, self._settings.sample_size)]

    def _is_needed(self, drained: str, live: Collection[str]) -> bool:
        parts = self._configuration.parts
        upstreams = tuple(
            replace(item, draining=False) if item.name == drained else item
            for item in parts.upstreams
        )
        undrained = replace(parts, keys=(), upstreams=upstreams)
        return drained in needed_upstreams(Configuration(0, undrained), live)

    def _of_pool(self, pool: str) -> list[Upstream]:
        upstreams = self._configuration.parts.upstreams
        return [item for item in upstreams if item.labels.get(POOL_LABEL) == pool]
