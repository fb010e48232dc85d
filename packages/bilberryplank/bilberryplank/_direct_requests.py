"""What a direct entry does with each request of a caller."""

from __future__ import annotations

import asyncio

from aiohttp import web
from loguru import logger

from bilberryplank._caller_answer import AnswerCutOff, CallerGone
from bilberryplank._caller_memory import CallerMemory
from bilberryplank._caller_request import receive
from bilberryplank._clocks import boot_time
from bilberryplank._crash_guard import CrashGuard
from bilberryplank._decisions import DecisionJournal, DecisionStep
from bilberryplank._direct_client import DirectClient
from bilberryplank._direct_run import DirectRun
from bilberryplank._direct_state import DirectState
from bilberryplank._logs import log_event
from bilberryplank._metrics import NO_CLASS, ProcessMetrics, RequestOutcome
from bilberryplank._refusals import refusal_body
from bilberryplank._run_parts import RunParts
from bilberryplank._run_progress import STOP_RETURN_SECONDS
from bilberryplank_core.direct import (
    ClassifiedRequest,
    FleetClock,
    Freshness,
    HeaderCodec,
    RequestHead,
    StopSchedule,
    WindowCounts,
)
from bilberryplank_core.errors import REFUSAL_STATUS, RefusalReason, Refused
from bilberryplank_core.memory import UNFINISHED_SHARE, HeldBytes

SOON_SECONDS = 0.4
"""When to come back for what a fresh read of the store will settle."""

FINAL_REASONS = frozenset(
    {RefusalReason.ROUTE_UNKNOWN, RefusalReason.KEY_UNKNOWN, RefusalReason.KEY_MISSING}
)
"""Refusals that hold only while the configuration is known to be the newest."""


