"""Splitting of a stream of server-sent events at event boundaries."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 1024 * 1024
_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINES = re.compile(rb"\r\n|\n|\r")
_LONGEST_BOUNDARY = 4


class EventSplitter:
    """Holds back an incomplete event until the rest of it arrives."""

    __slots__ = ("_held", "_searched")

    def __init__(self) -> None:
        self._held = bytearray()
        self._searched = 0

    @property
    def held(self) -> bytes:
        """Bytes of the incomplete event."""
        return bytes(self._held)

    @property
    def overflowed(self) -> bool:
        """True where an event is too long to be held."""
        return len(self._held) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that are complete now, each with its blank line."""
        self._held += data
        events = []
        start = 0
        while found := _BOUNDARY.search(self._held, max(start, self._searched)):
            events.append(bytes(self._held[start : found.end()]))
            start = found.end()
            self._searched = start
        del self._held[:start]
        self._searched = max(0, len(self._held) - _LONGEST_BOUNDARY)
        return events


def event_data(event: bytes) -> bytes | None:
    """Returns the payload of an event; None where it has none, as a comment."""
    lines = [line for line in _LINES.split(event) if line.startswith(b"data:")]
    if not lines:
        return None
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)
