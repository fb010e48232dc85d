"""Hashes of attempts whose records are gone, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

from bilberryplank_core._messages import AttemptId

MAX_CLOUDED_EPOCHS = 4096
"""Entry epochs of which something was forgotten; beyond them every unknown id is in doubt."""


class AttemptMarks:
    """Tells attempts that never arrived from those that may have run.

    A hash that two attempts share makes one of them doubtful, which is safe.
    """

    __slots__ = ("_all_clouded", "_closed", "_clouded", "_lost", "_max_marks")

    def __init__(self, max_marks: int) -> None:
        self._max_marks = max_marks
        self._lost: OrderedDict[int, int] = OrderedDict()
        self._closed: OrderedDict[int, None] = OrderedDict()
        self._clouded: set[int] = set()
        self._all_clouded = False

    def __contains__(self, attempt: AttemptId) -> bool:
        return hash(attempt) in self._lost or hash(attempt) in self._closed

    def may_have_run(self, attempt: AttemptId) -> bool:
        """Returns whether an attempt without a record may have run."""
        if self._all_clouded or hash(attempt.epoch) in self._clouded:
            return True
        return attempt in self

    def lose(self, attempt: AttemptId) -> None:
        """Marks an attempt that may have run, and about which its entry may ask.

        Where such marks overflow, the entry epoch of the oldest is clouded from then on.
        """
        self._lost[hash(attempt)] = hash(attempt.epoch)
        if len(self._lost) > self._max_marks:
            self._clouded.add(self._lost.popitem(last=False)[1])
        if len(self._clouded) > MAX_CLOUDED_EPOCHS:
            self._all_clouded = True
            self._clouded.clear()

    def close(self, attempt: AttemptId) -> None:
        """Marks an attempt about which nobody asks, so that a doubled `Dispatch` does not run.

        The oldest of these may go without harm to what is sworn.
        """
        self._lost.pop(hash(attempt), None)
        self._closed[hash(attempt)] = None
        if len(self._closed) > self._max_marks:
            self._closed.popitem(last=False)
