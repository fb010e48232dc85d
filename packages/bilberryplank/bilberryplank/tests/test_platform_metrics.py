import unittest
from unittest import mock

from bilberryplank._platform_metrics import meter_direct_platform, meter_platform
from bilberryplank.metrics import PlatformOutcome, ProcessMetrics
from bilberryplank.platform import Platform
from bilberryplank_core.contracts import (
    HostList,
    ObjectStore,
    Table,
    UpstreamOrders,
    UsageReports,
)
from bilberryplank_core.direct import DirectPlatform, UsageReportSink, WatchedTable
from bilberryplank_core.errors import (
    Conflict,
    LeaseLost,
    OrderRejected,
    PlatformUnavailable,
    ReportRejected,
)

CONTRACTS = {
    "table": (Table, "table"),
    "objects": (ObjectStore, "object_store"),
    "orders": (UpstreamOrders, "upstream_orders"),
    "reports": (UsageReports, "usage_reports"),
    "hosts": (HostList, "host_list"),
}
CALLS = [
    ("table", "read", ("t", "k")),
    ("table", "scan", ("t", "p", 5)),
    ("table", "commit", ([], [])),
    ("objects", "put", ("n", b"d")),
    ("objects", "get", ("n",)),
    ("objects", "names", ("p",)),
    ("objects", "delete", ("n",)),
    ("orders", "send", ("order", "guard")),
    ("reports", "send", ("report", "guard")),
    ("hosts", "hosts", ()),
]
FAILURES = [
    (Conflict, PlatformOutcome.CONFLICT),
    (OrderRejected, PlatformOutcome.REJECTED),
    (ReportRejected, PlatformOutcome.REJECTED),
    (LeaseLost, PlatformOutcome.LEASE_LOST),
    (PlatformUnavailable, PlatformOutcome.UNAVAILABLE),
]


class MeterDirectPlatformTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.metrics = ProcessMetrics()
        self.table = mock.create_autospec(WatchedTable, instance=True)
        reports = mock.create_autospec(UsageReportSink, instance=True)
        inner = DirectPlatform(self.table, None, reports, None, None, None)
        times = iter(range(0, 1000, 1))
        self.platform = meter_direct_platform(inner, self.metrics, lambda: next(times))

    def value(self, name, **labels):
        return self.metrics.registry.get_sample_value(f"bilberryplank_platform_{name}", labels)

    async def test_calls_are_counted_and_those_that_do_not_wait_are_timed(self):
        await self.platform.table.snapshot("t")
        await self.platform.table.commit([], [])
        await self.platform.table.forget([])
        await self.platform.table.changes("t", 1, 2.0)
        self.assertEqual(self.value("calls_total", service="table", outcome="done"), 4)
        self.assertEqual(self.value("seconds_count", service="table"), 3)
        await self.platform.reports.send(1, {}, "h", 1, "guard")
        self.assertEqual(self.value("seconds_count", service="usage_reports"), 1)

    async def test_an_outage_is_counted(self):
        self.table.changes.side_effect = PlatformUnavailable("down")
        with self.assertRaises(PlatformUnavailable):
            await self.platform.table.changes("t", 1, 2.0)
        self.assertEqual(self.value("calls_total", service="table", outcome="unavailable"), 1)


class MeterPlatformTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.metrics = ProcessMetrics()
        self.inner = {
            name: mock.create_autospec(kind, instance=True) for name, (kind, _) in CONTRACTS.items()
        }
        times = iter(range(0, 1000, 1))
        self.platform = meter_platform(Platform(**self.inner), self.metrics, lambda: next(times))

    def value(self, name, **labels):
        return self.metrics.registry.get_sample_value(f"bilberryplank_platform_{name}", labels)

    async def test_every_call_goes_through_and_is_counted(self):
        covered = {
            (name, method)
            for name, (kind, _) in CONTRACTS.items()
            for method in kind.__abstractmethods__
        }
        self.assertEqual({(name, method) for name, method, _ in CALLS}, covered)
        for name, method, arguments in CALLS:
            with self.subTest(service=name, method=method):
                service = CONTRACTS[name][1]
                before = self.value("calls_total", service=service, outcome="done")
                call = getattr(self.inner[name], method)
                call.return_value = mock.sentinel.answer
                result = await getattr(getattr(self.platform, name), method)(*arguments)
                silent = method in ("put", "delete", "send")
                self.assertIs(result, None if silent else mock.sentinel.answer)
                call.assert_awaited_once_with(*arguments)
                after = self.value("calls_total", service=service, outcome="done")
                self.assertEqual(after, before + 1)
                self.assertEqual(self.value("seconds_sum", service=service), after)

    async def test_failures_are_counted_by_kind_and_raised(self):
        for failure, outcome in FAILURES:
            with self.subTest(failure=failure.__name__):
                self.inner["table"].commit.side_effect = failure("why")
                before = self.value("calls_total", service="table", outcome=outcome.value)
                with self.assertRaises(failure):
                    await self.platform.table.commit([], [])
                after = self.value("calls_total", service="table", outcome=outcome.value)
                self.assertEqual(after, before + 1)
