import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank_core.errors import FrameInvalid, MessageUnknown
from bilberryplank_core.messages import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    MESSAGE_TYPES,
    AttemptId,
    Body,
    Dispatch,
    Load,
    LoadReport,
    NotRun,
    decode,
    encode,
    payload_length,
)

ATTEMPT = AttemptId("r1", 1, "e1")


def round_trip(message):
    frame = encode(message)
    assert payload_length(frame[:LENGTH_BYTES]) == len(frame) - LENGTH_BYTES
    return decode(frame[LENGTH_BYTES:])


class FrameTest(unittest.TestCase):
    def test_message_round_trip(self):
        messages = [
            Body(ATTEMPT, 3, b"abc"),
            NotRun(ATTEMPT, "shed", 1.5, Load(queued=2, leaving=True)),
            Dispatch(ATTEMPT, "org", "k", "c", "r", "POST", "/v1", [["a", "b"]], b"{}", 2.0),
        ]
        for message in messages:
            self.assertEqual(round_trip(message), message)

    def test_invalid_payloads_are_rejected(self):
        cases = [
            b"",
            b"\xc1",
            msgpack.packb({}),
            msgpack.packb([]),
            msgpack.packb([len(MESSAGE_TYPES)]),
            msgpack.packb([True]),
            msgpack.packb([6, ["r", 1, "e"], "0", b""]),
            msgpack.packb([7, ["r", 1], 0, b""]),
            msgpack.packb([7, ["r", 1, "e"], True, b""]),
            msgpack.packb([7, ["r", 1, "e"], 0]),
            msgpack.packb([7, ["r1", True, "e1"], 0, b""]),
            msgpack.packb([3, [0, 0, 1, float("nan")]]),
            msgpack.packb([-1]),
        ]
        for payload in cases:
            with self.subTest(payload=payload), self.assertRaises(FrameInvalid):
                decode(payload)

    def test_missing_and_extra_trailing_fields_are_accepted(self):
        cases = [
            ([7, ["r1", 1, "e1", "new"], 3, b"abc", "new"], Body(ATTEMPT, 3, b"abc")),
            ([3, [1, 2]], LoadReport(Load(1, 2))),
            ([3, [], "new"], LoadReport(Load())),
        ]
        for values, expected in cases:
            with self.subTest(values=values):
                self.assertEqual(decode(msgpack.packb(values)), expected)
        with self.assertRaises(MessageUnknown):
            decode(msgpack.packb([len(MESSAGE_TYPES), "new"]))

    def test_unencodable_messages_are_rejected(self):
        for message in (
            Body(ATTEMPT, 2**64, b""),
            Body(ATTEMPT, 0, object()),
            Body(AttemptId("\udcff", 1, "e1"), 0, b""),
            Body(ATTEMPT, 0, bytes(MAX_FRAME_BYTES)),
        ):
            with self.assertRaises(FrameInvalid):
                encode(message)

    def test_frame_lengths_out_of_range_are_rejected(self):
        for header in (b"\0\0\0\0", b"\xff\xff\xff\xff"):
            with self.subTest(header=header), self.assertRaises(FrameInvalid):
                payload_length(header)

    @settings(derandomize=True, max_examples=300)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_or_raise_frame_invalid(self, payload):
        try:
            decode(payload)
        except FrameInvalid:
            pass
