"""Collects the content of the peer notices about one entry's outstanding work at engines."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from bilberryplank_core.engines._peer_work import MAX_PLACEMENTS, EngineWork, Placement
from bilberryplank_core.engines._queueing_delays import Urgency

OutstandingRequest = tuple[str, Urgency, int]
"""Engine and urgency of a request, and its tokens that still wait for prefill."""


class OwnWork:
    """Collects the changes since the last notice."""

    __slots__ = ("_placements", "_reported")

    def __init__(self) -> None:
        self._placements: deque[Placement] = deque(maxlen=MAX_PLACEMENTS)
        self._reported: dict[str, EngineWork] = {}

    def record_placement(self, upstream: str, keys: list[tuple[str, int]]) -> None:
        """Records that a request was sent.

        Args:
            upstream: The engine.
            keys: Keys and tokens of the segments of its prompt; the last is unshared.
        """
        if keys:
            self._placements.append(Placement(upstream, keys[-1][1], tuple(keys[:-1])))

    def take_changes(
        self, requests: Iterable[OutstandingRequest]
    ) -> tuple[dict[str, EngineWork], tuple[Placement, ...]] | None:
        """Returns the work at each engine and the new placements; None where nothing changed.

        Args:
            requests: The entry's requests at engines.
        """
        work = _by_engine(requests)
        if not work and not self._reported and not self._placements:
            return None
        self._reported = work
        placements = tuple(self._placements)
        self._placements.clear()
        return work, placements


def _by_engine(requests: Iterable[OutstandingRequest]) -> dict[str, EngineWork]:
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
