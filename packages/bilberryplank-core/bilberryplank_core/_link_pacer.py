"""When the next bytes of long bodies may go out on a host's link.

A body that is written at once stands on a slow link before the events of all streams that are
written after it. So long bodies go out in pieces, at less than the link's rate, and an event waits
for about one piece. Pieces of bodies that go out together take turns.

Load pattern: prompts of some 70 KB beside streams whose events may be 120 ms apart, on links of
10 Mbit/s.
"""

from __future__ import annotations

MIN_PACED_BODY_SECONDS = 0.01
"""Bodies that take the link less long go out whole: nobody notices them."""

CHUNK_SECONDS = 0.005
"""Time for which one piece takes the link: what an event may wait for."""

MIN_CHUNK_BYTES = 1024
"""Bounds the pieces of a body, and with them the timers, on very slow links."""

BODY_LINK_SHARE = 0.8
"""Share of the link that bodies may take together; the rest is for events."""


class LinkPacer:
    """The share of a link that long bodies take.

    Args:
        rate: Bytes a second of the link; None where it is not known, and nothing waits.
    """

    __slots__ = ("_free_at", "_rate")

    def __init__(self, rate: float | None) -> None:
        self._rate = rate
        self._free_at = float("-inf")

    def chunk_bytes(self, length: int) -> int:
        """Returns how many bytes of a body go out at a time; `length` for all at once."""
        if self._rate is None or length <= self._rate * MIN_PACED_BODY_SECONDS:
            return length
        return max(MIN_CHUNK_BYTES, int(self._rate * CHUNK_SECONDS))

    def reserve(self, count: int, now: float) -> float:
        """Returns the seconds until a piece may go out, and takes its time on the link.

        Args:
            count: Bytes of the piece.
            now: Seconds on a steady clock.
        """
        if self._rate is None:
            return 0.0
        begins = max(now, self._free_at)
        self._free_at = begins + count / (self._rate * BODY_LINK_SHARE)
        return begins - now
