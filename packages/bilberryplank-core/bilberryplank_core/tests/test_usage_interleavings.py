import unittest
from contextlib import suppress
from unittest.mock import patch

from bilberryplank_core import _usage_reports
from bilberryplank_core._usage_records import batch_value
from bilberryplank_core.contracts import Condition, Put, UsageReports
from bilberryplank_core.errors import Conflict, PlatformUnavailable, ReportRejected
from bilberryplank_core.fleet import UsageRecord, UsageReporter, UsageWindows
from bilberryplank_core.tests._explore import Process, StepTable, SystemModel, explore

WINDOW = 10


class UnprotectedLease:
    """Lets every process act as lease holder, so that only the row conditions prevent errors."""

    fence = 1

    def fence_condition(self):
        return Condition("leases", "job/fence", 0)

    def guard(self):
        return None


class StepReports(UsageReports):
    def __init__(self, model):
        self.model = model

    async def send(self, report, guard):
        await StepTable().read("reports", "any")
        first_report = self.model.reports.setdefault(report.window, report)
        if first_report != report:
            self.model.has_conflicting_report = True
            raise ReportRejected("other figures")


def make_batch(numbers):
    return batch_value(UsageRecord(f"e-{n}", "org", "desk", 0, 10**n, 1, 5) for n in numbers)


class UsageModel(SystemModel):
    """Two processes that aggregate and report overlapping batches, one of which is stored late."""

    tick_seconds = 12.0
    remaining_ticks = 1
    remaining_faults = 1

    def __init__(self):
        super().__init__()
        self.reports = {}
        self.has_conflicting_report = False
        self.at_once(self.table.commit([], [Put("usage", "batch/00/entry/1", make_batch([0, 1]))]))
        self.at_once(
            UsageWindows(self.table, UnprotectedLease(), lambda: 0.0, WINDOW, 0).advance(0)
        )
        self.now = 12.0
        self.processes = [Process(self.serve) for _ in range(2)]
        self.processes.append(Process(self.store))

    def at_once(self, coroutine):
        with suppress(StopIteration):
            coroutine.send(None)
        self.history.append(dict(self.table.rows))

    async def store(self, process):
        while True:
            process.trace.clear()
            with suppress(PlatformUnavailable):
                await StepTable().commit(
                    [], [Put("usage", "batch/00/sidecar/1", make_batch([1, 2]))]
                )
                return

    async def serve(self, process):
        table = StepTable()
        windows = UsageWindows(table, UnprotectedLease(), lambda: self.now, WINDOW, 0)
        reporter = UsageReporter(table, StepReports(self), UnprotectedLease(), WINDOW)
        while True:
            process.trace.clear()
            with suppress(Conflict, PlatformUnavailable):
                await windows.advance(0)
                await reporter.advance()

    def state(self):
        return repr((self.now, self.remaining_ticks, self.reports))

    def check(self):
        assert not self.has_conflicting_report, "a window reported with different figures"
        total = 0
        counted_numbers = []
        for (_, key), row in self.table.rows.items():
            if key.startswith("part/"):
                total += sum(line[3] for line in row.value)
            elif key.startswith("sealed/"):
                total += sum(line[3] for line in row.value["lines"])
            elif key.startswith("state/"):
                for bounds, _, _ in row.value["counted"]["epochs"].values():
                    for start, end in zip(bounds[::2], bounds[1::2], strict=True):
                        counted_numbers.extend(range(start, end))
        assert total == sum(
            10**number for number in counted_numbers
        ), "a record counted twice or lost"


class FaultlessUsageModel(UsageModel):
    remaining_faults = 0


class UsageInterleavingsTest(unittest.TestCase):
    def test_records_count_once_and_reported_figures_never_change(self):
        with patch.object(_usage_reports, "USAGE_SHARDS", 1):
            self.assertGreater(explore(FaultlessUsageModel, 16), 3000)
            self.assertGreater(explore(UsageModel, 12), 10000)
