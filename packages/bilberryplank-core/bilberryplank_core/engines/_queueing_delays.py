"""Estimates the queueing delay at each engine from first tokens that arrived or are overdue.

An entry sees only its own part of an engine's queue. The delays of its own requests there reveal
the rest: the delay of the latest first token, and the age of a request that has none yet. An engine
that it has not used lately is assumed to have the median delay of the others: with many entries,
each has a request at few of the engines, and the unknown ones are as full as the rest.

Engines order their queues by urgency, so delays are kept by urgency: a request waits for those that
are as urgent.

Motivating load: bursts from many entries, none of which sees the whole backlog.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

Urgency = tuple[int, int]
"""Rank of the organisation and of the route; the smallest goes first."""

OBSERVATION_SECONDS = 2.0
"""The weight of an observed delay falls with its age and is zero after this time."""

DELAY_EWMA_WEIGHT = 0.5
"""Weight of a new delay against the earlier ones."""


@dataclass(slots=True)
class _ObservedDelay:
    delay: float
    observed_at: float


@dataclass(slots=True, frozen=True)
class _Pending:
    sent_at: float
    prefill_seconds: float
    urgency: Urgency


@dataclass(slots=True, frozen=True)
class _Evidence:
    """Observed delay at an engine with its weight by age, and the delay of overdue requests."""

    observed: float
    weight: float
    overdue: float

    @property
    def delay(self) -> float:
        return max(self.observed, self.overdue)


class QueueingDelays:
    """Queueing delays at the engines of a service, by engine and urgency."""

    __slots__ = ("_pending", "_observed")

    def __init__(self) -> None:
        self._observed: dict[str, dict[Urgency, _ObservedDelay]] = {}
        self._pending: dict[str, dict[str, _Pending]] = {}

    def record_sent(
        self, engine: str, request_id: str, prefill_seconds: float, urgency: Urgency, now: float
    ) -> None:
        """Records that a request was sent to an engine, with its own prefill time."""
        self._pending.setdefault(engine, {})[request_id] = _Pending(now, prefill_seconds, urgency)

    def record_first_token(self, engine: str, request_id: str, now: float) -> None:
        """Records the first token of a request."""
        pending = self._pending.get(engine, {}).pop(request_id, None)
        if pending is None:
            return
        delay = max(0.0, now - pending.sent_at - pending.prefill_seconds)
        observed = self._observed.setdefault(engine, {})
        previous = observed.get(pending.urgency)
        if previous is not None:
            delay += (1 - DELAY_EWMA_WEIGHT) * (previous.delay * _freshness(previous, now) - delay)
        observed[pending.urgency] = _ObservedDelay(delay, now)

    def record_end(self, engine: str, request_id: str) -> None:
        """Records that a request left its engine, with or without a first token."""
        self._pending.get(engine, {}).pop(request_id, None)

    def estimate(self, engines: Sequence[str], urgency: Urgency, now: float) -> dict[str, float]:
        """Returns for each engine the expected queueing delay of a new request in seconds."""
        evidence = {name: self._evidence(name, urgency, now) for name in engines}
        median_delay = _median_delay(evidence.values())
        return {
            name: max(item.overdue, item.weight * item.observed + (1 - item.weight) * median_delay)
            for name, item in evidence.items()
        }

    def forget(self, engine: str) -> None:
        """Drops the state of an engine that is gone."""
        self._observed.pop(engine, None)
        self._pending.pop(engine, None)

    def engines(self) -> set[str]:
        """Returns the engines of which anything is known."""
        return {*self._observed, *self._pending}

    def _evidence(self, engine: str, urgency: Urgency, now: float) -> _Evidence:
        observed = self._observed.get(engine, {}).get(urgency)
        pending = self._pending.get(engine)
        if observed is None and not pending:
            return _NO_EVIDENCE
        overdue = max(
            (
                now - request.sent_at - request.prefill_seconds
                for request in (pending or {}).values()
                if request.urgency <= urgency
            ),
            default=0.0,
        )
        if observed is None:
            return _Evidence(0.0, 0.0, max(0.0, overdue))
        return _Evidence(observed.delay, _freshness(observed, now), max(0.0, overdue))


_NO_EVIDENCE = _Evidence(0.0, 0.0, 0.0)


def _freshness(observed: _ObservedDelay, now: float) -> float:
    return max(0.0, 1.0 - (now - observed.observed_at) / OBSERVATION_SECONDS)


def _median_delay(evidence: Iterable[_Evidence]) -> float:
    """Returns the median delay of engines used lately; a few stalled engines do not move it."""
    items = list(evidence)
    # One idle engine is added to the known ones: a single slow engine says little of the others.
    recent = [0.0, *(item.delay for item in items if item.weight > 0)]
    recent_median = median(recent)
    # A request that is not overdue yet says nothing of its delay.
    overdue = [item.overdue for item in items if item.weight <= 0 and item.overdue > recent_median]
    return median(recent + overdue)
