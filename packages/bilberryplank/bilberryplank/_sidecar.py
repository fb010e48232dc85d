"""The sidecar: the only way to its upstream."""

from __future__ import annotations

import asyncio

from loguru import logger

from bilberryplank._engine_http import HttpEngineControl
from bilberryplank._engine_orders import SidecarOrders
from bilberryplank._link import Identity, LinkCounters
from bilberryplank._link_pool import LinkListener
from bilberryplank._logs import log_event
from bilberryplank._operations_server import ProcessStatus
from bilberryplank._platform import Platform
from bilberryplank._process import Process
from bilberryplank._sidecar_parts import SidecarParts
from bilberryplank._sidecar_requests import SidecarRequests
from bilberryplank._upstream_call import UpstreamCaller
from bilberryplank_core.scheduling import AttemptRecords, FifoQueue, RequestQueue, TieredQueue
from bilberryplank_core.settings import SidecarSettings
from bilberryplank_core.world import Role, UpstreamKind

TICK_SECONDS = 1.0
LINGER_SECONDS = 0.5


class Sidecar(Process):
    """One sidecar process."""

    abstract = False
    role = Role.SIDECAR

    def __init__(self, settings: SidecarSettings) -> None:
        super().__init__(settings)
        self._settings: SidecarSettings = settings

    @classmethod
    def from_settings(cls, settings: SidecarSettings) -> Sidecar:
        """Returns a sidecar that is not started yet."""
        return cls(settings)

    def status(self) -> ProcessStatus:
        """Returns the state that operators see."""
        load = self._requests.load()
        return ProcessStatus(
            name=self._settings.name,
            role=Role.SIDECAR.value,
            zone=self._settings.zone,
            epoch=self.epoch,
            version=load.version,
            usage_waiting=self._usage.waiting,
            leases=self.held_leases(),
            confirmed_age=load.confirmed_age,
            queued=load.queued,
            running=load.running,
        )

    async def start_work(self, platform: Platform) -> None:
        """Begins to take attempts."""
        settings = self._settings
        self._caller = UpstreamCaller.from_url(settings.upstream_url, settings.upstream_kind)
        parts = SidecarParts(
            epoch=self.epoch,
            queue=self._make_queue(),
            kept=AttemptRecords(settings.answer_bytes, settings.answer_lifetime),
            caller=self._caller,
            feed=self._feed,
            usage=self._usage,
            metrics=self.metrics,
            journal=self.journal,
            answer_bytes=settings.answer_bytes // 4,
            orders=self._make_orders(platform),
        )
        self._requests = SidecarRequests(parts)
        identity = Identity(Role.SIDECAR, settings.name, self.epoch, settings.upstream)
        listener = LinkListener(
            settings.listen,
            identity,
            settings.fleet_key,
            settings.links,
            self._requests,
            LinkCounters.from_metrics(self.metrics),
        )
        await self._start_part(listener)
        self.add_future(self._tick())
        log_event(logger, "sidecar_started", listen=settings.listen, epoch=self.epoch)

    async def drain(self) -> None:
        """Takes no new work, and finishes what waits and runs."""
        self._requests.leave()
        await self._wait_until(lambda: self._requests.idle, self._settings.drain_timeout)
        await asyncio.sleep(LINGER_SECONDS)
        self._requests.close()
        await self._caller.close()
        log_event(logger, "sidecar_drained")

    def _make_orders(self, platform: Platform) -> SidecarOrders:
        settings = self._settings
        control = None
        if settings.upstream_kind is UpstreamKind.ENGINE and self._session is not None:
            timeout = settings.platform.timeout
            control = HttpEngineControl(self._session, settings.upstream_url, timeout)
        return SidecarOrders(settings.upstream, control, platform.table, settings.checks_fencing)

    def _make_queue(self) -> RequestQueue:
        queue = self._settings.queue
        if queue.policy == "fifo":
            return FifoQueue.from_settings(queue)
        return TieredQueue.from_settings(queue)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._requests.tick()
