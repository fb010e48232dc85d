"""One request of a caller at a direct entry, from its placing to its last byte."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from aiohttp import web
from loguru import logger

from bilberryplank._caller_answer import CallerGone
from bilberryplank._caller_request import ReceivedRequest
from bilberryplank._clocks import boot_time
from bilberryplank._direct_client import UpstreamAnswer
from bilberryplank._direct_delivery import Delivery
from bilberryplank._direct_placement import Placement
from bilberryplank._logs import log_event
from bilberryplank._run_parts import RunParts
from bilberryplank._run_progress import Interruption, RunProgress
from bilberryplank._single_call import UpstreamBroke, UpstreamNotReached
from bilberryplank_core.direct import (
    SETTLED_SECONDS,
    ClassifiedRequest,
    DirectUpstream,
    EngineSelector,
    NextAction,
    Outcome,
    RequestAttempts,
    RequestHead,
    classify_response,
    engine_rank,
)
from bilberryplank_core.errors import RefusalReason, RetryReason
from bilberryplank_core.events import MAX_EVENT_BYTES, EventSplitter, EventTail, last_event_id

if TYPE_CHECKING:
    from bilberryplank_core.messages import Headers

LATE_ANSWER_SECONDS = 0.05
"""An upstream's own answer at the time limit may take this long to arrive."""

LEAST_TRY_SECONDS = 0.05
"""With less time left no upstream is asked again."""

MAX_HELD_BYTES = 256 * 1024
"""A longer answer is passed on as it comes: many at once must not fill a small host's memory."""

MAX_UNSENT_BYTES = 64 * 1024
"""A longer answer is sent piece by piece even if it is whole: its caller may never read it."""

EVENT_END = b"\n\n"
EVENT_STREAM = "text/event-stream"

RETRY_REASONS = {
    Outcome.NOT_REACHED: RetryReason.LINK_FAILED,
    Outcome.NOT_RUN: RetryReason.NOT_RUN,
    Outcome.UNKNOWN: RetryReason.IDEMPOTENT_FAILURE,
    Outcome.FAILED: RetryReason.IDEMPOTENT_FAILURE,
}


