import os
import unittest

from bilberryplank._bounded_output import BURST_LINES, MAX_HELD_BYTES, BoundedOutput


class BoundedOutputTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now = 0.0
        self.output = BoundedOutput(self.writer, lambda: self.now)

    def test_lines_are_written_as_they_come(self):
        self.output.write("one\n")
        self.assertEqual(os.read(self.reader, 100), b"one\n")

    def test_a_reader_that_stops_blocks_nothing_and_the_loss_is_told(self):
        line = "x" * 4095 + "\n"
        lines = 2 * MAX_HELD_BYTES // len(line) + 32
        for _ in range(lines):
            self.output.write(line)
            self.now += 1.0
        self.assertGreater(self.output.dropped, 0)
        os.set_blocking(self.reader, False)
        self.drain()
        self.output.write("after\n")
        tail = self.drain()
        self.assertIn(f"event=log_lines_dropped lines={self.output.dropped}".encode(), tail)
        self.assertTrue(tail.endswith(b"after\n"))

    def drain(self):
        found = b""
        while True:
            self.output.flush()
            try:
                found += os.read(self.reader, 1 << 16)
            except BlockingIOError:
                return found

    def test_too_many_lines_at_once_are_dropped(self):
        for _ in range(int(BURST_LINES) + 10):
            self.output.write("\n")
        self.assertEqual(self.output.dropped, 10)
