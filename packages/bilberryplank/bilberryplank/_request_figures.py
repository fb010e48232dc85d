"""What is counted, billed and written down of one request."""

from __future__ import annotations

from bilberryplank._caller_answer import CallerAnswer
from bilberryplank._decisions import DecisionStep
from bilberryplank._entry_parts import EntryParts
from bilberryplank._intake import Call
from bilberryplank._link import Link
from bilberryplank._metrics import FrameDropCause, RequestOutcome, TokenUse
from bilberryplank_core.errors import RetryReason
from bilberryplank_core.messages import Usage
from bilberryplank_core.routing import DeliveryProgress, FrameCounts, SendAttempt


class RequestFigures:
    """Notes what becomes of one request."""

    __slots__ = ("_call", "_parts")

    def __init__(self, parts: EntryParts, call: Call) -> None:
        self._parts = parts
        self._call = call

    def record(self, step: DecisionStep, detail: str = "") -> None:
        """Notes a decision."""
        self._parts.journal.record(self._call.request_id, step, detail)

    def note_sending(self, step: SendAttempt) -> None:
        """Notes that an attempt is about to be sent."""
        detail = f"{step.upstream.name} attempt={step.attempt.number}"
        if step.retry is None:
            self.record(DecisionStep.CHOSEN, detail)
            return
        self._parts.metrics.retried(step.retry)
        resumed = step.retry is RetryReason.RESUMED
        name = DecisionStep.RESUMED if resumed else DecisionStep.RETRIED
        self.record(name, f"{detail} why={step.retry.value}")

    def bill(self, usage: Usage, link: Link | None) -> None:
        """Records what the request used; `link` leads to the sidecar that answered."""
        classified = self._call.classified
        class_name = classified.request_class.name
        self._parts.usage.record(
            self._call.request_id, classified.organisation, class_name, usage, link
        )

    def note_cut_off(self, progress: DeliveryProgress) -> None:
        """Counts an answer that broke off, and bills what its caller got."""
        class_name = self._call.classified.request_class.name
        self._parts.metrics.tokens_generated(class_name, TokenUse.WASTED, progress.tokens)
        self._bill_partly(progress)

    def note_caller_gone(self, progress: DeliveryProgress) -> None:
        """Counts a request whose caller left, and bills what it got."""
        class_name = self._call.classified.request_class.name
        self._parts.metrics.request_ended(class_name, RequestOutcome.CALLER_GONE)
        self._bill_partly(progress)

    def note_answered(self, answer: CallerAnswer, usage: Usage) -> None:
        """Counts a request whose caller has its answer whole."""
        metrics = self._parts.metrics
        request_class = self._call.classified.request_class
        metrics.request_ended(request_class.name, RequestOutcome.ANSWERED)
        self.record(DecisionStep.ANSWERED)
        first, last = answer.first_byte, answer.last_byte
        if first is None or last is None:
            return
        waited = first - self._call.arrived
        met = waited <= request_class.first_token_target
        metrics.first_token(request_class.name, waited)
        tokens = usage.completion_tokens
        metrics.tokens_generated(request_class.name, TokenUse.DELIVERED, tokens)
        if self._call.streamed and tokens > 1:
            gap = (last - first) / (tokens - 1)
            metrics.token_gap(request_class.name, gap)
            met = met and gap <= request_class.token_gap_target
        metrics.target_judged(request_class.name, met)

    def count_dropped(self, counts: FrameCounts) -> None:
        """Counts the frames that were dropped."""
        metrics = self._parts.metrics
        for cause, count in (
            (FrameDropCause.LATE, counts.late),
            (FrameDropCause.DOUBLED, counts.doubled),
            (FrameDropCause.FOREIGN, counts.foreign),
        ):
            for _ in range(count):
                metrics.frame_dropped(cause)

    def _bill_partly(self, progress: DeliveryProgress) -> None:
        if progress.tokens:
            self.bill(Usage(self._call.prompt_tokens, progress.tokens, 1), None)
