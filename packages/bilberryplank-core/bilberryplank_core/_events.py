"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 1024 * 1024
_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_BOUNDARIES = (b"\r\n\r\n", b"\n\n", b"\r\r")
_LINES = re.compile(rb"\r\n|\n|\r")
_MAX_BOUNDARY_BYTES = 4


class EventSplitter:
    """Splits a byte stream into events and buffers the last one until it is complete."""

    __slots__ = ("_buffer", "_search_start")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._search_start = 0

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of the buffered incomplete event."""
        return bytes(self._buffer)

    @property
    def overflowed(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`; the caller must then stop."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that `data` completes, each including its blank line."""
        self._buffer += data
        events = []
        start = 0
        while boundary := _BOUNDARY.search(self._buffer, max(start, self._search_start)):
            events.append(bytes(self._buffer[start : boundary.end()]))
            start = boundary.end()
            self._search_start = start
        del self._buffer[:start]
        self._search_start = max(0, len(self._buffer) - _MAX_BOUNDARY_BYTES)
        return events


class EventTail:
    """Tracks whether a stream that is passed on unsplit is between two events."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = b""

    @property
    def at_boundary(self) -> bool:
        """True if the bytes so far end with a whole event, or there are none."""
        return not self._last or self._last.endswith(_BOUNDARIES)

    def feed(self, data: bytes) -> None:
        """Records the next bytes."""
        self._last = (self._last + data[-_MAX_BOUNDARY_BYTES:])[-_MAX_BOUNDARY_BYTES:]


def event_data(event: bytes) -> bytes | None:
    """Returns the payload of an event; None if it has no data lines, for example a comment."""
    lines = [line for line in _LINES.split(event) if line.startswith(b"data:")]
    if not lines:
        return None
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)
