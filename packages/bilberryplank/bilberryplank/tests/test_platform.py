import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from bilberryplank._platform_http import Answer
from bilberryplank.platform import Platform
from bilberryplank_core.contracts import (
    Condition,
    Delete,
    Guard,
    Put,
    Row,
    StartUpstream,
    StopUpstream,
    UsageLine,
    UsageReport,
)
from bilberryplank_core.errors import (
    Conflict,
    LeaseLost,
    OrderRejected,
    PlatformUnavailable,
    ReportRejected,
)
from bilberryplank_core.settings import PlatformSettings
from bilberryplank_core.world import Host, HostState, Role
from bilberryplank_testing.faults import Fault, FaultKind
from bilberryplank_testing.platform import FakePlatform
from bilberryplank_testing.run_log import RunEnd

FAULT_TIMEOUT = 1.0
TIMEOUT = 20.0
LONG = 5.0
SERVICES = ("table", "objects", "orders", "reports", "hosts")
START = StartUpstream("o1", 7, "nz-1", "models")
LINE = UsageLine("rarangi", "courier", 10, 20, 1)
REPORT = UsageReport(1_700_000_000, 7, (LINE,))
HOST = {"name": "h1", "zone": "nz-1", "role": "entry", "address": "10.0.0.1:7000", "state": "live"}


class CountedGuard(Guard):
    """Passes a number of checks, then refuses."""

    def __init__(self, passes: int = 1000, remaining: float = 3.0) -> None:
        self.passes = passes
        self.checks = 0
        self.left = remaining

    def check(self) -> None:
        self.checks += 1
        if self.checks > self.passes:
            raise LeaseLost("lapsed")

    def remaining(self) -> float:
        return self.left


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    timeout = TIMEOUT

    async def asyncSetUp(self) -> None:
        self.fake = FakePlatform()
        self.url = await self.fake.start()
        self.session = aiohttp.ClientSession()
        settings = PlatformSettings(*([self.url] * len(SERVICES)), timeout=self.timeout)
        self.platform = Platform.from_settings(settings, self.session)

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.fake.stop()

    async def renew(self) -> None:
        await self.asyncTearDown()
        await self.asyncSetUp()


@dataclass
class Call:
    """One call of a contract, and how many effects the fake's log shows after it."""

    service: str
    name: str
    run: Callable
    changes: bool


CALLS = [
    Call("table", "read", lambda p: p.table.read("t", "k"), False),
    Call("table", "scan", lambda p: p.table.scan("t", "k"), False),
    Call("table", "commit", lambda p: p.table.commit([], [Put("t", "k", 1)]), True),
    Call("objects", "put", lambda p: p.objects.put("a/b", b"x"), True),
    Call("objects", "get", lambda p: p.objects.get("a/b"), False),
    Call("objects", "names", lambda p: p.objects.names(), False),
    Call("objects", "delete", lambda p: p.objects.delete("c"), False),
    Call("orders", "send", lambda p: p.orders.send(START, CountedGuard()), True),
    Call("reports", "send", lambda p: p.reports.send(REPORT, CountedGuard()), True),
    Call("hosts", "hosts", lambda p: p.hosts.hosts(), False),
]
# Kind of fault and whether a changing call takes effect while the caller sees a failure.
FAULTS = [
    (Fault(FaultKind.FAIL), False),
    (Fault(FaultKind.REFUSE_CONNECTION), False),
    (Fault(FaultKind.DROP_ANSWER), True),
    (Fault(FaultKind.HANG), True),
    (Fault(FaultKind.SLOW, LONG), False),
]


