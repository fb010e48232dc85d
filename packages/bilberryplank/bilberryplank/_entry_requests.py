"""What an entry does with each request of a caller."""

from __future__ import annotations

import asyncio

from aiohttp import web
from loguru import logger

from bilberryplank._call_intent import CallIntent
from bilberryplank._caller_answer import AnswerCutOff, CallerAnswer, CallerGone
from bilberryplank._clocks import loop_time
from bilberryplank._decisions import DecisionStep
from bilberryplank._entry_parts import EntryParts
from bilberryplank._intake import Call, Intake, is_models_list
from bilberryplank._logs import log_event
from bilberryplank._metrics import NO_CLASS, RequestOutcome
from bilberryplank._refusals import refusal_response
from bilberryplank._request_run import RequestRun
from bilberryplank._upstream_view import UpstreamView
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.fleet import RequestIds
from bilberryplank_core.idempotency import RequestIdentity, identify
from bilberryplank_core.routing import (
    OrganisationLimits,
    RequestAttempts,
    RequestKind,
    RequestTraits,
    affinity_key,
    cost_of,
)
from bilberryplank_core.scheduling import OutputLengthEstimator
from bilberryplank_core.settings import RoutingSettings
from bilberryplank_core.world import Host, Key, ServiceRoute


class EntryRequests:
    """Handles callers' requests.

    Attributes:
        in_flight: Requests whose final answer is not out yet.
        draining: True once the entry is about to stop.
        limits: Limits of organisations, as far as this entry shares in them.
    """

    def __init__(
        self, intake: Intake, parts: EntryParts, view: UpstreamView, routing: RoutingSettings
    ) -> None:
        self.in_flight = 0
        self.draining = False
        self._ids = RequestIds(parts.epoch)
        self._intake = intake
        self._parts = parts
        self._view = view
        self._routing = routing
        self._upstreams: set[str] = set()
        self._lengths = OutputLengthEstimator()
        self.limits = OrganisationLimits(parts.feed.configuration)
        parts.feed.holder.subscribe(self._configuration_changed)

    def list_hosts(self, _: list[Host]) -> None:
        """Takes in how many entries share the limits of organisations."""
        self.limits.set_entries(len(self._view.entries), loop_time())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the final answer to a request."""
        self.in_flight += 1
        request_id = self._ids.next()
        try:
            return await self._handle(request, request_id)
        except Refused as refused:
            return self._refuse(request_id, refused, NO_CLASS)
        finally:
            self.in_flight -= 1

    async def _handle(self, request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        arrived = loop_time()
        credentials, key = self._intake.authenticate(request)
        if is_models_list(request, credentials.path):
            return self._intake.list_models(key)
        room = self._intake.open_room(key)
        try:
            call = await self._intake.read_call(
                request, request_id, arrived, credentials, key, room
            )
            return await self._answer(request, call, key)
        finally:
            room.close()

    async def _answer(self, request: web.BaseRequest, call: Call, key: Key) -> web.StreamResponse:
        class_name = call.classified.request_class.name
        self._record(call, DecisionStep.CLASSIFIED, f"class={class_name}")
        try:
            return await self._run_admitted(request, call, key)
        except Refused as refused:
            return self._refuse(call.request_id, refused, class_name)

    async def _run_admitted(
        self, request: web.BaseRequest, call: Call, key: Key
    ) -> web.StreamResponse:
        """Runs a request under the limits of its organisation."""
        class_name, organisation = call.classified.request_class.name, key.organisation
        prompt = call.model_call.prompt_tokens if call.model_call else 0
        limit = call.model_call.output_limit if call.model_call else 0
        output = self._lengths.estimate(class_name, organisation, limit) if prompt else 0
        admission = self.limits.admit(key, class_name, prompt + output, loop_time())
        run = self._prepare(request, call, cost_of(prompt, output))
        try:
            return await self._run(call, run)
        finally:
            used = run.usage
            if used is not None and prompt:
                self._lengths.observe(class_name, organisation, used.completion_tokens)
            actual = used.prompt_tokens + used.completion_tokens if used is not None else 0
            self.limits.settle(admission, actual)

    def _prepare(self, request: web.BaseRequest, call: Call, cost: float) -> RequestRun:
        answer = CallerAnswer(request, call.request_id, self.draining, not call.idempotent)
        intent = CallIntent(self._parts.intents, _identity_of(call))
        return RequestRun(self._parts, call, self._attempts(call), answer, intent, cost)

    async def _run(self, call: Call, run: RequestRun) -> web.StreamResponse:
        try:
            resp = await (run.run() if call.idempotent else self._run_to_end(run))
        except AnswerCutOff as exc:
            self._note_cut_off(call, exc.refused)
            raise
        except (CallerGone, asyncio.CancelledError):
            run.note_caller_gone()
            self._log(call, "request_left")
            raise
        self._log(call, "request_answered")
        return resp

    def _note_cut_off(self, call: Call, refused: Refused) -> None:
        class_name = call.classified.request_class.name
        self._parts.metrics.refused(refused.reason, class_name)
        self._parts.metrics.request_ended(class_name, RequestOutcome.MAY_HAVE_RUN)
        self._record(call, DecisionStep.REFUSED, f"cut off: {refused.reason.value}")
        self._log(call, "request_cut_off", reason=refused.reason.value)

    async def _run_to_end(self, run: RequestRun) -> web.StreamResponse:
        """Runs a call that may run once; its end is followed even where the caller leaves."""
        task = asyncio.create_task(run.run())
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            run.answer.discard()
            self.in_flight += 1
            task.add_done_callback(self._left_run_ended)
            raise

    def _left_run_ended(self, task: asyncio.Task[web.StreamResponse]) -> None:
        self.in_flight -= 1
        if not task.cancelled():
            task.exception()

    def _attempts(self, call: Call) -> RequestAttempts:
        configuration = self._parts.feed.configuration
        lowest = max(tier.rank for tier in configuration.parts.tiers)
        model_call = call.model_call
        affinity = None
        if model_call is not None:
            affinity = affinity_key(call.classified.organisation, model_call.prefix)
        traits = RequestTraits(
            request_id=call.request_id,
            epoch=self._parts.epoch,
            idempotent=call.idempotent,
            deadline=call.arrived + call.classified.request_class.deadline,
            tries_all_upstreams=call.classified.rank < lowest,
            affinity=affinity,
            may_try_ejected=call.classified.rank > 0,
            kind=RequestKind(call.classified.rank, call.classified.request_class.name),
        )
        live, suspected = self._view.candidates(call.classified.upstreams)
        return RequestAttempts(
            traits,
            live,
            self._parts.chooser,
            self._parts.retry_budget,
            self._routing.max_attempts,
            suspected,
        )

    def _refuse(self, request_id: str, refused: Refused, class_name: str) -> web.Response:
        outcome = RequestOutcome.NOT_RUN if refused.not_run else RequestOutcome.MAY_HAVE_RUN
        self._parts.metrics.refused(refused.reason, class_name)
        self._parts.metrics.request_ended(class_name, outcome)
        self._parts.journal.record(request_id, DecisionStep.REFUSED, refused.reason.value)
        log_event(
            logger,
            "request_refused",
            request=request_id,
            reason=refused.reason.value,
            not_run=refused.not_run,
            message=refused,
        )
        resp = refusal_response(refused, request_id)
        if self.draining or refused.reason in _CLOSING_REASONS:
            resp.force_close()
        return resp

    def _log(self, call: Call, event: str, **fields: str) -> None:
        seconds = loop_time() - call.arrived
        log_event(
            logger,
            event,
            request=call.request_id,
            organisation=call.classified.organisation,
            class_name=call.classified.request_class.name,
            route=call.classified.route.name,
            seconds=seconds,
            **fields,
        )

    def _configuration_changed(self, configuration: Configuration) -> None:
        for name in self._upstreams - configuration.upstreams.keys():
            self._parts.chooser.forget(name)
        self._upstreams = set(configuration.upstreams)
        self.limits.set_configuration(configuration, loop_time())

    def _record(self, call: Call, step: DecisionStep, detail: str = "") -> None:
        self._parts.journal.record(call.request_id, step, detail)


def _identity_of(call: Call) -> RequestIdentity | None:
    route = call.classified.route
    if call.idempotent or not isinstance(route, ServiceRoute):
        return None
    organisation = call.classified.organisation
    return identify(route, organisation, call.method, call.path, call.headers, call.body)


_CLOSING_REASONS = frozenset((RefusalReason.SLOW_SENDER, RefusalReason.BODY_TOO_LARGE))
