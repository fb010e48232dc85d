"""One request from its first attempt to its final answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from aiohttp import web

from bilberryplank._attempt_channel import AttemptChannel, Event, Frame, LinkLost
from bilberryplank._call_intent import CallIntent
from bilberryplank._caller_answer import CallerAnswer, CallerGone
from bilberryplank._clocks import loop_time
from bilberryplank._decisions import DecisionStep
from bilberryplank._entry_parts import EntryParts
from bilberryplank._intake import Call
from bilberryplank._repeats import AnswerCollector
from bilberryplank._request_figures import RequestFigures
from bilberryplank_core.errors import (
    HandshakeFailed,
    LinkClosed,
    RefusalReason,
    Refused,
)
from bilberryplank_core.idempotency import IntentState, StoredAnswer
from bilberryplank_core.messages import (
    Acknowledge,
    Cancel,
    End,
    Failed,
    Head,
    Heartbeat,
    NotRun,
    Settle,
    Usage,
)
from bilberryplank_core.routing import (
    NOTHING_DELIVERED,
    AnswerAssembler,
    AnswerBroken,
    AnswerEnd,
    AnswerOutput,
    AnswerPart,
    AnswerStart,
    CompleteAnswer,
    GiveUp,
    QueryOutcome,
    RequestAttempts,
    RequestKind,
    SendAttempt,
    Step,
    counts_against_upstream,
    parse_reason,
)
from bilberryplank_core.world import Upstream

PROGRESS_SECONDS = 12.0
"""An answer that has begun is waited for while it moves at least this often.

Longer than the sidecar's own bound, so that its word comes first.
"""

PATIENCE_SECONDS = 0.25
"""Time between looks at whether an attempt has taken too long to begin."""


@dataclass(slots=True, frozen=True)
class Replay:
    """The caller's request ran before; it gets the first answer."""

    answer: StoredAnswer


