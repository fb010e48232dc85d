"""Seals of usage windows, remembered for the case that the store forgets them.

A window is reported with the counts of its seal, for ever: the platform takes no other counts for
it. A store that comes back from an older copy may lack seals, so processes remember those that they
made and heard of, and write them back. A window whose seal may be forgotten and is remembered by
nobody is given up, as its counts may differ from those reported.

Motivating load: a store that is restored between the report of a window and its next copy.
"""

from __future__ import annotations

from collections.abc import Mapping

from bilberryplank_core._errors import BilberryplankError
from bilberryplank_core._window_counts import SEAL_DELAY_SECONDS, WindowSeal

CLOCK_DIFFERENCE_SECONDS = 0.5
"""Difference between the fleet's time as two processes know it, far above a round trip's half."""


class WindowGivenUp(BilberryplankError):
    """A window is not reported, as it may have been reported with other counts."""

    code = "window_given_up"


class SealMemory:
    """Seals of windows that this process made, read or heard of."""

    __slots__ = ("_seals",)

    def __init__(self) -> None:
        self._seals: dict[int, WindowSeal] = {}

    def remember(self, number: int, seal: WindowSeal) -> bool:
        """Remembers a seal; returns False if one with other counts is remembered."""
        known = self._seals.get(number, seal)
        if known.counts != seal.counts:
            return False
        self._seals[number] = WindowSeal(dict(seal.counts), seal.reported or known.reported)
        return True

    def get(self, number: int) -> WindowSeal | None:
        """Returns the seal of a window; None if none is remembered."""
        return self._seals.get(number)

    def lacking(self, stored: Mapping[int, WindowSeal]) -> dict[int, WindowSeal]:
        """Returns the seals that the store lacks, or has without the mark of their report.

        Args:
            stored: The store's seals by window.
        """
        return {
            number: seal
            for number, seal in sorted(self._seals.items())
            if number not in stored or (seal.reported and stored[number] == WindowSeal(seal.counts))
        }

    def forget_before(self, number: int) -> None:
        """Drops the seals of all windows before a window."""
        for old in [old for old in self._seals if old < number]:
            del self._seals[old]


def seal_may_be_forgotten(end: float, opened_at: float, sole_since: float) -> bool:
    """Returns whether a window may have been sealed in an earlier era by another process.

    Args:
        end: End of the window in seconds since 1970.
        opened_at: When the present era began at the latest, in seconds since 1970.
        sole_since: Since when no other process has held the lease, in seconds since 1970.
    """
    earliest_seal = end + SEAL_DELAY_SECONDS - CLOCK_DIFFERENCE_SECONDS
    return earliest_seal < min(opened_at, sole_since)
