"""Counts started requests by organisation and by window of the fleet's clock.

Motivating load: hosts whose time of day jumps; processes that end within a window.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bilberryplank_core._errors import PlatformError, PlatformUnavailable

SEAL_DELAY_SECONDS = 2.5
"""Delay from a window's end to its finalization, in which entries that reach the store have stored
their counts."""

REPORT_MARGIN_SECONDS = 2.0
"""Time reserved for sending the report, including some failed calls."""

MIN_FLUSH_PAUSE_SECONDS = 0.05
"""Limits the rate of calls when a timer fires slightly early by the fleet's clock."""

MAX_NUMBER_DIGITS = 15
"""Digits of a window's number in a key, beyond any clock."""

MAX_COUNT = 2**53
"""Upper bound of a valid count; JSON numbers are exact up to it."""


class SealInvalid(PlatformError):
    """Raised for the row of a seal that another writer spoiled."""

    code = "seal_invalid"


class WindowCounts:
    """Request counts of one process and which of them are not stored yet.

    Args:
        window: Length of a window in seconds.
    """

    __slots__ = ("_counts", "_dirty", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._counts: dict[int, Counter[str]] = {}
        self._dirty: set[int] = set()

    def add(self, organisation: str, fleet_time: float) -> None:
        """Counts a request that started at `fleet_time`, in seconds since 1970."""
        number = self.number_at(fleet_time)
        self._counts.setdefault(number, Counter())[organisation] += 1
        self._dirty.add(number)

    def number_at(self, now: float) -> int:
        """Returns the number of the current window at `now`, in fleet time."""
        return int(now // self._window)

    def unsaved(self) -> list[int]:
        """Returns the windows whose counts changed since they were last stored, oldest first."""
        return sorted(self._dirty)

    def unsaved_ended(self, now: float) -> list[int]:
        """Returns the unsaved windows that have ended at `now`, in fleet time."""
        return [number for number in self.unsaved() if number < self.number_at(now)]

    def counts_in(self, number: int) -> dict[str, int]:
        """Returns the counts of a window by organisation."""
        return dict(self._counts.get(number, ()))

    def mark_saved(self, number: int, counts: dict[str, int]) -> None:
        """Records that the store has these counts of a window."""
        if self.counts_in(number) == counts:
            self._dirty.discard(number)

    def mark_unsaved(self) -> set[int]:
        """Records that the store may lack the counts of all windows; returns the windows it had."""
        saved = set(self._counts) - self._dirty
        self._dirty.update(saved)
        return saved

    def seconds_until_flush(self, now: float, interval: float, offset: float) -> float:
        """Returns the seconds until the counts should be stored next.

        They are stored `offset` seconds after each window's end, so that they are available before
        the window is finalized, and at intervals within the window, so that a crash loses few.

        Args:
            now: Fleet time in seconds since 1970.
            interval: Longest time in seconds between two flushes.
            offset: Delay of this process in seconds, which spreads the calls of all processes.
        """
        elapsed = (now - offset) % self._window
        next_flush = (int(elapsed / interval) + 1) * interval
        return max(MIN_FLUSH_PAUSE_SECONDS, min(next_flush, self._window) - elapsed)

    def forget_before(self, number: int) -> None:
        """Drops the counts of all windows before a window."""
        for old in [old for old in self._counts if old < number]:
            del self._counts[old]
            self._dirty.discard(old)


def sum_counts(values: Iterable[Any]) -> dict[str, int]:
    """Returns the sum by organisation of the counts that processes stored for one window."""
    total: Counter[str] = Counter()
    for value in values:
        if isinstance(value, dict):
            total.update({name: count for name, count in value.items() if _is_count(count)})
    return {name: total[name] for name in sorted(total)}


def may_seal(age: float, deadline: float, present: set[str], expected: set[str]) -> bool:
    """Returns True if a window should be finalized now.

    A process that is temporarily cut off from the store stores its counts late, so finalization
    waits for all processes that stored counts for earlier windows, as long as the report can still
    meet its deadline.

    Args:
        age: Seconds since the window's end.
        deadline: Seconds from the window's end to the report's deadline.
        present: Processes that stored counts for this window.
        expected: Processes that stored counts for earlier windows.
    """
    if age < SEAL_DELAY_SECONDS:
        return False
    return expected <= present or age >= deadline - REPORT_MARGIN_SECONDS


CLOCK_DRIFT_RATE = 200e-6
"""Drift between two monotonic clocks in seconds per second: twice the rating of crystals."""


class FleetClock:
    """Time of day shared by all entries, derived from the store's monotonic clock.

    Jumps of the host's wall clock have no effect on it. The first process of a fleet stores the
    offset between the time of day and the store's clock; all others use that offset.

    Args:
        clock: Returns seconds on a clock that continues while the host is suspended.
    """

    __slots__ = ("_clock", "_observed_at", "_offset", "_round_trip", "_store_ahead")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._store_ahead: float | None = None
        self._round_trip = float("inf")
        self._observed_at = 0.0
        self._offset: float | None = None

    def record_answer(self, store_time: float, sent_at: float, got_at: float) -> None:
        """Records the store's clock from an answer, unless an earlier one is still more accurate.

        The shortest round trip is the most accurate; clock drift is added to earlier ones.
        """
        if got_at - sent_at <= self._uncertainty(got_at):
            self._round_trip = got_at - sent_at
            self._observed_at = got_at
            self._store_ahead = store_time - (sent_at + got_at) / 2

    def to_local(self, store_time: float, sent_at: float, got_at: float) -> float:
        """Converts a time of the store's clock to the clock of this process.

        Args:
            store_time: Time in an answer, in seconds on the store's clock.
            sent_at: When the call was sent; returned if the store's time is implausible.
            got_at: When the answer was received.
        """
        if self._store_ahead is None:
            return sent_at
        local_time = store_time - self._store_ahead - self._uncertainty(got_at) / 2
        return local_time if sent_at <= local_time <= got_at else sent_at

    def earliest_local(self, store_time: float) -> float | None:
        """Converts a time of the store's clock to the clock of this process, at the earliest.

        Returns None if the store's clock is not known yet, or the time is in the future.
        """
        if self._store_ahead is None:
            return None
        now = self._clock()
        earliest = store_time - self._store_ahead - self._uncertainty(now)
        return earliest if earliest <= now else None

    def _uncertainty(self, now: float) -> float:
        return self._round_trip + CLOCK_DRIFT_RATE * (now - self._observed_at)

    def store_time(self) -> float:
        """Returns the current time of the store's clock in seconds.

        Raises:
            PlatformUnavailable: The store's clock is not known yet.
        """
        if self._store_ahead is None:
            raise PlatformUnavailable("the store's clock is not known yet")
        return self._clock() + self._store_ahead

    @property
    def offset(self) -> float | None:
        """The offset that `set_offset` set, in seconds; None before."""
        return self._offset

    def set_offset(self, offset: float) -> None:
        """Sets the fleet's offset: the time of day minus the store's clock, in seconds."""
        self._offset = offset

    def now(self) -> float | None:
        """Returns seconds since 1970; None before the store's clock and the offset are known."""
        if self._store_ahead is None or self._offset is None:
            return None
        return self._clock() + self._store_ahead + self._offset


@dataclass(slots=True, frozen=True)
class WindowSeal:
    """Counts of a finalized window, stored before its first report is sent.

    Attributes:
        counts: Requests by organisation.
        reported: True once the platform accepted the report.
    """

    counts: dict[str, int]
    reported: bool = False

    def to_value(self) -> dict[str, Any]:
        """Returns the JSON value of the row."""
        return {"counts": self.counts, "reported": self.reported}


def read_seal(value: Any) -> WindowSeal:
    """Returns the seal stored in a row's JSON value.

    Raises:
        SealInvalid: The row holds something else.
    """
    match value:
        case {"counts": dict(counts), "reported": bool(reported)}:
            if all(isinstance(name, str) and _is_count(counts[name]) for name in counts):
                return WindowSeal(dict(counts), reported)
    raise SealInvalid("the row of a seal cannot be read")


def window_of_key(key: str) -> int | None:
    """Returns the number of the window that a row's key begins with; None if there is none."""
    text = key.partition("/")[0]
    return int(text) if len(text) <= MAX_NUMBER_DIGITS and text.isdecimal() else None


def _is_count(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_COUNT
