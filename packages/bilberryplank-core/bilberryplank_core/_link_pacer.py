"""Paces long request bodies on a host's network link.

On a slow link, a long body that is written at once delays the events of all streams written after
it. So long bodies are sent in chunks, at less than the link's rate, and an event waits for about
one chunk. Chunks of concurrent bodies are interleaved.

Motivating load: prompts of about 70 KB beside streams whose events may be 120 ms apart, on links of
10 Mbit/s.
"""

from __future__ import annotations

MIN_PACED_BODY_SECONDS = 0.01
"""Bodies that occupy the link for no longer than this are sent whole: the delay is negligible."""

CHUNK_SECONDS = 0.005
"""Time for which one chunk occupies the link, and so the delay that an event may see."""

MIN_CHUNK_BYTES = 1024
"""Limits the number of chunks of a body, and so of timers, on very slow links."""

BODY_LINK_SHARE = 0.8
"""Share of the link's rate for all bodies together; the rest is left for events."""


class LinkPacer:
    """Schedules the chunks of long bodies on one link.

    Args:
        rate: Rate of the link in bytes per second; None if unknown, and nothing is delayed.
    """

    __slots__ = ("_free_at", "_rate")

    def __init__(self, rate: float | None) -> None:
        self._rate = rate
        self._free_at = float("-inf")

    def chunk_bytes(self, length: int) -> int:
        """Returns the chunk size in bytes for a body; `length` if it is sent whole."""
        if self._rate is None or length <= self._rate * MIN_PACED_BODY_SECONDS:
            return length
        return max(MIN_CHUNK_BYTES, int(self._rate * CHUNK_SECONDS))

    def reserve(self, count: int, now: float) -> float:
        """Reserves time on the link for a chunk; returns the seconds until it may be sent.

        Args:
            count: Size of the chunk in bytes.
            now: Seconds on a monotonic clock.
        """
        if self._rate is None:
            return 0.0
        start = max(now, self._free_at)
        self._free_at = start + count / (self._rate * BODY_LINK_SHARE)
        return start - now
