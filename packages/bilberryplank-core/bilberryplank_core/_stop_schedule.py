"""Decides what a stopping entry still takes on, and when all of its callers must have an answer.

A process that is told to stop is killed some time later. A request that it still works on then
ends without an answer, and its caller cannot know whether it ran. Refused as not run, the request
is served by another entry at once. So a stopping entry begins only work that should end before
its answers are due, and what still runs then is answered with what is known of it.

Motivating load: a planned stop of one entry, with requests that take longer than the stop may.
"""

from __future__ import annotations

import math


class StopSchedule:
    """The times of one stop, on any one clock in seconds."""

    __slots__ = ("_answers_due", "_began", "_strict_from")

    def __init__(self) -> None:
        self._began = self._strict_from = self._answers_due = math.inf

    @property
    def answers_due(self) -> float:
        """When each caller must have a final answer; infinite before a stop."""
        return self._answers_due

    @property
    def strict_from(self) -> float:
        """From when on new requests must be sure to end in time; infinite before a stop."""
        return self._strict_from

    def begin(self, now: float, lame_duck: float, drain_timeout: float) -> None:
        """Begins the stop; a second one changes nothing.

        Args:
            now: When the process was told to stop.
            lame_duck: Seconds in which new requests are taken that should end in time.
            drain_timeout: Seconds after that until answers are due.
        """
        if self._began < math.inf:
            return
        self._began = now
        self._strict_from = now + lame_duck
        self._answers_due = self._strict_from + drain_timeout

    def age(self, now: float) -> float | None:
        """Returns the seconds since the stop began; None before."""
        return None if self._began == math.inf else now - self._began

    def may_take(self, now: float, limit: float) -> bool:
        """Returns True where a new request is taken.

        Args:
            now: The time.
            limit: Seconds after which the request ends in any case.
        """
        return now < self._strict_from or now + limit <= self._answers_due

    def may_begin(self, now: float, expected: float, limit: float, may_refuse: bool) -> bool:
        """Returns True where an attempt may begin.

        An estimate suffices for a while. A request that has not run by then must be sure to
        end.

        Args:
            now: The time.
            expected: Seconds that the attempt should take.
            limit: Seconds after which the request ends in any case.
            may_refuse: True where no upstream has run the request, so that another entry can.
        """
        is_late = may_refuse and now >= self._strict_from
        seconds = limit if is_late else min(expected, limit)
        return now + seconds <= self._answers_due
