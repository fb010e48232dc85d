"""Confirms crashes of engines and withholds the requests that caused them."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from bilberryplank._clocks import boot_time
from bilberryplank._direct_client import DirectClient
from bilberryplank._direct_state import DirectState
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.direct import (
    CrashRecord,
    DirectUpstream,
    Outcome,
    PromptQuarantine,
    Quarantine,
    RequestHead,
    Withheld,
    shared_segments,
)

CHECK_PAUSES_SECONDS = (0.0, 0.02, 0.1, 0.3)
"""Pauses before each connection that checks whether an engine has crashed."""

MIN_ACCEPTED = 2
"""Checks that an engine must accept to count as alive; a crashing one may accept one more."""

MAX_WAIT_SECONDS = 0.1
"""Longest time that a request waits for the check before it is retried."""


@dataclass(slots=True)
class GuardedRequest:
    """A request to an engine, as the guard sees it.

    Attributes:
        token: Unique id in this process; callers may send an id twice.
        request_id: The caller's id of it, for the log.
        segments: Names of the shared segments of its prompt.
        stop: Called once if it is quarantined while it waits for an engine.
    """

    token: str
    request_id: str
    segments: tuple[str, ...]
    stop: Callable[[Withheld], None]


class CrashGuard:
    """Evidence of crashes at one entry, and the requests that it concerns.

    Args:
        state: Upstreams and their health.
        client: Checks whether an engine is alive.
        metrics: Counts crashes and quarantines.

    Attributes:
        quarantine: Decides which segments are withheld.
        confirmed: Engines whose crash this entry confirmed itself.
        told: Called when this entry learned something that other entries lack, with True if they
            need it at once.
    """

    def __init__(self, state: DirectState, client: DirectClient, metrics: ProcessMetrics) -> None:
        self.quarantine = PromptQuarantine(state.members.rank)
        self.confirmed: set[str] = set()
        self.told: Callable[[bool], None] = lambda _: None
        self._state = state
        self._client = client
        self._metrics = metrics
        self._tokens = itertools.count()
        self._waiting: dict[str, GuardedRequest] = {}
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._in_force: dict[str, Quarantine] = {}

    def guard(self, call: RequestHead, stop: Callable[[Withheld], None]) -> GuardedRequest:
        """Returns a request as the guard sees it."""
        token = str(next(self._tokens))
        return GuardedRequest(token, call.request_id, shared_segments(call), stop)

    def admit(self, guarded: GuardedRequest) -> Withheld | None:
        """Returns why a request is withheld; None if it may be sent."""
        now = boot_time()
        held = self.quarantine.admit(guarded.token, guarded.segments, now)
        if held is not None:
            log_event(
                logger,
                "prompt_withheld",
                request=guarded.request_id,
                part=held.quarantine.segment,
                engines=",".join(held.quarantine.engines),
                since=round(now - held.quarantine.since, 2),
                retry_after=round(held.retry_after, 2),
            )
        return held

    def begin(self, guarded: GuardedRequest) -> None:
        """Records that a request is sent to an engine."""
        if guarded.segments:
            self._waiting[guarded.token] = guarded

    def begun(self, guarded: GuardedRequest) -> None:
        """Records that the response to a request has begun."""
        self._waiting.pop(guarded.token, None)

    def end(self, guarded: GuardedRequest) -> None:
        """Records that an attempt ended."""
        self.begun(guarded)
        self.quarantine.end_trial(guarded.token)

    def settled(self, guarded: GuardedRequest, began_at: float) -> None:
        """Records that an engine outlived the begin of a response."""
        if guarded.segments and self.quarantine.evidence.record_sound(guarded.segments, began_at):
            self._refresh()
            self.told(False)

    async def lost(
        self, guarded: GuardedRequest, upstream: DirectUpstream, has_head: bool, sent_at: float
    ) -> None:
        """Records a request as evidence if the engine that lost its response has crashed.

        Args:
            guarded: The request, without an event or with a recent first one.
            upstream: The engine.
            has_head: True if the header of the response had arrived, but no event.
            sent_at: When the request was sent to the engine.
        """
        known = self._state.registry.upstreams.get(upstream.name)
        if not guarded.segments or known is None or known.leaving:
            return
        lost_at = boot_time()
        check = self._check(upstream)
        found = CrashRecord("", lost_at)
        (found.begun if has_head else found.unsettled).update(guarded.segments)
        if has_head:
            found.exposure = lost_at - sent_at

        def record(task: asyncio.Task[bool]) -> None:
            if not task.cancelled() and task.exception() is None and task.result():
                self._record(guarded, upstream, found)

        if check.done():
            record(check)
            return
        check.add_done_callback(record)
        await asyncio.wait({check}, timeout=MAX_WAIT_SECONDS)
        await asyncio.sleep(0)

    def is_suspect(self, guarded: GuardedRequest) -> bool:
        """Returns True if a retry of the request may crash another engine."""
        return self.quarantine.is_suspect(guarded.segments)

    def merge(self, records: Iterable[CrashRecord]) -> None:
        """Adds what other entries or the store know."""
        if any([self.quarantine.evidence.add(record) for record in records]):
            self._refresh()

    def lift(self, segment: str) -> None:
        """Ends the quarantine of a segment, as an operator asked."""
        cleared = self.quarantine.evidence.clear([segment], boot_time())
        log_event(logger, "prompt_quarantine_lifted", level="WARNING", part=segment, known=cleared)
        if cleared:
            self._refresh()
            self.told(True)

    def expire(self) -> None:
        """Drops evidence that no longer counts."""
        evidence = self.quarantine.evidence
        evidence.expire(boot_time())
        self.confirmed &= {record.engine for record in evidence}
        self._refresh()

    def _check(self, upstream: DirectUpstream) -> asyncio.Task[bool]:
        engine = _engine_key(upstream)
        check = self._checks.get(engine)
        if check is None or (check.done() and not check.result()):
            self._checks[engine] = check = asyncio.create_task(self._has_crashed(upstream))
            check.add_done_callback(lambda task: self._forget_check(engine, task))
        return check

    def _forget_check(self, engine: str, task: asyncio.Task[bool]) -> None:
        # A confirmed crash stays known for requests that notice it a moment later.
        asyncio.get_running_loop().call_later(1.0, lambda: self._drop_check(engine, task))

    def _drop_check(self, engine: str, task: asyncio.Task[bool]) -> None:
        if self._checks.get(engine) is task:
            del self._checks[engine]

    async def _has_crashed(self, upstream: DirectUpstream) -> bool:
        accepted = 0
        for pause in CHECK_PAUSES_SECONDS:
            await asyncio.sleep(pause)
            listening = await self._client.is_listening(upstream.address)
            if listening is False:
                self._metrics.engine_crashed()
                self._state.record(upstream, Outcome.NOT_REACHED, "")
                return True
            accepted += bool(listening)
            if accepted >= MIN_ACCEPTED:
                break
        log_event(logger, "engine_did_not_crash", upstream=upstream.name, responds=bool(accepted))
        return False

    def _record(
        self, guarded: GuardedRequest, upstream: DirectUpstream, record: CrashRecord
    ) -> None:
        evidence = self.quarantine.evidence
        record.engine = evidence.crash_id(_engine_key(upstream), record.at)
        log_event(
            logger,
            "engine_crashed",
            level="WARNING",
            upstream=upstream.name,
            request=guarded.request_id,
            begun=bool(record.begun),
            parts=",".join(guarded.segments),
        )
        self.confirmed.add(record.engine)
        if evidence.add(record):
            self._refresh()
            self.told(True)

    def _refresh(self) -> None:
        """Logs quarantines that began or ended, and stops the requests that they concern."""
        found = {each.segment: each for each in self.quarantine.quarantines()}
        for segment in self._in_force.keys() - found.keys():
            log_event(logger, "prompt_quarantine_ended", part=segment)
        for segment, quarantine in found.items():
            before = self._in_force.get(segment)
            if before is None or before.engines != quarantine.engines:
                log_event(
                    logger,
                    "prompt_quarantined",
                    level="WARNING",
                    part=segment,
                    crashes=len(quarantine.engines),
                    engines=",".join(quarantine.engines),
                    seconds=round(quarantine.until - boot_time(), 2),
                )
        self._in_force = found
        self._metrics.set_quarantines(len(found))
        now = boot_time()
        for guarded in list(self._waiting.values()) if found else ():
            blocking = self.quarantine.blocking(guarded.segments, now)
            if blocking is not None:
                self.begun(guarded)
                guarded.stop(Withheld(blocking, blocking.until - now))


def _engine_key(upstream: DirectUpstream) -> str:
    """Returns a name for one start of an engine."""
    return f"{upstream.name}/{upstream.started_at}"
