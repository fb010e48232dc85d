"""What one entry has to tell the others of its work at the engines of one service."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from bilberryplank_core._peer_work import MAX_PLACEMENTS, EngineWork, Placement
from bilberryplank_core._queueing_delays import Urgency

Request = tuple[str, Urgency, int]
"""Engine and urgency of a request, and its tokens that wait to be read."""


class OwnWork:
    """Gathers what changed since the last notice."""

    __slots__ = ("_placed", "_told")

    def __init__(self) -> None:
        self._placed: deque[Placement] = deque(maxlen=MAX_PLACEMENTS)
        self._told: dict[str, EngineWork] = {}

    def placed(self, upstream: str, keys: list[tuple[str, int]]) -> None:
        """Takes in that a request was sent.

        Args:
            upstream: The engine.
            keys: Keys and tokens of the parts of its prompt; the last is its own.
        """
        if keys:
            self._placed.append(Placement(upstream, keys[-1][1], tuple(keys[:-1])))

    def changes(
        self, requests: Iterable[Request]
    ) -> tuple[dict[str, EngineWork], tuple[Placement, ...]] | None:
        """Returns the work at each engine and the placements to tell; None where nothing changed.

        Args:
            requests: Requests that the entry has at engines.
        """
        work = _by_engine(requests)
        if not work and not self._told and not self._placed:
            return None
        self._told = work
        placements = tuple(self._placed)
        self._placed.clear()
        return work, placements


def _by_engine(requests: Iterable[Request]) -> dict[str, EngineWork]:
    counts: Counter[str] = Counter()
    prefill_tokens: dict[str, Counter[Urgency]] = {}
    for upstream, urgency, tokens in requests:
        counts[upstream] += 1
        if tokens:
            prefill_tokens.setdefault(upstream, Counter())[urgency] += tokens
    return {
        name: EngineWork(count, tuple(prefill_tokens.get(name, {}).items()))
        for name, count in counts.items()
    }
