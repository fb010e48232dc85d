"""Journal of recent decisions, by which a process explains what became of a request."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

DEFAULT_CAPACITY = 8192
MAX_REQUEST_CHARS = 128
MAX_DETAIL_CHARS = 200


class DecisionStep(Enum):
    """A step in the life of a request."""

    CLASSIFIED = "classified"
    CHOSEN = "chosen"
    DISPATCHED = "dispatched"
    QUEUED = "queued"
    STARTED = "started"
    NOT_RUN = "not_run"
    FAILED = "failed"
    SETTLED = "settled"
    RETRIED = "retried"
    RESUMED = "resumed"
    PREEMPTED = "preempted"
    CANCELLED = "cancelled"
    REPLAYED = "replayed"
    REFUSED = "refused"
    ANSWERED = "answered"


@dataclass(slots=True, frozen=True)
class Decision:
    """One decision about a request.

    Attributes:
        request: Request id.
        at: Wall-clock time, seconds since 1970; for people only.
        process: Name of the process that decided.
        step: What was decided.
        detail: Why, in short; holds no key and no text of the request.
    """

    request: str
    at: float
    process: str
    step: DecisionStep
    detail: str


class DecisionJournal:
    """The last decisions of one process, found by request id; the oldest go first."""

    __slots__ = ("_by_request", "_capacity", "_clock", "_process", "_ring")

    def __init__(
        self,
        capacity: int = DEFAULT_CAPACITY,
        process: str = "",
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._capacity = capacity
        self._process = process
        self._clock = clock
        self._ring: deque[Decision] = deque()
        self._by_request: dict[str, deque[Decision]] = {}

    def __len__(self) -> int:
        return len(self._ring)

    def record(self, request: str, step: DecisionStep, detail: str = "") -> None:
        """Adds a decision; the oldest one goes where the journal is full."""
        request = request[:MAX_REQUEST_CHARS]
        detail = detail[:MAX_DETAIL_CHARS]
        if len(self._ring) >= self._capacity:
            self._drop_oldest()
        decision = Decision(request, self._clock(), self._process, step, detail)
        self._ring.append(decision)
        self._by_request.setdefault(request, deque()).append(decision)

    def explain(self, request: str) -> list[Decision]:
        """Returns the decisions about a request that are still held, oldest first."""
        return list(self._by_request.get(request[:MAX_REQUEST_CHARS], ()))

    def _drop_oldest(self) -> None:
        oldest = self._ring.popleft()
        kept = self._by_request[oldest.request]
        kept.popleft()
        if not kept:
            del self._by_request[oldest.request]
