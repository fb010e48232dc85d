"""A whole deployment on the loopback address: fakes, entries and sidecars, each a process."""

from __future__ import annotations

import asyncio
import json
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from bilberryplank.platform import Platform
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.keys import digest_secret
from bilberryplank_core.settings import PlatformSettings
from bilberryplank_testing._child import Child
from bilberryplank_testing._cut_proxy import CutProxy
from bilberryplank_testing.ports import free_port

FLEET_KEY = "fleet-key-of-the-tests"
KEY_HASH_SECRET = "key-hash-secret-of-the-tests"
START_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05


@dataclass(slots=True)
class UpstreamSpec:
    """An upstream to start with its sidecar.

    Attributes:
        name: Unique name.
        kind: `engine` or `service`.
        zone: Availability zone.
        labels: Labels for selectors.
        models: Models that it serves.
        options: Command line of the fake.
        queue: Queue settings of the sidecar.
    """

    name: str
    kind: str = "engine"
    zone: str = "zone-a"
    labels: dict[str, str] = field(default_factory=dict)
    models: tuple[str, ...] = ()
    options: list[str] = field(default_factory=list)
    queue: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class DeploymentSpec:
    """What to start.

    Attributes:
        upstreams: Upstreams with their sidecars.
        document: Configuration without upstreams.
        secrets: Keys as callers send them, by key id; the document's digests come from here.
        entries: Number of entries.
        entry_settings: Further settings of each entry.
        sidecar_settings: Further settings of each sidecar.
        fleet: Fleet settings of every process.
        links: Link settings of every process.
        platform_options: Command line of the fake platform.
        unstarted: Upstreams whose hosts the first host list does not show.
    """

    upstreams: list[UpstreamSpec]
    document: dict[str, Any]
    secrets: dict[str, str]
    entries: int = 2
    entry_settings: dict[str, Any] = field(default_factory=dict)
    sidecar_settings: dict[str, Any] = field(default_factory=dict)
    fleet: dict[str, Any] = field(default_factory=dict)
    links: dict[str, Any] = field(default_factory=dict)
    platform_options: list[str] = field(default_factory=list)
    unstarted: list[str] = field(default_factory=list)


