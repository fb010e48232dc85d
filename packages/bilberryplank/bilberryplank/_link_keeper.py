"""Keeps an entry's links to its subset open, and hears from peers while the table is silent."""

from __future__ import annotations

import asyncio
import random

from mode import Service

from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._host_feed import HostFeed
from bilberryplank._link_pool import LinkPool
from bilberryplank._upstream_view import UpstreamView
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import HandshakeFailed, LinkClosed
from bilberryplank_core.messages import FetchConfiguration, Heartbeat
from bilberryplank_core.routing import RouteTable
from bilberryplank_core.world import Role

TICK_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 2.0
BOOTSTRAP_PEERS = 3


class LinkKeeper(Service):
    """Opens the links that requests will need, sends heartbeats and closes links of no use."""

    def __init__(
        self,
        pool: LinkPool,
        view: UpstreamView,
        feed: ConfigurationFeed,
        hosts: HostFeed,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._pool = pool
        self._view = view
        self._feed = feed
        self._hosts = hosts
        self._rng = rng
        self._routes: list[tuple[str, ...]] = []
        self._opening: set[str] = set()
        feed.holder.subscribe(self._configuration_changed)

    async def on_started(self) -> None:
        """Begins to keep links."""
        self.add_future(self._keep())

    async def _keep(self) -> None:
        while not self.should_stop:
            if self._feed.holder.version:
                self._keep_links()
            elif self._feed.failing:
                self._ask_peers()
            now = asyncio.get_running_loop().time()
            self._pool.send_heartbeats(now, self._feed.shown())
            await asyncio.sleep(TICK_SECONDS * self._rng.uniform(0.8, 1.2))

    def _keep_links(self) -> None:
        linked = self._view.linked(self._routes)
        self._pool.retain({upstream.address for upstream in linked.values()})
        for upstream in linked.values():
            self._open(upstream.address)

    def _ask_peers(self) -> None:
        """Fetches the first configuration from sidecars, where the table does not give it."""
        addresses = [host.address for host in self._hosts.hosts if host.role is Role.SIDECAR]
        for address in self._rng.sample(addresses, min(BOOTSTRAP_PEERS, len(addresses))):
            self._open(address, fetch=True)

    def _open(self, address: str, fetch: bool = False) -> None:
        if address not in self._opening and (fetch or self._pool.find(address) is None):
            self._opening.add(address)
            self.add_future(self._open_link(address, fetch))

    async def _open_link(self, address: str, fetch: bool) -> None:
        try:
            link = await self._pool.get(address, CONNECT_TIMEOUT_SECONDS, patient=True)
        except (LinkClosed, HandshakeFailed):
            return
        finally:
            self._opening.discard(address)
        if fetch:
            link.send(FetchConfiguration(0))

    def _configuration_changed(self, configuration: Configuration) -> None:
        self._view.configure(configuration)
        table = RouteTable(configuration.parts)
        parts = configuration.parts
        self._routes = [
            table.upstreams(route) for route in (*parts.model_routes, *parts.service_routes)
        ]
        shown = self._feed.shown()
        for link in self._pool.open_links():
            link.send(Heartbeat(shown.version, shown.confirmed_age))
