"""The platform's services with each call counted and timed."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, TypeVar

from bilberryplank._metrics import PlatformOutcome, PlatformService, ProcessMetrics
from bilberryplank_core.contracts import (
    Condition,
    Guard,
    HostList,
    ObjectStore,
    Row,
    Table,
    UpstreamOrder,
    UpstreamOrders,
    UsageReport,
    UsageReports,
    Write,
)
from bilberryplank_core.direct import DirectPlatform, TableChanges, UsageReportSink, WatchedTable
from bilberryplank_core.errors import (
    BilberryplankError,
    Conflict,
    LeaseLost,
    OrderRejected,
    ReportRejected,
)

if TYPE_CHECKING:
    from bilberryplank._platform import Platform
    from bilberryplank_core.world import Host

T = TypeVar("T")


class CallMeter:
    """Counts and times the calls to one service."""

    __slots__ = ("_clock", "_metrics", "_service")

    def __init__(
        self, metrics: ProcessMetrics, service: PlatformService, clock: Callable[[], float]
    ) -> None:
        self._metrics = metrics
        self._service = service
        self._clock = clock

    async def measure(self, call: Awaitable[T], waits: bool = False) -> T:
        """Returns what the call returns, or raises what it raises.

        Args:
            call: The call.
            waits: True where the platform holds it until something changes: it is not timed.
        """
        began = self._clock()
        try:
            result = await call
        except BilberryplankError as exc:
            self._count(_outcome_of(exc), began, waits)
            raise
        self._count(PlatformOutcome.DONE, began, waits)
        return result

    def _count(self, outcome: PlatformOutcome, began: float, waits: bool) -> None:
        seconds = None if waits else self._clock() - began
        self._metrics.platform_called(self._service, outcome, seconds)


class MeteredTable(Table):
    """A table whose calls are counted."""

    def __init__(self, table: Table, meter: CallMeter) -> None:
        self._table = table
        self._meter = meter

    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None where there is none."""
        return await self._meter.measure(self._table.read(table, key))

    async def scan(self, table: str, prefix: str = "", limit: int = 1000) -> list[Row]:
        """Returns rows whose key begins with `prefix`, in key order."""
        return await self._meter.measure(self._table.scan(table, prefix, limit))

    async def commit(self, conditions: list[Condition], writes: list[Write]) -> int:
        """Writes all or nothing, and returns the revision of the rows written."""
        return await self._meter.measure(self._table.commit(conditions, writes))


class MeteredWatchedTable(MeteredTable, WatchedTable):
    """A table that tells its changes, whose calls are counted."""

    _table: WatchedTable

    async def snapshot(self, table: str) -> TableChanges:
        """Returns all rows of a table as of one moment."""
        return await self._meter.measure(self._table.snapshot(table))

    async def changes(self, table: str, after: int, wait: float) -> TableChanges:
        """Returns what changed after a revision, waiting up to `wait` seconds for the first."""
        return await self._meter.measure(self._table.changes(table, after, wait), waits=True)

    async def forget(self, keys: Iterable[tuple[str, str]]) -> None:
        """Removes rows, named by table and key, whatever their revision."""
        await self._meter.measure(self._table.forget(keys))


class MeteredWindowReports(UsageReportSink):
    """Reports of usage windows, counted."""

    def __init__(self, reports: UsageReportSink, meter: CallMeter) -> None:
        self._reports = reports
        self._meter = meter

    async def send(
        self, window: int, counts: dict[str, int], holder: str, fence: int, guard: Guard
    ) -> None:
        """Sends a report."""
        await self._meter.measure(self._reports.send(window, counts, holder, fence, guard))


class MeteredObjectStore(ObjectStore):
    """An object store whose calls are counted."""

    def __init__(self, objects: ObjectStore, meter: CallMeter) -> None:
        self._objects = objects
        self._meter = meter

    async def put(self, name: str, data: bytes) -> None:
        """Stores an object under a name."""
        await self._meter.measure(self._objects.put(name, data))

    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None where there is none."""
        return await self._meter.measure(self._objects.get(name))

    async def names(self, prefix: str = "") -> list[str]:
        """Returns the names that begin with `prefix`, sorted."""
        return await self._meter.measure(self._objects.names(prefix))

    async def delete(self, name: str) -> None:
        """Removes an object; no failure where there is none."""
        await self._meter.measure(self._objects.delete(name))


class MeteredUpstreamOrders(UpstreamOrders):
    """Upstream orders, counted."""

    def __init__(self, orders: UpstreamOrders, meter: CallMeter) -> None:
        self._orders = orders
        self._meter = meter

    async def send(self, order: UpstreamOrder, guard: Guard) -> None:
        """Sends an order."""
        await self._meter.measure(self._orders.send(order, guard))


class MeteredUsageReports(UsageReports):
    """Usage reports, counted."""

    def __init__(self, reports: UsageReports, meter: CallMeter) -> None:
        self._reports = reports
        self._meter = meter

    async def send(self, report: UsageReport, guard: Guard) -> None:
        """Sends a report."""
        await self._meter.measure(self._reports.send(report, guard))


class MeteredHostList(HostList):
    """A host list whose calls are counted."""

    def __init__(self, hosts: HostList, meter: CallMeter) -> None:
        self._hosts = hosts
        self._meter = meter

    async def hosts(self) -> list[Host]:
        """Returns live and leaving hosts."""
        return await self._meter.measure(self._hosts.hosts())


def meter_platform(
    platform: Platform, metrics: ProcessMetrics, clock: Callable[[], float] = time.monotonic
) -> Platform:
    """Returns the same services with each call counted and timed."""

    def meter(service: PlatformService) -> CallMeter:
        return CallMeter(metrics, service, clock)

    return replace(
        platform,
        table=MeteredTable(platform.table, meter(PlatformService.TABLE)),
        objects=MeteredObjectStore(platform.objects, meter(PlatformService.OBJECT_STORE)),
        orders=MeteredUpstreamOrders(platform.orders, meter(PlatformService.UPSTREAM_ORDERS)),
        reports=MeteredUsageReports(platform.reports, meter(PlatformService.USAGE_REPORTS)),
        hosts=MeteredHostList(platform.hosts, meter(PlatformService.HOST_LIST)),
    )


def meter_direct_platform(
    platform: DirectPlatform, metrics: ProcessMetrics, clock: Callable[[], float] = time.monotonic
) -> DirectPlatform:
    """Returns the same services with each call counted and timed."""
    calls = CallMeter(metrics, PlatformService.TABLE, clock)
    reports = platform.reports
    if reports is not None:
        meter = CallMeter(metrics, PlatformService.USAGE_REPORTS, clock)
        reports = MeteredWindowReports(reports, meter)
    return replace(platform, table=MeteredWatchedTable(platform.table, calls), reports=reports)


def _outcome_of(exc: BilberryplankError) -> PlatformOutcome:
    match exc:
        case Conflict():
            return PlatformOutcome.CONFLICT
        case OrderRejected() | ReportRejected():
            return PlatformOutcome.REJECTED
        case LeaseLost():
            return PlatformOutcome.LEASE_LOST
    return PlatformOutcome.UNAVAILABLE