class Deployment:
    """Starts and stops a deployment.

    Attributes:
        directory: Settings and logs of every process.
        platform: The fake platform.
        entries: Entries by name.
        sidecars: Sidecars by the name of their upstream.
        fakes: Fakes by the name of the upstream.
        entry_urls: Where callers reach each entry.
        fake_urls: Where each fake, `platform` included, is reached.
        wires: The network before each sidecar, by the name of its upstream.
        platform_wires: The network between each process and the platform.
        operations: `ip:port` of the operators' port of each process.
    """

    def __init__(self, spec: DeploymentSpec) -> None:
        self.spec = spec
        self._temporary = tempfile.TemporaryDirectory(prefix="bilberryplank-")
        self.directory = Path(self._temporary.name)
        self.entries: dict[str, Child] = {}
        self.sidecars: dict[str, Child] = {}
        self.fakes: dict[str, Child] = {}
        self.entry_urls: dict[str, str] = {}
        self.fake_urls: dict[str, str] = {}
        self.wires: dict[str, CutProxy] = {}
        self.platform_wires: dict[str, CutProxy] = {}
        self.operations: dict[str, str] = {}
        self._sidecar_addresses: dict[str, str] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session of the test."""
        assert self._session is not None
        return self._session

    async def __aenter__(self) -> Deployment:
        """Starts everything and waits until it is ready."""
        self._session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException as exc:
            exc.add_note(self.logs())
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops everything."""
        await self.stop()

    def logs(self, characters: int = 3000) -> str:
        """Returns the last lines of every process."""
        paths = sorted(self.directory.glob("*.log"))
        return "\n".join(f"== {path.name}\n{path.read_text()[-characters:]}" for path in paths)

    async def stop(self) -> dict[str, int]:
        """Stops entries, then sidecars, then fakes; returns exit codes by name."""
        codes: dict[str, int] = {}
        if self._session is None:
            return codes
        for group in (self.entries, self.sidecars, self.fakes):
            children = list(group.values())
            for child in children:
                child.thaw()
            results = await asyncio.gather(*(child.stop() for child in children))
            codes.update(zip((child.name for child in children), results, strict=True))
        for wire in (*self.wires.values(), *self.platform_wires.values()):
            await wire.stop()
        await self._session.close()
        self._session = None
        self._temporary.cleanup()
        return codes

    async def configure(self, document: dict[str, Any]) -> None:
        """Writes a configuration document, upstreams added, as the next version."""
        store = self.store()
        current = await store.read_head()
        await store.write(current.version, self._complete(document))

    def store(self) -> ConfigurationStore:
        """Returns the configuration store of the fake platform."""
        settings = PlatformSettings(**_platform_settings(self.fake_urls["platform"]))
        return ConfigurationStore(Platform.from_settings(settings, self.session).table)

    async def get(self, fake: str, path: str) -> Any:
        """Returns the JSON at a path of a fake."""
        async with self.session.get(self.fake_urls[fake] + path) as resp:
            return await resp.json()

    async def tell(self, fake: str, path: str, value: Any) -> None:
        """Sends JSON to a path of a fake."""
        async with self.session.post(self.fake_urls[fake] + path, json=value) as resp:
            resp.raise_for_status()

    async def publish_hosts(self, leaving: tuple[str, ...] = ()) -> None:
        """Sets the platform's host list: those named as leaving, without unstarted upstreams."""
        zones = {spec.name: spec.zone for spec in self.spec.upstreams}
        hosts = [
            _host(f"sidecar-{name}", zones[name], "sidecar", self._sidecar_addresses[name])
            for name in self.sidecars
            if name not in self.spec.unstarted
        ]
        hosts += [
            _host(name, "zone-a", "entry", url.removeprefix("http://"))
            for name, url in self.entry_urls.items()
        ]
        for host in hosts:
            host["state"] = "leaving" if host["name"] in leaving else "live"
        url = self.fake_urls["platform"] + "/_hosts"
        async with self.session.put(url, json={"hosts": hosts}) as resp:
            resp.raise_for_status()

    async def operate(self, *arguments: str) -> int:
        """Runs the operators' command in a process of its own; returns its exit code."""
        path = self.directory / "operator.jsonc"
        entries = [self.operations[name] for name in self.entries]
        settings = {
            "key_hash_secret": KEY_HASH_SECRET,
            "platform": _platform_settings(self.fake_urls["platform"]),
            "operations": entries,
        }
        path.write_text(json.dumps(settings))
        command = ["bilberryplankctl.main", *arguments, "--settings", str(path)]
        child = Child("operator", command, self.directory)
        await child.start()
        return await child.wait()

    async def wait_ready(self, name: str) -> None:
        """Waits until a process says that it is ready."""
        await self._wait_for(f"http://{self.operations[name]}/readyz")

    async def _start(self) -> None:
        await self._start_fakes()
        await self.configure(self.spec.document)
        for upstream in self.spec.upstreams:
            await self._start_sidecar(upstream)
        for number in range(1, self.spec.entries + 1):
            await self._start_entry(f"entry-{number}")
        await asyncio.gather(*(self.wait_ready(name) for name in self.operations))
        await self.publish_hosts()

    async def _start_fakes(self) -> None:
        specs = self.spec.upstreams
        await self._start_fake("platform", "platform", self.spec.platform_options)
        for upstream in specs:
            await self._start_fake(upstream.name, upstream.kind, upstream.options)
            self._sidecar_addresses[upstream.name] = _new_address()
        for url in self.fake_urls.values():
            await self._wait_for(f"{url}/_log")

    async def _start_fake(self, name: str, kind: str, options: list[str]) -> None:
        address = _new_address()
        arguments = [f"bilberryplank_testing.{kind}", "--listen", address, *options]
        child = Child(name, arguments, self.directory)
        self.fakes[name] = child
        self.fake_urls[name] = f"http://{address}"
        await child.start()

    async def restart(self, child: Child) -> None:
        """Starts a process again whose run has ended."""
        await child.start()
        await self.wait_ready(child.name)

    async def _start_sidecar(self, upstream: UpstreamSpec) -> None:
        listen = _new_address()
        wire = CutProxy(self._sidecar_addresses[upstream.name], listen)
        self.wires[upstream.name] = wire
        await wire.start()
        name = f"sidecar-{upstream.name}"
        settings = {
            **await self._common_settings(name, upstream.zone),
            "listen": listen,
            "upstream": upstream.name,
            "upstream_kind": upstream.kind,
            "upstream_url": self.fake_urls[upstream.name],
            "queue": upstream.queue,
            **self.spec.sidecar_settings,
        }
        self.sidecars[upstream.name] = await self._start_process("sidecar", name, settings)

    async def _start_entry(self, name: str) -> None:
        address = _new_address()
        settings = {
            **await self._common_settings(name, "zone-a"),
            "listen": address,
            "key_hash_secret": KEY_HASH_SECRET,
            "lame_duck": 0.2,
            **self.spec.entry_settings,
        }
        self.entry_urls[name] = f"http://{address}"
        self.entries[name] = await self._start_process("entry", name, settings)

    async def _start_process(self, command: str, name: str, settings: dict[str, Any]) -> Child:
        path = self.directory / f"{name}.jsonc"
        path.write_text(json.dumps(settings))
        self.operations[name] = settings["operations_listen"]
        child = Child(name, ["bilberryplank.main", command, str(path)], self.directory)
        await child.start()
        return child

    async def _common_settings(self, name: str, zone: str) -> dict[str, Any]:
        address = _new_address()
        target = self.fake_urls["platform"].removeprefix("http://")
        wire = CutProxy(address, target)
        self.platform_wires[name] = wire
        await wire.start()
        return {
            "name": name,
            "zone": zone,
            "operations_listen": _new_address(),
            "fleet_key": FLEET_KEY,
            "platform": _platform_settings(f"http://{address}"),
            "fleet": self.spec.fleet,
            "links": self.spec.links,
        }

    def _complete(self, document: dict[str, Any]) -> dict[str, Any]:
        keys = [
            {**key, "digest": digest_secret(self.spec.secrets[key["key_id"]], KEY_HASH_SECRET)}
            for key in document["keys"]
        ]
        upstreams = [
            {
                "name": item.name,
                "zone": item.zone,
                "kind": item.kind,
                "address": self._sidecar_addresses[item.name],
                "labels": item.labels,
                "models": list(item.models),
            }
            for item in self.spec.upstreams
        ]
        return {**document, "keys": keys, "upstreams": upstreams}

    async def _wait_for(self, url: str) -> None:
        for _ in range(int(START_TIMEOUT_SECONDS / POLL_SECONDS)):
            if await self._answers(url):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f"{url} did not answer")

    async def _answers(self, url: str) -> bool:
        try:
            async with self.session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False


def _new_address() -> str:
    return f"127.0.0.1:{free_port()}"


def _platform_settings(url: str) -> dict[str, str]:
    names = ("table", "object_store", "upstream_orders", "usage_reports", "host_list")
    return dict.fromkeys(names, url)


def _host(name: str, zone: str, role: str, address: str) -> dict[str, str]:
    return {"name": name, "zone": zone, "role": role, "address": address}