class FaultTableTest(PlatformCase):
    timeout = FAULT_TIMEOUT

    async def test_every_call_under_every_fault_is_unavailable(self):
        for fault, effect in FAULTS:
            await self.renew()
            for service in SERVICES:
                self.fake.faults.set(service, fault)
            outcomes = await asyncio.gather(
                *(call.run(self.platform) for call in CALLS), return_exceptions=True
            )
            for call, outcome in zip(CALLS, outcomes, strict=True):
                with self.subTest(call=f"{call.service}.{call.name}", fault=fault.kind.value):
                    self.assertIsInstance(outcome, PlatformUnavailable)
                    found = self.fake.log.of(call.service, effect=True)
                    changes = any(c.changes for c in CALLS if c.service == call.service)
                    self.assertEqual(bool(found), effect and changes)

    async def test_an_answer_nested_too_deep_is_unavailable(self):
        for body in (b"[" * 5000 + b"]" * 5000, b"[" * 65 + b"]" * 65, b"NaN", b"1e400"):
            with self.subTest(body[:5]), self.assertRaises(PlatformUnavailable):
                Answer(200, body).json()

    async def test_a_fault_with_a_count_passes(self):
        for call in CALLS:
            with self.subTest(call=f"{call.service}.{call.name}"):
                await self.renew()
                self.fake.faults.set(call.service, Fault(FaultKind.FAIL, left=1))
                with self.assertRaises(PlatformUnavailable):
                    await call.run(self.platform)
                await call.run(self.platform)

    async def test_no_listener_is_unavailable(self):
        await self.fake.stop()
        for call in CALLS:
            with (
                self.subTest(call=f"{call.service}.{call.name}"),
                self.assertRaises(PlatformUnavailable),
            ):
                await call.run(self.platform)


class TableTest(PlatformCase):
    async def test_keys_of_any_kind_come_back(self):
        table = self.platform.table
        keys = ["a/b", "a%2Fb", "a b?c#d", "..", ".", "é", "a+b&c", "%"]
        for key in keys:
            with self.subTest(key=key):
                revision = await table.commit([Condition("t/x", key, 0)], [Put("t/x", key, key)])
                self.assertEqual(await table.read("t/x", key), Row("t/x", key, key, revision))
        self.assertEqual([row.key for row in await table.scan("t/x")], sorted(keys))
        self.assertEqual([row.key for row in await table.scan("t/x", "a%")], ["a%2Fb"])
        self.assertEqual(len(await table.scan("t/x", limit=2)), 2)

    async def test_conditions_hold_all_or_nothing(self):
        table = self.platform.table
        first = await table.commit([], [Put("t", "a", 1), Put("t", "b", 1)])
        cases = [
            ("must not exist", [Condition("t", "a", 0)]),
            ("other revision", [Condition("t", "a", first + 9)]),
            ("one of two", [Condition("t", "a", first), Condition("t", "z", 1)]),
        ]
        for name, conditions in cases:
            with self.subTest(name), self.assertRaises(Conflict):
                await table.commit(conditions, [Put("t", "a", 2), Delete("t", "b")])
        self.assertEqual([row.value for row in await table.scan("t")], [1, 1])
        await table.commit([Condition("t", "a", first)], [Delete("t", "a")])
        self.assertIsNone(await table.read("t", "a"))
        await table.commit([Condition("t", "a", 0)], [Put("t", "a", 3)])

    async def test_stale_reads_answer_the_past(self):
        table = self.platform.table
        await table.commit([], [Put("t", "a", 1)])
        self.fake.faults.set("table", Fault(FaultKind.STALE, seconds=60.0))
        self.assertIsNone(await table.read("t", "a"))
        self.assertEqual(await table.scan("t"), [])
        with self.assertRaises(Conflict):
            await table.commit([Condition("t", "a", 0)], [Put("t", "a", 2)])


