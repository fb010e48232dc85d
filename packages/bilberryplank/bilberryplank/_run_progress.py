"""How far the answer to one request of a direct entry is, and how the request may end."""

from __future__ import annotations

import asyncio

from bilberryplank._direct_delivery import Delivery
from bilberryplank._run_parts import RunParts
from bilberryplank_core.direct import RequestAttempts, Withheld
from bilberryplank_core.errors import RefusalReason, Refused

RETURN_SECONDS = 0.5
"""When to come back if no upstream could take a request."""

STOP_RETURN_SECONDS = 0.1
"""When to come back where this entry stops: others take the request at once."""

NOT_RUN_REASONS = (
    RefusalReason.DEADLINE_UNREACHABLE,
    RefusalReason.PROMPT_QUARANTINED,
    RefusalReason.DRAINING,
)
"""Reasons with a status that tells a caller that its request was not executed."""


class RunProgress:
    """What the run of a request and the placement of its attempts both act on.

    Args:
        parts: What all requests share.
        answer: The answer to the caller.
        attempts: Its attempts so far.
        deadline: When its caller leaves, in seconds on the boot clock.

    Attributes:
        answer: The answer to the caller.
        attempts: Its attempts so far.
        deadline: When its caller leaves, in seconds on the boot clock.
    """

    __slots__ = ("_parts", "answer", "attempts", "deadline")

    def __init__(
        self, parts: RunParts, answer: Delivery, attempts: RequestAttempts, deadline: float
    ) -> None:
        self._parts = parts
        self.answer = answer
        self.attempts = attempts
        self.deadline = deadline

    @property
    def next_attempt(self) -> int:
        """Number of the next attempt, from 1."""
        return self.attempts.delivered + self.attempts.connect_failures + 1

    def may_begin(self, expected: float, now: float) -> bool:
        """Returns False where the request should not end before this entry stops.

        Args:
            expected: Seconds that the next attempt should take.
            now: The time on the boot clock.
        """
        if self.answer.begun:
            return True
        limit = self.deadline - now
        return self._parts.stop_schedule.may_begin(now, expected, limit, self.attempts.not_run)

    def end_early(self, message: str) -> Exception:
        """Returns the end of a request for which a stop leaves no time.

        Raises:
            CallerGone: Its answer had begun, and was cut off.
        """
        return self.give_up(RefusalReason.DRAINING, message, STOP_RETURN_SECONDS)

    def give_up(
        self, reason: RefusalReason, message: str, retry_after: float | None = None
    ) -> Exception:
        """Returns what ends the request: a refusal, or the cut of an answer that has begun."""
        if self.answer.begun:
            self.answer.cut_off(reason, message)
        not_run = self.attempts.not_run
        if not_run and reason is not RefusalReason.DEADLINE_PASSED:
            if reason is RefusalReason.UPSTREAM_FAILED:
                reason = RefusalReason.NO_UPSTREAM
            if retry_after is None:
                retry_after = RETURN_SECONDS * self._parts.state.rng.uniform(0.6, 1.4)
            return Refused(reason, message, retry_after=retry_after)
        if reason is RefusalReason.DRAINING:
            reason = RefusalReason.OUTCOME_UNKNOWN
        elif reason in NOT_RUN_REASONS:
            reason = RefusalReason.UPSTREAM_FAILED
        return Refused(reason, message, not_run=not_run)


class Interruption:
    """Ends the attempt of a request whose prompt is quarantined while it waits for an engine.

    Attributes:
        withheld: Why it was ended; None if it was not.
    """

    __slots__ = ("_task", "withheld")

    def __init__(self) -> None:
        self._task = asyncio.current_task()
        self.withheld: Withheld | None = None

    def end_attempt(self, withheld: Withheld) -> None:
        """Cancels the task of the request."""
        self.withheld = withheld
        if self._task is not None:
            self._task.cancel()

    def uncancel(self) -> Withheld | None:
        """Returns why the attempt was ended; None if something else cancelled the task."""
        if self.withheld is not None and self._task is not None:
            self._task.uncancel()
        return self.withheld
