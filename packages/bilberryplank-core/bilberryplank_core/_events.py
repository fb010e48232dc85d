"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

import re

MAX_EVENT_BYTES = 1024 * 1024
# Further blank lines belong to the boundary: each as an event of its own would cost a step.
_BOUNDARY = re.compile(rb"(?:\r\n\r\n|\n\n|\r\r)[\r\n]*")
_BOUNDARIES = (b"\r\n\r\n", b"\n\n", b"\r\r")
_LINES = re.compile(rb"\r\n|\n|\r")
_MAX_BOUNDARY_BYTES = 4
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
_DATA_FIELDS = (b"\ndata", b"\rdata")
_DATA_FIELD_BYTES = 5


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
    def held_bytes(self) -> int:
        """Bytes of the buffered incomplete event."""
        return len(self._buffer)

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

    def feed_joined(self, data: bytes) -> bytes:
        """Returns the events that `data` completes as one piece, at a cost that is free of their
        number.
        """
        self._buffer += data
        end = _end_of_last(_BOUNDARIES, self._buffer, self._search_start)
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._search_start = max(0, len(self._buffer) - _MAX_BOUNDARY_BYTES)
        return events


class EventTail:
    """Tracks whether a stream is between two events, and whether it still makes events."""

    __slots__ = ("_last", "_without_data", "_without_end")

    def __init__(self) -> None:
        self._last = b""
        self._without_data = 0
        self._without_end = 0

    @property
    def at_boundary(self) -> bool:
        """True if the bytes so far end with a whole event, or there are none."""
        return not self._last or self._last.endswith(_BOUNDARIES)

    @property
    def overflowed(self) -> bool:
        """Whether more than `MAX_EVENT_BYTES` came without data or without the end of an event."""
        return max(self._without_data, self._without_end) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> None:
        """Records the next bytes."""
        known = (self._last or b"\n") + data
        self._without_data = _bytes_since(_DATA_FIELDS, known, self._without_data + len(data))
        self._without_end = _bytes_since(_BOUNDARIES, known, self._without_end + len(data))
        self._last = (self._last + data[-_DATA_FIELD_BYTES:])[-_DATA_FIELD_BYTES:]


def _end_of_last(marks: tuple[bytes, ...], data: bytes | bytearray, start: int = 0) -> int:
    """Returns where the last of any mark ends; 0 if there is none."""
    found = ((data.rfind(mark, start), len(mark)) for mark in marks)
    return max((at + size for at, size in found if at >= 0), default=0)


def _bytes_since(marks: tuple[bytes, ...], data: bytes, otherwise: int) -> int:
    end = _end_of_last(marks, data)
    return len(data) - end if end else otherwise


def last_event_id(events: bytes) -> str | None:
    """Returns the last id that whole events name; None if they name none."""
    ids = _EVENT_ID.findall(events)
    return ids[-1].strip().decode(errors="replace") if ids else None


def event_data(event: bytes) -> bytes | None:
    """Returns the payload of an event; None if it has no data lines, for example a comment."""
    lines = [line for line in _LINES.split(event) if line.startswith(b"data:")]
    if not lines:
        return None
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)
