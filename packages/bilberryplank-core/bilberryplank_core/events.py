"""Streams of server-sent events."""

from bilberryplank_core._events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTail,
    event_data,
    last_event_id,
)

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "EventTail", "event_data", "last_event_id"]
