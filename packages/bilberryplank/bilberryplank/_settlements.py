"""Answers to entries that ask what became of an attempt."""

from __future__ import annotations

from collections.abc import Callable

from bilberryplank._answer_stream import AnswerStream
from bilberryplank._attempt_runner import RETRY_ELSEWHERE_SECONDS
from bilberryplank._clocks import loop_time
from bilberryplank._link import Link
from bilberryplank._sidecar_attempts import HeldAttempt
from bilberryplank._sidecar_parts import SidecarParts
from bilberryplank_core.errors import RefusalReason
from bilberryplank_core.messages import AttemptId, Failed, Load, NotRun, Settle
from bilberryplank_core.scheduling import KeptAnswer, NeverRan, Running


class Settlements:
    """Sends kept answers again, and says what is known of the others."""

    __slots__ = ("_load", "_parts", "_replays")

    def __init__(self, parts: SidecarParts, load: Callable[[], Load]) -> None:
        self._parts = parts
        self._load = load
        self._replays: dict[AttemptId, AnswerStream] = {}

    def settle(self, link: Link, message: Settle, held: HeldAttempt | None) -> None:
        """Answers an entry that lost its link; `held` is the attempt where it still runs."""
        attempt = message.attempt
        settlement = self._parts.kept.settle(
            attempt, message.sidecar_epoch, self._parts.epoch, loop_time(), id(link)
        )
        match settlement:
            case KeptAnswer(head, parts, usage):
                stream = AnswerStream.from_kept(attempt, link, head, parts, usage)
                self._replays[attempt] = stream
            case Running() if held is not None:
                self._settle_running(link, message, held)
            case NeverRan():
                reason = RefusalReason.UPSTREAM_FAILED.value
                link.send(NotRun(attempt, reason, RETRY_ELSEWHERE_SECONDS, self._load()))
            case _:
                link.send(Failed(attempt, RefusalReason.OUTCOME_UNKNOWN.value, self._load()))

    def _settle_running(self, link: Link, message: Settle, held: HeldAttempt) -> None:
        stream = held.stream
        if not message.accepts_response and stream.link is not None:
            reason = RefusalReason.DUPLICATE_IN_PROGRESS
        elif not stream.replayable:
            reason = RefusalReason.OUTCOME_UNKNOWN
        else:
            stream.attach(link)
            return
        link.send(Failed(message.attempt, reason.value, self._load()))

    def credit(self, link: Link, attempt: AttemptId, size: int) -> None:
        """Takes an entry's credit for a kept answer."""
        stream = self._replays.get(attempt)
        if stream is not None and stream.link is link:
            stream.credit(size)

    def acknowledge(self, attempt: AttemptId) -> None:
        """Takes the word that an entry has an answer whole."""
        self._parts.kept.acknowledge(attempt)
        self._replays.pop(attempt, None)

    def link_closed(self, link: Link) -> None:
        """Ends what was being sent again over a link."""
        for attempt in [key for key, stream in self._replays.items() if stream.link is link]:
            del self._replays[attempt]
