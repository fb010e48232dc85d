import json
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.messages import AttemptId, Body, End, Head, Load, Usage
from bilberryplank_core.routing import (
    AnswerAssembler,
    AnswerBroken,
    AnswerEnd,
    AnswerPart,
    AnswerStart,
)

TOKENS = [f"w{index} " for index in range(12)]
TEXT = "".join(TOKENS)
STREAM = [["Content-Type", "text/event-stream; charset=utf-8"]]


def attempt(number=1, request="r", epoch="e"):
    return AttemptId(request, number, epoch)


def event(document):
    return f"data: {json.dumps(document)}\n\n".encode()


def chunk(identity, **choice):
    return event({"id": identity, "created": 5, "choices": [{"index": 0, **choice}]})


def stream(identity, start=0, chat=True, usage=None):
    """Returns the events of an engine that continues after `start` tokens."""
    wrap = (lambda text: {"delta": {"content": text}}) if chat else (lambda text: {"text": text})
    events = [chunk(identity, delta={"role": "assistant", "content": ""})] if chat else []
    events += [chunk(identity, finish_reason=None, **wrap(text)) for text in TOKENS[start:]]
    events.append(chunk(identity, finish_reason="stop", **wrap("")))
    count = len(TOKENS) - start if usage is None else usage
    figures = {"prompt_tokens": 3, "completion_tokens": count, "total_tokens": 3 + count}
    events.append(event({"id": identity, "choices": [], "usage": figures}))
    return b"".join([*events, b"data: [DONE]\n\n"])


def frames(data, number=1, size=17, head=None, usage=None):
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    bodies = [Body(attempt(number), index, part) for index, part in enumerate(parts)]
    first = head or Head(attempt(number), 200, STREAM, Load())
    end = End(attempt(number), len(parts), usage or Usage(3, len(TOKENS)), Load())
    return [first, *bodies, end]


def feed(subject, items):
    return [output for item in items for output in subject.accept(item)]


def body(outputs):
    return b"".join(item.data for item in outputs if isinstance(item, AnswerPart))


def documents(data):
    events = [part for part in data.split(b"\n\n") if part]
    return [json.loads(part[6:]) for part in events if part != b"data: [DONE]"]


def text_of(data):
    choices = [item["choices"][0] for item in documents(data) if item["choices"]]
    return "".join(item.get("text") or item.get("delta", {}).get("content", "") for item in choices)


class AnswerAssemblerTest(unittest.TestCase):
    def plain(self, length=True):
        headers = [["Content-Type", "text/plain"]] + ([["Content-Length", "9"]] if length else [])
        return Head(attempt(), 201, headers, Load())

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.integers(3, 40), st.integers(0, 10**6), st.booleans(), st.booleans())
    def test_stray_and_reordered_frames_give_the_answer_once(self, size, seed, streamed, late):
        data = stream("a") if streamed else b"123456789"
        items = frames(data, size=size, head=None if streamed else self.plain(seed % 2 == 0))
        rng = random.Random(seed)
        doubled = rng.sample(items, len(items) // 2)
        items += doubled
        rng.shuffle(items)
        if late:
            others = [attempt(0), attempt(1, "other"), attempt(1, epoch="old")]
            items[1:1] = [Body(other, 0, b"foreign") for other in others]
        subject = AnswerAssembler(model_answer=True)
        subject.begin(attempt())
        outputs = feed(subject, items)
        self.assertEqual(body(outputs), data)
        self.assertIsInstance(outputs[0], AnswerStart)
        self.assertEqual([type(item) for item in outputs].count(AnswerEnd), 1)
        self.assertIsInstance(outputs[-1], AnswerEnd)
        counts = subject.counts
        self.assertEqual(counts.foreign, 2 * late)
        self.assertEqual(counts.late + counts.doubled, len(doubled) + late)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.integers(0, 2000), st.integers(0, 2000), st.booleans(), st.booleans(), st.booleans())
    def test_resumed_stream_appears_as_one_answer(self, cut, second_cut, chat, whole_usage, show):
        subject = AnswerAssembler(model_answer=True, show_usage=show)
        outputs = []
        for number, bytes_sent in enumerate((cut, second_cut, 10**6), 1):
            progress = subject.progress
            if progress.tokens_complete:
                outputs += subject.synthesize_end(3)
                break
            subject.begin(attempt(number))
            self.assertEqual(progress.text, TEXT[: len(progress.text)])
            self.assertEqual(progress.tokens, len(progress.text.split()))
            reported = len(TOKENS) if whole_usage else len(TOKENS) - progress.tokens
            data = stream(f"id{number}", progress.tokens, chat, reported)
            last = bytes_sent >= len(data)
            items = frames(data[:bytes_sent], number, usage=Usage(3, reported))
            outputs += feed(subject, items if last else items[:-1])
            if last:
                break
        data = body(outputs)
        self.assertEqual(text_of(data), TEXT)
        self.assertEqual(data.count(b"[DONE]"), 1)
        self.assertEqual(len({item["id"] for item in documents(data)}), 1)
        self.assertEqual(data.count(b'"role"'), int(chat))
        usages = [item["usage"] for item in documents(data) if "usage" in item]
        expected = {"prompt_tokens": 3, "completion_tokens": 12, "total_tokens": 15}
        self.assertEqual(usages, [expected] if show else [])
        self.assertEqual(outputs[-1], AnswerEnd(Usage(3, 12)))

    def test_parts_waiting_for_a_missing_one_are_bounded(self):
        subject = AnswerAssembler(model_answer=False)
        subject.begin(attempt())
        outputs = feed(subject, [Body(attempt(), index, b"x") for index in range(1, 1100)])
        self.assertIn(AnswerBroken(), outputs)

    def test_short_answer_with_a_length_is_buffered_until_complete(self):
        for length, early in ((True, 0), (False, 2)):
            with self.subTest(length=length):
                subject = AnswerAssembler(model_answer=False)
                subject.begin(attempt())
                items = frames(b"123456789", size=5, head=self.plain(length))
                self.assertEqual(len(feed(subject, items[:2])), early)
                self.assertEqual(subject.progress.started, not length)

    def test_multiple_choices_and_tool_calls_are_not_resumable(self):
        cases = {
            "second choice": {"index": 1, "delta": {"content": "x"}},
            "tool call": {"delta": {"tool_calls": [{}]}},
        }
        for name, choice in cases.items():
            with self.subTest(name):
                subject = AnswerAssembler(model_answer=True)
                subject.begin(attempt())
                data = chunk("a", delta={"content": "x"}) + chunk("a", **choice)
                feed(subject, frames(data)[:-1])
                self.assertTrue(subject.progress.started)
                self.assertFalse(subject.progress.resumable)

    def test_an_event_nested_too_deep_is_passed_on_and_not_resumable(self):
        for depth in (900, 5000):
            with self.subTest(depth):
                subject = AnswerAssembler(model_answer=True)
                subject.begin(attempt())
                data = b'data: {"choices": [' + b"[" * depth + b"]" * depth + b"]}\n\n"
                first = chunk("a", delta={"content": "x"})
                items = frames(first + data, size=20_000)[:-1]
                self.assertEqual(body(feed(subject, items)), first + data)
                self.assertFalse(subject.progress.resumable)

    def test_resuming_attempt_that_does_not_stream_is_broken(self):
        subject = AnswerAssembler(model_answer=True)
        subject.begin(attempt())
        feed(subject, frames(stream("a"))[:20])
        subject.begin(attempt(2))
        outputs = subject.accept(Head(attempt(2), 500, STREAM, Load()))
        self.assertEqual(outputs, [AnswerBroken()])
