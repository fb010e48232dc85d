"""Jobs that one process of the fleet does at a time, under a lease."""

from __future__ import annotations

import asyncio
import random
from abc import abstractmethod

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._host_feed import HostFeed
from bilberryplank._lease_calls import wait_answered
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.contracts import Table
from bilberryplank_core.errors import Conflict, LeaseLost, PlatformError
from bilberryplank_core.fleet import LeaseHolder, is_ranked
from bilberryplank_core.settings import FleetSettings
from bilberryplank_core.world import Host, HostState

IDLE_SECONDS = 2.0


class LeaseJob(Service):
    """Contends for a lease and does its job while it holds it.

    Only the few processes that rank highest for the job contend, so that the table sees few reads.

    Attributes:
        lease: The lease.
    """

    abstract = True

    def __init__(
        self,
        job: str,
        name: str,
        settings: FleetSettings,
        table: Table,
        hosts: HostFeed,
        metrics: ProcessMetrics,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.lease = LeaseHolder(
            job, name, table, boot_time, settings.lease_duration, settings.lease_margin, rng
        )
        self._name = name
        self._settings = settings
        self._hosts = hosts
        self._metrics = metrics
        self._candidate = True
        hosts.subscribe(self._rank)

    @abstractmethod
    async def work(self) -> None:
        """Does the next piece of the job; the lease is held when it begins.

        Raises:
            LeaseLost: The lease ended meanwhile.
            Conflict: Another process was faster.
            PlatformError: The platform did not answer.
        """

    async def on_started(self) -> None:
        """Begins to contend."""
        self.add_future(self._contend())
        self.add_future(self._work_regularly())

    async def on_stop(self) -> None:
        """Gives the lease up, once calls under it are answered."""
        self.lease.relinquish()
        await wait_answered(self.lease)
        await self.lease.release()

    async def _contend(self) -> None:
        while not self.should_stop:
            if self.lease.held(boot_time()) or self.contends():
                await self._contend_once()
            self._metrics.set_lease(self.lease.name, self.lease.held(boot_time()))
            await asyncio.sleep(self.lease.delay())

    async def _contend_once(self) -> None:
        held = self.lease.held(boot_time())
        try:
            holds = await (self.lease.renew() if held else self.lease.try_acquire())
        except PlatformError as exc:
            log_event(logger, "lease_call_failed", level="WARNING", code=exc.code)
            return
        if holds != held:
            event = "lease_acquired" if holds else "lease_lost"
            log_event(logger, event, lease=self.lease.name, fence=self.lease.fence)

    async def _work_regularly(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.pause())
            if self.lease.held(boot_time()):
                await self._work_once()

    def contends(self) -> bool:
        """Returns True where this process is among the few that try to get the lease."""
        return self._candidate

    def may_run_on(self, host: Host) -> bool:
        """Returns True for the hosts whose processes may do the job."""
        return True

    def pause(self) -> float:
        """Returns the seconds until the next piece of work."""
        return IDLE_SECONDS

    async def _work_once(self) -> None:
        try:
            await self.work()
        except (LeaseLost, Conflict, PlatformError) as exc:
            log_event(logger, "lease_work_ended", job=self.lease.name, code=exc.code, cause=exc)

    def _rank(self, hosts: list[Host]) -> None:
        live = [host for host in hosts if host.state is HostState.LIVE]
        names = [host.name for host in live if self.may_run_on(host)]
        job = f"lease/{self.lease.name}"
        self._candidate = is_ranked(job, self._name, names, self._settings.lease_candidates)
