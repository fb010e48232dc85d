"""The platform's host list as this process last read it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from mode import Service

from bilberryplank._logs import log_event
from bilberryplank_core.contracts import HostList
from bilberryplank_core.errors import PlatformError
from bilberryplank_core.world import Host

MIN_INTERVAL_SECONDS = 2.0
HOSTS_READ_PER_SECOND = 50.0


class HostFeed(Service):
    """Reads the host list, more seldom the longer it is, so that its cost a second stays the same.

    Attributes:
        hosts: Hosts of the last list that was read; empty before.
    """

    def __init__(self, hosts: HostList, rng: random.Random) -> None:
        super().__init__()
        self.hosts: list[Host] = []
        self._subscribers: list[Callable[[list[Host]], None]] = []
        self._source = hosts
        self._rng = rng

    def subscribe(self, subscriber: Callable[[list[Host]], None]) -> None:
        """Has `subscriber` called with the last list, and with each one that is read."""
        self._subscribers.append(subscriber)
        if self.hosts:
            subscriber(self.hosts)

    async def refresh(self) -> None:
        """Reads the list once; keeps the last one where that fails."""
        try:
            self.hosts = await self._source.hosts()
        except PlatformError as exc:
            log_event(logger, "host_list_read_failed", level="WARNING", code=exc.code)
            return
        for subscriber in self._subscribers:
            subscriber(self.hosts)

    async def on_started(self) -> None:
        """Begins to read."""
        self.add_future(self._poll())

    async def _poll(self) -> None:
        while not self.should_stop:
            interval = max(MIN_INTERVAL_SECONDS, len(self.hosts) / HOSTS_READ_PER_SECOND)
            await asyncio.sleep(interval * self._rng.uniform(0.8, 1.2))
            await self.refresh()
