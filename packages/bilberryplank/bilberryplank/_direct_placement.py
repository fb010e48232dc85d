"""Where one request of a direct entry goes: its upstream, or why it goes nowhere."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from loguru import logger

from bilberryplank._clocks import boot_time
from bilberryplank._crash_guard import GuardedRequest
from bilberryplank._logs import log_event
from bilberryplank._run_parts import RunParts
from bilberryplank._run_progress import RETURN_SECONDS, RunProgress
from bilberryplank._single_call import UpstreamBroke
from bilberryplank_core.direct import (
    ClassifiedRequest,
    DirectUpstream,
    EngineChoice,
    EngineSelector,
    LatencyObjective,
    RequestHead,
    Withheld,
    choose_service,
    engine_rank,
    retry_delay,
    should_admit,
)
from bilberryplank_core.engines import DEFERRED_URGENCY, may_defer
from bilberryplank_core.errors import RefusalReason


class Placement:
    """Places the attempts of one request.

    Args:
        parts: What all requests share.
        progress: How far its answer is.
        call: What the request's head says.
        found: Its route and organisation.
        guarded: What is known of crashes by its prompt.

    Attributes:
        service: Name of the service that it goes to.
        urgency: Its urgency at the engine that was chosen last.
    """

    __slots__ = (
        "service",
        "urgency",
        "_call",
        "_found",
        "_guarded",
        "_latency_objective",
        "_parts",
        "_progress",
        "_routes",
        "_tried",
    )

    def __init__(
        self,
        parts: RunParts,
        progress: RunProgress,
        call: RequestHead,
        found: ClassifiedRequest,
        guarded: GuardedRequest,
    ) -> None:
        assert parts.state.routes is not None
        self.service = choose_service(found.route, parts.state.rng)
        self.urgency = found.urgency
        self._call = call
        self._found = found
        self._guarded = guarded
        self._latency_objective = LatencyObjective(
            found.route.inter_event_objective, found.route.objective
        )
        self._parts = parts
        self._progress = progress
        self._routes = parts.state.routes
        self._tried: set[str] = set()

    async def ask_loads(self) -> None:
        """Asks the engines that are likely to take the request for their loads."""
        board = self._parts.state.board(self.service)
        if not isinstance(board, EngineSelector) or self._progress.answer.begun:
            return
        urgency, upstreams = self._found.urgency, self._fresh_upstreams()
        asked = board.engines_to_query(
            self._call, self._latency_objective, urgency, upstreams, boot_time()
        )
        if asked:
            await asyncio.gather(*(self._ask_load(each) for each in asked))

    async def _ask_load(self, upstream: DirectUpstream) -> None:
        parts = self._parts
        try:
            reply = await parts.client.ask(upstream.address, parts.header_codec.load_path)
            head = parts.header_codec.read_response_head(reply.status, reply.fields)
            parts.state.heard(upstream, head, self._call.request_id)
            if reply.status != HTTPStatus.OK:
                raise UpstreamBroke(f"answered {reply.status}")
            load = parts.header_codec.read_load(reply.body, upstream.slots)
        except (UpstreamBroke, ValueError) as exc:
            log_event(
                logger,
                "load_not_told",
                request=self._call.request_id,
                upstream=upstream.name,
                cause=exc,
            )
            return
        parts.state.report(upstream, load)

    def _fresh_upstreams(self) -> list[DirectUpstream]:
        """Returns the upstreams that were not tried; all where none is left."""
        known = self._parts.state.eligible(self.service, self._found.regions)
        return [each for each in known if each.name not in self._tried] or known

    def place(self) -> tuple[DirectUpstream, dict[str, object]]:
        """Returns the upstream of the next attempt, and what decided."""
        state, now = self._parts.state, boot_time()
        fresh = self._fresh_upstreams()
        board = state.board(self.service)
        note: dict[str, object] = {"known": len(fresh)}
        if isinstance(board, EngineSelector):
            withheld = self._parts.crashes.admit(self._guarded)
            if withheld is not None:
                raise self.withhold(withheld)
            choice = board.choose(
                self._call, self._latency_objective, self._found.urgency, fresh, now
            )
            upstream = choice.upstream if choice else None
            if choice is not None:
                choice = self._admit(choice, board, fresh, now)
                upstream, self.urgency = choice.upstream, choice.urgency
                self._check_stop(choice.wait + self._output_seconds(board), now)
                board.begin(choice, self._call, now)
                note.update(
                    unread=choice.prefill_tokens,
                    delay=round(choice.delay, 3),
                    wait=round(choice.wait, 3),
                )
                note["load_age"] = None if choice.load_age is None else round(choice.load_age, 2)
        else:
            upstream = board.choose(fresh, now)
            if upstream is not None:
                self._check_stop(self._found.route.objective, now)
                board.begin(upstream.name)
        if upstream is None:
            raise self._no_upstream()
        state.note_sent(upstream, now)
        self._parts.metrics.set_load(0, state.in_flight())
        self._tried.add(upstream.name)
        return upstream, note

    def _no_upstream(self) -> Exception:
        """Returns the end of a request that no upstream may get now."""
        rest = self._parts.state.backoff_left(self.service)
        if rest is None:
            barred = self._parts.state.describe_barred(self.service)
            message = f"no upstream can take the request: {barred}"
            return self._progress.give_up(RefusalReason.NO_UPSTREAM, message)
        message = f"all upstreams asked to be left alone, the first for another {rest:.2f} s"
        spread = self._parts.state.rng.uniform(0, RETURN_SECONDS)
        return self._progress.give_up(RefusalReason.NO_UPSTREAM, message, rest + spread)

    def _admit(
        self,
        choice: EngineChoice,
        board: EngineSelector,
        upstreams: list[DirectUpstream],
        now: float,
    ) -> EngineChoice:
        """Returns where a request goes, perhaps behind all others.

        Raises:
            Refused: No engine can serve it before its caller leaves.
        """
        if self._progress.answer.begun:
            return choice
        state, route = self._parts.state, self._found.route
        least_urgent = self._routes.is_least_urgent(self.service, self._found.urgency)
        left = self._progress.deadline - now
        if should_admit(choice.delay, choice.wait, route.objective, left, least_urgent):
            return choice
        if least_urgent:
            deferred = board.choose(
                self._call, self._latency_objective, DEFERRED_URGENCY, upstreams, now
            )
            if deferred and may_defer(deferred.wait, self._output_seconds(board), left):
                return deferred
        message = (
            f"{choice.upstream.name} would take {choice.wait:.2f} s to the first token, "
            f"{choice.delay:.2f} s of it behind others: too long for this request"
        )
        retry_after = retry_delay(choice.delay, route.objective, state.rng)
        raise self._progress.give_up(RefusalReason.DEADLINE_UNREACHABLE, message, retry_after)

    def _check_stop(self, expected: float, now: float) -> None:
        """Refuses a request that should not end while this entry stops, unless its answer began.

        Args:
            expected: Seconds that the next attempt should take.
            now: The time.
        """
        if not self._progress.may_begin(expected, now):
            raise self._progress.end_early("this entry stops before the request would end")

    def _output_seconds(self, board: EngineSelector) -> float:
        """Returns the seconds from the first token to the last; the longest where it runs once."""
        call = self._call
        tokens = call.max_output_tokens
        if self._found.route.retry_rule.idempotent and call.expected_output_tokens is not None:
            tokens = min(tokens, call.expected_output_tokens)
        return tokens * board.performance.output_token_seconds

    def withhold(self, withheld: Withheld) -> Exception:
        """Returns the end of a request that must not reach an engine."""
        quarantine = withheld.quarantine
        message = (
            f"prompt part {quarantine.segment} crashed {len(quarantine.engines)} engines; "
            f"it may be tried again in {withheld.retry_after:.0f} s"
        )
        return self._progress.give_up(
            RefusalReason.PROMPT_QUARANTINED, message, withheld.retry_after
        )

    def log_placed(self, upstream: DirectUpstream, note: dict[str, object], now: float) -> None:
        """Logs where an attempt goes, and what decided."""
        log_event(
            logger,
            "request_placed",
            request=self._call.request_id,
            route=self._found.route.name,
            organisation=self._found.organisation,
            rank=engine_rank(self.urgency),
            version=self._found.version,
            config_age=round(self._parts.state.freshness_tracker.age(now), 2),
            upstream=upstream.name,
            attempt=self._progress.next_attempt,
            left=round(self._progress.deadline - now, 3),
            **note,
        )
