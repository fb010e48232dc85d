"""Running of one attempt at the upstream, from its start to the end of its answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

from loguru import logger

from bilberryplank._clocks import loop_time
from bilberryplank._decisions import DecisionStep
from bilberryplank._logs import log_event
from bilberryplank._metrics import RequestOutcome, TokenUse
from bilberryplank._sidecar_attempts import HeldAttempt, KeepingSink
from bilberryplank._sidecar_parts import SidecarParts
from bilberryplank._single_call import UpstreamBroke, UpstreamNotReached
from bilberryplank._target_meter import TargetMeter
from bilberryplank_core.errors import RefusalReason
from bilberryplank_core.messages import Load, Usage
from bilberryplank_core.routing import merge_usage

RETRY_ELSEWHERE_SECONDS = 0.1


class AttemptOwner(Protocol):
    """Whose attempts are run.

    Attributes:
        targets: Where met and missed targets are counted.
    """

    targets: TargetMeter

    def load(self) -> Load:
        """Returns the load that answers carry."""

    def send_not_run(self, held: HeldAttempt, reason: RefusalReason, retry_after: float) -> None:
        """Says that an attempt never ran and never will."""

    def attempt_ended(self, held: HeldAttempt) -> None:
        """Takes in that an attempt no longer holds a slot."""


class AttemptRunner:
    """Runs attempts that the queue let start."""

    __slots__ = ("_owner", "_parts")

    def __init__(self, parts: SidecarParts, owner: AttemptOwner) -> None:
        self._parts = parts
        self._owner = owner

    async def run(self, held: HeldAttempt) -> None:
        """Makes the call and sends its answer, or what became of it."""
        held.began = True
        budget = max(0.0, held.deadline - loop_time())
        dispatch = replace(held.dispatch, budget=budget)
        sink = KeepingSink(
            held, self._parts.kept, self._owner.load, self._parts.metrics, self._first_byte_seen
        )
        try:
            usage = await self._parts.caller.run(dispatch, held.rank, sink)
        except UpstreamNotReached as exc:
            self._never_reached(held, exc)
        except UpstreamBroke as exc:
            self._broke(held, sink.events, RefusalReason.UPSTREAM_FAILED, exc)
        except TimeoutError as exc:
            self._broke(held, sink.events, RefusalReason.DEADLINE_PASSED, exc)
        except asyncio.CancelledError as exc:
            if held.stopped_for is None:
                raise
            self._broke(held, sink.events, held.stopped_for, exc)
        except Exception as exc:
            log_event(logger, "attempt_crashed", level="ERROR", trace=exc)
            self._broke(held, sink.events, RefusalReason.INTERNAL, exc)
        else:
            self._finish(held, usage)
        finally:
            self._owner.attempt_ended(held)

    def never_began(self, held: HeldAttempt) -> None:
        """Ends an attempt whose task was cancelled before its first step: nothing was sent."""
        reason = held.stopped_for or RefusalReason.CANCELLED
        self._end_not_run(held, reason, "stopped before it was sent")
        self._owner.attempt_ended(held)

    def _first_byte_seen(self, held: HeldAttempt, waited: float) -> None:
        self._parts.queue.record_first_token(held.dispatch.attempt, loop_time())
        request_class = self._parts.feed.configuration.classes.get(held.dispatch.class_name)
        if request_class is not None:
            self._owner.targets.answered(waited <= request_class.first_token_target, loop_time())

    def _finish(self, held: HeldAttempt, usage: Usage) -> None:
        attempt = held.dispatch.attempt
        now = loop_time()
        self._parts.queue.release(attempt, now, usage.prompt_tokens, usage.completion_tokens)
        if held.dispatch.resume_tokens:
            usage = merge_usage(held.dispatch.resume_tokens, 0, usage)
        self._parts.kept.end(attempt, usage, now)
        dispatch = held.dispatch
        self._parts.usage.record(attempt.request, dispatch.organisation, dispatch.class_name, usage)
        self._parts.metrics.request_ended(held.dispatch.class_name, RequestOutcome.ANSWERED)
        tokens = usage.completion_tokens
        self._parts.metrics.tokens_generated(held.dispatch.class_name, TokenUse.DELIVERED, tokens)
        self._parts.record(held, DecisionStep.ANSWERED)
        held.stream.finish(usage, self._owner.load())

    def _never_reached(self, held: HeldAttempt, exc: UpstreamNotReached) -> None:
        cause = f"{type(exc).__name__}: {exc}"
        self._end_not_run(held, RefusalReason.UPSTREAM_FAILED, cause)

    def _end_not_run(self, held: HeldAttempt, reason: RefusalReason, cause: str) -> None:
        attempt = held.dispatch.attempt
        self._parts.queue.release(attempt, loop_time(), 0, 0, False)
        self._parts.kept.fail(attempt)
        self._log_failure(held, RequestOutcome.NOT_RUN, reason, cause)
        self._owner.send_not_run(held, reason, RETRY_ELSEWHERE_SECONDS)

    def _broke(
        self, held: HeldAttempt, generated: int, reason: RefusalReason, exc: BaseException
    ) -> None:
        attempt = held.dispatch.attempt
        prompt_tokens = held.dispatch.prompt_tokens
        self._parts.queue.release(attempt, loop_time(), prompt_tokens, generated, completed=False)
        self._parts.kept.fail(attempt)
        class_name = held.dispatch.class_name
        self._parts.metrics.tokens_generated(class_name, TokenUse.WASTED, generated)
        cause = f"{type(exc).__name__}: {exc}"
        self._log_failure(held, RequestOutcome.MAY_HAVE_RUN, reason, cause)
        held.stream.fail(reason.value, self._owner.load())

    def _log_failure(
        self,
        held: HeldAttempt,
        outcome: RequestOutcome,
        reason: RefusalReason,
        cause: str,
    ) -> None:
        self._parts.metrics.request_ended(held.dispatch.class_name, outcome)
        self._parts.record(held, DecisionStep.FAILED, f"{reason.value}: {cause}")
        log_event(
            logger,
            "attempt_failed",
            level="WARNING",
            request=held.dispatch.attempt.request,
            attempt=held.dispatch.attempt.number,
            reason=reason.value,
            cause=cause,
        )
