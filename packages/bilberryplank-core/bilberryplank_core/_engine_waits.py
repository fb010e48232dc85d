"""How long requests wait at each engine, learnt from first tokens that came or are overdue.

An entry sees only its own part of what waits at an engine. What its own requests met there tells
the rest: the delay of the last first token, and the age of a request that still has none.

Load pattern: bursts from many entries, none of which sees the whole backlog.
"""

from __future__ import annotations

from dataclasses import dataclass

SEEN_SECONDS = 2.0
"""A delay that was met counts less with its age, and nothing after this long."""

WEIGHT = 0.5
"""Weight of a new delay against the one remembered."""


@dataclass(slots=True)
class _Seen:
    delay: float
    at: float


class EngineWaits:
    """Delays met at the engines of a service."""

    __slots__ = ("_pending", "_seen")

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._pending: dict[str, dict[str, tuple[float, float]]] = {}

    def sent(self, engine: str, request_id: str, reading: float, now: float) -> None:
        """Takes in that a request went to an engine that needs `reading` seconds for it."""
        self._pending.setdefault(engine, {})[request_id] = (now, reading)

    def started(self, engine: str, request_id: str, now: float) -> None:
        """Takes in that the first token of a request came."""
        found = self._pending.get(engine, {}).pop(request_id, None)
        if found is None:
            return
        sent_at, reading = found
        delay = max(0.0, now - sent_at - reading)
        before = self._seen.get(engine)
        if before is not None:
            delay += (1 - WEIGHT) * (self._faded(before, now) - delay)
        self._seen[engine] = _Seen(delay, now)

    def ended(self, engine: str, request_id: str) -> None:
        """Takes in that a request left its engine, started or not."""
        self._pending.get(engine, {}).pop(request_id, None)

    def delay(self, engine: str, now: float) -> float:
        """Returns the seconds that a new request would wait for others, as far as it was met."""
        seen = self._seen.get(engine)
        met = self._faded(seen, now) if seen is not None else 0.0
        overdue = max(
            (now - at - reading for at, reading in self._pending.get(engine, {}).values()),
            default=0.0,
        )
        return max(0.0, met, overdue)

    def forget(self, engine: str) -> None:
        """Drops an engine that is gone."""
        self._seen.pop(engine, None)
        self._pending.pop(engine, None)

    @staticmethod
    def _faded(seen: _Seen, now: float) -> float:
        return seen.delay * max(0.0, 1.0 - (now - seen.at) / SEEN_SECONDS)
