"""Assembly of the answer that a caller gets from the frames of its attempts."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core._answer_order import PartOrder
from bilberryplank_core._events import EventSplitter
from bilberryplank_core._messages import AttemptId, Body, End, Head, Headers, Usage
from bilberryplank_core._resume import StreamedAnswer
from bilberryplank_core._steps import DeliveryProgress

EVENT_STREAM = "text/event-stream"
HOLD_BYTES = 64 * 1024
OK_STATUS = 200


@dataclass(slots=True, frozen=True)
class AnswerStart:
    """Send status and headers to the caller."""

    status: int
    headers: Headers


@dataclass(slots=True, frozen=True)
class AnswerPart:
    """Send these bytes to the caller."""

    data: bytes


@dataclass(slots=True, frozen=True)
class AnswerEnd:
    """The answer is whole; this is what it used over all attempts."""

    usage: Usage


@dataclass(slots=True, frozen=True)
class AnswerBroken:
    """The attempt's frames can't go on with what the caller has; treat it as failed."""


AnswerOutput = AnswerStart | AnswerPart | AnswerEnd | AnswerBroken


@dataclass(slots=True)
class FrameCounts:
    """Frames that were dropped.

    Attributes:
        late: Of an earlier attempt of the request.
        foreign: Of another request, or another epoch of the entry.
        doubled: That had come before.
    """

    late: int = 0
    foreign: int = 0
    doubled: int = 0


class AnswerAssembler:
    """Turns frames into what the caller gets, over one attempt or several.

    Short answers with a declared length are held until they are whole, so that a cut one can be
    asked for again; streams are passed on event by event.

    Args:
        model_answer: True for model engines, whose streams can be resumed.
        show_usage: False where the caller did not ask for usage in the stream.

    Attributes:
        counts: Frames that were dropped.
    """

    __slots__ = (
        "_attempt",
        "_broken",
        "_ended",
        "_held",
        "_model_answer",
        "_order",
        "_splitter",
        "_start",
        "_started",
        "_stream",
        "_streamed",
        "_waits_for_end",
        "counts",
    )

    def __init__(self, model_answer: bool, show_usage: bool = True) -> None:
        self._model_answer = model_answer
        self._stream = StreamedAnswer(show_usage)
        self._attempt: AttemptId | None = None
        self._order = PartOrder()
        self._splitter = EventSplitter()
        self._start: AnswerStart | None = None
        self._started = False
        self._ended = False
        self._streamed = False
        self._waits_for_end = False
        self._broken = False
        self._held: list[bytes] = []
        self.counts = FrameCounts()

    @property
    def progress(self) -> DeliveryProgress:
        """What the caller has, for the decision on a further attempt."""
        stream = self._stream
        if not self._started:
            return DeliveryProgress()
        resumable = self._streamed and stream.resumable and not stream.done
        complete = self._streamed and stream.resumable and (stream.finished or stream.done)
        return DeliveryProgress(True, resumable, complete, stream.tokens, stream.text)

    def begin(self, attempt: AttemptId) -> None:
        """Makes an attempt the current one; frames of all others are dropped from now on."""
        self.counts.doubled += self._order.doubled
        self._attempt = attempt
        self._order = PartOrder()
        self._splitter = EventSplitter()
        self._start = None
        self._broken = False
        self._held.clear()
        if self._started:
            self._stream.resume()

    def accept(self, frame: Head | Body | End) -> list[AnswerOutput]:
        """Returns what the caller gets because of a frame."""
        if self._ended or frame.attempt != self._attempt:
            self._count_dropped(frame.attempt)
            return []
        match frame:
            case Head():
                outputs = self._take_head(frame)
            case Body():
                outputs = self._take_parts(self._order.add(frame))
            case End():
                self._order.close(frame)
                outputs = []
        broken = self._broken or self._order.overflowed or self._splitter.overflowed
        return [AnswerBroken()] if broken else outputs + self._take_end()

    def complete(self, prompt_tokens: int) -> list[AnswerOutput]:
        """Returns the missing end of an answer all of whose tokens the caller has.

        Args:
            prompt_tokens: Estimate, as the upstream can't be asked any more.
        """
        self._ended = True
        usage = Usage(prompt_tokens, self._stream.tokens)
        tail = self._stream.missing_end(usage)
        return [*([AnswerPart(tail)] if tail else []), AnswerEnd(usage)]

    def _take_head(self, head: Head) -> list[AnswerOutput]:
        if self._start is not None:
            self.counts.doubled += 1
            return []
        self._start = AnswerStart(head.status, head.headers)
        streamed = self._model_answer and _is_event_stream(head)
        if self._started:
            self._broken = not (streamed and self._streamed)
            return [] if self._broken else self._take_parts(self._drain_held())
        self._streamed = streamed
        self._waits_for_end = streamed or _is_short(head.headers)
        begun = [] if self._waits_for_end else self._begin_caller()
        return begun + self._take_parts(self._drain_held())

    def _begin_caller(self) -> list[AnswerOutput]:
        if self._started or self._start is None:
            return []
        self._started = True
        return [self._start]

    def _take_parts(self, parts: list[bytes]) -> list[AnswerOutput]:
        if self._start is None:
            self._held.extend(parts)
            return []
        if not self._streamed:
            return self._take_plain(parts)
        events = [event for part in parts for event in self._splitter.feed(part)]
        passed = b"".join(self._stream.pass_event(event) for event in events)
        if not passed:
            return []
        return [*self._begin_caller(), AnswerPart(passed)]

    def _take_plain(self, parts: list[bytes]) -> list[AnswerOutput]:
        if self._waits_for_end and not self._started:
            self._held.extend(parts)
            return []
        return [AnswerPart(part) for part in parts]

    def _drain_held(self) -> list[bytes]:
        held = self._held
        self._held = []
        return held

    def _take_end(self) -> list[AnswerOutput]:
        end = self._order.end
        if end is None or self._start is None:
            return []
        outputs = self._begin_caller()
        outputs += [AnswerPart(part) for part in self._drain_held()]
        if self._streamed and self._splitter.held:
            outputs.append(AnswerPart(self._splitter.held))
        self._ended = True
        self.counts.doubled += self._order.doubled
        return [*outputs, AnswerEnd(self._stream.usage(end.usage))]

    def _count_dropped(self, attempt: AttemptId) -> None:
        current = self._attempt
        known = current is not None and attempt.request == current.request
        if known and attempt.epoch == current.epoch:
            self.counts.late += 1
        else:
            self.counts.foreign += 1


def _is_event_stream(head: Head) -> bool:
    return head.status == OK_STATUS and _header(head.headers, "content-type").startswith(
        EVENT_STREAM
    )


def _is_short(headers: Headers) -> bool:
    length = _header(headers, "content-length")
    return length.isdigit() and int(length) <= HOLD_BYTES


def _header(headers: Headers, wanted: str) -> str:
    return next((value for name, value in headers if name.lower() == wanted), "")