class DirectRun:
    """Carries one request out.

    Args:
        parts: What all requests share.
        request: The caller's request, to be answered.
        received: Its method, path, header fields and body.
        call: What its head says.
        found: Its route and organisation.
        arrived: When its head was here, in seconds on the boot clock.
        closes: Returns True where the caller's connection must end after the answer.
    """

    def __init__(
        self,
        parts: RunParts,
        request: web.BaseRequest,
        received: ReceivedRequest,
        call: RequestHead,
        found: ClassifiedRequest,
        arrived: float,
        closes: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._received = received
        self._call = call
        self._found = found
        self._arrived = arrived
        self._answer = Delivery(request, call.request_id, arrived, closes)
        self._log = RequestAttempts(found.route.retry_rule, found.route.max_executions)
        self._failed: tuple[int, Headers, bytes] | None = None
        self._counted = False
        self._last_event: str | None = call.last_event_id
        self._attempt_began = arrived
        self._pieces = 0
        self._first_piece_at = arrived
        self._settled = False
        self._held = 0
        self._interruption = Interruption()
        self._guarded = parts.crashes.guard(call, self._interruption.end_attempt)
        self._deadline = arrived + found.time_limit(call)
        self._progress = RunProgress(parts, self._answer, self._log, self._deadline)
        self._placement = Placement(parts, self._progress, call, found, self._guarded)
        self._service = self._placement.service

    async def run(self) -> web.StreamResponse:
        """Returns the answer, sent whole.

        Raises:
            Refused: No upstream answered.
            CallerGone: The caller left, or its answer was cut off.
        """
        state = self._parts.state
        state.budget(self._service).record_request(boot_time())
        left = self._deadline - boot_time() + LATE_ANSWER_SECONDS
        try:
            async with asyncio.timeout(left):
                return await self._attempts()
        except asyncio.CancelledError:
            withheld = self._interruption.uncancel()
            if withheld is None:
                raise
            raise self._placement.withhold(withheld) from None
        except TimeoutError:
            message = "no whole answer came before the time limit"
            raise self._progress.give_up(RefusalReason.DEADLINE_PASSED, message) from None
        finally:
            # A trial also ends where its request was never sent.
            self._parts.crashes.end(self._guarded)

    def end_early(self, message: str) -> Exception:
        """Returns the end of a request for which a stop leaves no time; raises as there."""
        return self._progress.end_early(message)

    async def _attempts(self) -> web.StreamResponse:
        while True:
            await self._placement.ask_loads()
            upstream, note = self._placement.place()
            outcome, resp = await self._attempt(upstream, note)
            if resp is not None:
                return resp
            if not self._can_retry(outcome):
                if self._failed is not None and not self._answer.begun:
                    return self._answer.whole(*self._failed, upstream.name)
                raise self._failure(outcome)
            self._parts.metrics.retried(RETRY_REASONS[outcome])

    async def _attempt(
        self, upstream: DirectUpstream, note: dict[str, object]
    ) -> tuple[Outcome, web.StreamResponse | None]:
        state, began = self._parts.state, boot_time()
        self._placement.log_placed(upstream, note, began)
        outcome = Outcome.UNKNOWN
        abandoned = False
        answer: UpstreamAnswer | None = None
        self._attempt_began, self._pieces, self._settled = began, 0, False
        self._parts.crashes.begin(self._guarded)
        try:
            answer = await self._send(upstream, began)
            outcome, resp = await self._take(upstream, answer)
            return outcome, resp
        except UpstreamNotReached as exc:
            outcome = Outcome.NOT_REACHED
            self._log_failed(upstream, outcome, exc)
            return outcome, None
        except UpstreamBroke as exc:
            self._log_failed(upstream, outcome, exc)
            if not self._settled:
                has_head = answer is not None and self._pieces == 0
                await self._parts.crashes.lost(self._guarded, upstream, has_head, began)
            if self._answer.begun and not self._may_resume():
                message = "the upstream broke off its answer"
                self._answer.cut_off(RefusalReason.UPSTREAM_FAILED, message)
            return outcome, None
        except (asyncio.CancelledError, CallerGone):
            abandoned = True
            raise
        finally:
            if answer is not None:
                answer.close()
            self._hold(0)
            self._parts.crashes.end(self._guarded)
            seconds = boot_time() - began if outcome is Outcome.ANSWERED else None
            self._left(upstream, seconds)
            self._log.record(outcome)
            if not abandoned:
                state.record(upstream, outcome, self._call.request_id)

    async def _send(self, upstream: DirectUpstream, now: float) -> UpstreamAnswer:
        parts = self._parts
        is_engine = isinstance(parts.state.board(self._service), EngineSelector)
        fields = parts.header_codec.upstream_request_fields(
            ((name, value) for name, value in self._received.headers),
            upstream,
            self._found.organisation,
            engine_rank(self._placement.urgency) if is_engine else None,
            self._deadline - now,
            self._last_event,
        )
        received = self._received
        return await parts.client.send(
            upstream.address, received.method, received.path, fields, received.body
        )

    async def _take(
        self, upstream: DirectUpstream, answer: UpstreamAnswer
    ) -> tuple[Outcome, web.StreamResponse | None]:
        head = self._parts.header_codec.read_response_head(answer.status, answer.fields)
        self._parts.state.heard(upstream, head, self._call.request_id)
        outcome = classify_response(head, self._call.request_id)
        if outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN):
            self._log_failed(upstream, outcome, f"answered {answer.status}")
            return outcome, None
        is_stream = outcome is Outcome.ANSWERED and head.status < 300 and self._is_stream(answer)
        if self._answer.begun and not is_stream:
            self._log_failed(upstream, Outcome.UNKNOWN, f"answered {answer.status} to a resume")
            return Outcome.UNKNOWN, None
        if is_stream:
            return outcome, await self._stream(upstream, answer)
        if outcome is Outcome.ANSWERED:
            return outcome, await self._whole(upstream, answer)
        body = await answer.body(MAX_HELD_BYTES)
        self._count()
        fields = self._parts.header_codec.response_fields(answer.fields.items())
        self._failed = (answer.status, fields, body)
        self._log_failed(upstream, outcome, f"answered {answer.status}")
        return outcome, None

    async def _whole(self, upstream: DirectUpstream, answer: UpstreamAnswer) -> web.StreamResponse:
        """Sends an answer in one piece, or a long one as it comes, so that little is held here."""
        fields = self._parts.header_codec.response_fields(answer.fields.items())
        held = bytearray()
        async for data in answer.pieces():
            held += data
            if not self._hold(len(held)) or len(held) > MAX_HELD_BYTES:
                self._count()
                await self._answer.begin(answer.status, fields)
                await self._answer.piece(bytes(held))
                held.clear()
                self._hold(0)
        self._count()
        self._first_piece_at = self._attempt_began
        self._settle()
        if not self._answer.begun and len(held) <= MAX_UNSENT_BYTES:
            return self._answer.whole(answer.status, fields, bytes(held), upstream.name)
        await self._answer.begin(answer.status, fields)
        for begin in range(0, len(held), MAX_UNSENT_BYTES):
            await self._answer.piece(bytes(held[begin : begin + MAX_UNSENT_BYTES]))
        return await self._answer.finish(upstream.name)

    def _is_stream(self, answer: UpstreamAnswer) -> bool:
        """Returns True for an event stream; one that resumes another must say that it is one."""
        content_type = answer.fields.get("Content-Type", "" if self._answer.begun else EVENT_STREAM)
        return self._found.route.retry_rule.streamed and content_type.startswith(EVENT_STREAM)

    async def _stream(self, upstream: DirectUpstream, answer: UpstreamAnswer) -> web.StreamResponse:
        fields = self._parts.header_codec.response_fields(answer.fields.items())
        splitter = EventSplitter() if self._resumable else None
        tail = EventTail()
        async for data in answer.pieces():
            self._events(data.count(EVENT_END))
            self._note_piece()
            self._answer.pace.event(boot_time())
            tail.feed(data)
            piece = data if splitter is None else splitter.feed_joined(data)
            if piece:
                await self._answer.begin(answer.status, fields)
                await self._answer.piece(piece)
                if splitter is not None:
                    self._last_event = last_event_id(piece) or self._last_event
            if tail.overflowed:
                raise UpstreamBroke(f"more than {MAX_EVENT_BYTES} bytes came without an event")
            if splitter is not None and not self._hold(splitter.held_bytes):
                raise UpstreamBroke("unfinished events of all streams hold too many bytes")
        if not tail.at_boundary:
            raise UpstreamBroke("the stream ended within an event")
        if not self._pieces and answer.ends_with_connection:
            raise UpstreamBroke("the stream ended with its connection before an event")
        if self._pieces:
            self._settle()
        await self._answer.begin(answer.status, fields)
        return await self._answer.finish(upstream.name)

    def _hold(self, size: int) -> bool:
        """Records the bytes that this answer holds; returns False where all hold too many."""
        before, self._held = self._held, size
        return self._parts.held_bytes.change(before, size)

    def _note_piece(self) -> None:
        self._pieces += 1
        if self._settled:
            return
        now = boot_time()
        if self._pieces == 1:
            self._first_piece_at = now
            self._parts.crashes.begun(self._guarded)
        elif now - self._first_piece_at >= SETTLED_SECONDS:
            self._settle()

    def _settle(self) -> None:
        """Records that the engine outlived the begin of its response."""
        if not self._settled:
            self._settled = True
            self._parts.crashes.settled(self._guarded, self._first_piece_at)

    @property
    def _resumable(self) -> bool:
        return self._found.route.retry_rule.idempotent

    def _may_resume(self) -> bool:
        return self._resumable and self._last_event is not None

    def _events(self, count: int) -> None:
        if self._answer.pace.first is None:
            waited = boot_time() - self._arrived
            self._parts.metrics.first_token(self._found.route.name, waited)
        self._count()
        board = self._parts.state.board(self._service)
        if isinstance(board, EngineSelector):
            board.record_events(self._call.request_id, count, boot_time())

    def _count(self) -> None:
        """Counts the request as begun, once, in the window of true time."""
        now = self._parts.fleet_clock.now()
        if self._counted or now is None or self._found.organisation is None:
            return
        self._counted = True
        self._parts.counts.add(self._found.organisation, now)

    def _left(self, upstream: DirectUpstream, seconds: float | None) -> None:
        board = self._parts.state.board(self._service)
        if isinstance(board, EngineSelector):
            board.end(self._call.request_id, boot_time())
            self._parts.state.note_pace(self._service)
        else:
            board.end(upstream.name, seconds)
        self._parts.metrics.set_load(0, self._parts.state.in_flight())

    def _can_retry(self, outcome: Outcome) -> bool:
        now = boot_time()
        if self._deadline - now < LEAST_TRY_SECONDS:
            return False
        # Another attempt may well take as long as this one did.
        expected = max(self._found.route.objective, now - self._attempt_began)
        if not self._progress.may_begin(expected, now):
            return False
        if self._log.next_action(outcome, True) is not NextAction.RETRY:
            return False
        if outcome is Outcome.NOT_REACHED:
            return True
        if outcome is Outcome.UNKNOWN and self._parts.crashes.is_suspect(self._guarded):
            return False
        return self._parts.state.budget(self._service).try_spend(now)

    def _failure(self, outcome: Outcome) -> Exception:
        if outcome is Outcome.NOT_RUN:
            return self._progress.give_up(RefusalReason.QUEUE_FULL, "upstreams are full")
        message = "no upstream gave a whole answer"
        return self._progress.give_up(RefusalReason.UPSTREAM_FAILED, message)

    def _log_failed(self, upstream: DirectUpstream, outcome: Outcome, cause: object) -> None:
        log_event(
            logger,
            "attempt_failed",
            request=self._call.request_id,
            upstream=upstream.name,
            outcome=outcome.value,
            cause=cause,
            seconds=round(boot_time() - self._attempt_began, 3),
            pieces=self._pieces,
            parts=",".join(each.segment_id for each in self._call.prompt[:-1]),
        )
