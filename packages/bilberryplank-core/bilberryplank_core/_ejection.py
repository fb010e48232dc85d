"""Ejection of slow or failing upstreams, and their re-admission after trial requests.

This is outlier detection as in service meshes, with a bound on the ejected share of a pool. An
upstream is ejected after several failures in a row, or when its median first-token time over its
latest samples is far above the median of the other upstreams' medians. Classes are compared
separately, because a class with long prompts is slow everywhere.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

WINDOW_SAMPLES = 8
"""Latest first-token times kept for each upstream and class."""

MIN_SAMPLES = 4
"""Smallest number of first-token times from which a median is taken."""

SLOWNESS_FACTOR = 4.0
"""A first-token time is slow only if it is more than this multiple of the typical time."""

MIN_EXCESS_SECONDS = 0.15
"""A first-token time is slow only if it exceeds the typical time by more than this.

Small differences between short times therefore do not eject an upstream.
"""

CONSECUTIVE_FAILURES_LIMIT = 3
"""Failures in a row from which an upstream is ejected."""

MAX_EJECTED_SHARE = 0.34
"""Largest share of a pool that may be ejected at the same time; allows one upstream of three."""

EJECTION_SECONDS = 4.0
"""Duration of an ejection with a backoff exponent of 0; each increment doubles it."""

MAX_EJECTION_SECONDS = 60.0
MAX_EJECTION_DOUBLINGS = 10
"""Bounds the power of two: an upstream may fail its trials for days."""


TRIAL_INTERVAL_SECONDS = 1.0
"""Shortest time between two trial requests to an upstream."""

TRIAL_SUCCESSES_TO_READMIT = 3

MAX_WINDOW_IDLE_SECONDS = 30.0
"""A window is no longer used once its latest sample is older than this."""


@dataclass(slots=True)
class _LatencyWindow:
    samples: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SAMPLES))
    last_sample_at: float = float("-inf")
    median: float | None = None

    def add(self, seconds: float, now: float) -> None:
        if now - self.last_sample_at > MAX_WINDOW_IDLE_SECONDS:
            self.samples.clear()
        self.samples.append(seconds)
        self.last_sample_at = now
        enough = len(self.samples) >= MIN_SAMPLES
        self.median = median(self.samples) if enough else None


@dataclass(slots=True)
class _UpstreamRecord:
    """Latencies, failures and ejection of one upstream.

    Attributes:
        windows: Latest first-token times, by class.
        consecutive_failures: Failed attempts since the last successful one.
        ejected_until: Time from which trial requests are allowed; None if it is not ejected.
        backoff_exponent: Doublings of the next ejection's duration; an ejection adds one and a
            re-admission takes one away.
        last_trial_at: Time of the last trial request.
        trial_successes: Successful trial requests since the ejection.
    """

    windows: dict[str, _LatencyWindow] = field(default_factory=dict)
    consecutive_failures: int = 0
    ejected_until: float | None = None
    backoff_exponent: int = 0
    last_trial_at: float = float("-inf")
    trial_successes: int = 0


class OutlierEjector:
    """Decides which upstreams of a pool are ejected, and when they are re-admitted.

    Args:
        max_ejected_share: Largest share of a pool that may be ejected at the same time, 0 to 1.
    """

    __slots__ = ("_max_share", "_records")

    def __init__(self, max_ejected_share: float = MAX_EJECTED_SHARE) -> None:
        self._max_share = max_ejected_share
        self._records: dict[str, _UpstreamRecord] = {}

    def record(
        self,
        upstream: str,
        seconds: float | None,
        ok: bool,
        pool: Iterable[str],
        now: float,
        class_name: str = "",
    ) -> None:
        """Records the outcome of one attempt, and ejects or re-admits its upstream if due.

        Args:
            upstream: Name of the upstream.
            seconds: Time at the upstream until the first token; None if none arrived.
            ok: False if the attempt failed.
            pool: Names of the upstreams to compare this upstream with, itself included.
            now: Monotonic time.
            class_name: Class of the request; first-token times are compared within it.
        """
        record = self._records.setdefault(upstream, _UpstreamRecord())
        if seconds is not None:
            record.windows.setdefault(class_name, _LatencyWindow()).add(seconds, now)
        record.consecutive_failures = 0 if ok else record.consecutive_failures + 1
        is_outlier = self._is_outlier(upstream, record, pool, now, class_name)
        if record.ejected_until is not None:
            slow = seconds is None or self._is_slow(seconds, upstream, pool, now, class_name)
            self._record_trial(record, ok and not slow, now)
        elif is_outlier and self._may_eject(pool):
            self._eject(record, now)

    def is_ejected(self, upstream: str) -> bool:
        """Returns whether the upstream is ejected: it gets only trial requests, or none."""
        record = self._records.get(upstream)
        return record is not None and record.ejected_until is not None

    def try_acquire_trial(self, upstream: str, now: float) -> bool:
        """Returns True, at most once per interval, if an ejected upstream is due for a trial."""
        record = self._records.get(upstream)
        if record is None or record.ejected_until is None or now < record.ejected_until:
            return False
        if now - record.last_trial_at < TRIAL_INTERVAL_SECONDS:
            return False
        record.last_trial_at = now
        return True

    def ejected_upstreams(self, pool: Iterable[str]) -> set[str]:
        """Returns the names in the pool that are ejected."""
        return {name for name in pool if self.is_ejected(name)}

    def typical_first_token_seconds(
        self, pool: Iterable[str], now: float, class_name: str = ""
    ) -> float | None:
        """Returns the median of the pool's median first-token times, or None without samples."""
        upstream_medians = (self._median(name, now, class_name) for name in pool)
        medians = [value for value in upstream_medians if value is not None]
        return median(medians) if medians else None

    def forget(self, upstream: str) -> None:
        """Drops the state of an upstream that was replaced or removed."""
        self._records.pop(upstream, None)

    def _median(self, upstream: str, now: float, class_name: str) -> float | None:
        record = self._records.get(upstream)
        window = record.windows.get(class_name) if record is not None else None
        if window is None or now - window.last_sample_at > MAX_WINDOW_IDLE_SECONDS:
            return None
        return window.median

    def _is_outlier(
        self,
        upstream: str,
        record: _UpstreamRecord,
        pool: Iterable[str],
        now: float,
        class_name: str,
    ) -> bool:
        if record.consecutive_failures >= CONSECUTIVE_FAILURES_LIMIT:
            return True
        own = self._median(upstream, now, class_name)
        return own is not None and self._is_slow(own, upstream, pool, now, class_name)

    def _is_slow(
        self, seconds: float, upstream: str, pool: Iterable[str], now: float, class_name: str
    ) -> bool:
        others = (name for name in pool if name != upstream and not self.is_ejected(name))
        typical = self.typical_first_token_seconds(others, now, class_name)
        if typical is None:
            return False
        return seconds > max(typical * SLOWNESS_FACTOR, typical + MIN_EXCESS_SECONDS)

    def _may_eject(self, pool: Iterable[str]) -> bool:
        names = set(pool)
        return len(self.ejected_upstreams(names)) + 1 <= self._max_share * len(names)

    def _eject(self, record: _UpstreamRecord, now: float) -> None:
        doublings = min(record.backoff_exponent, MAX_EJECTION_DOUBLINGS)
        seconds = min(EJECTION_SECONDS * 2**doublings, MAX_EJECTION_SECONDS)
        record.ejected_until = now + seconds
        record.backoff_exponent += 1
        record.trial_successes = 0

    def _record_trial(self, record: _UpstreamRecord, healthy: bool, now: float) -> None:
        if now < record.ejected_until:
            # No trial has been sent yet: the request dates from before the ejection.
            return
        if not healthy:
            self._eject(record, now)
            return
        record.trial_successes += 1
        if record.trial_successes >= TRIAL_SUCCESSES_TO_READMIT:
            self._readmit(record)

    def _readmit(self, record: _UpstreamRecord) -> None:
        record.ejected_until = None
        record.consecutive_failures = 0
        record.backoff_exponent -= 1
        record.windows.clear()
