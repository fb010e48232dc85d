"""High-water mark of the configuration's version, in a row of the store.

A store that came back from an older copy may lack the newest configuration until the operator has
written it again. Its copy does not show that anything is missing, so a process that has no newer
version to compare with would take the copy's for the newest. Entries that know a newer one write
its number into the row. A version that was in force is never taken back, so it holds in every era.

Entries that are cut off from the store when it returns write the number later. So the row is read
again at growing intervals after a restore.

Motivating load: a key is withdrawn, the store comes back from a copy made before, and entries start
before the operator has written again.
"""

from __future__ import annotations

from typing import Any

from bilberryplank_core._checked_values import MAX_SAFE_INTEGER, ValueInvalid, check_whole

MARK_TABLE = "configuration-marks"
MARK_KEY = "newest"

CHECK_DELAYS_SECONDS = (0.0, 1.0, 3.0, 7.0, 15.0, 31.0)
"""Times of the reads after a restore, counted from the end of the doubt about the copy."""


def mark_value(version: int) -> dict[str, int]:
    """Returns the row that tells of a version."""
    return {"version": version}


def read_mark(value: Any) -> int:
    """Returns the version of which a row tells.

    Raises:
        ValueInvalid: The row tells of none.
    """
    if not isinstance(value, dict):
        raise ValueInvalid("the mark is not an object")
    return check_whole(value.get("version"), "the version", most=MAX_SAFE_INTEGER)


class MarkChecks:
    """When the row is to be read after a restore."""

    __slots__ = ("_begins_at", "_due")

    def __init__(self) -> None:
        self._begins_at = float("-inf")
        self._due: list[float] = []

    def begin(self, at: float) -> None:
        """Has the row read at a time and at growing intervals after it, if that is news."""
        if at > self._begins_at:
            self._begins_at = at
            self._due = [at + delay for delay in CHECK_DELAYS_SECONDS]

    def is_due(self, now: float) -> bool:
        """Returns True if the row must be read before the store confirms a configuration."""
        return bool(self._due) and now >= self._due[0]

    def record(self, read_at: float) -> None:
        """Records a read that was sent at a time."""
        self._due = [each for each in self._due if each > read_at]
