"""Counters, histograms and gauges of one process.

Label values come from closed lists: the typed reasons, and the class names of the configuration, of
which so many have series that neither memory nor the text of a scrape grows with the configuration.
There is no label for organisations: thousands of them times the classes and reasons would hold more
memory than a process may use for control. Usage by organisation is in the usage reports.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable
from enum import Enum

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.metrics import MetricWrapperBase

from bilberryplank_core.errors import RefusalReason, RetryReason
from bilberryplank_core.memory import Pool

NO_CLASS = "none"
OTHER_CLASSES = "other"
SHARED_CLASSES = (NO_CLASS, OTHER_CLASSES)

MAX_CLASSES = 100
"""Classes with series of their own, some 38 KB each; further ones are counted under `other`."""

FIRST_TOKEN_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 3.0, 6.0, 15.0, 30.0, 60.0)
TOKEN_GAP_BUCKETS_SECONDS = (0.01, 0.02, 0.03, 0.048, 0.075, 0.15, 0.5, 2.0)
QUEUE_WAIT_BUCKETS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 5.0, 20.0, 60.0)
PLATFORM_BUCKETS_SECONDS = (0.002, 0.005, 0.02, 0.05, 0.2, 0.5, 1.0, 2.0)

# Each counter would otherwise bring a second series with the time of its creation.
disable_created_metrics()


class RequestOutcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    CALLER_GONE = "caller_gone"


class FrameDropCause(Enum):
    """Why a frame of a peer was dropped."""

    LATE = "late"
    DOUBLED = "doubled"
    FOREIGN = "foreign"
    INVALID = "invalid"


class PlatformService(Enum):
    """A service of the platform."""

    TABLE = "table"
    OBJECT_STORE = "object_store"
    UPSTREAM_ORDERS = "upstream_orders"
    USAGE_REPORTS = "usage_reports"
    HOST_LIST = "host_list"


class PlatformOutcome(Enum):
    """How a call to the platform ended."""

    DONE = "done"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"
    LEASE_LOST = "lease_lost"


class TokenUse(Enum):
    """What became of generated tokens."""

    DELIVERED = "delivered"
    WASTED = "wasted"


class CutCause(Enum):
    """Why a caller's connection or body gave way to others."""

    STALLED_BODY = "stalled_body"
    STALLED_HEAD = "stalled_head"
    UNREAD_ANSWER = "unread_answer"
    IDLE_CONNECTION = "idle_connection"


class UsageEvent(Enum):
    """What became of usage records."""

    STORED = "stored"
    SPILLED = "spilled"
    LOST = "lost"


