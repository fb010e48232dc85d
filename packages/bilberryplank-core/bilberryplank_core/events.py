"""Streams of server-sent events."""

from bilberryplank_core._events import MAX_EVENT_BYTES, EventSplitter, EventTail, event_data

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "EventTail", "event_data"]
