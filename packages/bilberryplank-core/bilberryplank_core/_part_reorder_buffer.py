"""Reorder buffer for the parts of one attempt's answer."""

from __future__ import annotations

from bilberryplank_core._messages import Body, End

MAX_PENDING_PARTS = 1024


class PartReorderBuffer:
    """Releases parts in sequence without gaps; duplicates are dropped.

    Attributes:
        duplicates: Number of dropped duplicates.
        overflowed: True once too many parts had to wait for a missing one.
    """

    __slots__ = ("_end", "_next", "_pending", "duplicates", "overflowed")

    def __init__(self) -> None:
        self._next = 0
        self._pending: dict[int, bytes] = {}
        self._end: End | None = None
        self.duplicates = 0
        self.overflowed = False

    @property
    def end(self) -> End | None:
        """The end of the answer; None until every part before it has been released."""
        complete = self._end is not None and self._next >= self._end.parts
        return self._end if complete else None

    def add(self, part: Body) -> list[bytes]:
        """Adds a part and returns the parts that can be released, in order."""
        if part.sequence < self._next or part.sequence in self._pending:
            self.duplicates += 1
            return []
        if len(self._pending) >= MAX_PENDING_PARTS and part.sequence != self._next:
            self.overflowed = True
            return []
        self._pending[part.sequence] = part.data
        return self._release()

    def close(self, end: End) -> None:
        """Records the end, which may arrive before some of the parts."""
        if self._end is not None:
            self.duplicates += 1
            return
        self._end = end

    def _release(self) -> list[bytes]:
        released = []
        while self._next in self._pending:
            released.append(self._pending.pop(self._next))
            self._next += 1
        return released
