"""Order of the parts of one attempt's answer."""

from __future__ import annotations

from bilberryplank_core._messages import Body, End

MAX_WAITING_PARTS = 1024


class PartOrder:
    """Releases parts in sequence without gaps; doubled ones are dropped.

    Attributes:
        doubled: Parts that came again.
        overflowed: True once too many parts waited for a missing one.
    """

    __slots__ = ("_end", "_next", "_waiting", "doubled", "overflowed")

    def __init__(self) -> None:
        self._next = 0
        self._waiting: dict[int, bytes] = {}
        self._end: End | None = None
        self.doubled = 0
        self.overflowed = False

    @property
    def end(self) -> End | None:
        """The end of the answer, once every part before it was released."""
        whole = self._end is not None and self._next >= self._end.parts
        return self._end if whole else None

    def add(self, part: Body) -> list[bytes]:
        """Returns what can be released, in order."""
        if part.sequence < self._next or part.sequence in self._waiting:
            self.doubled += 1
            return []
        if len(self._waiting) >= MAX_WAITING_PARTS and part.sequence != self._next:
            self.overflowed = True
            return []
        self._waiting[part.sequence] = part.data
        return self._release()

    def close(self, end: End) -> None:
        """Takes the end, which may overtake parts."""
        if self._end is not None:
            self.doubled += 1
            return
        self._end = end

    def _release(self) -> list[bytes]:
        released = []
        while self._next in self._waiting:
            released.append(self._waiting.pop(self._next))
            self._next += 1
        return released
