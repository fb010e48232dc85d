"""The work of a sidecar: entries' attempts in, one upstream's answers out."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from bilberryplank._answer_stream import AnswerStream
from bilberryplank._attempt_runner import RETRY_ELSEWHERE_SECONDS, AttemptRunner
from bilberryplank._clocks import loop_time
from bilberryplank._decisions import DecisionStep
from bilberryplank._link import Link
from bilberryplank._metrics import FrameDropCause
from bilberryplank._settlements import Settlements
from bilberryplank._sidecar_attempts import HeldAttempt
from bilberryplank._sidecar_parts import SidecarParts
from bilberryplank._target_meter import TargetMeter
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import BilberryplankError, FrameInvalid, RefusalReason
from bilberryplank_core.messages import (
    Acknowledge,
    AttemptId,
    Cancel,
    ConfigurationDocument,
    Credit,
    Dispatch,
    FetchConfiguration,
    Goodbye,
    Heartbeat,
    Load,
    LoadReport,
    Message,
    NotRun,
    OrderEngine,
    Settle,
    UsageStored,
)
from bilberryplank_core.scheduling import (
    DispatchStatus,
    QueuedRequest,
    Rejection,
)

LINK_LOSS_GRACE_SECONDS = 5.0
CONFIGURATION_WAIT_SECONDS = 1.0


class SidecarRequests:
    """Queues, runs and answers what entries dispatch over their links.

    Attributes:
        leaving: True once the upstream takes no new work.
        targets: Met and missed targets.
    """

    def __init__(self, parts: SidecarParts) -> None:
        self.leaving = False
        self._parts = parts
        self._queue = parts.queue
        self._kept = parts.kept
        self._held: dict[AttemptId, HeldAttempt] = {}
        self._runner = AttemptRunner(parts, self)
        self._settlements = Settlements(parts, self.load)
        self._links: set[Link] = set()
        self._unclassified: list[HeldAttempt] = []
        self._expiry: asyncio.TimerHandle | None = None
        self.targets = TargetMeter()
        parts.feed.holder.subscribe(self._configuration_changed)

    @property
    def idle(self) -> bool:
        """True where nothing waits, runs or is on its way."""
        return not self._held and not self._unclassified

    def load(self) -> Load:
        """Returns the load that answers carry."""
        shown = self._parts.feed.shown()
        load = self._queue.load(loop_time())
        self._parts.metrics.set_load(load.queued, load.running)
        return replace(
            load,
            leaving=self.leaving,
            version=shown.version,
            confirmed_age=shown.confirmed_age,
            attainment=self.targets.attainment(loop_time()),
            arrivals=self.targets.arrivals(loop_time()),
        )

    def leave(self) -> None:
        """Tells every entry that this upstream takes no new work."""
        self.leaving = True
        self._announce()

    def close(self) -> None:
        """Ends the links and stops what runs."""
        for link in list(self._links):
            link.close_gently("stopped")
        for held in list(self._held.values()):
            held.stop(RefusalReason.CANCELLED)

    def tick(self) -> None:
        """Forgets what is too old; called every second or so."""
        self._kept.expire(loop_time())
        self._expire_queue()

    def link_ready(self, link: Link) -> None:
        """Takes a new link and shows the load."""
        assert link.peer is not None
        self._links.add(link)
        self._kept.link_opened(id(link), link.peer.epoch)
        self._parts.metrics.set_links(len(self._links))
        link.send(LoadReport(self.load()))

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """Cancels what the entry had queued; what runs goes on for a while."""
        self._links.discard(link)
        self._kept.link_closed(id(link))
        if link.peer is not None:
            self._parts.usage.peer_gone(link.peer.epoch)
        self._parts.metrics.set_links(len(self._links))
        for held in [held for held in self._held.values() if held.stream.link is link]:
            self._entry_lost(held)
        self._settlements.link_closed(link)
        self._pump()

    def link_message(self, link: Link, message: Message) -> None:
        """Handles a message of an entry."""
        match message:
            case Dispatch():
                self._parts.feed.peer_showed(link, message.version, message.confirmed_age)
                self._receive(link, message)
            case Credit(attempt, size):
                self._credit(link, attempt, size)
            case Heartbeat(version, confirmed_age):
                self._parts.feed.peer_showed(link, version, confirmed_age)
                link.send(LoadReport(self.load()))
            case Cancel(attempt):
                self._cancel(attempt)
            case Settle():
                self._settlements.settle(link, message, self._held.get(message.attempt))
            case Acknowledge(attempt):
                self._settlements.acknowledge(attempt)
            case _:
                self._shared_message(link, message)

    def _shared_message(self, link: Link, message: Message) -> None:
        match message:
            case FetchConfiguration():
                self._parts.feed.peer_fetched(link, message)
            case ConfigurationDocument():
                self._parts.feed.peer_sent(link, message)
            case OrderEngine():
                self._parts.orders.receive(link, message)
            case UsageStored(record_ids):
                self._parts.usage.peer_stored(record_ids)
            case Goodbye():
                return
            case _:
                self._parts.metrics.frame_dropped(FrameDropCause.FOREIGN)
                link.close(FrameInvalid(f"unexpected {type(message).__name__}"))

    def _receive(self, link: Link, dispatch: Dispatch) -> None:
        attempt = dispatch.attempt
        match self._kept.receive(attempt):
            case DispatchStatus.DUPLICATE:
                self._parts.metrics.frame_dropped(FrameDropCause.DOUBLED)
                return
            case DispatchStatus.TOMBSTONE:
                reason = RefusalReason.UPSTREAM_FAILED.value
                link.send(NotRun(attempt, reason, RETRY_ELSEWHERE_SECONDS, self.load()))
                return
        now = loop_time()
        stream = AnswerStream(attempt, link, self._parts.answer_bytes)
        held = HeldAttempt(dispatch, 0, now, now + dispatch.budget, stream)
        self._held[attempt] = held
        if dispatch.class_name not in self._configuration.classes:
            self._wait_for_configuration(held)
            return
        self._admit(held)

    def _wait_for_configuration(self, held: HeldAttempt) -> None:
        self._unclassified.append(held)
        loop = asyncio.get_running_loop()
        loop.call_later(CONFIGURATION_WAIT_SECONDS, self._configuration_late, held)

    def _configuration_late(self, held: HeldAttempt) -> None:
        if held in self._unclassified:
            self._unclassified.remove(held)
            self._refuse(held, RefusalReason.CONFIGURATION_STALE, RETRY_ELSEWHERE_SECONDS)

    def _admit(self, held: HeldAttempt) -> None:
        reason = self._reason_to_refuse(held.dispatch)
        if reason is not None:
            self._refuse(held, reason, RETRY_ELSEWHERE_SECONDS)
            return
        held.rank = self._configuration.rank(held.dispatch.class_name)
        self.targets.arrived(loop_time())
        rejections = self._queue.offer(held.queued(self._configuration), loop_time())
        self._parts.record(held, DecisionStep.QUEUED)
        self._reject(rejections)
        self._pump()

    def _reason_to_refuse(self, dispatch: Dispatch) -> RefusalReason | None:
        if self.leaving:
            return RefusalReason.UPSTREAM_LEAVING
        if self._parts.feed.is_stale():
            return RefusalReason.CONFIGURATION_STALE
        return self._key_refusal(dispatch)

    def _key_refusal(self, dispatch: Dispatch) -> RefusalReason | None:
        key = self._configuration.keys.get(dispatch.key_id)
        if key is None:
            newer = dispatch.version > self._configuration.version
            return None if newer else RefusalReason.KEY_UNKNOWN
        if key.withdrawn:
            return RefusalReason.KEY_WITHDRAWN
        if key.organisation != dispatch.organisation:
            return RefusalReason.KEY_NOT_ALLOWED
        return None

    def _pump(self) -> None:
        while (attempt := self._queue.preempt(loop_time())) is not None:
            self._preempt(self._held[attempt])
        while (req := self._queue.dequeue(loop_time())) is not None:
            self._start(req)
        self._plan_expiry()

    def _preempt(self, held: HeldAttempt) -> None:
        self._parts.metrics.preempted(held.dispatch.class_name)
        self._parts.record(held, DecisionStep.PREEMPTED)
        held.stop(RefusalReason.PREEMPTED)

    def _start(self, req: QueuedRequest) -> None:
        held = self._held[req.attempt]
        reason = self._key_refusal(held.dispatch)
        if reason is not None:
            self._queue.release(req.attempt, loop_time(), 0, 0, False)
            self._refuse(held, reason, 0.0)
            return
        if not self._kept.dispatch(req.attempt):
            raise AssertionError("a queued attempt is known as queued")
        self._queue.record_sent(req.attempt, loop_time())
        held.waited = loop_time() - held.arrived
        self._parts.metrics.queue_waited(held.dispatch.class_name, held.waited)
        self._parts.record(held, DecisionStep.STARTED, f"waited={held.waited:.3f}")
        held.task = asyncio.get_running_loop().create_task(self._runner.run(held))
        held.task.add_done_callback(lambda _: self._ended_unbegun(held))

    def _ended_unbegun(self, held: HeldAttempt) -> None:
        """Frees the place of an attempt that was stopped before its task took its first step.

        A task that is cancelled before that runs none of its code, not even its clean-up.
        """
        if not held.began:
            self._runner.never_began(held)

    def _refuse(self, held: HeldAttempt, reason: RefusalReason, retry_after: float) -> None:
        attempt = held.dispatch.attempt
        if not self._kept.refuse(attempt, loop_time()):
            raise AssertionError("only an attempt that never ran can be refused")
        self._held.pop(attempt, None)
        self._parts.metrics.refused(reason, held.dispatch.class_name)
        self.targets.refused(reason, loop_time())
        self.send_not_run(held, reason, retry_after)

    def send_not_run(self, held: HeldAttempt, reason: RefusalReason, retry_after: float) -> None:
        """Says that an attempt never ran and never will."""
        self._parts.record(held, DecisionStep.NOT_RUN, reason.value)
        link = held.stream.link
        if link is not None:
            link.send(NotRun(held.dispatch.attempt, reason.value, retry_after, self.load()))

    def attempt_ended(self, held: HeldAttempt) -> None:
        """Takes in that an attempt no longer holds a slot."""
        self._held.pop(held.dispatch.attempt, None)
        self._pump()

    def _reject(self, rejections: list[Rejection]) -> None:
        for rejection in rejections:
            held = self._held[rejection.attempt]
            self._refuse(held, rejection.reason, rejection.retry_after)

    def _expire_queue(self) -> None:
        self._reject(self._queue.expire(loop_time()))
        self._plan_expiry()

    def _plan_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        deadline = self._queue.next_expiry()
        if deadline is not None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_at(deadline, self._expire_queue)

    def _cancel(self, attempt: AttemptId) -> None:
        held = self._held.get(attempt)
        if held is None:
            return
        if held.task is None:
            self._cancel_queued(held)
        elif held.dispatch.idempotent:
            held.stop(RefusalReason.CANCELLED)

    def _cancel_queued(self, held: HeldAttempt) -> None:
        if held in self._unclassified:
            self._unclassified.remove(held)
        else:
            self._queue.cancel(held.dispatch.attempt)
        self._refuse(held, RefusalReason.CANCELLED, 0.0)

    def _entry_lost(self, held: HeldAttempt) -> None:
        held.stream.detach()
        if held.task is None:
            self._cancel_queued(held)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LINK_LOSS_GRACE_SECONDS, self._stop_if_detached, held)

    def _stop_if_detached(self, held: HeldAttempt) -> None:
        if held.stream.link is None and held.dispatch.idempotent:
            held.stop(RefusalReason.CANCELLED)

    def _announce(self) -> None:
        """Sends the load, with the version in force, over every link."""
        report = LoadReport(self.load())
        for link in self._links:
            link.send(report)

    def _credit(self, link: Link, attempt: AttemptId, size: int) -> None:
        held = self._held.get(attempt)
        if held is None:
            self._settlements.credit(link, attempt, size)
        elif held.stream.link is link:
            held.stream.credit(size)

    def _configuration_changed(self, configuration: Configuration) -> None:
        self._announce()
        withdrawn = [key.key_id for key in configuration.parts.keys if key.withdrawn]
        self._reject(self._queue.reject_withdrawn_keys(withdrawn))
        waiting = self._unclassified
        self._unclassified = []
        for held in waiting:
            if held.dispatch.class_name in configuration.classes:
                self._admit(held)
            else:
                self._unclassified.append(held)

    @property
    def _configuration(self) -> Configuration:
        return self._parts.feed.configuration
