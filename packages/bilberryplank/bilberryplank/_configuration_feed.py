"""Keeps a process's configuration up to date from the table and from its peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._link import Link
from bilberryplank._link_pool import VersionShown
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import ConfigurationInvalid, PlatformError
from bilberryplank_core.fleet import (
    ConfigurationHolder,
    ConfigurationStore,
    PollSchedule,
    is_poller,
    poll_configuration,
    update_version,
)
from bilberryplank_core.messages import ConfigurationDocument, FetchConfiguration
from bilberryplank_core.settings import FleetSettings
from bilberryplank_core.world import Host

TICK_SECONDS = 0.25
FETCH_TIMEOUT_SECONDS = 2.0
NEVER_CONFIRMED_SECONDS = 1e9
UNKNOWN_FLEET_SIZE = 100
"""Size that is taken for the fleet's while no host list was read."""

Members = Callable[[], Iterable[Host]]


class ConfigurationFeed(Service):
    """Polls the table where this process is elected to, and fetches newer versions from peers.

    Attributes:
        holder: The configuration in force.
        failing: True where the last read of the table failed, or showed no configuration.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        settings: FleetSettings,
        store: ConfigurationStore,
        metrics: ProcessMetrics,
        members: Members,
    ) -> None:
        super().__init__()
        self.holder = ConfigurationHolder(boot_time)
        self._name = name
        self._zone = zone
        self._settings = settings
        self._store = store
        self._metrics = metrics
        self._members = members
        self._schedule = PollSchedule(settings.poll_interval, random.Random(name))
        self._fetching_until = 0.0
        self.failing = False

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.holder.configuration

    def shown(self) -> VersionShown:
        """Returns the version in force, as messages to peers carry it."""
        age = min(self.holder.confirmed_age(boot_time()), NEVER_CONFIRMED_SECONDS)
        return VersionShown(self.holder.version, age)

    def is_stale(self) -> bool:
        """Returns True where nothing has confirmed the configuration for too long."""
        return self.holder.is_stale(boot_time(), self._settings.stale_limit)

    def peer_showed(self, link: Link, version: int, confirmed_age: float) -> None:
        """Takes in what a peer's message says, and fetches what is newer there."""
        if (
            not self.holder.record_peer_version(version, confirmed_age)
            or boot_time() < self._fetching_until
        ):
            return
        self._fetching_until = boot_time() + FETCH_TIMEOUT_SECONDS
        link.send(FetchConfiguration(self.holder.version))

    def peer_fetched(self, link: Link, message: FetchConfiguration) -> None:
        """Answers a peer with what it lacks."""
        update = self.holder.update_since(message.version)
        shown = self.shown()
        link.send(ConfigurationDocument(shown.version, shown.confirmed_age, update))

    def peer_sent(self, link: Link, message: ConfigurationDocument) -> None:
        """Takes a peer's update."""
        self._fetching_until = 0.0
        try:
            changed = self.holder.accept_update(message.document, message.confirmed_age)
        except ConfigurationInvalid as exc:
            log_event(logger, "configuration_update_invalid", level="ERROR", reason=exc)
            return
        if changed:
            self._log_change("peer")

    async def refresh(self) -> None:
        """Reads the table once.

        Raises:
            PlatformError: The table cannot be read.
        """
        before = self.holder.version
        await poll_configuration(self._store, self.holder, boot_time)
        if self.holder.version != before:
            self._log_change("table")

    def push(self, update: bytes) -> bool:
        """Takes an update that an operator's command sent; returns True where it is newer.

        The command saw the table take the change, which confirms it as a read does.

        Raises:
            ConfigurationInvalid: The bytes are no update.
        """
        if update_version(update) <= self.holder.version:
            return False
        changed = self.holder.accept_update(update, confirmed_age=0.0)
        if changed:
            self._log_change("operator")
        return changed

    async def on_started(self) -> None:
        """Reads once, and begins to poll."""
        await self._read_table()
        self.add_future(self._poll())

    async def _poll(self) -> None:
        while not self.should_stop:
            await self._poll_once()
            await asyncio.sleep(TICK_SECONDS)

    async def _poll_once(self) -> None:
        age = self.holder.confirmed_age(boot_time())
        self._metrics.set_configuration(self.holder.version, age, self.configuration.ignored)
        if self._is_due(age):
            await self._read_table()

    async def _read_table(self) -> None:
        try:
            await self.refresh()
            self.failing = not self.holder.version
        except (PlatformError, ConfigurationInvalid) as exc:
            self.failing = True
            log_event(logger, "configuration_read_failed", level="WARNING", code=exc.code)

    def _is_due(self, age: float) -> bool:
        members = list(self._members())
        if not members:
            return self._schedule.due(boot_time(), False, UNKNOWN_FLEET_SIZE, age)
        elected = is_poller(self._name, self._zone, members, self._settings.pollers_per_zone)
        return self._schedule.due(boot_time(), elected, len(members), age)

    def _log_change(self, source: str) -> None:
        self._metrics.declare_classes(self.configuration.classes)
        log_event(
            logger,
            "configuration_changed",
            version=self.holder.version,
            source=source,
            ignored=self.configuration.ignored,
        )
