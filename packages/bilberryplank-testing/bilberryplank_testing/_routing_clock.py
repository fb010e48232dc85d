"""Virtual time: callbacks run in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualClock:
    """A clock that jumps from event to event.

    Attributes:
        now: Current time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0

    def at(self, when: float, callback: Callable[[], object]) -> None:
        """Runs the callback at a time, or at once where that has passed."""
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, callback))

    def run(self, until: float) -> None:
        """Runs what is due before a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until
