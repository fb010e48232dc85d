"""Limits of organisations, enforced over all entries without a message for each request.

Each entry admits its share of a limit: an equal one at first, then one in proportion to the
demand that it reported (`_limit_shares`). Output lengths are unknown in advance, so a request is
charged an estimate and settled when its answer ends; the bucket may run into debt, which keeps the
rate over time exact.
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
"""Names of a limit and of an organisation that it covers."""

MIN_BURST_REQUESTS = 3.0
MIN_BURST_TOKENS = 1.0
IN_FLIGHT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
MAX_ALLOWANCES = 10_000


class Allowance:
    """An entry's share of one limit for one organisation."""

    __slots__ = ("_in_flight_share", "_limit", "_requests", "_tokens", "demand", "in_flight")

    def __init__(self, limit: Limit, share: float, now: float) -> None:
        self._limit = limit
        self.in_flight = 0
        self.demand = DemandMeter()
        self._requests = _bucket(limit.requests_per_second, share, MIN_BURST_REQUESTS, now)
        self._tokens = _bucket(limit.tokens_per_second, share, MIN_BURST_TOKENS, now)
        self._in_flight_share = _in_flight_share(limit, share)

    def set_share(self, limit: Limit, share: float, now: float) -> None:
        """Changes the limit or the entry's share of it."""
        self._limit = limit
        self._in_flight_share = _in_flight_share(limit, share)
        self._requests = _with_changed_rate(
            self._requests, limit.requests_per_second, share, MIN_BURST_REQUESTS, now
        )
        self._tokens = _with_changed_rate(
            self._tokens, limit.tokens_per_second, share, MIN_BURST_TOKENS, now
        )

    def wait_seconds(self, now: float) -> float:
        """Returns the seconds until a request fits; 0 where it fits now."""
        waits = [0.0]
        if self._in_flight_share is not None and self.in_flight >= self._in_flight_share:
            waits.append(IN_FLIGHT_RETRY_SECONDS)
        if self._requests is not None:
            waits.append(self._requests.wait_seconds(1.0, now))
        if self._tokens is not None:
            waits.append(self._tokens.wait_seconds(1.0, now))
        return max(waits)

    def charge(self, cost: float) -> None:
        """Charges a request with its estimated tokens."""
        self.in_flight += 1
        if self._requests is not None:
            self._requests.consume(1.0)
        if self._tokens is not None:
            self._tokens.consume(cost)

    def settle(self, difference: float) -> None:
        """Ends a request and charges what it used beyond the estimate."""
        self.in_flight -= 1
        if self._tokens is not None:
            self._tokens.consume(difference)

    def is_idle(self, now: float) -> bool:
        """Returns True where nothing is lost by forgetting it."""
        buckets = (self._requests, self._tokens)
        return self.in_flight == 0 and all(
            bucket is None or bucket.is_full(now) for bucket in buckets
        )


class Admission:
    """An admitted request, to be settled once; settling it again has no effect."""

    __slots__ = ("allowances", "cost", "settled")

    def __init__(self, allowances: Sequence[Allowance], cost: float) -> None:
        self.allowances = allowances
        self.cost = cost
        self.settled = False


class OrganisationLimits:
    """Admits requests under the limits of one entry.

    Args:
        configuration: Where the limits stand.
        entries: Number of entries that share them.
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
        """Charges a request to every limit that covers it.

        Args:
            key: Key of the request.
            class_name: Its class.
            cost: Estimated tokens.
            now: Monotonic seconds.

        Raises:
            Refused: A limit is reached; nothing was charged.
        """
        allowances = [self._allowance(item, now) for item in self._limits_covering(key, class_name)]
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
        """Ends an admitted request that used `actual` tokens; 0 where it did not run."""
        if admission.settled:
            return
        admission.settled = True
        for allowance in admission.allowances:
            allowance.settle(actual - admission.cost)

    def set_configuration(self, configuration: Configuration, now: float) -> None:
        """Goes over to another version; what was charged stays charged."""
        self._set_limits(configuration)
        self._limit_ids_by_caller.clear()
        for limit_id in [item for item in self._allowances if item[0] not in self._limits]:
            del self._allowances[limit_id]
        self._apply_shares(now)

    def set_entries(self, count: int, now: float) -> None:
        """Takes in how many entries share the limits."""
        self._entries = max(count, 1)
        self._apply_shares(now)

    def set_shares(self, shares: Mapping[LimitId, float], now: float) -> None:
        """Takes in this entry's shares by demand; limits without one are shared equally."""
        self._limit_shares = shares
        self._apply_shares(now)

    def demand(self, now: float) -> dict[LimitId, float]:
        """Returns the requests a second that callers wanted, for those limits that matter."""
        found = {item: part.demand.rate(now) for item, part in self._allowances.items()}
        return {item: rate for item, rate in found.items() if rate > 0}

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
        found = self._limit_ids_by_caller.get(caller)
        if found is None:
            found = self._limit_ids_by_caller[caller] = tuple(
                (limit.name, key.organisation)
                for limit in self._limits.values()
                if (not limit.classes or class_name in limit.classes)
                and Selector.parse(limit.organisations).matches(labels)
            )
        return found

    def _allowance(self, limit_id: LimitId, now: float) -> Allowance:
        found = self._allowances.get(limit_id)
        if found is None:
            if len(self._allowances) >= MAX_ALLOWANCES:
                self._drop_idle(now)
            limit = self._limits[limit_id[0]]
            found = self._allowances[limit_id] = Allowance(limit, self._share(limit_id), now)
        return found

    def _share(self, limit_id: LimitId) -> float:
        return self._limit_shares.get(limit_id, 1.0 / self._entries)

    def _apply_shares(self, now: float) -> None:
        for limit_id, allowance in self._allowances.items():
            allowance.set_share(self._limits[limit_id[0]], self._share(limit_id), now)

    def _drop_idle(self, now: float) -> None:
        idle = [item for item, part in self._allowances.items() if part.is_idle(now)]
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


def _in_flight_share(limit: Limit, share: float) -> int | None:
    return None if limit.in_flight is None else ceil(limit.in_flight * share)
