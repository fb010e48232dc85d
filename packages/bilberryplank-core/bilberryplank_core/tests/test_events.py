import unittest

from hypothesis import given
from hypothesis import strategies as st

from bilberryplank_core.events import MAX_EVENT_BYTES, EventSplitter, EventTail, last_event_id

PIECE = 64 * 1024


class EventSplitterTest(unittest.TestCase):
    # A read of blank lines became tens of thousands of events.
    def test_a_run_of_blank_lines_is_no_run_of_events(self):
        for line_end in (b"\n", b"\r", b"\r\n"):
            self.assertLessEqual(len(EventSplitter().feed(line_end * PIECE)), 1)

    @given(st.lists(st.sampled_from([b"data: a\n", b"\n", b"id: 3\n\n", b"\r\n\r\n", b"\r"])))
    def test_joined_events_and_the_rest_are_all_that_came(self, pieces):
        splitter = EventSplitter()
        passed = b"".join(splitter.feed_joined(piece) for piece in pieces)
        self.assertEqual(passed + splitter.incomplete_event, b"".join(pieces))

    @given(st.binary(max_size=60), st.integers(0, 60))
    def test_joined_events_end_where_single_ones_end(self, noise, cut):
        data = b"data: 1\n\n" + noise.replace(b"\x00", b"\n").replace(b"\x01", b"\n\n") + b"x"
        single, joined = EventSplitter(), EventSplitter()
        apart = b"".join(b"".join(single.feed(part)) for part in (data[:cut], data[cut:]))
        together = b"".join(joined.feed_joined(part) for part in (data[:cut], data[cut:]))
        self.assertEqual(apart.rstrip(b"\r\n"), together.rstrip(b"\r\n"))

    def test_the_last_id_of_several_events_is_kept(self):
        self.assertEqual(last_event_id(b"id: 1\ndata: a\n\nid:2\r\ndata: id:9\r\n\r\n"), "2")
        self.assertIsNone(last_event_id(b"data: id: 4\n\n"))


class EventTailTest(unittest.TestCase):
    def feed(self, piece, size):
        tail = EventTail()
        tail.feed(b"id: 1\ndata: 1\n\n")
        for _ in range(size // len(piece)):
            tail.feed(piece)
        return tail

    def test_bytes_without_data_or_without_the_end_of_an_event_overflow(self):
        for piece in (b"\n", b": ping\n\n", b"id: 7\n", b"a", b"data: a\n"):
            piece = (piece * 100)[: len(piece) * 100]
            with self.subTest(piece[:10]):
                self.assertFalse(self.feed(piece, MAX_EVENT_BYTES // 2).overflowed)
                self.assertTrue(self.feed(piece, MAX_EVENT_BYTES + PIECE).overflowed)

    def test_events_with_data_never_overflow(self):
        for event in (
            b"data:a\n\n",
            b"data\r\r",
            b": ping\n\nid: 1\r\ndata: " + b"x" * 90 + b"\r\n\r\n",
        ):
            with self.subTest(event[:10]):
                self.assertFalse(self.feed(event * 1000, 3 * MAX_EVENT_BYTES).overflowed)

    def test_fields_that_are_cut_between_pieces_are_seen(self):
        for size in (1, 2, 3, 5):
            tail = EventTail()
            text = (b"data:abc\r\n\r\n" * 60)[:600]
            for at in range(0, len(text), size):
                tail.feed(text[at : at + size])
            self.assertLess(tail._without_data, 24)
            self.assertLess(tail._without_end, 24)
