"""One real process with the fake platform, and its peers played by the tool."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from bilberryplank.links import Identity, Link, LinkListener, LinkPool
from bilberryplank.platform import Platform
from bilberryplank_core.errors import BilberryplankError
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.keys import digest_secret
from bilberryplank_core.messages import (
    Heartbeat,
    Load,
    LoadReport,
    Message,
)
from bilberryplank_core.settings import LinkSettings, PlatformSettings
from bilberryplank_core.world import Role
from bilberryplank_testing._child import Child
from bilberryplank_testing._load_usage import ProcessUsage
from bilberryplank_testing.ports import free_port

FLEET_KEY = "fleet-key-of-the-slopes"
KEY_HASH_SECRET = "key-hash-secret-of-the-slopes"
START_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.05
KIND = "service"
OTHER_HOSTS = 100


class BenchPlatform:
    """The fake platform in a process of its own, and one process under measurement beside it.

    Args:
        hosts: Hosts of another zone that the platform lists.

    Attributes:
        url: Where the platform is reached.
        child: The process under measurement, once started.
        listen: `ip:port` where callers or entries reach it.
    """

    def __init__(self, hosts: int = OTHER_HOSTS) -> None:
        self._hosts = hosts
        self._temporary = tempfile.TemporaryDirectory(prefix="bilberryplank-")
        self._directory = Path(self._temporary.name)
        self._session: aiohttp.ClientSession | None = None
        address = new_address()
        self.url = f"http://{address}"
        arguments = ["bilberryplank_testing.platform", "--listen", address]
        self._platform = Child("platform", arguments, self._directory)
        self.child: Child | None = None
        self.listen = ""

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session of the tool."""
        assert self._session is not None
        return self._session

    async def __aenter__(self) -> BenchPlatform:
        """Starts the platform."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        await self._platform.start()
        await self._wait_for(f"{self.url}/_log")
        await self._list_hosts()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends both processes."""
        for child in (self.child, self._platform):
            if child is not None:
                await child.kill()
        await self.session.close()
        self._temporary.cleanup()

    def store(self) -> ConfigurationStore:
        """Returns the configuration store."""
        settings = PlatformSettings(**self._addresses(), timeout=START_TIMEOUT_SECONDS)
        return ConfigurationStore(Platform.from_settings(settings, self.session).table)

    async def start(self, role: Role, **settings: Any) -> None:
        """Starts the process under measurement and waits until it is ready."""
        self.listen = new_address()
        operations = new_address()
        values = {
            "name": f"measured-{role.value}",
            "zone": "zone-a",
            "listen": self.listen,
            "operations_listen": operations,
            "fleet_key": FLEET_KEY,
            "platform": self._addresses(),
            **settings,
        }
        if role is Role.ENTRY:
            values["key_hash_secret"] = KEY_HASH_SECRET
        path = self._directory / "settings.jsonc"
        path.write_text(json.dumps(values))
        arguments = ["bilberryplank.main", role.value, str(path)]
        self.child = Child(role.value, arguments, self._directory)
        await self.child.start()
        await self._wait_for(f"http://{operations}/readyz")

    def usage(self) -> ProcessUsage:
        """Returns what the process under measurement used so far."""
        assert self.child is not None
        return ProcessUsage.read(self.child.pid)

    async def processor_rate(self, seconds: float) -> float:
        """Returns the processor seconds that it uses a second, over some seconds."""
        loop = asyncio.get_running_loop()
        before, start = self.usage(), loop.time()
        await asyncio.sleep(seconds)
        used = self.usage().processor_seconds - before.processor_seconds
        return used / (loop.time() - start)

    async def platform_log(self) -> list[dict[str, Any]]:
        """Returns everything that the platform received."""
        async with self.session.get(f"{self.url}/_log") as resp:
            return (await resp.json())["entries"]

    def _addresses(self) -> dict[str, str]:
        names = ("table", "object_store", "upstream_orders", "usage_reports", "host_list")
        return dict.fromkeys(names, self.url)

    async def _list_hosts(self) -> None:
        """Lists hosts of another zone, so that leases of the fleet's jobs are theirs to take."""
        hosts = [
            {
                "name": f"other-{number}",
                "zone": "zone-b",
                "role": Role.ENTRY.value,
                "address": "127.0.0.1:1",
                "state": "live",
            }
            for number in range(self._hosts)
        ]
        async with self.session.put(f"{self.url}/_hosts", json={"hosts": hosts}) as resp:
            resp.raise_for_status()

    async def _wait_for(self, url: str) -> None:
        for _ in range(int(START_TIMEOUT_SECONDS / POLL_SECONDS)):
            try:
                async with self.session.get(url) as resp:
                    if resp.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f"{url} did not answer")


