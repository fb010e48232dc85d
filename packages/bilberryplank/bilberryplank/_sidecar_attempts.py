"""Attempts that a sidecar holds, from dispatch to the end of the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from bilberryplank._answer_stream import AnswerStream
from bilberryplank._metrics import ProcessMetrics
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import RefusalReason
from bilberryplank_core.messages import Dispatch, Head, Headers, Load
from bilberryplank_core.scheduling import AttemptRecords, QueuedRequest

EVENT_END = b"\n\n"


@dataclass(slots=True, eq=False)
class HeldAttempt:
    """One attempt in a sidecar.

    Attributes:
        dispatch: The entry's message.
        rank: Rank of the class's tier.
        arrived: Loop time in seconds at which it arrived.
        deadline: Loop time in seconds at which it is given up.
        stream: The way of its answer to the entry.
        task: The call to the upstream once it runs.
        stopped_for: Why its call was stopped; None while it was not.
        waited: Seconds that it waited before it went to the upstream.
        began: True once its task took its first step.
    """

    dispatch: Dispatch
    rank: int
    arrived: float
    deadline: float
    stream: AnswerStream
    task: asyncio.Task[None] | None = None
    stopped_for: RefusalReason | None = None
    waited: float = 0.0
    began: bool = False

    def stop(self, reason: RefusalReason) -> None:
        """Stops the running call."""
        if self.task is not None and self.stopped_for is None:
            self.stopped_for = reason
            self.task.cancel()

    def queued(self, configuration: Configuration) -> QueuedRequest:
        """Returns the request as the queue sees it; its class must be configured."""
        dispatch = self.dispatch
        request_class = configuration.classes[dispatch.class_name]
        organisation = configuration.organisations.get(dispatch.organisation)
        return QueuedRequest(
            attempt=dispatch.attempt,
            organisation=dispatch.organisation,
            key_id=dispatch.key_id,
            class_name=dispatch.class_name,
            rank=self.rank,
            prompt_tokens=dispatch.prompt_tokens,
            output_limit=dispatch.output_limit,
            arrived=self.arrived,
            deadline=self.deadline,
            first_token_target=request_class.first_token_target,
            weight=organisation.weight if organisation else 1.0,
            floor_share=request_class.floor_share,
            idempotent=dispatch.idempotent,
            preemptible=dispatch.idempotent,
        )


class KeepingSink:
    """Passes an answer to its stream and keeps it for an entry that has to ask again.

    Attributes:
        first_byte: Loop time in seconds at which the answer began; None before.
        events: Server-sent events that came, about one a token; 0 for an answer in one piece.
    """

    __slots__ = ("events", "first_byte", "_held", "_kept", "_load", "_metrics", "_seen")

    def __init__(
        self,
        held: HeldAttempt,
        kept: AttemptRecords,
        load: Callable[[], Load],
        metrics: ProcessMetrics,
        first_byte_seen: Callable[[HeldAttempt, float], None] = lambda held, waited: None,
    ) -> None:
        self.events = 0
        self.first_byte: float | None = None
        self._held = held
        self._kept = kept
        self._load = load
        self._metrics = metrics
        self._seen = first_byte_seen

    async def head(self, status: int, headers: Headers) -> None:
        """Takes status and headers."""
        attempt, waited, load = self._held.dispatch.attempt, self._held.waited, self._load()
        self._kept.keep_head(attempt, Head(attempt, status, headers, load, waited))
        self._held.stream.head(status, headers, load, waited)

    async def part(self, data: bytes) -> None:
        """Takes the next bytes of the body."""
        if self.first_byte is None:
            self._note_first_byte()
        self.events += data.count(EVENT_END)
        self._kept.keep_part(self._held.dispatch.attempt, data)
        await self._held.stream.part(data)

    def _note_first_byte(self) -> None:
        self.first_byte = asyncio.get_running_loop().time()
        waited = self.first_byte - self._held.arrived
        self._metrics.first_token(self._held.dispatch.class_name, waited)
        self._seen(self._held, waited)