class ProcessMetrics:
    """All metrics of one process, in a registry of their own."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        self._declared: frozenset[str] = frozenset()
        self._series: dict[str, list[tuple[MetricWrapperBase, tuple[str, ...]]]] = {}
        ProcessCollector(registry=self.registry)
        self._build_request_metrics()
        self._build_link_metrics()
        self._build_platform_metrics()
        self._create_reasons()
        for name in SHARED_CLASSES:
            self._create_class(name)

    def declare_classes(self, names: Iterable[str]) -> None:
        """Takes in all classes of the configuration, and drops the series of those that are gone.

        Series exist at 0 from then on where the classes are few enough for all of them to have
        some; else from a class's first use on. A class that is not declared is counted under
        `none`.
        """
        self._declared = frozenset(names).difference(SHARED_CLASSES)
        for name in set(self._series).difference(self._declared, SHARED_CLASSES):
            self._drop_class(name)
        if len(self._declared) <= MAX_CLASSES:
            for name in self._declared - set(self._series):
                self._create_class(name)

    def render(self) -> bytes:
        """Returns all metrics in Prometheus's text format."""
        return generate_latest(self.registry)

    def request_ended(self, class_name: str, outcome: RequestOutcome) -> None:
        """Counts a request at its end."""
        self._requests.labels(self._class_label(class_name), outcome.value).inc()

    def refused(self, reason: RefusalReason, class_name: str = NO_CLASS) -> None:
        """Counts a refusal; without a class where it came before the class was known."""
        self._refusals.labels(reason.value, self._class_label(class_name)).inc()

    def retried(self, reason: RetryReason) -> None:
        """Counts a further attempt."""
        self._retries.labels(reason.value).inc()

    def preempted(self, class_name: str) -> None:
        """Counts a running request that made way for a higher tier."""
        self._preemptions.labels(self._class_label(class_name)).inc()

    def target_judged(self, class_name: str, met: bool) -> None:
        """Counts whether a request met the latency targets of its class."""
        self._targets.labels(self._class_label(class_name), str(met).lower()).inc()

    def tokens_generated(self, class_name: str, use: TokenUse, count: int) -> None:
        """Counts generated tokens by what became of them."""
        self._tokens.labels(self._class_label(class_name), use.value).inc(count)

    def first_token(self, class_name: str, seconds: float) -> None:
        """Observes the seconds from a request's arrival to the first byte of its answer."""
        self._first_token.labels(self._class_label(class_name)).observe(seconds)

    def token_gap(self, class_name: str, seconds: float) -> None:
        """Observes the mean seconds between the tokens of one answer."""
        self._token_gap.labels(self._class_label(class_name)).observe(seconds)

    def queue_waited(self, class_name: str, seconds: float) -> None:
        """Observes the seconds that a request waited in a sidecar's queue."""
        self._queue_wait.labels(self._class_label(class_name)).observe(seconds)

    def set_load(self, queued: int, running: int) -> None:
        """Sets how many requests wait and run in this process."""
        self._queued.set(queued)
        self._running.set(running)

    def watch_held(self, used: Callable[[Pool], int]) -> None:
        """Has scrapes show the bytes that are held for callers.

        Args:
            used: Returns the bytes held from one part of the budget.
        """
        for pool in Pool:
            self._held_bytes.labels(pool.value).set_function(functools.partial(used, pool))

    def caller_cut(self, cause: CutCause) -> None:
        """Counts a caller's connection or body that gave way to others."""
        self._callers_cut.labels(cause.value).inc()

    def set_links(self, count: int) -> None:
        """Sets the number of open links to other processes."""
        self._links.set(count)

    def frame_dropped(self, cause: FrameDropCause) -> None:
        """Counts a frame that was dropped."""
        self._frames_dropped.labels(cause.value).inc()

    def handshake_failed(self) -> None:
        """Counts a peer that did not prove that it belongs to the fleet."""
        self._handshakes_failed.inc()

    def upstream_ejected(self) -> None:
        """Counts an upstream taken out of choice as a straggler."""
        self._ejections.inc()

    def engine_crashed(self) -> None:
        """Counts a crash of an engine that this entry confirmed."""
        self._engine_crashes.inc()

    def set_cold_upstreams(self, count: int) -> None:
        """Sets the number of upstreams that are cold, or may be."""
        self._cold_upstreams.set(count)

    def set_evacuated_zones(self, count: int) -> None:
        """Sets the number of zones whose upstreams get no new work."""
        self._evacuated_zones.set(count)

    def set_quarantines(self, count: int) -> None:
        """Sets the number of prompt segments that are withheld from engines."""
        self._quarantines.set(count)

    def store_restored(self) -> None:
        """Counts a return of the store from an older copy."""
        self._store_restores.inc()

    def platform_called(
        self, service: PlatformService, outcome: PlatformOutcome, seconds: float | None
    ) -> None:
        """Counts a call to the platform, and times it unless it was to wait for a change."""
        self._platform_calls.labels(service.value, outcome.value).inc()
        if seconds is not None:
            self._platform_seconds.labels(service.value).observe(seconds)

    def set_configuration(self, version: int, confirmed_age: float, ignored: int = 0) -> None:
        """Sets the state of the configuration.

        Args:
            version: The version in force.
            confirmed_age: Seconds since a store read confirmed it.
            ignored: Names and items in it that only a newer release knows.
        """
        self._ignored.set(ignored)
        self._version.set(version)
        self._confirmed_age.set(confirmed_age)

    def set_lease(self, lease: str, held: bool) -> None:
        """Sets whether this process holds a lease."""
        self._leases.labels(lease).set(int(held))

    def set_usage_waiting(self, count: int) -> None:
        """Sets the number of usage records that the store has not confirmed."""
        self._usage_waiting.set(count)

    def usage_records(self, event: UsageEvent, count: int) -> None:
        """Counts usage records by what became of them."""
        self._usage_records.labels(event.value).inc(count)

    def _class_label(self, name: str) -> str:
        if name in self._series:
            return name
        if name not in self._declared:
            return NO_CLASS
        if len(self._series) >= MAX_CLASSES + len(SHARED_CLASSES):
            return OTHER_CLASSES
        self._create_class(name)
        return name

    def _build_request_metrics(self) -> None:
        self._requests = self._counter(
            "requests", "Requests by class and how they ended.", "class", "outcome"
        )
        self._refusals = self._counter(
            "refusals", "Refusals by typed reason and class.", "reason", "class"
        )
        self._retries = self._counter("retries", "Further attempts by typed reason.", "reason")
        self._preemptions = self._counter("preemptions", "Requests preempted.", "class")
        self._targets = self._counter(
            "targets", "Answers by whether they met the targets of their class.", "class", "met"
        )
        self._tokens = self._counter("tokens", "Generated tokens by their use.", "class", "use")
        self._first_token = self._histogram(
            "first_token_seconds", "Arrival to first byte.", FIRST_TOKEN_BUCKETS_SECONDS, "class"
        )
        self._token_gap = self._histogram(
            "token_gap_seconds", "Mean gap between tokens.", TOKEN_GAP_BUCKETS_SECONDS, "class"
        )
        self._queue_wait = self._histogram(
            "queue_wait_seconds", "Wait in the queue.", QUEUE_WAIT_BUCKETS_SECONDS, "class"
        )
        self._queued = self._gauge("queued_requests", "Requests that wait.")
        self._running = self._gauge("running_requests", "Requests that run.")
        self._held_bytes = self._gauge(
            "held_bytes", "Bytes held for callers by part of the budget.", "pool"
        )
        self._callers_cut = self._counter(
            "callers_cut", "Connections and bodies that gave way to others.", "cause"
        )

    def _build_link_metrics(self) -> None:
        self._links = self._gauge("links", "Open links to other processes.")
        self._frames_dropped = self._counter("frames_dropped", "Frames dropped by cause.", "cause")
        self._handshakes_failed = self._counter("handshakes_failed", "Peers turned away.")
        self._ejections = self._counter("upstream_ejections", "Stragglers taken out of choice.")

        self._engine_crashes = self._counter("engine_crashes", "Crashes of engines confirmed.")
        self._quarantines = self._gauge("prompt_quarantines", "Prompt segments withheld.")
        self._cold_upstreams = self._gauge("cold_upstreams", "Upstreams that are cold.")
        self._evacuated_zones = self._gauge("evacuated_zones", "Zones that are evacuated.")

    def _build_platform_metrics(self) -> None:
        self._platform_calls = self._counter(
            "platform_calls", "Calls to the platform by outcome.", "service", "outcome"
        )
        self._platform_seconds = self._histogram(
            "platform_seconds", "Time of calls.", PLATFORM_BUCKETS_SECONDS, "service"
        )
        self._store_restores = self._counter(
            "store_restores", "Returns of the store from an older copy of itself."
        )
        self._version = self._gauge("configuration_version", "Configuration in force.")
        self._ignored = self._gauge(
            "configuration_ignored", "What only a newer release knows in it."
        )
        self._confirmed_age = self._gauge(
            "configuration_confirmed_age_seconds", "Since a store read confirmed it."
        )
        self._leases = self._gauge("lease_held", "1 where this process holds the lease.", "lease")
        self._usage_waiting = self._gauge("usage_records_waiting", "Records not yet stored.")
        self._usage_records = self._counter("usage_records", "Usage records by event.", "event")

    def _create_reasons(self) -> None:
        for retry in RetryReason:
            self._retries.labels(retry.value)
        for cut in CutCause:
            self._callers_cut.labels(cut.value)
        for pool in Pool:
            self._held_bytes.labels(pool.value)
        for cause in FrameDropCause:
            self._frames_dropped.labels(cause.value)
        for event in UsageEvent:
            self._usage_records.labels(event.value)
        for service in PlatformService:
            self._platform_seconds.labels(service.value)
            for outcome in PlatformOutcome:
                self._platform_calls.labels(service.value, outcome.value)

    def _create_class(self, name: str) -> None:
        series: list[tuple[MetricWrapperBase, tuple[str, ...]]] = []
        series += [(self._refusals, (reason.value, name)) for reason in RefusalReason]
        series += [(self._requests, (name, outcome.value)) for outcome in RequestOutcome]
        series += [(self._tokens, (name, use.value)) for use in TokenUse]
        series += [(self._targets, (name, met)) for met in ("true", "false")]
        plain = (self._preemptions, self._first_token, self._token_gap, self._queue_wait)
        series += [(metric, (name,)) for metric in plain]
        for metric, values in series:
            metric.labels(*values)
        self._series[name] = series

    def _drop_class(self, name: str) -> None:
        for metric, values in self._series.pop(name):
            metric.remove(*values)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(name, text, labels, namespace="bilberryplank", registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(name, text, labels, namespace="bilberryplank", registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...], *labels: str
    ) -> Histogram:
        return Histogram(
            name,
            text,
            labels,
            namespace="bilberryplank",
            registry=self.registry,
            buckets=buckets,
        )
