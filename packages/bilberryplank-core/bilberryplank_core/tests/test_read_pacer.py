import unittest

from bilberryplank_core._read_pacer import PIECES_PER_SECOND
from bilberryplank_core.direct import ReadPacer, excess_pieces
from bilberryplank_core.memory import HeldBytes
from bilberryplank_core.memory._held_bytes import FREE_HELD_BYTES


class ReadPacerTest(unittest.TestCase):
    def test_pieces_of_usual_answers_are_no_excess(self):
        self.assertEqual(excess_pieces(1, 9), 0)
        self.assertEqual(excess_pieces(160, 160 * 100), 0)
        self.assertGreater(excess_pieces(2700, 16384), 2000)

    # Each connection may be one read ahead: its first comes before any pace is known.
    def test_all_connections_together_keep_the_rate(self):
        pacer, start, seconds, size = ReadPacer(), 100.0, 10.0, 600
        free_at, pieces = [start] * 48, 0
        while (now := min(free_at)) < start + seconds:
            free_at[free_at.index(now)] = now + pacer.reserve(size, now)
            pieces += size
        self.assertLessEqual(pieces, seconds * PIECES_PER_SECOND + len(free_at) * size)
        self.assertAlmostEqual(pacer.reserve(size, now + 60), size / PIECES_PER_SECOND)


MAX_HELD_BYTES = 32 * 1024 * 1024


class HeldBytesTest(unittest.TestCase):
    # Long events of a few hundred streams together had no bound.
    def test_long_answers_are_bounded_together_and_short_ones_are_always_granted(self):
        held, size = HeldBytes(MAX_HELD_BYTES), 1024 * 1024
        granted = [held.change(0, size) for _ in range(100)]
        self.assertTrue(granted[0])
        self.assertFalse(granted[-1])
        self.assertLessEqual(sum(granted) * (size - FREE_HELD_BYTES), MAX_HELD_BYTES)
        self.assertTrue(held.change(0, FREE_HELD_BYTES))
        for _ in range(100):
            held.change(size, 0)
        self.assertEqual(held.total, 0)
        self.assertTrue(held.change(0, size))
