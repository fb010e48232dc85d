"""Which drains are the scaling policy's own, so that it never stops what an operator drained."""

from __future__ import annotations

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._configuration_store import ConfigurationStore
from bilberryplank_core._contracts import Delete, Put, Table
from bilberryplank_core._leases import LeaseHolder

TABLE = "drains"


class PolicyDrains:
    """Sets and clears the policy's drains.

    A row is written before the drain flag and removed after it, so a process that dies between
    both leaves a row without a flag, which means nothing, and never a flag without its row.
    """

    __slots__ = ("_lease", "_store", "_table")

    def __init__(self, table: Table, store: ConfigurationStore, lease: LeaseHolder) -> None:
        self._table = table
        self._store = store
        self._lease = lease

    async def names(self, configuration: Configuration) -> set[str]:
        """Returns the drained upstreams of a configuration that the policy drained."""
        rows = await self._table.scan(TABLE)
        return {row.key for row in rows if _is_draining(configuration, row.key)}

    async def begin(self, upstream: str) -> Configuration | None:
        """Drains an upstream; returns None where an operator has drained it already.

        Raises:
            LeaseLost: The lease is not held; nothing was written.
            Conflict: Another process took the lease.
            PlatformUnavailable: The outcome is unknown; the call may be repeated.
        """
        current = await self._store.read()
        if _is_draining(current, upstream) and upstream not in await self.names(current):
            return None
        fence = self._lease.fence_condition()
        await self._table.commit([fence], [Put(TABLE, upstream, {"fence": self._lease.fence})])
        return await self._store.drain_upstream(upstream)

    async def end(self, upstream: str) -> None:
        """Clears a drain: one that is taken back, or of an upstream that was stopped and is gone.

        Raises:
            As `begin`.
        """
        fence = self._lease.fence_condition()
        await self._store.drain_upstream(upstream, draining=False)
        await self._table.commit([fence], [Delete(TABLE, upstream)])


def _is_draining(configuration: Configuration, name: str) -> bool:
    upstream = configuration.upstreams.get(name)
    return upstream is not None and upstream.draining
