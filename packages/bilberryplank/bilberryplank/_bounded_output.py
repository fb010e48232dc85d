"""Log output that never blocks: what a slow reader does not take is dropped and counted."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

MAX_HELD_BYTES = 256 * 1024
"""Bytes kept for a reader that lags; about a second of lines at the highest rate."""

LINES_PER_SECOND = 600.0
"""Lines written in a second at the most; beyond that lines are dropped."""

BURST_LINES = 1200.0
"""Lines that may come at once."""


class BoundedOutput:
    """A text stream over a file descriptor, for the logs.

    Args:
        descriptor: Where lines go; it is made non-blocking.
        clock: Monotonic seconds.

    Attributes:
        dropped: Lines dropped since the start.
    """

    __slots__ = ("_clock", "_descriptor", "_held", "_reported", "_tokens", "_updated", "dropped")

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._clock = clock
        self._descriptor = descriptor
        self._held = bytearray()
        self._reported = 0
        self._tokens = BURST_LINES
        self._updated = clock()

    def write(self, text: str) -> int:
        """Takes one line; writes what the reader takes now and keeps or drops the rest."""
        if not self._allowed():
            self.dropped += 1
            return len(text)
        line = text.encode(errors="replace")
        if len(self._held) + len(line) > MAX_HELD_BYTES:
            self._send()
        if len(self._held) + len(line) > MAX_HELD_BYTES:
            self.dropped += 1
            return len(text)
        if self.dropped > self._reported:
            self._held += (
                f"event=log_lines_dropped lines={self.dropped - self._reported}\n".encode()
            )
            self._reported = self.dropped
        self._held += line
        self._send()
        return len(text)

    def flush(self) -> None:
        """Writes what the reader takes now."""
        self._send()

    def _allowed(self) -> bool:
        now = self._clock()
        earned = (now - self._updated) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _send(self) -> None:
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; nothing could tell anybody.
                self._held.clear()
                return
            del self._held[:written]
