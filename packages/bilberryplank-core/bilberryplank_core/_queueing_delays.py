"""How long requests wait at each engine, learnt from first tokens that came or are overdue.

An entry sees only its own part of what waits at an engine. What its own requests met there tells
the rest: the delay of the last first token, and the age of a request that still has none. Of an
engine that it has not used lately it assumes the median of the others: with many entries, each has
a request at few of the engines, and those it knows nothing of are as full as the rest.

Engines order by urgency, so delays are kept by urgency: a request waits for what is as urgent.

Load pattern: bursts from many entries, none of which sees the whole backlog.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

Urgency = tuple[int, int]
"""Rank of the organisation and of the route; the smallest goes first."""

SEEN_SECONDS = 2.0
"""A delay that was met counts less with its age, and nothing after this long."""

WEIGHT = 0.5
"""Weight of a new delay against the one remembered."""


@dataclass(slots=True)
class _Seen:
    delay: float
    at: float


@dataclass(slots=True, frozen=True)
class _Pending:
    sent_at: float
    reading: float
    urgency: Urgency


@dataclass(slots=True, frozen=True)
class _Evidence:
    met: float
    weight: float
    overdue: float

    @property
    def delay(self) -> float:
        return max(self.met, self.overdue)


class QueueingDelays:
    """Delays met at the engines of a service."""

    __slots__ = ("_pending", "_seen")

    def __init__(self) -> None:
        self._seen: dict[str, dict[Urgency, _Seen]] = {}
        self._pending: dict[str, dict[str, _Pending]] = {}

    def sent(
        self, engine: str, request_id: str, reading: float, urgency: Urgency, now: float
    ) -> None:
        """Takes in that a request went to an engine that needs `reading` seconds for it."""
        self._pending.setdefault(engine, {})[request_id] = _Pending(now, reading, urgency)

    def started(self, engine: str, request_id: str, now: float) -> None:
        """Takes in that the first token of a request came."""
        found = self._pending.get(engine, {}).pop(request_id, None)
        if found is None:
            return
        delay = max(0.0, now - found.sent_at - found.reading)
        seen = self._seen.setdefault(engine, {})
        before = seen.get(found.urgency)
        if before is not None:
            delay += (1 - WEIGHT) * (before.delay * _freshness(before, now) - delay)
        seen[found.urgency] = _Seen(delay, now)

    def ended(self, engine: str, request_id: str) -> None:
        """Takes in that a request left its engine, started or not."""
        self._pending.get(engine, {}).pop(request_id, None)

    def delays(self, engines: Sequence[str], urgency: Urgency, now: float) -> dict[str, float]:
        """Returns for each engine the seconds that a new request would wait for others."""
        found = {name: self._evidence(name, urgency, now) for name in engines}
        typical = _typical(found.values())
        return {
            name: max(each.overdue, each.weight * each.met + (1 - each.weight) * typical)
            for name, each in found.items()
        }

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self._seen.pop(engine, None)
        self._pending.pop(engine, None)

    def _evidence(self, engine: str, urgency: Urgency, now: float) -> _Evidence:
        seen = self._seen.get(engine, {}).get(urgency)
        pending = self._pending.get(engine)
        if seen is None and not pending:
            return _NO_EVIDENCE
        overdue = max(
            (
                now - each.sent_at - each.reading
                for each in (pending or {}).values()
                if each.urgency <= urgency
            ),
            default=0.0,
        )
        if seen is None:
            return _Evidence(0.0, 0.0, max(0.0, overdue))
        return _Evidence(seen.delay, _freshness(seen, now), max(0.0, overdue))


_NO_EVIDENCE = _Evidence(0.0, 0.0, 0.0)


def _freshness(seen: _Seen, now: float) -> float:
    return max(0.0, 1.0 - (now - seen.at) / SEEN_SECONDS)


def _typical(found: Iterable[_Evidence]) -> float:
    """Returns the median delay of engines used lately; a few that stand still do not move it."""
    each = list(found)
    # One idle engine is assumed beside those known: a single slow one says little of the others.
    known = [0.0, *(one.delay for one in each if one.weight > 0)]
    usual = median(known)
    # A request that is not overdue yet says nothing of how long it will wait.
    late = [one.overdue for one in each if one.weight <= 0 and one.overdue > usual]
    return median(known + late)
