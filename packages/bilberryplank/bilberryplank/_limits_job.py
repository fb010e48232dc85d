"""Shares of organisations' limits by demand: entries report, one adds up, entries take shares.

The one that adds up writes one row with the totals and, for each entry, the number of the report
that is in them. Each entry computes its own shares from that report, so the shares of a limit add
up to 1 and the row doesn't grow with entries times limits.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._entry_job import EntryJob
from bilberryplank._host_feed import HostFeed
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.contracts import Delete, Put, Row, Table
from bilberryplank_core.errors import PlatformError
from bilberryplank_core.routing import LimitId, OrganisationLimits, add_demands, shares_of_entry
from bilberryplank_core.settings import FleetSettings

JOB = "limits"
TABLE = "limits"
DEMAND = "demand/"
SHARES_KEY = "shares"
INTERVAL_SECONDS = 5.0
JITTER = 0.1
OLD_INTERVALS = 3
"""Intervals without a change after which a row is no longer used."""

GONE_INTERVALS = 60
"""Intervals without a change after which a row of demand is deleted."""

KEPT_REPORTS = 4

Rates = dict[LimitId, float]


class RowAges:
    """How long this process has seen rows unchanged; rows hold no wall-clock times."""

    __slots__ = ("_clock", "_seen")

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}

    def age(self, row: Row) -> float:
        """Returns the seconds since the row was first seen at its revision."""
        now = self._clock()
        revision, since = self._seen.get(row.key, (0, now))
        if revision != row.revision:
            self._seen[row.key] = (row.revision, now)
            return 0.0
        return now - since

    def forget(self, key: str) -> None:
        """Forgets a row that is gone."""
        self._seen.pop(key, None)


class ShareFeed(Service):
    """An entry's part: reports demand and takes its shares; idle where there is no demand."""

    def __init__(
        self,
        name: str,
        epoch: str,
        limits: OrganisationLimits,
        table: Table,
        rng: random.Random,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        super().__init__()
        self._name = name
        self._epoch = epoch
        self._limits = limits
        self._table = table
        self._rng = rng
        self._ages = RowAges(clock)
        self._reports: dict[str, Rates] = {}
        self._count = 0
        self._row: Row | None = None

    async def on_started(self) -> None:
        """Begins to report."""
        self.add_future(self._exchange_regularly())

    async def exchange(self) -> None:
        """Reports demand once, and takes the shares that are there.

        Without demand, and where the last row of shares is old, limits are shared equally.
        """
        now = asyncio.get_running_loop().time()
        demand = self._limits.demand(now)
        shares: Rates = {}
        if demand:
            try:
                await self._report(demand)
                self._row = await self._table.read(TABLE, SHARES_KEY)
            except PlatformError as exc:
                log_event(logger, "shares_not_exchanged", level="WARNING", code=exc.code)
            shares = self._shares_in(self._row)
        self._limits.set_shares(shares, now)

    async def _exchange_regularly(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(INTERVAL_SECONDS * self._rng.uniform(1 - JITTER, 1 + JITTER))
            await self.exchange()

    async def _report(self, demand: Rates) -> None:
        self._count += 1
        report_id = f"{self._epoch}/{self._count}"
        self._reports[report_id] = demand
        for old in list(self._reports)[:-KEPT_REPORTS]:
            del self._reports[old]
        value = {"report": report_id, "demand": _listed(demand)}
        await self._table.commit([], [Put(TABLE, DEMAND + self._name, value)])

    def _shares_in(self, row: Row | None) -> Rates:
        if row is None or self._ages.age(row) >= OLD_INTERVALS * INTERVAL_SECONDS:
            return {}
        reports = row.value["reports"]
        reported = self._reports.get(reports.get(self._name, ""), {})
        return shares_of_entry(reported, _rates(row.value["totals"]), len(reports))


class LimitsJob(EntryJob):
    """Adds up what entries report, under the lease `limits`."""

    abstract = False

    def __init__(
        self,
        name: str,
        settings: FleetSettings,
        table: Table,
        hosts: HostFeed,
        metrics: ProcessMetrics,
        rng: random.Random,
    ) -> None:
        super().__init__(JOB, name, settings, table, hosts, metrics, rng)
        self._table = table
        self._ages = RowAges()
        self._wrote = False

    def pause(self) -> float:
        """Returns the seconds until the next sums."""
        return INTERVAL_SECONDS

    async def work(self) -> None:
        """Writes one row of totals; none where nobody has demand."""
        fence = self.lease.fence_condition()
        rows = await self._table.scan(TABLE, DEMAND)
        ages = {row.key: self._ages.age(row) for row in rows}
        fresh = [row for row in rows if ages[row.key] < OLD_INTERVALS * INTERVAL_SECONDS]
        if fresh or self._wrote:
            await self._table.commit([fence], [Put(TABLE, SHARES_KEY, totals_of(fresh))])
            self._wrote = bool(fresh)
        gone = [key for key, age in ages.items() if age >= GONE_INTERVALS * INTERVAL_SECONDS]
        if gone:
            await self._table.commit([fence], [Delete(TABLE, key) for key in gone])
            for key in gone:
                self._ages.forget(key)


def totals_of(rows: list[Row]) -> dict[str, Any]:
    """Returns the value of the row of shares for some rows of demand."""
    demands = {row.key.removeprefix(DEMAND): _rates(row.value["demand"]) for row in rows}
    reports = {row.key.removeprefix(DEMAND): row.value["report"] for row in rows}
    return {"reports": reports, "totals": _listed(add_demands(demands))}


def _listed(rates: Mapping[LimitId, float]) -> list[list[Any]]:
    return [[limit, organisation, rate] for (limit, organisation), rate in rates.items()]


def _rates(listed: list[list[Any]]) -> Rates:
    return {(limit, organisation): rate for limit, organisation, rate in listed}