class RequestRun:
    """Carries out the steps that a request's attempts decide.

    Attributes:
        answer: The answer to the caller.
        usage: What the request used, once its answer is whole.
    """

    def __init__(
        self,
        parts: EntryParts,
        call: Call,
        attempts: RequestAttempts,
        answer: CallerAnswer,
        intent: CallIntent,
        cost: float,
    ) -> None:
        self._parts = parts
        self._figures = RequestFigures(parts, call)
        self._cost = cost
        self._call = call
        self._attempts = attempts
        self.answer = answer
        self._deadline = call.arrived + call.classified.request_class.deadline
        shows_usage = call.model_call is None or call.model_call.include_usage
        self._assembler = AnswerAssembler(call.model_call is not None, shows_usage)
        self._intent = intent
        self._collector = AnswerCollector()
        self._answered_by: AttemptChannel | None = None
        self._not_run = False
        self._judged = False
        self._sidecar_epoch = ""
        self._waited = 0.0
        request_class = call.classified.request_class
        self._kind = RequestKind(call.classified.rank, request_class.name)
        self.usage: Usage | None = None

    async def run(self) -> web.StreamResponse:
        """Returns the answer once the caller has it whole.

        Raises:
            Refused: The request was given up before anything reached the caller.
            CallerGone: The caller closed its connection, or its answer was cut off.
        """
        step = self._attempts.start(loop_time())
        while True:
            match step:
                case SendAttempt():
                    step = await self._send(step)
                case QueryOutcome():
                    step = await self._settle(step)
                case CompleteAnswer():
                    return await self._deliver()
                case GiveUp(refused):
                    await self._give_up(refused)
                case Replay(answer):
                    return await self._replay(answer)
                case _:
                    raise AssertionError(f"no step can follow {step}")

    async def _send(self, step: SendAttempt) -> Step | Replay:
        upstream, attempt = step.upstream, step.attempt
        self._figures.note_sending(step)
        self._probe()
        try:
            link = await self._parts.pool.get_sidecar(upstream, step.budget_seconds)
        except (LinkClosed, HandshakeFailed) as exc:
            self._parts.chooser.record_link_lost(upstream.name, loop_time())
            self._figures.record(DecisionStep.NOT_RUN, f"{upstream.name}: {exc}")
            return self._attempts.on_not_sent(attempt, loop_time())
        assert link.peer is not None
        self._sidecar_epoch = link.peer.epoch
        self._assembler.begin(attempt)
        self._not_run = False
        self._judged = False
        self._waited = 0.0
        channel = self._parts.links.open_channel(attempt, link)
        self._parts.chooser.record_sent(upstream.name, self._cost, loop_time(), self._kind)
        try:
            answer = await self._claim(step)
            if answer is not None:
                return Replay(answer)
            link.send(self._call.dispatch(step, self._parts.feed.shown()))
            return await self._follow(channel, upstream)
        except (asyncio.CancelledError, CallerGone):
            link.send(Cancel(attempt))
            raise
        finally:
            self._parts.links.close_channel(channel)
            chooser = self._parts.chooser
            release = chooser.record_refused if self._not_run else chooser.record_end
            release(upstream.name, loop_time(), self._kind)

    def _probe(self) -> None:
        """Asks an upstream for its load where too few hints are fresh."""
        name = self._parts.chooser.upstream_to_probe(loop_time())
        upstream = self._parts.feed.configuration.upstreams.get(name) if name else None
        link = self._parts.pool.find(upstream.address) if upstream else None
        if link is not None:
            shown = self._parts.feed.shown()
            link.send(Heartbeat(shown.version, shown.confirmed_age))

    async def _claim(self, step: SendAttempt) -> StoredAnswer | None:
        """Returns the first answer of a repeated call; otherwise the attempt may be dispatched."""
        attempt, upstream = step.attempt, step.upstream.name
        found = await self._intent.before_dispatch(attempt, upstream, self._sidecar_epoch)
        if found is None:
            return None
        answer = await self._parts.repeats.settle(found, step.budget_seconds)
        if answer is None:
            await self._intent.take_over(found, attempt, upstream, self._sidecar_epoch)
            return None
        if found.intent.state is not IntentState.ANSWERED:
            await self._intent.finish_found(found, answer)
        return answer

    async def _replay(self, answer: StoredAnswer) -> web.StreamResponse:
        self._figures.record(DecisionStep.REPLAYED)
        assert answer.body is not None
        await self.answer.start(answer.status, answer.headers)
        await self.answer.write(answer.body)
        return await self.answer.finish()

    async def _settle(self, step: QueryOutcome) -> Step:
        await asyncio.sleep(step.delay_seconds)
        attempt = step.attempt
        try:
            link = await self._parts.pool.get_sidecar(step.upstream, step.budget_seconds)
        except (LinkClosed, HandshakeFailed):
            return self._attempts.on_link_lost(attempt, loop_time(), self._assembler.progress)
        channel = self._parts.links.open_channel(attempt, link)
        self._figures.record(DecisionStep.SETTLED, step.upstream.name)
        try:
            link.send(Settle(attempt, self._sidecar_epoch, True))
            return await self._follow(channel, step.upstream)
        finally:
            self._parts.links.close_channel(channel)

    async def _follow(self, channel: AttemptChannel, upstream: Upstream) -> Step:
        sent_at = loop_time()
        while True:
            event = await self._next_event(channel)
            match event:
                case None:
                    return self._attempts.on_deadline_passed(loop_time())
                case LinkLost():
                    self._judge(upstream, None)
                    progress = self._assembler.progress
                    return self._attempts.on_link_lost(channel.attempt, loop_time(), progress)
                case NotRun() | Failed():
                    return self._refused_by(event, upstream)
                case _:
                    step = await self._take(channel, event, upstream, sent_at)
                    if step is not None:
                        return step

    async def _next_event(self, channel: AttemptChannel) -> Event | None:
        """Returns the next event, or None once the deadline has passed.

        While nothing came, the attempt is cancelled where it has taken too long; the sidecar's
        word on it is waited for all the same.
        """
        cancelled = False
        while (remaining := self._deadline - loop_time()) > 0:
            try:
                return await channel.get(min(remaining, PATIENCE_SECONDS))
            except TimeoutError:
                if not cancelled and self._attempts.should_cancel(loop_time()):
                    cancelled = True
                    channel.link.send(Cancel(channel.attempt))
        channel.link.send(Cancel(channel.attempt))
        return None

    def _extend_deadline(self) -> None:
        """Lets an answer that has begun go on while it moves."""
        self._deadline = max(self._deadline, loop_time() + PROGRESS_SECONDS)
        self._attempts.extend(self._deadline)

    def _judge(self, upstream: Upstream, first_token_seconds: float | None) -> None:
        """Tells the chooser, once an attempt, how the upstream did."""
        if not self._judged:
            self._judged = True
            self._parts.judge(upstream.name, first_token_seconds, loop_time(), self._kind)

    def _refused_by(self, event: NotRun | Failed, upstream: Upstream) -> Step:
        reason = parse_reason(event.reason)
        progress = self._assembler.progress
        if isinstance(event, NotRun):
            self._figures.record(DecisionStep.NOT_RUN, f"{upstream.name}: {event.reason}")
            self._not_run = True
            retry_after = event.retry_after
            return self._attempts.on_not_run(
                event.attempt, reason, retry_after, loop_time(), progress
            )
        self._figures.record(DecisionStep.FAILED, f"{upstream.name}: {event.reason}")
        if counts_against_upstream(reason):
            self._judge(upstream, None)
        return self._attempts.on_failed(event.attempt, reason, loop_time(), progress)

    async def _take(
        self, channel: AttemptChannel, frame: Frame, upstream: Upstream, sent_at: float
    ) -> Step | None:
        if isinstance(frame, Head):
            self._waited = frame.waited
        for output in self._assembler.accept(frame):
            if isinstance(output, AnswerBroken):
                self._judge(upstream, None)
                channel.link.send(Cancel(channel.attempt))
                reason = RefusalReason.UPSTREAM_FAILED
                progress = self._assembler.progress
                return self._attempts.on_failed(channel.attempt, reason, loop_time(), progress)
            if isinstance(output, AnswerPart):
                self._extend_deadline()
                self._judge(upstream, max(0.0, loop_time() - sent_at - self._waited))
            await self._emit(output)
        if isinstance(frame, End) and self.usage is not None:
            self._answered_by = channel
            return self._attempts.on_delivered(channel.attempt)
        return None

    async def _emit(self, output: AnswerOutput) -> None:
        if self._intent.has_identity:
            self._collector.take(output)
        match output:
            case AnswerStart(status, headers):
                await self.answer.start(status, headers)
            case AnswerPart(data):
                await self.answer.write(data)
            case AnswerEnd(usage):
                self.usage = usage

    async def _deliver(self) -> web.StreamResponse:
        if self.usage is None:
            for output in self._assembler.synthesize_end(self._call.prompt_tokens):
                await self._emit(output)
        assert self.usage is not None
        link = self._answered_by.link if self._answered_by is not None else None
        self._figures.bill(self.usage, link)
        try:
            resp = await self.answer.finish()
        finally:
            await self._settle_up()
        self._figures.count_dropped(self._assembler.counts)
        self._figures.note_answered(self.answer, self.usage)
        return resp

    async def _settle_up(self) -> None:
        """Lets the sidecar forget the answer, once no repeat has to ask it any more."""
        stored = True
        if self._intent.has_identity:
            stored = await self._intent.finish(self._collector.answer())
        channel = self._answered_by
        if stored and channel is not None:
            channel.link.send(Acknowledge(channel.attempt))

    async def _give_up(self, refused: Refused) -> None:
        self._figures.count_dropped(self._assembler.counts)
        if refused.not_run:
            await self._intent.give_up()
        if not self._assembler.progress.started:
            raise refused
        self._figures.note_cut_off(self._assembler.progress)
        await self.answer.cut_off(refused)

    def note_caller_gone(self) -> None:
        """Counts a request whose caller left, and bills what it got."""
        self._figures.count_dropped(self._assembler.counts)
        billed = self.usage is not None
        self._figures.note_caller_gone(NOTHING_DELIVERED if billed else self._assembler.progress)
