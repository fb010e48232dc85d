"""The entry: takes callers' requests and has sidecars run them."""

from __future__ import annotations

import asyncio

from loguru import logger

from bilberryplank._caller_memory import CallerMemory
from bilberryplank._caller_server import CallerServer
from bilberryplank._engine_order_job import EngineOrderJob
from bilberryplank._entry_links import EntryLinks
from bilberryplank._entry_parts import EntryParts
from bilberryplank._entry_requests import EntryRequests
from bilberryplank._intake import Intake
from bilberryplank._lease_job import LeaseJob
from bilberryplank._limits_job import LimitsJob, ShareFeed
from bilberryplank._link import Identity, LinkCounters
from bilberryplank._link_keeper import LinkKeeper
from bilberryplank._link_pool import LinkPool
from bilberryplank._logs import log_event
from bilberryplank._operations_server import ProcessStatus, PushHandler, UpstreamStatus
from bilberryplank._platform import Platform
from bilberryplank._process import Process
from bilberryplank._push import PushReceiver
from bilberryplank._repeats import RepeatSettler
from bilberryplank._scaling_job import ScalingJob
from bilberryplank._seeds import process_rng
from bilberryplank._upstream_view import UpstreamView
from bilberryplank_core.idempotency import IntentStore
from bilberryplank_core.routing import (
    InformedChooser,
    RetryBudget,
    RoundRobinChooser,
    UpstreamChooser,
)
from bilberryplank_core.settings import EntrySettings
from bilberryplank_core.world import Role

WARM_UP_SECONDS = 3.0
"""Longest wait for the first links before the entry calls itself ready."""


class Entry(Process):
    """One entry process."""

    abstract = False
    role = Role.ENTRY

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__(settings)
        self._settings: EntrySettings = settings

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> Entry:
        """Returns an entry that is not started yet."""
        return cls(settings)

    def status(self) -> ProcessStatus:
        """Returns the state that operators see."""
        shown = self._feed.shown()
        return ProcessStatus(
            name=self._settings.name,
            role=Role.ENTRY.value,
            zone=self._settings.zone,
            epoch=self.epoch,
            version=shown.version,
            usage_waiting=self._usage.waiting,
            leases=self.held_leases(),
            confirmed_age=shown.confirmed_age,
            running=self._requests.in_flight,
            upstreams=self._upstream_statuses(),
        )

    async def start_work(self, platform: Platform) -> None:
        """Begins to take requests."""
        settings = self._settings
        chooser = self._make_chooser()
        view = self._view = UpstreamView(settings.name, settings.zone, settings.routing)
        links = EntryLinks(chooser, view.membership, self._feed, self.metrics)
        identity = Identity(Role.ENTRY, settings.name, self.epoch)
        counters = LinkCounters.from_metrics(self.metrics)
        rng = process_rng(settings.name)
        self._pool = LinkPool(identity, settings.fleet_key, settings.links, links, counters, rng)
        parts = EntryParts(
            epoch=self.epoch,
            pool=self._pool,
            links=links,
            chooser=chooser,
            retry_budget=RetryBudget.from_settings(settings.routing),
            intents=IntentStore(platform.table),
            repeats=RepeatSettler(self._pool, links, self._feed),
            feed=self._feed,
            usage=self._usage,
            metrics=self.metrics,
            journal=self.journal,
        )
        memory = CallerMemory(settings.callers, self.metrics)
        intake = Intake(memory, settings.key_hash_secret, self._feed)
        self._requests = EntryRequests(intake, parts, view, settings.routing)
        self._server = CallerServer(
            settings.listen, settings.callers, self._requests.handle, self.metrics.refused, memory
        )
        keeper = LinkKeeper(self._pool, view, self._feed, self._hosts, rng)
        self._hosts.subscribe(view.list_hosts)
        self._hosts.subscribe(self._requests.list_hosts)
        await self._start_part(keeper)
        await self._start_part(self._server)
        await self._start_entry_jobs(platform)
        log_event(logger, "entry_started", listen=settings.listen, epoch=self.epoch)

    def push_handler(self) -> PushHandler | None:
        """Returns the way in for updates that operators send."""
        return PushReceiver(self._feed, self._settings.key_hash_secret).handle

    async def warm_up(self) -> None:
        """Waits for the first links, as far as there is anything to link to."""
        await self._wait_until(self._view.is_linked, WARM_UP_SECONDS)

    async def drain(self) -> None:
        """Lets the balancer look elsewhere, then finishes what runs."""
        self._requests.draining = True
        await asyncio.sleep(self._settings.lame_duck)
        await self._server.stop_listening()
        await self._wait_until(lambda: self._requests.in_flight == 0, self._settings.drain_timeout)
        self._pool.close()
        log_event(logger, "entry_drained", left=self._requests.in_flight)

    async def _start_entry_jobs(self, platform: Platform) -> None:
        settings = self._settings
        shared = (settings, platform, self._hosts, self._feed, self.metrics)
        jobs: list[LeaseJob] = [
            EngineOrderJob(*shared, process_rng(settings.name)),
            LimitsJob(
                settings.name,
                settings.fleet,
                platform.table,
                self._hosts,
                self.metrics,
                process_rng(settings.name),
            ),
        ]
        if settings.scaling.enabled:
            jobs.append(ScalingJob(*shared, process_rng(settings.name)))
        self._jobs = [*self._jobs, *jobs]
        for job in jobs:
            await self._start_part(job)
        limits, rng = self._requests.limits, process_rng(settings.name)
        await self._start_part(ShareFeed(settings.name, self.epoch, limits, platform.table, rng))

    def _make_chooser(self) -> UpstreamChooser:
        settings = self._settings
        if settings.routing.policy == "round_robin":
            return RoundRobinChooser()
        rng = process_rng(settings.name)
        return InformedChooser.from_settings(settings.routing, settings.zone, rng)

    def _upstream_statuses(self) -> tuple[UpstreamStatus, ...]:
        linked = {link.peer.upstream for link in self._pool.open_links() if link.peer}
        upstreams = self._feed.configuration.parts.upstreams
        return tuple(
            UpstreamStatus(item.name, item.zone, item.name in linked, item.draining, 0, 0)
            for item in upstreams
        )
