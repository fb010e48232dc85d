"""Records which drains the scaling policy set, so that it never stops what an operator drained."""

from __future__ import annotations

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._configuration_store import ConfigurationStore
from bilberryplank_core._contracts import Delete, Put, Table
from bilberryplank_core._leases import LeaseHolder

TABLE = "drains"


class PolicyDrains:
    """Sets and clears drain flags on behalf of the scaling policy.

    A row is written before the drain flag is set and deleted after it is cleared. A process that
    fails in between leaves a row without a flag, which has no effect, but never a flag without its
    row.
    """

    __slots__ = ("_lease", "_store", "_table")

    def __init__(self, table: Table, store: ConfigurationStore, lease: LeaseHolder) -> None:
        self._table = table
        self._store = store
        self._lease = lease

    async def drained_upstreams(self, configuration: Configuration) -> set[str]:
        """Returns the names of the upstreams in a configuration that the policy has drained."""
        rows = await self._table.scan(TABLE)
        return {row.key for row in rows if _is_draining(configuration, row.key)}

    async def set_drain(self, upstream: str) -> Configuration | None:
        """Drains an upstream; returns None if an operator has drained it already.

        Raises:
            LeaseLost: The lease is not held; nothing was written.
            Conflict: Another process acquired the lease.
            PlatformUnavailable: The outcome is unknown; the call may be repeated.
        """
        current = await self._store.read()
        if _is_draining(current, upstream) and upstream not in await self.drained_upstreams(
            current
        ):
            return None
        fence = self._lease.fence_condition()
        await self._table.commit([fence], [Put(TABLE, upstream, {"fence": self._lease.fence})])
        return await self._store.drain_upstream(upstream)

    async def clear_drain(self, upstream: str) -> None:
        """Clears a drain, either to cancel it or because the upstream was stopped and has left.

        Raises:
            As `set_drain`.
        """
        fence = self._lease.fence_condition()
        await self._store.drain_upstream(upstream, draining=False)
        await self._table.commit([fence], [Delete(TABLE, upstream)])


def _is_draining(configuration: Configuration, name: str) -> bool:
    upstream = configuration.upstreams.get(name)
    return upstream is not None and upstream.draining