class GuardedTest(PlatformCase):
    def calls(self):
        return [
            ("orders", lambda guard: self.platform.orders.send(START, guard)),
            ("reports", lambda guard: self.platform.reports.send(REPORT, guard)),
        ]

    async def test_a_guard_that_flips_leaves_no_whole_call(self):
        # One check before connecting and one right before the last byte.
        for passes in (0, 1):
            for service, send in self.calls():
                with self.subTest(service=service, passes=passes):
                    guard = CountedGuard(passes)
                    with self.assertRaises(LeaseLost):
                        await send(guard)
                    self.assertEqual(guard.checks, passes + 1)
        await self.fake.stop()
        ends = [entry.end for entry in self.fake.log.entries]
        self.assertEqual(ends, [RunEnd.CUT_SHORT] * len(self.calls()))
        self.assertEqual(self.fake.orders.carried_out, [])
        self.assertEqual(self.fake.reports.windows, {})

    async def test_a_large_report_is_guarded_to_its_last_byte(self):
        lines = tuple(UsageLine(f"org-{n}", "class", n, n, 1) for n in range(20_000))
        report = UsageReport(5, 1, lines)
        with self.assertRaises(LeaseLost):
            await self.platform.reports.send(report, CountedGuard(1))
        self.assertEqual(self.fake.reports.windows, {})
        await self.platform.reports.send(report, CountedGuard(2))
        self.assertEqual(len(self.fake.reports.windows["5"]), len(lines))

    async def test_a_lost_answer_is_never_sent_twice(self):
        for service, send in self.calls():
            with self.subTest(service=service):
                self.fake.faults.set(service, Fault(FaultKind.DROP_ANSWER, left=1))
                with self.assertRaises(PlatformUnavailable):
                    await send(CountedGuard())
                self.assertEqual(len(self.fake.log.of(service)), 1)
                await send(CountedGuard())
                self.assertEqual(len(self.fake.log.of(service, effect=True)), 1)

    async def test_orders_are_carried_out_once_and_fenced(self):
        orders = self.platform.orders
        await orders.send(START, CountedGuard())
        await orders.send(START, CountedGuard())
        stop = StopUpstream("o2", 6, "nz-1", "runner-1")
        with self.assertRaises(OrderRejected):
            await orders.send(stop, CountedGuard())
        self.fake.orders.honours_fences = False
        await orders.send(stop, CountedGuard())
        done = [(item["order_id"], item["action"]) for item in self.fake.orders.carried_out]
        self.assertEqual(done, [("o1", "start"), ("o2", "stop")])

    async def test_a_window_keeps_its_first_figures(self):
        reports = self.platform.reports
        await reports.send(REPORT, CountedGuard())
        await reports.send(REPORT, CountedGuard())
        other = UsageReport(REPORT.window, 8, ())
        with self.assertRaises(ReportRejected):
            await reports.send(other, CountedGuard())
        self.assertEqual(len(self.fake.reports.windows[str(REPORT.window)]), 1)


class ObjectAndHostTest(PlatformCase):
    async def test_objects_come_back_whole(self):
        objects = self.platform.objects
        cases = [("usage/1", b""), ("usage/2", bytes(range(256)) * 4000), ("..", b"x")]
        for name, data in cases:
            with self.subTest(name=name):
                await objects.put(name, data)
                self.assertEqual(await objects.get(name), data)
        self.assertEqual(await objects.names("usage/"), ["usage/1", "usage/2"])
        await objects.delete("usage/1")
        await objects.delete("usage/1")
        self.assertIsNone(await objects.get("usage/1"))

    async def test_the_host_list_lags(self):
        expected = Host("h1", "nz-1", Role.ENTRY, "10.0.0.1:7000", HostState.LIVE)
        async with self.session.put(self.url + "/_hosts", json={"hosts": [HOST]}):
            pass
        self.assertEqual(await self.platform.hosts.hosts(), [expected])
        self.fake.hosts.lag = 60.0
        leaving = HOST | {"state": "leaving"}
        async with self.session.put(self.url + "/_hosts", json={"hosts": [leaving]}):
            pass
        self.assertEqual(await self.platform.hosts.hosts(), [expected])

    async def test_malformed_hosts_are_unavailable(self):
        for broken in ({}, HOST | {"role": "cook"}, "text"):
            with self.subTest(broken=broken):
                self.fake.hosts = type(self.fake.hosts)(0.0)
                self.fake.hosts.set([broken], 0.0)
                with self.assertRaises(PlatformUnavailable):
                    await self.platform.hosts.hosts()


if __name__ == "__main__":
    unittest.main()
