import re
import unittest

from bilberryplank._metrics import MAX_CLASSES
from bilberryplank.metrics import (
    FrameDropCause,
    PlatformOutcome,
    PlatformService,
    ProcessMetrics,
    RequestOutcome,
    TokenUse,
    UsageEvent,
)
from bilberryplank_core.errors import RefusalReason, RetryReason


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = ProcessMetrics()

    def value(self, name, **labels):
        return self.metrics.registry.get_sample_value(f"bilberryplank_{name}", labels)

    def test_every_typed_reason_exists_at_zero(self):
        self.metrics.declare_classes(["reply"])
        for reason in RefusalReason:
            for name in ("none", "reply"):
                labels = {"reason": reason.value, "class": name}
                self.assertEqual(self.value("refusals_total", **labels), 0, labels)
        for reason in RetryReason:
            self.assertEqual(self.value("retries_total", reason=reason.value), 0, reason)
        for cause in FrameDropCause:
            self.assertEqual(self.value("frames_dropped_total", cause=cause.value), 0, cause)

    def test_calls_land_on_their_series(self):
        metrics = self.metrics
        metrics.declare_classes(["reply"])
        metrics.request_ended("reply", RequestOutcome.ANSWERED)
        metrics.refused(RefusalReason.SHED, "reply")
        metrics.retried(RetryReason.RESUMED)
        metrics.frame_dropped(FrameDropCause.DOUBLED)
        metrics.target_judged("reply", False)
        metrics.tokens_generated("reply", TokenUse.WASTED, 7)
        metrics.first_token("reply", 0.3)
        metrics.platform_called(PlatformService.TABLE, PlatformOutcome.CONFLICT, 0.01)
        metrics.set_load(3, 4)
        metrics.set_configuration(12, 1.5, 2)
        metrics.set_lease("scaling", True)
        metrics.usage_records(UsageEvent.SPILLED, 5)
        cases = [
            (1, "requests_total", {"class": "reply", "outcome": "answered"}),
            (1, "refusals_total", {"class": "reply", "reason": "shed"}),
            (1, "retries_total", {"reason": "resumed"}),
            (1, "frames_dropped_total", {"cause": "doubled"}),
            (1, "targets_total", {"class": "reply", "met": "false"}),
            (7, "tokens_total", {"class": "reply", "use": "wasted"}),
            (1, "first_token_seconds_bucket", {"class": "reply", "le": "0.38"}),
            (0, "first_token_seconds_bucket", {"class": "reply", "le": "0.2"}),
            (1, "platform_calls_total", {"service": "table", "outcome": "conflict"}),
            (3, "queued_requests", {}),
            (4, "running_requests", {}),
            (12, "configuration_version", {}),
            (2, "configuration_ignored", {}),
            (1, "lease_held", {"lease": "scaling"}),
            (5, "usage_records_total", {"event": "spilled"}),
        ]
        for expected, name, labels in cases:
            with self.subTest(name=name, labels=labels):
                self.assertEqual(self.value(name, **labels), expected)

    def test_unknown_classes_make_no_series(self):
        before = len(self.metrics.render().splitlines())
        for number in range(50):
            self.metrics.refused(RefusalReason.SHED, f"made-up-{number}")
        self.assertEqual(len(self.metrics.render().splitlines()), before)
        self.assertEqual(self.value("refusals_total", **{"class": "none", "reason": "shed"}), 50)

    # Each class name ever declared kept 38 KB of series for good.
    def test_names_that_come_and_go_leave_no_series(self):
        self.metrics.declare_classes(["reply"])
        before = self.metrics.render().count(b"\n")
        for release in range(5):
            self.metrics.declare_classes(f"reply-{release}-{number}" for number in range(90))
        self.metrics.declare_classes(["reply"])
        self.assertEqual(self.metrics.render().count(b"\n"), before)
        self.assertEqual(
            self.value("requests_total", **{"class": "reply", "outcome": "answered"}), 0
        )

    def test_classes_beyond_the_bound_are_counted_together(self):
        names = [f"c{number}" for number in range(5 * MAX_CLASSES)]
        self.metrics.declare_classes(names)
        for name in names:
            self.metrics.request_ended(name, RequestOutcome.ANSWERED)
        found = self.answered()
        self.assertEqual(sum(found.values()), len(names))
        self.assertEqual(sum(found.get(name) == 1 for name in names), MAX_CLASSES)
        self.assertEqual(found["other"], len(names) - MAX_CLASSES)
        self.metrics.declare_classes(names[MAX_CLASSES : 2 * MAX_CLASSES])
        self.metrics.request_ended(names[MAX_CLASSES], RequestOutcome.ANSWERED)
        self.assertEqual(self.answered()[names[MAX_CLASSES]], 1)
        self.assertNotIn(names[0], self.answered())

    def answered(self):
        """Returns the answered requests by class."""
        line = re.compile(r'bilberryplank_requests_total{class="([^"]+)",outcome="answered"} (.+)')
        return {name: float(count) for name, count in line.findall(self.metrics.render().decode())}

    def test_two_processes_share_nothing(self):
        other = ProcessMetrics()
        other.retried(RetryReason.NOT_RUN)
        self.assertEqual(self.value("retries_total", reason="not_run"), 0)
