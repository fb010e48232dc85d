"""Finding out what became of an earlier request with the same identity."""

from __future__ import annotations

import asyncio

from bilberryplank._attempt_channel import AttemptChannel, LinkLost
from bilberryplank._call_intent import duplicate_in_progress, duplicate_unsettled
from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._entry_links import EntryLinks
from bilberryplank._link import Link
from bilberryplank._link_pool import LinkPool
from bilberryplank_core.errors import HandshakeFailed, LinkClosed, RefusalReason
from bilberryplank_core.idempotency import IntentState, StoredAnswer, VersionedIntent
from bilberryplank_core.messages import Failed, NotRun, Settle
from bilberryplank_core.routing import (
    AnswerAssembler,
    AnswerEnd,
    AnswerPart,
    AnswerStart,
)


class RepeatSettler:
    """Asks the table and the sidecar about an earlier request."""

    __slots__ = ("_feed", "_links", "_pool")

    def __init__(self, pool: LinkPool, links: EntryLinks, feed: ConfigurationFeed) -> None:
        self._pool = pool
        self._links = links
        self._feed = feed

    async def settle(self, found: VersionedIntent, timeout: float) -> StoredAnswer | None:
        """Returns the earlier request's answer, or None where it never ran and never will.

        Raises:
            Refused: It is running, or nobody knows whether it ran.
        """
        if found.intent.state is IntentState.ANSWERED:
            return _kept_answer(found)
        try:
            link = await self._link_to(found.intent.upstream, timeout)
        except (LinkClosed, HandshakeFailed) as exc:
            raise duplicate_unsettled("the upstream of the first request is gone") from exc
        channel = self._links.open_channel(found.intent.attempt, link)
        try:
            link.send(Settle(found.intent.attempt, found.intent.sidecar_epoch, False))
            return await self._collect(channel, timeout)
        except TimeoutError as exc:
            raise duplicate_unsettled("the first request could not be settled in time") from exc
        finally:
            self._links.close_channel(channel)

    async def _link_to(self, name: str, timeout: float) -> Link:
        upstream = self._feed.configuration.upstreams.get(name)
        if upstream is None:
            raise LinkClosed(f"{name} is no longer configured")
        return await self._pool.get_sidecar(upstream, timeout)

    async def _collect(self, channel: AttemptChannel, timeout: float) -> StoredAnswer | None:
        assembler = AnswerAssembler(model_answer=False)
        assembler.begin(channel.attempt)
        collector = AnswerCollector()
        deadline = asyncio.get_running_loop().time() + timeout
        while True:
            remaining = deadline - asyncio.get_running_loop().time()
            event = await channel.get(max(0.0, remaining))
            match event:
                case NotRun():
                    return None
                case Failed(reason=RefusalReason.DUPLICATE_IN_PROGRESS.value):
                    raise duplicate_in_progress()
                case Failed() | LinkLost():
                    raise duplicate_unsettled("the first request may have run")
            for output in assembler.accept(event):
                collector.take(output)
                if isinstance(output, AnswerEnd):
                    return collector.answer()


class AnswerCollector:
    """Collects what a caller gets into one answer."""

    __slots__ = ("_body", "_start")

    def __init__(self) -> None:
        self._start: AnswerStart | None = None
        self._body = bytearray()

    def take(self, output: object) -> None:
        """Takes a part of the answer."""
        match output:
            case AnswerStart():
                self._start = output
            case AnswerPart(data):
                self._body += data

    def answer(self) -> StoredAnswer:
        """Returns what was collected; the answer must have begun."""
        assert self._start is not None
        return StoredAnswer(self._start.status, self._start.headers, bytes(self._body))


def _kept_answer(found: VersionedIntent) -> StoredAnswer:
    answer = found.intent.answer
    if answer is None or answer.body is None:
        raise duplicate_unsettled("the first request ran; its answer was too large to be kept")
    return answer
