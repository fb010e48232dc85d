"""The links of an entry to the sidecars of its subset."""

from __future__ import annotations

import asyncio
import random
import weakref
from dataclasses import dataclass, field

from mode import Service

from bilberryplank._link import Identity, Link, LinkCounters, LinkHandler
from bilberryplank_core.errors import BilberryplankError, LinkClosed
from bilberryplank_core.messages import Heartbeat, Message
from bilberryplank_core.settings import LinkSettings
from bilberryplank_core.world import Upstream

MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0
JITTER_SHARE = 0.5
"""Share of a backoff that is drawn at random, so that entries do not come back all at once."""

SILENCE_CHECK_SECONDS = 1.0


def backoff_after(backoff: float, rng: random.Random) -> tuple[float, float]:
    """Returns the next backoff after a failure, and how much of it to wait; both in seconds."""
    doubled = min(max(MIN_BACKOFF_SECONDS, backoff * 2), MAX_BACKOFF_SECONDS)
    return doubled, doubled * (1 - JITTER_SHARE * rng.random())


@dataclass(slots=True)
class _Peer:
    address: str
    link: Link | None = None
    connecting: asyncio.Future[Link] | None = None
    backoff: float = 0.0
    not_before: float = 0.0


@dataclass(slots=True)
class VersionShown:
    """What heartbeats say of the sender's configuration."""

    version: int = 0
    confirmed_age: float = 0.0


@dataclass(slots=True)
class LinkPool:
    """Opens one link per sidecar on demand and keeps it.

    Attributes:
        identity: Who this process is.
        fleet_key: Shared secret of the system's processes.
        settings: Link settings.
        handler: Gets the links' events.
        counters: What links count.
        rng: Source of the jitter of backoffs.
    """

    identity: Identity
    fleet_key: str
    settings: LinkSettings
    handler: LinkHandler
    counters: LinkCounters = field(default_factory=LinkCounters)
    rng: random.Random = field(default_factory=random.Random)
    _peers: dict[str, _Peer] = field(default_factory=dict)

    def link_ready(self, link: Link) -> None:
        """Passes the event on."""
        self.handler.link_ready(link)

    def link_message(self, link: Link, message: Message) -> None:
        """Passes the event on."""
        self.handler.link_message(link, message)

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """Forgets the link and passes the event on."""
        for peer in self._peers.values():
            if peer.link is link:
                peer.link = None
        self.handler.link_closed(link, exc)

    async def get(self, address: str, timeout: float, patient: bool = False) -> Link:
        """Returns an open link to the sidecar at `address` (`ip:port`).

        Args:
            address: Where the sidecar listens.
            timeout: Seconds to wait.
            patient: True to keep the backoff after a failure; a caller that has a request at hand
                tries at once, as its chooser avoids what failed wherever it can.

        Raises:
            LinkClosed: It cannot be reached, or failed a moment ago.
            HandshakeFailed: It did not prove itself.
        """
        peer = self._peers.setdefault(address, _Peer(address))
        if peer.link is not None and peer.link.is_open:
            return peer.link
        if peer.connecting is None:
            self._start_connecting(peer, patient)
        assert peer.connecting is not None
        try:
            return await asyncio.wait_for(asyncio.shield(peer.connecting), timeout)
        except TimeoutError as exc:
            raise LinkClosed(f"no link to {address} in time") from exc

    async def get_sidecar(self, upstream: Upstream, timeout: float) -> Link:
        """Returns an open link to the sidecar of an upstream.

        Raises:
            LinkClosed: It cannot be reached, or another upstream's sidecar answers there.
            HandshakeFailed: It did not prove itself.
        """
        link = await self.get(upstream.address, timeout)
        if link.peer is None or link.peer.upstream != upstream.name:
            raise LinkClosed(f"{upstream.address} is not the sidecar of {upstream.name}")
        return link

    def find(self, address: str) -> Link | None:
        """Returns the open link to the sidecar at `address`, if there is one."""
        peer = self._peers.get(address)
        link = peer.link if peer is not None else None
        return link if link is not None and link.is_open else None

    def open_links(self) -> list[Link]:
        """Returns the links whose handshake succeeded."""
        links = [peer.link for peer in self._peers.values() if peer.link is not None]
        return [link for link in links if link.is_open]

    def retain(self, addresses: set[str]) -> None:
        """Closes links to sidecars that are not among `addresses`."""
        for address in [known for known in self._peers if known not in addresses]:
            peer = self._peers.pop(address)
            if peer.link is not None:
                peer.link.close_gently("no longer used")

    def send_heartbeats(self, now: float, shown: VersionShown) -> None:
        """Sends heartbeats on silent links and ends those silent for too long."""
        for link in self.open_links():
            link.close_if_silent(now)
            if now - link.last_received > self.settings.heartbeat_interval:
                link.send(Heartbeat(shown.version, shown.confirmed_age))

    def close(self) -> None:
        """Ends every link."""
        self.retain(set())

    def _start_connecting(self, peer: _Peer, patient: bool) -> None:
        loop = asyncio.get_running_loop()
        if patient and loop.time() < peer.not_before:
            raise LinkClosed(f"{peer.address} failed a moment ago")
        peer.connecting = loop.create_task(self._connect(peer))
        peer.connecting.add_done_callback(lambda fut: self._connected(peer, fut))

    def _connected(self, peer: _Peer, fut: asyncio.Future[Link]) -> None:
        peer.connecting = None
        if fut.cancelled():
            return
        if fut.exception() is None:
            peer.backoff = 0.0
            return
        peer.backoff, wait = backoff_after(peer.backoff, self.rng)
        peer.not_before = asyncio.get_running_loop().time() + wait

    async def _connect(self, peer: _Peer) -> Link:
        host, _, port = peer.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.settings.connect_timeout):
                _, link = await loop.create_connection(self._new_link, host.strip("[]"), int(port))
                await link.ready()
        except (OSError, TimeoutError) as exc:
            raise LinkClosed(f"{peer.address} cannot be reached: {exc}") from exc
        if self._peers.get(peer.address) is not peer:
            link.close_gently("no longer used")
            raise LinkClosed(f"{peer.address} is no longer used")
        peer.link = link
        return link

    def _new_link(self) -> Link:
        return Link(self.identity, self.fleet_key, self.settings, self, self.counters)


class LinkListener(Service):
    """The listening socket of a sidecar."""

    def __init__(
        self,
        address: str,
        identity: Identity,
        fleet_key: str,
        settings: LinkSettings,
        handler: LinkHandler,
        counters: LinkCounters | None = None,
    ) -> None:
        super().__init__()
        self._address = address
        self._identity = identity
        self._fleet_key = fleet_key
        self._settings = settings
        self._handler = handler
        self._counters = counters
        self._links: weakref.WeakSet[Link] = weakref.WeakSet()
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def port(self) -> int:
        """The port on which it listens."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def on_start(self) -> None:
        """Begins to listen."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._new_link, host.strip("[]"), int(port))
        self._end_silent_links()

    async def on_stop(self) -> None:
        """Stops listening; open links are their owner's."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()

    def _end_silent_links(self) -> None:
        # An entry that lost its host or network says nothing, and nothing else would find out.
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SILENCE_CHECK_SECONDS, self._end_silent_links)
        for link in list(self._links):
            if link.is_open:
                link.close_if_silent(loop.time())

    def _new_link(self) -> Link:
        link = Link(self._identity, self._fleet_key, self._settings, self._handler, self._counters)
        self._links.add(link)
        return link
