"""What became of the attempts of one request, and the refusal that follows from it."""

from __future__ import annotations

from enum import Enum

from bilberryplank_core._attempt_rules import OVERLOAD_REASONS
from bilberryplank_core._errors import RefusalReason, Refused

NO_UPSTREAM_RETRY_SECONDS = 1.0


class AttemptOutcome(Enum):
    """What is known of an attempt."""

    PENDING = "pending"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class AttemptHistory:
    """Outcomes of attempts, in their order.

    Attributes:
        asked: Names of the upstreams that they were sent to.
    """

    __slots__ = ("_outcomes", "_refusal", "_retry_after", "asked")

    def __init__(self) -> None:
        self.asked: set[str] = set()
        self._outcomes: list[AttemptOutcome] = []
        self._refusal: RefusalReason | None = None
        self._retry_after: float | None = None

    @property
    def count(self) -> int:
        """Number of attempts."""
        return len(self._outcomes)

    @property
    def ran(self) -> int:
        """Number of attempts that may have run."""
        return self._outcomes.count(AttemptOutcome.MAY_HAVE_RUN)

    @property
    def none_ran(self) -> bool:
        """True where no attempt ran or ever will run."""
        return all(outcome is AttemptOutcome.NOT_RUN for outcome in self._outcomes)

    @property
    def refusal(self) -> RefusalReason:
        """The most telling reason for which an upstream did not run an attempt."""
        return self._refusal or RefusalReason.NO_UPSTREAM

    def begin(self, upstream: str) -> None:
        """Adds an attempt."""
        self.asked.add(upstream)
        self._outcomes.append(AttemptOutcome.PENDING)

    def note_not_run(self) -> None:
        """Notes that the last attempt did not run and never will."""
        self._outcomes[-1] = AttemptOutcome.NOT_RUN

    def note_may_have_run(self) -> None:
        """Notes that the last attempt may have run."""
        self._outcomes[-1] = AttemptOutcome.MAY_HAVE_RUN

    def note_expired(self) -> None:
        """Notes that nothing more will be learned of an attempt that is pending."""
        if self._outcomes and self._outcomes[-1] is AttemptOutcome.PENDING:
            self.note_may_have_run()

    def note_refusal(self, reason: RefusalReason, retry_after: float | None) -> None:
        """Takes in why an upstream did not run an attempt, and when it is worth coming back."""
        if self._refusal not in OVERLOAD_REASONS or reason in OVERLOAD_REASONS:
            self._refusal = reason
        if retry_after is not None:
            known = self._retry_after
            self._retry_after = retry_after if known is None else min(known, retry_after)

    def refuse(self, reason: RefusalReason) -> Refused:
        """Returns the refusal for the caller."""
        if not self.none_ran:
            return Refused(reason, f"may have run: {self._cause()}", not_run=False)
        retry_after = self._retry_after
        if reason is RefusalReason.NO_UPSTREAM and retry_after is None:
            retry_after = NO_UPSTREAM_RETRY_SECONDS
        return Refused(reason, f"not run: {self._cause()}", retry_after=retry_after)

    def _cause(self) -> str:
        """Returns who was asked and what the last word was, for the caller and for on-call."""
        if not self.asked:
            return "no upstream could be asked"
        word = f"last word {self._refusal.value}" if self._refusal else "no word came back"
        return f"asked {', '.join(sorted(self.asked))}, {word}"
