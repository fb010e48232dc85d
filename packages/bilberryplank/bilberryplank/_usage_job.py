"""Jobs that sum usage, close windows and report them."""

from __future__ import annotations

import random
import time

from loguru import logger

from bilberryplank._host_feed import HostFeed
from bilberryplank._lease_job import LeaseJob
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._platform import Platform
from bilberryplank_core.fleet import (
    USAGE_SHARDS,
    ReportState,
    UsagePass,
    UsageReporter,
    UsageWindows,
    recover_spilled,
)
from bilberryplank_core.settings import FleetSettings
from bilberryplank_core.world import Host

REPORT_JOB = "usage"
HOSTS_PER_GROUP = 64
"""Hosts whose records one process can sum within its share of a core."""

HOSTS_PER_PASS_SECOND = 20.0
MIN_PASS_SECONDS = 2.0
GRACE_INTERVALS = 15


class UsageSumJob(LeaseJob):
    """Sums the records of the shards of one group.

    A small fleet has one group, which sums all shards; a large one has a group for each shard.
    Where hosts disagree for a while on the number of groups, two sum the same shard: each pass is
    one conditional transaction, so that nothing is counted twice.
    """

    abstract = False

    def __init__(
        self,
        group: int,
        name: str,
        settings: FleetSettings,
        platform: Platform,
        hosts: HostFeed,
        metrics: ProcessMetrics,
        rng: random.Random,
    ) -> None:
        job = f"{REPORT_JOB}-{group:02d}"
        super().__init__(job, name, settings, platform.table, hosts, metrics, rng)
        grace = int(GRACE_INTERVALS * settings.usage_flush_interval)
        self._group = group
        self._groups = 1
        self._fleet_size = 0
        self._windows = UsageWindows(
            platform.table, self.lease, time.time, settings.usage_window, grace
        )
        hosts.subscribe(self._count_hosts)

    @property
    def shards(self) -> range:
        """Shards of this group; empty where the fleet is too small to need the group."""
        return range(self._group, USAGE_SHARDS if self._group < self._groups else 0, self._groups)

    def pause(self) -> float:
        """Returns the seconds until the next pass; longer for a large fleet."""
        return max(MIN_PASS_SECONDS, self._fleet_size / HOSTS_PER_PASS_SECOND)

    def contends(self) -> bool:
        """Returns True where the group has shards."""
        return bool(self.shards) and super().contends()

    async def work(self) -> None:
        """Makes one pass over the shards."""
        for shard in self.shards:
            self._log_pass(await self._windows.advance(shard))

    def _count_hosts(self, hosts: list[Host]) -> None:
        self._fleet_size = len(hosts)
        self._groups = min(USAGE_SHARDS, 1 + len(hosts) // HOSTS_PER_GROUP)

    def _log_pass(self, done: UsagePass) -> None:
        if done.late or done.disputed:
            log_event(
                logger,
                "usage_counted_late",
                level="WARNING",
                late=done.late,
                disputed=len(done.disputed),
            )


class UsageReportJob(LeaseJob):
    """Reports each closed window once, and brings back what was moved to the object store."""

    abstract = False

    def __init__(
        self,
        name: str,
        settings: FleetSettings,
        platform: Platform,
        hosts: HostFeed,
        metrics: ProcessMetrics,
        rng: random.Random,
    ) -> None:
        super().__init__(REPORT_JOB, name, settings, platform.table, hosts, metrics, rng)
        self._platform = platform
        self._reporter = UsageReporter(
            platform.table, platform.reports, self.lease, settings.usage_window
        )

    async def work(self) -> None:
        """Reports what is closed."""
        await recover_spilled(self._platform.objects, self._platform.table)
        while (sealed := await self._reporter.advance()) is not None:
            level = "ERROR" if sealed.state is ReportState.REJECTED else "INFO"
            log_event(
                logger,
                "usage_reported",
                level=level,
                window=sealed.window,
                fence=sealed.fence,
                state=sealed.state.value,
            )
