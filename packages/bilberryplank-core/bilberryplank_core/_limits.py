"""Limits of organisations, enforced across entries without a message for each request.

Each entry admits its share of a limit: an equal share at first, then one in proportion to the
demand that it reported (`_limit_shares`). Output lengths are unknown in advance, so a request is
charged an estimate and corrected when its answer ends. The bucket may run into debt, which keeps
the average rate exact.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._errors import RefusalReason, Refused
from bilberryplank_core._limit_shares import DemandMeter
from bilberryplank_core._selectors import LabelProjection, Selector
from bilberryplank_core._token_bucket import TokenBucket
from bilberryplank_core._world import Key, Limit

LimitId = tuple[str, str]
"""The name of a limit and the name of an organisation that it covers."""

MIN_BURST_REQUESTS = 3.0
MIN_BURST_TOKENS = 1.0
IN_FLIGHT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
MAX_ALLOWANCES = 10_000
"""Number of allowances at which the idle ones are dropped."""


class Allowance:
    """An entry's share of one limit for one organisation."""

    __slots__ = (
        "_in_flight_limit",
        "_limit",
        "_request_bucket",
        "_token_bucket",
        "demand",
        "in_flight",
    )

    def __init__(self, limit: Limit, share: float, now: float) -> None:
        self._limit = limit
        self.in_flight = 0
        self.demand = DemandMeter()
        self._request_bucket = _bucket(limit.requests_per_second, share, MIN_BURST_REQUESTS, now)
        self._token_bucket = _bucket(limit.tokens_per_second, share, MIN_BURST_TOKENS, now)
        self._in_flight_limit = _in_flight_limit(limit, share)

    def set_share(self, limit: Limit, share: float, now: float) -> None:
        """Sets the limit and the entry's share of it; what was charged stays charged."""
        self._limit = limit
        self._in_flight_limit = _in_flight_limit(limit, share)
        self._request_bucket = _with_changed_rate(
            self._request_bucket, limit.requests_per_second, share, MIN_BURST_REQUESTS, now
        )
        self._token_bucket = _with_changed_rate(
            self._token_bucket, limit.tokens_per_second, share, MIN_BURST_TOKENS, now
        )

    def wait_seconds(self, now: float) -> float:
        """Returns the seconds until a request may be admitted; 0 if it may be now."""
        waits = [0.0]
        if self._in_flight_limit is not None and self.in_flight >= self._in_flight_limit:
            waits.append(IN_FLIGHT_RETRY_SECONDS)
        if self._request_bucket is not None:
            waits.append(self._request_bucket.wait_seconds(1.0, now))
        if self._token_bucket is not None:
            waits.append(self._token_bucket.wait_seconds(1.0, now))
        return max(waits)

    def charge(self, cost: float) -> None:
        """Charges an admitted request with its estimated tokens."""
        self.in_flight += 1
        if self._request_bucket is not None:
            self._request_bucket.consume(1.0)
        if self._token_bucket is not None:
            self._token_bucket.consume(cost)

    def settle(self, difference: float) -> None:
        """Ends a request and charges the tokens used beyond the estimate (may be negative)."""
        self.in_flight -= 1
        if self._token_bucket is not None:
            self._token_bucket.consume(difference)

    def is_idle(self, now: float) -> bool:
        """Returns whether it can be dropped: nothing is in flight and all buckets are full."""
        buckets = (self._request_bucket, self._token_bucket)
        return self.in_flight == 0 and all(
            bucket is None or bucket.is_full(now) for bucket in buckets
        )


class Admission:
    """A charged request, to be settled when it ends; settling it again has no effect."""

    __slots__ = ("allowances", "cost", "settled")

    def __init__(self, allowances: Sequence[Allowance], cost: float) -> None:
        self.allowances = allowances
        self.cost = cost
        self.settled = False


