"""Outcomes of the attempts of one request, and the refusal that the caller gets."""

from __future__ import annotations

from enum import Enum

from bilberryplank_core._attempt_rules import OVERLOAD_REASONS
from bilberryplank_core._errors import RefusalReason, Refused

NO_UPSTREAM_RETRY_SECONDS = 1.0


class AttemptOutcome(Enum):
    """Known outcome of an attempt."""

    PENDING = "pending"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class AttemptHistory:
    """Outcomes of the attempts of one request, in the order in which they were made.

    Attributes:
        tried_upstreams: Names of the upstreams to which an attempt was sent.
    """

    __slots__ = ("_outcomes", "_refusal", "_retry_after", "tried_upstreams")

    def __init__(self) -> None:
        self.tried_upstreams: set[str] = set()
        self._outcomes: list[AttemptOutcome] = []
        self._refusal: RefusalReason | None = None
        self._retry_after: float | None = None

    @property
    def attempt_count(self) -> int:
        """Number of attempts."""
        return len(self._outcomes)

    @property
    def may_have_run_count(self) -> int:
        """Number of attempts that may have run."""
        return self._outcomes.count(AttemptOutcome.MAY_HAVE_RUN)

    @property
    def none_ran(self) -> bool:
        """True if no attempt has run or will ever run."""
        return all(outcome is AttemptOutcome.NOT_RUN for outcome in self._outcomes)

    @property
    def refusal(self) -> RefusalReason:
        """The most informative reason for which an upstream did not run an attempt."""
        return self._refusal or RefusalReason.NO_UPSTREAM

    def begin_attempt(self, upstream: str) -> None:
        """Adds a pending attempt at the upstream."""
        self.tried_upstreams.add(upstream)
        self._outcomes.append(AttemptOutcome.PENDING)

    def record_not_run(self) -> None:
        """Records that the last attempt did not run and never will."""
        self._outcomes[-1] = AttemptOutcome.NOT_RUN

    def record_may_have_run(self) -> None:
        """Records that the last attempt may have run."""
        self._outcomes[-1] = AttemptOutcome.MAY_HAVE_RUN

    def record_deadline_passed(self) -> None:
        """Records that the deadline passed; a pending attempt then counts as may have run."""
        if self._outcomes and self._outcomes[-1] is AttemptOutcome.PENDING:
            self.record_may_have_run()

    def record_refusal(self, reason: RefusalReason, retry_after: float | None) -> None:
        """Records why an upstream did not run an attempt, and its Retry-After in seconds."""
        if self._refusal not in OVERLOAD_REASONS or reason in OVERLOAD_REASONS:
            self._refusal = reason
        if retry_after is not None:
            earliest = self._retry_after
            self._retry_after = retry_after if earliest is None else min(earliest, retry_after)

    def build_refusal(self, reason: RefusalReason) -> Refused:
        """Returns the refusal that the caller gets."""
        if not self.none_ran:
            return Refused(reason, f"may have run: {self._cause()}", not_run=False)
        retry_after = self._retry_after
        if reason is RefusalReason.NO_UPSTREAM and retry_after is None:
            retry_after = NO_UPSTREAM_RETRY_SECONDS
        return Refused(reason, f"not run: {self._cause()}", retry_after=retry_after)

    def _cause(self) -> str:
        """Returns which upstreams were tried and their last reason, for callers and operators."""
        if not self.tried_upstreams:
            return "no upstream could be asked"
        last_reason = f"last word {self._refusal.value}" if self._refusal else "no word came back"
        return f"asked {', '.join(sorted(self.tried_upstreams))}, {last_reason}"
