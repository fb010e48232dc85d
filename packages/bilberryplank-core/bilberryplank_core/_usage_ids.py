"""Ids of the usage records that were counted, as ranges of numbers for each entry's epoch."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MAX_RANGE_BOUNDS = 1024


class IdStatus(Enum):
    """Whether the record with an id was counted before."""

    NEW = "new"
    REPEATED = "repeated"
    UNDECIDABLE = "undecidable"


@dataclass(slots=True)
class NumberRanges:
    """A set of numbers, kept as half-open ranges.

    Attributes:
        bounds: `[start, end, start, end, ...]`, increasing.
        floor: Numbers below it are no longer tracked.
        last_seen: When a number, new or repeated, last arrived, in seconds since 1970.
    """

    bounds: list[int] = field(default_factory=list)
    floor: int = 0
    last_seen: int = 0

    def add(self, number: int) -> IdStatus:
        """Adds a number and returns whether it was in the set before."""
        if number < self.floor:
            return IdStatus.UNDECIDABLE
        index = bisect_right(self.bounds, number)
        if index % 2:
            return IdStatus.REPEATED
        ends_before = index > 0 and self.bounds[index - 1] == number
        starts_after = index < len(self.bounds) and self.bounds[index] == number + 1
        match ends_before, starts_after:
            case True, True:
                del self.bounds[index - 1 : index + 1]
            case True, False:
                self.bounds[index - 1] = number + 1
            case False, True:
                self.bounds[index] = number
            case _:
                self.bounds[index:index] = (number, number + 1)
        self._drop_oldest_range()
        return IdStatus.NEW

    def _drop_oldest_range(self) -> None:
        if len(self.bounds) > MAX_RANGE_BOUNDS:
            self.floor = self.bounds[1]
            del self.bounds[:2]


class CountedIds:
    """The ids of records that were counted, by epoch.

    Attributes:
        forgotten_before: Seconds since 1970. A record that finished before it, of an epoch that is
            not tracked, may or may not have been counted.
    """

    __slots__ = ("_epochs", "forgotten_before")

    def __init__(self, epochs: dict[str, NumberRanges], forgotten_before: int = 0) -> None:
        self._epochs = epochs
        self.forgotten_before = forgotten_before

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> CountedIds:
        """Returns the ids that a JSON value holds."""
        epochs = {
            epoch: NumberRanges(list(bounds), floor, last_seen)
            for epoch, (bounds, floor, last_seen) in value["epochs"].items()
        }
        return cls(epochs, value["forgotten_before"])

    def to_value(self) -> dict[str, Any]:
        """Returns the ids as a JSON value."""
        epochs = {
            epoch: [list(ranges.bounds), ranges.floor, ranges.last_seen]
            for epoch, ranges in self._epochs.items()
        }
        return {"epochs": epochs, "forgotten_before": self.forgotten_before}

    def add(self, epoch: str, number: int, finished: float, now: int) -> IdStatus:
        """Adds an id and returns whether it was counted before.

        Args:
            epoch: Epoch of the entry that received the request.
            number: Number of the request within the epoch.
            finished: When the request finished, in seconds since 1970.
            now: Current time in seconds since 1970.
        """
        ranges = self._epochs.get(epoch)
        if ranges is None:
            if finished < self.forgotten_before:
                return IdStatus.UNDECIDABLE
            ranges = self._epochs[epoch] = NumberRanges()
        ranges.last_seen = now
        return ranges.add(number)

    def forget_idle(self, before: int) -> None:
        """Drops epochs from which no id arrived since `before`, in seconds since 1970."""
        idle = [epoch for epoch, ranges in self._epochs.items() if ranges.last_seen < before]
        for epoch in idle:
            del self._epochs[epoch]
        if idle:
            self.forgotten_before = before
