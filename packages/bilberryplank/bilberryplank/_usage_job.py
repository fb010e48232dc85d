"""The job that sums usage, closes windows and reports them."""

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

JOB = "usage"
GRACE_INTERVALS = 15


class UsageJob(LeaseJob):
    """Counts every record once and reports every window once."""

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
        super().__init__(JOB, name, settings, platform.table, hosts, metrics, rng)
        window = settings.usage_window
        grace = int(GRACE_INTERVALS * settings.usage_flush_interval)
        self._platform = platform
        self._windows = UsageWindows(platform.table, self.lease, time.time, window, grace)
        self._reporter = UsageReporter(platform.table, platform.reports, self.lease, window)

    async def work(self) -> None:
        """Makes one pass over the shards, and reports what is closed."""
        await recover_spilled(self._platform.objects, self._platform.table)
        for shard in range(USAGE_SHARDS):
            self._log_pass(await self._windows.advance(shard))
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

    def _log_pass(self, done: UsagePass) -> None:
        if done.late or done.disputed:
            log_event(
                logger,
                "usage_counted_late",
                level="WARNING",
                late=done.late,
                disputed=len(done.disputed),
            )
