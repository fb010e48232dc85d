"""Hashes of attempts whose records were dropped, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict

from bilberryplank_core._messages import AttemptId

MAX_UNDECIDABLE_EPOCHS = 4096
"""Entry epochs of which a hash was dropped; beyond this number every epoch is undecidable."""


class ForgottenAttempts:
    """Distinguishes attempts that never arrived from those that may have run.

    A hash collision can only make an attempt that never arrived count as one that may have run,
    which is safe.

    Args:
        max_forgotten: Limit on the hashes of each kind: unacknowledged, and closed.
    """

    __slots__ = (
        "_all_epochs_undecidable",
        "_closed",
        "_undecidable_epochs",
        "_unacknowledged",
        "_max_forgotten",
    )

    def __init__(self, max_forgotten: int) -> None:
        self._max_forgotten = max_forgotten
        self._unacknowledged: OrderedDict[int, int] = OrderedDict()
        self._closed: OrderedDict[int, None] = OrderedDict()
        self._undecidable_epochs: set[int] = set()
        self._all_epochs_undecidable = False

    def __contains__(self, attempt: AttemptId) -> bool:
        return hash(attempt) in self._unacknowledged or hash(attempt) in self._closed

    def may_have_run(self, attempt: AttemptId) -> bool:
        """Returns whether an attempt without a record may have run."""
        if self._all_epochs_undecidable or hash(attempt.epoch) in self._undecidable_epochs:
            return True
        return attempt in self

    def add_may_have_run(self, attempt: AttemptId) -> None:
        """Adds an attempt that may have run, and about which its entry may still ask.

        When these overflow, the entry epoch of the oldest becomes undecidable.
        """
        self._unacknowledged[hash(attempt)] = hash(attempt.epoch)
        if len(self._unacknowledged) > self._max_forgotten:
            self._undecidable_epochs.add(self._unacknowledged.popitem(last=False)[1])
        if len(self._undecidable_epochs) > MAX_UNDECIDABLE_EPOCHS:
            self._all_epochs_undecidable = True
            self._undecidable_epochs.clear()

    def add_closed(self, attempt: AttemptId) -> None:
        """Adds an attempt about which no entry asks, so that a duplicate `Dispatch` does not run.

        The oldest of these may be dropped: no `NotRun` answer depends on them.
        """
        self._unacknowledged.pop(hash(attempt), None)
        self._closed[hash(attempt)] = None
        if len(self._closed) > self._max_forgotten:
            self._closed.popitem(last=False)
