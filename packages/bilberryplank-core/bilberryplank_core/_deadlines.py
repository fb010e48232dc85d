"""Finds the queued requests that have expired, by a heap of their latest start times."""

from __future__ import annotations

import heapq

from bilberryplank_core._messages import AttemptId
from bilberryplank_core._queue_types import QueuedRequest

MIN_STALE_ENTRIES = 64
"""The heap is not compacted for fewer stale entries than this."""


class DeadlineHeap:
    """Heap of the latest times at which queued requests may still start.

    Entries of requests that left the queue are stale. They are removed when they reach the top, or
    all at once when they outnumber the others.
    """

    __slots__ = ("_heap", "_sequence", "_waiting")

    def __init__(self, waiting: dict[AttemptId, QueuedRequest]) -> None:
        """Keeps a reference to the queue's index of queued requests, and reads it."""
        self._waiting = waiting
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = 0

    def push(self, req: QueuedRequest, latest_start: float) -> None:
        """Adds a queued request."""
        self._sequence += 1
        heapq.heappush(self._heap, (latest_start, self._sequence, req))
        if len(self._heap) > 2 * len(self._waiting) + MIN_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if self._is_waiting(entry[2])]
            heapq.heapify(self._heap)

    def next(self) -> float | None:
        """Returns the earliest of the latest start times, or None if nothing is queued."""
        while self._heap and not self._is_waiting(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[QueuedRequest]:
        """Removes and returns the queued requests whose latest start time has passed."""
        due = []
        while (time := self.next()) is not None and time <= now:
            due.append(heapq.heappop(self._heap)[2])
        return due

    def _is_waiting(self, req: QueuedRequest) -> bool:
        return self._waiting.get(req.attempt) is req
