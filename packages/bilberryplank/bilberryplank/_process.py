"""What entry and sidecar have in common as processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

import aiohttp
from mode import Service

from bilberryplank._answer_bounds import BoundedConnector
from bilberryplank._clocks import boot_time
from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._decisions import DecisionJournal
from bilberryplank._host_feed import HostFeed
from bilberryplank._lease_job import LeaseJob
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._operations_server import (
    OperationsServer,
    ProcessStatus,
    PushHandler,
    Readiness,
)
from bilberryplank._platform import Platform
from bilberryplank._platform_metrics import meter_platform
from bilberryplank._seeds import new_epoch, process_rng
from bilberryplank._usage_feed import UsageFeed
from bilberryplank._usage_job import UsageReportJob, UsageSumJob
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.fleet import USAGE_SHARDS, ConfigurationStore
from bilberryplank_core.settings import EntrySettings, SidecarSettings
from bilberryplank_core.world import Role

POLL_SECONDS = 0.05


class Process(Service):
    """Base of both processes: platform, configuration, operators' port and a graceful stop.

    Attributes:
        role: Entry or sidecar.
        epoch: Random id of this run of the process.
        metrics: Counters.
        journal: Recent decisions.
    """

    abstract = True
    role: Role

    def __init__(self, settings: EntrySettings | SidecarSettings) -> None:
        super().__init__()
        self.epoch = new_epoch()
        self.metrics = ProcessMetrics()
        self.journal = DecisionJournal(process=settings.name)
        self._settings = settings
        self._warming_up = False
        self._working = False
        self._session: aiohttp.ClientSession | None = None
        self._operations: OperationsServer | None = None

    def status(self) -> ProcessStatus:
        """Returns the state that operators see, once the process works."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Starts the parts, the one that takes work last."""
        settings = self._settings
        self._session = aiohttp.ClientSession(connector=BoundedConnector())
        client = Platform.from_settings(settings.platform, self._session)
        platform = meter_platform(client, self.metrics)
        rng = process_rng(settings.name)
        self._hosts = HostFeed(platform.hosts, rng)
        self._feed = ConfigurationFeed(
            settings.name,
            settings.zone,
            settings.fleet,
            ConfigurationStore(platform.table),
            self.metrics,
            lambda: self._hosts.hosts,
        )
        self._operations = OperationsServer(
            settings.operations_listen,
            self.metrics,
            self.journal,
            self._status_now,
            self.push_handler(),
        )
        self._usage = UsageFeed(self.role, self.epoch, settings.fleet, platform, self.metrics, rng)
        await self._hosts.refresh()
        for part in (self._operations, self._hosts, self._feed, self._usage):
            await self._start_part(part)
        self._jobs = self._make_jobs(platform)
        for job in self._jobs:
            await self._start_part(job)
        await self.start_work(platform)
        self._working = True
        self._feed.holder.subscribe(self._configured)

    def held_leases(self) -> tuple[str, ...]:
        """Returns the names of the leases that this process holds."""
        return tuple(job.lease.name for job in self._jobs if job.lease.held(boot_time()))

    async def start_work(self, platform: Platform) -> None:
        """Starts what takes work."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Ends the work without cutting anything off."""
        raise NotImplementedError

    async def on_stop(self) -> None:
        """Drains; what is started is stopped afterwards."""
        if self._operations is not None:
            self._operations.readiness = Readiness.DRAINING
        if self._working:
            await self.drain()

    async def on_shutdown(self) -> None:
        """Closes the sessions."""
        if self._session is not None:
            await self._session.close()

    def push_handler(self) -> PushHandler | None:
        """Returns what takes updates that operators send; None where this process takes none."""
        return None

    async def warm_up(self) -> None:
        """Prepares for work once a configuration is in force."""

    def _status_now(self) -> ProcessStatus:
        if self._working:
            return self.status()
        settings = self._settings
        return ProcessStatus(settings.name, self.role.value, settings.zone, self.epoch)

    def _configured(self, _: Configuration) -> None:
        if not self._warming_up:
            self._warming_up = True
            self.add_future(self._become_ready())

    async def _become_ready(self) -> None:
        await self.warm_up()
        operations = self._operations
        if operations is not None and operations.readiness is Readiness.STARTING:
            operations.readiness = Readiness.READY

    def _make_jobs(self, platform: Platform) -> list[LeaseJob]:
        cfg = self._settings
        shared = (cfg.name, cfg.fleet, platform, self._hosts, self.metrics, process_rng(cfg.name))
        sums = [UsageSumJob(group, *shared) for group in range(USAGE_SHARDS)]
        return [UsageReportJob(*shared), *sums]

    async def _start_part(self, part: Service) -> None:
        self.add_dependency(part)
        await part.maybe_start()

    async def _wait_until(self, holds: Callable[[], bool], timeout: float) -> bool:
        """Waits until a condition holds; returns False where the time is up first."""
        for _ in range(int(timeout / POLL_SECONDS)):
            if holds():
                return True
            await asyncio.sleep(POLL_SECONDS)
        return holds()


async def run_process(process: Process) -> int:
    """Runs a process until SIGTERM or SIGINT; returns the exit code."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    try:
        await process.start()
        await process.wait_first(stopping, process._crashed)
    finally:
        await process.stop()
    return 1 if process.crashed else 0
