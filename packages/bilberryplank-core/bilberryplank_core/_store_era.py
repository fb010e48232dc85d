"""Eras of a store that may come back from an older copy of itself.

A store counts its restores: the number of its era rises by one with each. What it acknowledged in
an earlier era may be gone, and it may give out revisions of that era again for other content. So
a revision means something only within one era, and so does the outcome of a call that was sent in
one era and answered in another.

Conditional writes are tied to an era by a row with the era's number as its key. The first process
that learns of an era writes that row and deletes those of earlier eras, so a write of an earlier
era that the store performs late finds its condition violated.

Motivating load: a store that is restored while all entries run.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bilberryplank_core._contracts import Condition
from bilberryplank_core._errors import PlatformUnavailable

ERA_TABLE = "store-eras"

FENCES_PER_ERA = 1_000_000
"""Fencing tokens of one era. Those of the next are higher, whatever grants the store forgot."""


class EraChanged(PlatformUnavailable):
    """A call was sent in one era of the store and answered in another; its outcome is unknown."""

    code = "era_changed"


@dataclass(slots=True, frozen=True)
class EraOpening:
    """The row that was written when the first process learnt of an era.

    Attributes:
        era: Number of the era.
        revision: Revision of the row.
        opened_at: Time of the write in seconds on the store's clock. The restore was before it.
        is_first: True if no earlier era was known, so that nothing can be missing.
    """

    era: int
    revision: int
    opened_at: float
    is_first: bool = False

    @property
    def condition(self) -> Condition:
        """Condition that fails in every other era."""
        return Condition(ERA_TABLE, era_key(self.era), self.revision)


class EraTracker:
    """Tracks the era of the store from its answers.

    Attributes:
        current: The latest era; None before the first answer, and for a store without eras.
        has_changed: True once an era has replaced another.
    """

    __slots__ = ("_listeners", "current", "has_changed")

    def __init__(self) -> None:
        self.current: int | None = None
        self.has_changed = False
        self._listeners: list[Callable[[int], None]] = []

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Has `listener` called with the number of each era that replaces another."""
        self._listeners.append(listener)

    def record_answer(self, sent_in: int | None, era: int | None) -> None:
        """Records the era of an answer.

        Args:
            sent_in: Value of `current` when the call was sent.
            era: Era that the answer carries; None if it carries none.

        Raises:
            EraChanged: The answer belongs to another era than its call, or to an earlier one.
        """
        if era is None:
            return
        if self.current is not None and era < self.current:
            raise EraChanged(f"an answer of era {era} arrived in era {self.current}")
        previous, self.current = self.current, era
        if previous is not None and era != previous:
            self.has_changed = True
            for listener in self._listeners:
                listener(era)
        if sent_in is not None and era != sent_in:
            raise EraChanged(f"a call of era {sent_in} was answered in era {era}")


def era_key(era: int) -> str:
    """Returns the key of an era's row."""
    return f"{era:012d}"


def next_fence(era: int | None, previous: int) -> int:
    """Returns the fencing token of the next grant in an era.

    Args:
        era: Number of the era; None for a store without eras.
        previous: Token in the lease's row, which may be of an earlier era; 0 without one.
    """
    return max(previous, (era or 0) * FENCES_PER_ERA) + 1


def era_of_fence(fence: int) -> int:
    """Returns the era in which a fencing token was given out."""
    return fence // FENCES_PER_ERA
