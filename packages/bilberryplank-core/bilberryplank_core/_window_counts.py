"""Requests that began to run, by organisation and window of true time.

Load pattern: the time of day jumps on some hosts; processes end within a window.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bilberryplank_core._errors import PlatformUnavailable

SEAL_DELAY_SECONDS = 2.5
"""A window is summed this long after its end, when entries in touch have stored their counts."""

REPORT_MARGIN_SECONDS = 2.0
"""Time kept for the report itself, some failed calls included."""

MIN_FLUSH_PAUSE_SECONDS = 0.05
"""Bounds the calls where a clock is read a moment before the time that was waited for."""


class WindowCounts:
    """Counts of one process that are not yet stored.

    Args:
        window: Length of a window in seconds.
    """

    __slots__ = ("_counts", "_dirty", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._counts: dict[int, Counter[str]] = {}
        self._dirty: set[int] = set()

    def add(self, organisation: str, fleet_time: float) -> None:
        """Counts a request that began at `fleet_time`, in seconds since 1970."""
        number = self.number_at(fleet_time)
        self._counts.setdefault(number, Counter())[organisation] += 1
        self._dirty.add(number)

    def number_at(self, now: float) -> int:
        """Returns the number of the window that runs at `now`, in true time."""
        return int(now // self._window)

    def unsaved(self) -> list[int]:
        """Returns the windows whose counts changed since they were stored, the oldest first."""
        return sorted(self._dirty)

    def unsaved_ended(self, now: float) -> list[int]:
        """Returns those of the unsaved windows that have ended at `now`, in true time."""
        return [number for number in self.unsaved() if number < self.number_at(now)]

    def counts_in(self, number: int) -> dict[str, int]:
        """Returns the counts of a window so far."""
        return dict(self._counts.get(number, ()))

    def mark_saved(self, number: int, value: dict[str, int]) -> None:
        """Takes in that the store has a window's counts."""
        if self.counts_in(number) == value:
            self._dirty.discard(number)

    def seconds_until_flush(self, now: float, interval: float, offset: float) -> float:
        """Returns the seconds until the counts should be stored next.

        That is `offset` seconds after each window's end, so that its counts are there before it is
        summed, and at intervals within the window, so that little is lost with the process.

        Args:
            now: True time in seconds since 1970.
            interval: Longest time in seconds between two flushes.
            offset: Seconds by which this process is behind, which spreads the calls.
        """
        into = (now - offset) % self._window
        following = (int(into / interval) + 1) * interval
        return max(MIN_FLUSH_PAUSE_SECONDS, min(following, self._window) - into)

    def forget_before(self, number: int) -> None:
        """Drops what is older than a window."""
        for each in [old for old in self._counts if old < number]:
            del self._counts[each]
            self._dirty.discard(each)


def sum_counts(values: Iterable[Any]) -> dict[str, int]:
    """Returns the sums of the counts that processes stored for one window."""
    total: Counter[str] = Counter()
    for value in values:
        if isinstance(value, dict):
            total.update({name: n for name, n in value.items() if isinstance(n, int)})
    return {name: total[name] for name in sorted(total)}


def may_seal(age: float, deadline: float, present: set[str], expected: set[str]) -> bool:
    """Returns True where a window should be summed now.

    A process that is cut off from the store stores its counts late, so the sum waits for all that
    stored counts for the windows before, as long as the report can still be in time.

    Args:
        age: Seconds since the window's end.
        deadline: Seconds after the end within which the report is due.
        present: Processes that stored counts for this window.
        expected: Processes that stored counts for the windows before.
    """
    if age < SEAL_DELAY_SECONDS:
        return False
    return expected <= present or age >= deadline - REPORT_MARGIN_SECONDS


CLOCK_DRIFT_RATE = 200e-6
"""Seconds by which two steady clocks may move apart in a second; twice what crystals are rated."""


class FleetClock:
    """True time from the store's steady clock, so that jumps of the host's clock change nothing.

    The first process of a fleet writes down how far the store's clock is from the time of day;
    all others use that figure.

    Args:
        clock: Seconds that go on while the host is suspended.
    """

    __slots__ = ("_clock", "_observed_at", "_offset", "_round_trip", "_store_ahead")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._store_ahead: float | None = None
        self._round_trip = float("inf")
        self._observed_at = 0.0
        self._offset: float | None = None

    def record_answer(self, store_time: float, sent_at: float, got_at: float) -> None:
        """Takes in the store's clock from one answer; the quickest answer is the most exact."""
        if got_at - sent_at <= self._uncertainty(got_at):
            self._round_trip = got_at - sent_at
            self._observed_at = got_at
            self._store_ahead = store_time - (sent_at + got_at) / 2

    def to_local(self, store_time: float, sent_at: float, got_at: float) -> float:
        """Returns when the store's clock showed a time, on the clock of this process.

        Args:
            store_time: What an answer told, in seconds.
            sent_at: When its call was sent; returned where the store's clock makes no sense.
            got_at: When the answer was here.
        """
        if self._store_ahead is None:
            return sent_at
        told = store_time - self._store_ahead - self._uncertainty(got_at) / 2
        return told if sent_at <= told <= got_at else sent_at

    def earliest_local(self, store_time: float) -> float | None:
        """Returns when the store's clock showed a time, at the earliest, on this process's clock.

        None where the store's clock is not known yet, or the time is still to come.
        """
        if self._store_ahead is None:
            return None
        now = self._clock()
        earliest = store_time - self._store_ahead - self._uncertainty(now)
        return earliest if earliest <= now else None

    def _uncertainty(self, now: float) -> float:
        return self._round_trip + CLOCK_DRIFT_RATE * (now - self._observed_at)

    def store_time(self) -> float:
        """Returns the store's clock in seconds.

        Raises:
            PlatformUnavailable: The store has not told its clock yet.
        """
        if self._store_ahead is None:
            raise PlatformUnavailable("the store has not told its clock yet")
        return self._clock() + self._store_ahead

    def set_offset(self, offset: float) -> None:
        """Takes in the fleet's figure of true time less the store's clock, in seconds."""
        self._offset = offset

    def now(self) -> float | None:
        """Returns seconds since 1970; None before the figure is known."""
        if self._store_ahead is None or self._offset is None:
            return None
        return self._clock() + self._store_ahead + self._offset


@dataclass(slots=True, frozen=True)
class WindowSeal:
    """Figures of a window, fixed before the first report of them is sent.

    Attributes:
        counts: Requests by organisation.
        reported: True once the platform took them.
    """

    counts: dict[str, int]
    reported: bool = False

    def to_value(self) -> dict[str, Any]:
        """Returns the row's JSON value."""
        return {"counts": self.counts, "reported": self.reported}


def read_seal(value: Any) -> WindowSeal:
    """Returns the seal in a row's JSON value."""
    return WindowSeal(dict(value["counts"]), bool(value["reported"]))
