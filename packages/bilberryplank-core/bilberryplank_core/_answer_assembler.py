"""Assembly of the answer that a caller gets from the frames of its attempts."""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core._events import EventSplitter
from bilberryplank_core._messages import AttemptId, Body, End, Head, Headers, Usage
from bilberryplank_core._part_reorder_buffer import PartReorderBuffer
from bilberryplank_core._steps import DeliveryProgress
from bilberryplank_core._streamed_answer import StreamedAnswer

EVENT_STREAM = "text/event-stream"
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
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
    """The answer is complete; `usage` covers all of its attempts."""

    usage: Usage


@dataclass(slots=True, frozen=True)
class AnswerBroken:
    """The attempt's frames cannot continue the caller's answer; treat the attempt as failed."""


AnswerOutput = AnswerStart | AnswerPart | AnswerEnd | AnswerBroken


@dataclass(slots=True)
class FrameCounts:
    """Number of dropped frames, by cause.

    Attributes:
        late: Frames of an earlier attempt of the request.
        foreign: Frames of another request, or of another epoch of the entry.
        doubled: Frames that had arrived before.
    """

    late: int = 0
    foreign: int = 0
    doubled: int = 0


class AnswerAssembler:
    """Assembles the caller's answer from the frames of one or several attempts.

    Short answers with a declared length are buffered until they are complete, so that the request
    can be retried if one is cut off; streams are passed on event by event.

    Args:
        model_answer: True for answers of model engines, whose streams can be resumed.
        show_usage: False if the caller did not request usage in the stream.

    Attributes:
        counts: Number of dropped frames, by cause.
    """

    __slots__ = (
        "_attempt",
        "_broken",
        "_ended",
        "_buffered",
        "_model_answer",
        "_parts",
        "_splitter",
        "_start",
        "_started",
        "_stream",
        "_streamed",
        "_buffers_until_end",
        "counts",
    )

    def __init__(self, model_answer: bool, show_usage: bool = True) -> None:
        self._model_answer = model_answer
        self._stream = StreamedAnswer(show_usage)
        self._attempt: AttemptId | None = None
        self._parts = PartReorderBuffer()
        self._splitter = EventSplitter()
        self._start: AnswerStart | None = None
        self._started = False
        self._ended = False
        self._streamed = False
        self._buffers_until_end = False
        self._broken = False
        self._buffered: list[bytes] = []
        self.counts = FrameCounts()

    @property
    def progress(self) -> DeliveryProgress:
        """The part of the answer that the caller has, to decide on a further attempt."""
        stream = self._stream
        if not self._started:
            return DeliveryProgress()
        resumable = self._streamed and stream.resumable and not stream.end_marker_sent
        complete = (
            self._streamed
            and stream.resumable
            and (stream.has_finish_reason or stream.end_marker_sent)
        )
        return DeliveryProgress(True, resumable, complete, stream.tokens, stream.text)

    def begin(self, attempt: AttemptId) -> None:
        """Makes an attempt the current one; frames of all others are dropped from now on."""
        self.counts.doubled += self._parts.duplicates
        self._attempt = attempt
        self._parts = PartReorderBuffer()
        self._splitter = EventSplitter()
        self._start = None
        self._broken = False
        self._buffered.clear()
        if self._started:
            self._stream.resume()

    def accept(self, frame: Head | Body | End) -> list[AnswerOutput]:
        """Returns the output for the caller that results from a frame."""
        if self._ended or frame.attempt != self._attempt:
            self._count_dropped(frame.attempt)
            return []
        match frame:
            case Head():
                outputs = self._on_head(frame)
            case Body():
                outputs = self._on_parts(self._parts.add(frame))
            case End():
                self._parts.close(frame)
                outputs = []
        broken = self._broken or self._parts.overflowed or self._splitter.overflowed
        return [AnswerBroken()] if broken else outputs + self._end_if_complete()

    def synthesize_end(self, prompt_tokens: int) -> list[AnswerOutput]:
        """Returns the missing end of an answer of which the caller has every token.

        Args:
            prompt_tokens: Estimated prompt tokens, as the upstream can no longer report them.
        """
        self._ended = True
        usage = Usage(prompt_tokens, self._stream.tokens)
        tail = self._stream.missing_end_events(usage)
        return [*([AnswerPart(tail)] if tail else []), AnswerEnd(usage)]

    def _on_head(self, head: Head) -> list[AnswerOutput]:
        if self._start is not None:
            self.counts.doubled += 1
            return []
        self._start = AnswerStart(head.status, head.headers)
        streamed = self._model_answer and _is_event_stream(head)
        if self._started:
            self._broken = not (streamed and self._streamed)
            return [] if self._broken else self._on_parts(self._drain_buffered())
        self._streamed = streamed
        self._buffers_until_end = streamed or _is_short(head.headers)
        start_outputs = [] if self._buffers_until_end else self._start_output()
        return start_outputs + self._on_parts(self._drain_buffered())

    def _start_output(self) -> list[AnswerOutput]:
        if self._started or self._start is None:
            return []
        self._started = True
        return [self._start]

    def _on_parts(self, parts: list[bytes]) -> list[AnswerOutput]:
        if self._start is None:
            self._buffered.extend(parts)
            return []
        if not self._streamed:
            return self._pass_or_buffer(parts)
        events = [event for part in parts for event in self._splitter.feed(part)]
        rewritten = b"".join(self._stream.rewrite_event(event) for event in events)
        if not rewritten:
            return []
        return [*self._start_output(), AnswerPart(rewritten)]

    def _pass_or_buffer(self, parts: list[bytes]) -> list[AnswerOutput]:
        if self._buffers_until_end and not self._started:
            self._buffered.extend(parts)
            return []
        return [AnswerPart(part) for part in parts]

    def _drain_buffered(self) -> list[bytes]:
        buffered = self._buffered
        self._buffered = []
        return buffered

    def _end_if_complete(self) -> list[AnswerOutput]:
        end = self._parts.end
        if end is None or self._start is None:
            return []
        outputs = self._start_output()
        outputs += [AnswerPart(part) for part in self._drain_buffered()]
        if self._streamed and self._splitter.incomplete_event:
            outputs.append(AnswerPart(self._splitter.incomplete_event))
        self._ended = True
        self.counts.doubled += self._parts.duplicates
        return [*outputs, AnswerEnd(self._stream.usage(end.usage))]

    def _count_dropped(self, attempt: AttemptId) -> None:
        current = self._attempt
        same_request = current is not None and attempt.request == current.request
        if same_request and attempt.epoch == current.epoch:
            self.counts.late += 1
        else:
            self.counts.foreign += 1


def _is_event_stream(head: Head) -> bool:
    return head.status == OK_STATUS and _header(head.headers, "content-type").startswith(
        EVENT_STREAM
    )


def _is_short(headers: Headers) -> bool:
    length = _header(headers, "content-length")
    return length.isdigit() and int(length) <= MAX_BUFFERED_ANSWER_BYTES


def _header(headers: Headers, wanted: str) -> str:
    return next((value for name, value in headers if name.lower() == wanted), "")
