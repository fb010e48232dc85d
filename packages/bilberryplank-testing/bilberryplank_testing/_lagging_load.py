"""Reports of load that lag."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LoadSample:
    """Load of an engine at one moment, in monotonic seconds."""

    at: float
    running: int
    waiting: int
    kv_used: float


class LaggingLoad:
    """Shows the load of at least `lag` seconds ago."""

    __slots__ = ("_lag", "_samples")

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._samples: deque[LoadSample] = deque([LoadSample(float("-inf"), 0, 0, 0.0)])

    def note(self, sample: LoadSample) -> None:
        """Adds the load that holds from now on."""
        self._samples.append(sample)
        self._forget(sample.at)

    def shown(self, now: float) -> tuple[LoadSample, float]:
        """Returns the shown load and its age in seconds."""
        self._forget(now)
        return self._samples[0], self._lag

    def _forget(self, now: float) -> None:
        while len(self._samples) > 1 and self._samples[1].at <= now - self._lag:
            self._samples.popleft()
