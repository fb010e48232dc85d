import json
import unittest

from bilberryplank._usage_meter import MAX_DOCUMENT_BYTES, UsageMeter
from bilberryplank_core.events import MAX_EVENT_BYTES
from bilberryplank_core.messages import Usage

USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":7}}\n\n'
DONE = b"data: [DONE]\n\n"


def event(**choice):
    return b"data: " + json.dumps({"choices": [choice], "usage": None}).encode() + b"\n\n"


HI = event(delta={"content": "hi"})

# Bytes of a stream, and the tokens that it holds.
STREAMS = {
    "text": (HI + event(text="a"), 2),
    "no space": (b'data:{"choices":[{"delta":{"content":"x"}}]}\n\n', 1),
    "role only": (event(delta={"role": "assistant", "content": ""}), 0),
    "role and text": (event(delta={"role": "assistant", "content": "a"}), 1),
    "finish": (event(delta={}, finish_reason="stop") + event(text="", finish_reason="stop"), 0),
    "null": (event(delta={"content": None}), 0),
    "a quote": (event(delta={"content": '"'}), 1),
    "JSON as text": (event(delta={"role": 'say "content": "x"'}), 0),
    "reasoning": (event(delta={"reasoning_content": "hm"}), 1),
    "a call": (event(delta={"tool_calls": [{"function": {"arguments": "{"}}]}), 1),
    "usage": (USAGE, 0),
    "not JSON": (b"data: hello\n\n" + b"data: \n\n", 0),
    "comments": (b": wait\n\nevent: ping\n\nretry: 3\n\n", 0),
    "named": (b"event: token\nid: 3\n" + HI, 1),
    "many lines": (b'data: {"choices":\ndata: [{"text":"a"}]}\n\n', 1),
    "CRLF": (HI.replace(b"\n", b"\r\n") * 2, 2),
    "CR": (HI.replace(b"\n", b"\r") * 2, 2),
    "cut off": (HI + HI[:-2], 1),
}


def meter_of(*parts, streamed=True):
    meter = UsageMeter(streamed)
    for part in parts:
        meter.feed(part)
    return meter


class UsageMeterTest(unittest.TestCase):
    def test_tokens_are_events_with_content(self):
        for name, (stream, tokens) in STREAMS.items():
            with self.subTest(name):
                meter = meter_of(stream)
                self.assertEqual((meter.tokens, meter.done), (tokens, False))

    def test_streams_may_be_split_anywhere(self):
        for ending in (b"\n", b"\r\n"):
            stream = (HI * 2 + USAGE + DONE).replace(b"\n", ending)
            for size in range(1, 90):
                parts = [stream[start : start + size] for start in range(0, len(stream), size)]
                meter = meter_of(*parts)
                self.assertEqual((meter.tokens, meter.done), (2, True), (ending, size))
                self.assertEqual(meter.usage(0), Usage(5, 7))

    def test_figures_of_the_engine_go_before_estimates(self):
        good = b'{"usage":{"prompt_tokens":5,"completion_tokens":7}}'
        cases = [
            ([good], False, Usage(5, 7)),
            ([good[:9], good[9:]], False, Usage(5, 7)),
            ([b"{"], False, Usage(3, 0)),
            ([b"[" * 200_000], False, Usage(3, 0)),
            ([b'{"usage":{"prompt_tokens":-5}}'], False, Usage(3, 0)),
            ([b'{"usage":{"prompt_tokens":"5"}}'], False, Usage(3, 0)),
            ([b'{"usage":[]}'], False, Usage(3, 0)),
            ([b"x" * MAX_DOCUMENT_BYTES, good], False, Usage(3, 0)),
            ([HI, DONE], True, Usage(3, 1)),
            ([HI, USAGE, b'data: {"usage":{"prompt_tokens":true}}\n\n', DONE], True, Usage(5, 7)),
        ]
        for parts, streamed, expected in cases:
            with self.subTest(part=parts[0][:40]):
                self.assertEqual(meter_of(*parts, streamed=streamed).usage(3), expected)

    def test_an_event_too_long_to_hold_is_skipped_whole(self):
        long = b"data: " + b"x" * MAX_EVENT_BYTES
        meter = meter_of(HI, long, b"data: ", b'"content":"x"\n\n', HI, DONE)
        self.assertEqual((meter.tokens, meter.done), (2, True))


if __name__ == "__main__":
    unittest.main()
