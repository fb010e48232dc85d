"""Which usage records were counted: a few ranges of numbers for each entry's epoch."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MAX_RANGE_BOUNDS = 1024


class Counted(Enum):
    """What is known of an id that arrives."""

    NEW = "new"
    REPEATED = "repeated"
    UNDECIDABLE = "undecidable"


@dataclass(slots=True)
class NumberRanges:
    """A set of numbers as half-open ranges.

    Attributes:
        bounds: `[start, end, start, end, ...]`, increasing.
        floor: Numbers below it were forgotten.
        touched: Seconds since 1970 at which a number was last added.
    """

    bounds: list[int] = field(default_factory=list)
    floor: int = 0
    touched: int = 0

    def add(self, number: int) -> Counted:
        """Adds a number and returns what was known of it."""
        if number < self.floor:
            return Counted.UNDECIDABLE
        place = bisect_right(self.bounds, number)
        if place % 2:
            return Counted.REPEATED
        ends_before = place > 0 and self.bounds[place - 1] == number
        starts_after = place < len(self.bounds) and self.bounds[place] == number + 1
        match ends_before, starts_after:
            case True, True:
                del self.bounds[place - 1 : place + 1]
            case True, False:
                self.bounds[place - 1] = number + 1
            case False, True:
                self.bounds[place] = number
            case _:
                self.bounds[place:place] = (number, number + 1)
        self._forget()
        return Counted.NEW

    def _forget(self) -> None:
        if len(self.bounds) > MAX_RANGE_BOUNDS:
            self.floor = self.bounds[1]
            del self.bounds[:2]


class CountedIds:
    """The ids of records that were counted, by epoch.

    Attributes:
        forgotten_before: Records that finished before it, in seconds since 1970, and whose epoch
            is not known any more cannot be told from repeated ones.
    """

    __slots__ = ("_epochs", "forgotten_before")

    def __init__(self, epochs: dict[str, NumberRanges], forgotten_before: int = 0) -> None:
        self._epochs = epochs
        self.forgotten_before = forgotten_before

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> CountedIds:
        """Returns the ids in a JSON value."""
        epochs = {
            epoch: NumberRanges(list(bounds), floor, touched)
            for epoch, (bounds, floor, touched) in value["epochs"].items()
        }
        return cls(epochs, value["forgotten_before"])

    def to_value(self) -> dict[str, Any]:
        """Returns the ids as a JSON value."""
        epochs = {
            epoch: [list(ranges.bounds), ranges.floor, ranges.touched]
            for epoch, ranges in self._epochs.items()
        }
        return {"epochs": epochs, "forgotten_before": self.forgotten_before}

    def add(self, epoch: str, number: int, finished: float, now: int) -> Counted:
        """Adds an id and returns what was known of it; times in seconds since 1970."""
        ranges = self._epochs.get(epoch)
        if ranges is None:
            if finished < self.forgotten_before:
                return Counted.UNDECIDABLE
            ranges = self._epochs[epoch] = NumberRanges()
        ranges.touched = now
        return ranges.add(number)

    def forget(self, before: int) -> None:
        """Forgets epochs that were not touched since `before`, in seconds since 1970."""
        old = [epoch for epoch, ranges in self._epochs.items() if ranges.touched < before]
        for epoch in old:
            del self._epochs[epoch]
        if old:
            self.forgotten_before = before