class OrganisationLimits:
    """Admits requests at one entry under the limits of their organisations.

    Args:
        configuration: Configuration that contains the limits.
        entries: Number of entries that share the limits.
    """

    __slots__ = (
        "_allowances",
        "_limit_ids_by_caller",
        "_cfg",
        "_entries",
        "_limits",
        "_projection",
        "_limit_shares",
    )

    def __init__(self, configuration: Configuration, entries: int = 1) -> None:
        self._entries = max(entries, 1)
        self._limit_shares: Mapping[LimitId, float] = {}
        self._allowances: dict[LimitId, Allowance] = {}
        self._limit_ids_by_caller: dict[tuple, tuple[LimitId, ...]] = {}
        self._set_limits(configuration)

    def admit(self, key: Key, class_name: str, cost: float, now: float) -> Admission:
        """Admits a request and charges it to every limit that covers it.

        Args:
            key: Key of the request.
            class_name: Its class.
            cost: Estimated tokens.
            now: Monotonic seconds.

        Raises:
            Refused: A limit is reached; no limit was charged.
        """
        allowances = [
            self._allowance(limit_id, now) for limit_id in self._limits_covering(key, class_name)
        ]
        for allowance in allowances:
            allowance.demand.add(1.0, now)
        wait_seconds = max((allowance.wait_seconds(now) for allowance in allowances), default=0.0)
        if wait_seconds > 0:
            message = "the organisation's limit is reached"
            retry_after = min(wait_seconds, MAX_RETRY_SECONDS)
            raise Refused(RefusalReason.RATE_LIMITED, message, retry_after=retry_after)
        for allowance in allowances:
            allowance.charge(cost)
        return Admission(allowances, cost)

    def settle(self, admission: Admission, actual: float) -> None:
        """Ends an admitted request that used `actual` tokens; 0 if it did not run."""
        if admission.settled:
            return
        admission.settled = True
        for allowance in admission.allowances:
            allowance.settle(actual - admission.cost)

    def set_configuration(self, configuration: Configuration, now: float) -> None:
        """Applies another version of the configuration; what was charged stays charged."""
        self._set_limits(configuration)
        self._limit_ids_by_caller.clear()
        for limit_id in [key for key in self._allowances if key[0] not in self._limits]:
            del self._allowances[limit_id]
        self._apply_shares(now)

    def set_entries(self, count: int, now: float) -> None:
        """Sets the number of entries that share the limits."""
        self._entries = max(count, 1)
        self._apply_shares(now)

    def set_shares(self, shares: Mapping[LimitId, float], now: float) -> None:
        """Sets this entry's shares by demand; limits without one are shared equally."""
        self._limit_shares = shares
        self._apply_shares(now)

    def demand(self, now: float) -> dict[LimitId, float]:
        """Returns the requests per second offered under each limit, omitting those without any."""
        rates = {
            limit_id: allowance.demand.rate(now) for limit_id, allowance in self._allowances.items()
        }
        return {limit_id: rate for limit_id, rate in rates.items() if rate > 0}

    def _set_limits(self, configuration: Configuration) -> None:
        self._cfg = configuration
        self._limits = {limit.name: limit for limit in configuration.parts.limits}
        selectors = [Selector.parse(limit.organisations) for limit in self._limits.values()]
        self._projection = LabelProjection.from_selectors(selectors)

    def _limits_covering(self, key: Key, class_name: str) -> tuple[LimitId, ...]:
        if not self._limits:
            return ()
        labels = self._cfg.caller_labels(key)
        caller = (key.organisation, class_name, self._projection.project(labels))
        limit_ids = self._limit_ids_by_caller.get(caller)
        if limit_ids is None:
            limit_ids = self._limit_ids_by_caller[caller] = tuple(
                (limit.name, key.organisation)
                for limit in self._limits.values()
                if (not limit.classes or class_name in limit.classes)
                and Selector.parse(limit.organisations).matches(labels)
            )
        return limit_ids

    def _allowance(self, limit_id: LimitId, now: float) -> Allowance:
        allowance = self._allowances.get(limit_id)
        if allowance is None:
            if len(self._allowances) >= MAX_ALLOWANCES:
                self._drop_idle(now)
            limit = self._limits[limit_id[0]]
            allowance = self._allowances[limit_id] = Allowance(limit, self._share(limit_id), now)
        return allowance

    def _share(self, limit_id: LimitId) -> float:
        return self._limit_shares.get(limit_id, 1.0 / self._entries)

    def _apply_shares(self, now: float) -> None:
        for limit_id, allowance in self._allowances.items():
            allowance.set_share(self._limits[limit_id[0]], self._share(limit_id), now)

    def _drop_idle(self, now: float) -> None:
        idle = [
            limit_id for limit_id, allowance in self._allowances.items() if allowance.is_idle(now)
        ]
        for limit_id in idle:
            del self._allowances[limit_id]
        self._limit_ids_by_caller.clear()


def _bucket(rate: float | None, share: float, min_burst: float, now: float) -> TokenBucket | None:
    return None if rate is None else TokenBucket(rate * share, min_burst, now)


def _with_changed_rate(
    bucket: TokenBucket | None, rate: float | None, share: float, min_burst: float, now: float
) -> TokenBucket | None:
    if bucket is None or rate is None:
        return _bucket(rate, share, min_burst, now)
    bucket.set_rate(rate * share, now)
    return bucket


def _in_flight_limit(limit: Limit, share: float) -> int | None:
    return None if limit.in_flight is None else ceil(limit.in_flight * share)