class AnsweringSidecars:
    """Sidecars played by the tool: they answer heartbeats.

    Attributes:
        addresses: `ip:port` of each.
        heartbeats: Heartbeats answered.
        links: Open links.
    """

    def __init__(self, count: int) -> None:
        self.addresses = [new_address() for _ in range(count)]
        self.links: list[Link] = []
        self.heartbeats = 0
        self._listeners: list[LinkListener] = []

    async def start(self) -> None:
        """Begins to listen."""
        for number, address in enumerate(self.addresses):
            identity = Identity(Role.SIDECAR, f"s{number}", "epoch", upstream_name(number))
            listener = LinkListener(address, identity, FLEET_KEY, LinkSettings(), self)
            self._listeners.append(listener)
            await listener.on_start()

    async def stop(self) -> None:
        """Stops listening."""
        for listener in self._listeners:
            await listener.on_stop()

    async def linked(self) -> None:
        """Waits until each has a link.

        Raises:
            TimeoutError: Some have none within a bounded time.
        """
        for _ in range(int(START_TIMEOUT_SECONDS / POLL_SECONDS)):
            if len(self.links) == len(self.addresses):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f"{len(self.links)} links of {len(self.addresses)}")

    async def report(self, seconds: float, interval: float) -> int:
        """Sends reports on every link; returns how many."""
        return await send_evenly(self.links, LoadReport(_idle_load()), seconds, interval)

    def link_ready(self, link: Link) -> None:
        """Shows a load, as a sidecar does."""
        self.links.append(link)
        link.send(LoadReport(_idle_load()))

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """Forgets the link."""
        self.links.remove(link)

    def link_message(self, link: Link, message: Message) -> None:
        """Answers a heartbeat."""
        if isinstance(message, Heartbeat):
            self.heartbeats += 1
            link.send(LoadReport(_idle_load()))


class SilentEntries:
    """Entries played by the tool: each holds one link to a sidecar and sends only heartbeats."""

    def __init__(self, count: int) -> None:
        settings = LinkSettings(connect_timeout=START_TIMEOUT_SECONDS)
        self._pools = [
            LinkPool(
                Identity(Role.ENTRY, f"e{number}", f"epoch-{number}"), FLEET_KEY, settings, self
            )
            for number in range(count)
        ]

    async def open(self, address: str) -> None:
        """Opens the links."""
        for pool in self._pools:
            await pool.get(address, START_TIMEOUT_SECONDS)

    async def beat(self, seconds: float, interval: float) -> int:
        """Sends heartbeats on every link; returns how many."""
        links = [link for pool in self._pools for link in pool.open_links()]
        return await send_evenly(links, Heartbeat(1, 0.5), seconds, interval)

    def close(self) -> None:
        """Closes the links."""
        for pool in self._pools:
            pool.close()

    def link_ready(self, link: Link) -> None:
        """Does nothing."""

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """Does nothing."""

    def link_message(self, link: Link, message: Message) -> None:
        """Does nothing."""


async def send_evenly(links: list[Link], message: Message, seconds: float, interval: float) -> int:
    """Sends a message on every link once an interval, spread evenly; returns how many it sent."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    count = round(len(links) * seconds / interval)
    for number in range(count):
        at = start + number * interval / len(links)
        await asyncio.sleep(max(0.0, at - loop.time()))
        links[number % len(links)].send(message)
    await asyncio.sleep(max(0.0, start + seconds - loop.time()))
    return count


def configuration(organisations: int, addresses: list[str]) -> dict[str, Any]:
    """Returns a configuration with one key an organisation and one plain route."""
    names = [f"organisation-{number:05d}" for number in range(organisations)]
    return {
        "organisations": [{"name": name, "labels": {"user": "slopes"}} for name in names],
        "keys": [
            {
                "key_id": f"key-{name}",
                "organisation": name,
                "digest": digest_secret(name, KEY_HASH_SECRET),
            }
            for name in names
        ],
        "tiers": [{"name": "only", "rank": 0}],
        "classes": [{"name": "call", "tier": "only"}],
        "service_routes": [{"name": "all", "path_prefix": "/", "upstreams": "pool=slopes"}],
        "upstreams": [
            {
                "name": upstream_name(number),
                "zone": "zone-a",
                "kind": KIND,
                "address": address,
                "labels": {"pool": "slopes"},
            }
            for number, address in enumerate(addresses)
        ],
    }


def upstream_name(number: int) -> str:
    """Returns the name of an upstream played by the tool."""
    return f"upstream-{number:04d}"


def new_address() -> str:
    """Returns a free `ip:port`."""
    return f"127.0.0.1:{free_port()}"


def _idle_load() -> Load:
    return Load(slots=8, version=1, confirmed_age=0.5)