class DirectRequests:
    """Handles callers' requests.

    Attributes:
        in_flight: Requests whose final answer is not out yet.
    """

    def __init__(
        self,
        state: DirectState,
        client: DirectClient,
        crashes: CrashGuard,
        header_codec: HeaderCodec,
        counts: WindowCounts,
        fleet_clock: FleetClock,
        metrics: ProcessMetrics,
        memory: CallerMemory,
        journal: DecisionJournal,
        stop_schedule: StopSchedule,
    ) -> None:
        self.in_flight = 0
        self._bounds: set[asyncio.Timeout] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._state = state
        self._header_codec = header_codec
        self._metrics = metrics
        self._journal = journal
        self._memory = memory
        self._stop_schedule = stop_schedule
        self._parts = RunParts(
            state,
            client,
            crashes,
            header_codec,
            counts,
            fleet_clock,
            metrics,
            stop_schedule,
            HeldBytes(int(UNFINISHED_SHARE * memory.settings.held_bytes)),
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the final answer to a request."""
        arrived = boot_time()
        self.in_flight += 1
        self._idle.clear()
        call = RequestHead("")
        class_name = NO_CLASS
        try:
            call = self._header_codec.read_request_head(request.headers)
            found = self._classify(request, call)
            class_name = found.route.name
            resp = await self._carry_out(request, call, found, arrived)
            self._metrics.request_ended(class_name, RequestOutcome.ANSWERED)
            return resp
        except Refused as refused:
            return self._refuse(call, refused, class_name, arrived)
        except AnswerCutOff as exc:
            self._metrics.refused(exc.refused.reason, class_name)
            self._metrics.request_ended(class_name, RequestOutcome.MAY_HAVE_RUN)
            raise
        except (CallerGone, asyncio.CancelledError) as exc:
            self._metrics.request_ended(class_name, RequestOutcome.CALLER_GONE)
            now = boot_time()
            stop_age = self._stop_schedule.age(now)
            log_event(
                logger,
                "request_abandoned",
                request=call.request_id,
                cause=f"{type(exc).__name__}: {exc}",
                seconds=round(now - arrived, 3),
                stopping=None if stop_age is None else round(stop_age, 3),
            )
            raise
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self._idle.set()

    def begin_stop(self) -> None:
        """Has all requests end once the stop's answers are due."""
        for bound in self._bounds:
            if not bound.expired():
                bound.reschedule(self._loop_time_due())

    async def _carry_out(
        self, request: web.BaseRequest, call: RequestHead, found: ClassifiedRequest, arrived: float
    ) -> web.StreamResponse:
        """Returns the answer to a request of a known route.

        Raises:
            Refused: It was not served, or not in the time that a stop leaves.
            CallerGone: The caller left, or its answer was cut off.
        """
        run: DirectRun | None = None
        room = self._memory.open_body(found.organisation or request.remote or "")
        bound = asyncio.timeout_at(self._loop_time_due())
        self._bounds.add(bound)
        try:
            async with bound:
                received = await receive(request, self._memory.settings, room)
                run = DirectRun(
                    self._parts, request, received, call, found, arrived, self._is_stopping
                )
                return await run.run()
        except TimeoutError:
            if run is not None:
                raise run.end_early("this entry stops, and no whole answer came") from None
            raise self._stopped("this entry stops, and the body is not whole") from None
        finally:
            room.close()
            self._bounds.discard(bound)

    def _loop_time_due(self) -> float | None:
        """Returns the loop's time when a stop's answers are due; None without a stop."""
        if not self._is_stopping():
            return None
        left = self._stop_schedule.answers_due - boot_time()
        return asyncio.get_running_loop().time() + left

    def _is_stopping(self) -> bool:
        return self._stop_schedule.age(boot_time()) is not None

    @staticmethod
    def _stopped(message: str) -> Refused:
        return Refused(RefusalReason.DRAINING, message, retry_after=STOP_RETURN_SECONDS)

    async def wait_idle(self, timeout: float) -> bool:
        """Waits until no request is in flight; returns False where the time is up first."""
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def _classify(self, request: web.BaseRequest, call: RequestHead) -> ClassifiedRequest:
        routes = self._state.routes
        now = boot_time()
        freshness = self._state.freshness_tracker.freshness(now)
        if routes is None or freshness is Freshness.STALE:
            age = self._state.freshness_tracker.age(now)
            message = f"the configuration was last confirmed {age:.2f} s ago"
            raise Refused(RefusalReason.CONFIGURATION_STALE, message, retry_after=SOON_SECONDS)
        path = request.raw_path.partition("?")[0]
        try:
            found = routes.classify(request.headers.get("Host", ""), path, call)
        except Refused as refused:
            if refused.reason in FINAL_REASONS and freshness is not Freshness.CONFIRMED:
                message = f"{refused}, but the configuration may be behind"
                raise Refused(
                    RefusalReason.CONFIGURATION_STALE, message, retry_after=SOON_SECONDS
                ) from refused
            raise
        if not self._stop_schedule.may_take(now, found.time_limit(call)):
            raise self._stopped("this entry stops")
        return found

    def _refuse(
        self, call: RequestHead, refused: Refused, class_name: str, arrived: float
    ) -> web.Response:
        outcome = RequestOutcome.NOT_RUN if refused.not_run else RequestOutcome.MAY_HAVE_RUN
        self._metrics.refused(refused.reason, class_name)
        self._metrics.request_ended(class_name, outcome)
        self._journal.record(
            call.request_id, DecisionStep.REFUSED, f"{refused.reason.value}: {refused}"
        )
        routes = self._state.routes
        log_event(
            logger,
            "request_refused",
            request=call.request_id,
            route=class_name,
            reason=refused.reason.value,
            not_run=refused.not_run,
            retry_after=refused.retry_after,
            seconds=round(boot_time() - arrived, 3),
            version=routes.configuration.version if routes else 0,
            config_age=round(self._state.freshness_tracker.age(boot_time()), 2),
            message=refused,
        )
        status = REFUSAL_STATUS[refused.reason].value
        resp = web.Response(status=status, body=refusal_body(refused))
        resp.content_type = "application/json"
        for name, value in self._header_codec.refusal_fields(refused, call.request_id):
            resp.headers[name] = value
        if self._is_stopping():
            resp.force_close()
        return resp
