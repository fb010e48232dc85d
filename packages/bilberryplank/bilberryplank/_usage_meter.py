"""Reads from an upstream's answer what it used, without holding the answer up."""

from __future__ import annotations

import json
import re
from typing import Any

from bilberryplank_core.events import EventSplitter, event_data
from bilberryplank_core.messages import Usage

DONE = b"[DONE]"
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024

# Nearly all events are tokens, and reading the JSON of each would cost more than all else here.
# Within a JSON text each quote has a backslash before it, so that texts cannot match.
_CONTENT = re.compile(rb'"(?:arguments|content|reasoning_content|text)"\s*:\s*"(?!")')
_FIGURES = re.compile(rb'"usage"\s*:\s*\{')


class UsageMeter:
    """Meters one answer of a model engine, streamed or whole.

    Attributes:
        tokens: Answer tokens seen so far: one for each streamed event with content.
        done: True once a stream ended with its end marker.
    """

    __slots__ = ("tokens", "done", "_document", "_events", "_skips", "_usage")

    def __init__(self, streamed: bool) -> None:
        self.tokens = 0
        self.done = False
        self._document = bytearray()
        self._events = EventSplitter() if streamed else None
        self._skips = False
        self._usage: Usage | None = None

    def feed(self, data: bytes) -> None:
        """Takes a part of the answer."""
        if self._events is None:
            self._feed_document(data)
            return
        for event in self._events.feed(data):
            # What is left of an event that was too long to be held is no event.
            if not self._skips:
                self._read_event(event)
            self._skips = False
        if self._events.overflowed:
            self._events = EventSplitter()
            self._skips = True

    def usage(self, prompt_tokens: int) -> Usage:
        """Returns the upstream's own figures, or what was seen and estimated without them."""
        if self._document:
            self._read_usage(bytes(self._document))
            self._document.clear()
        if self._usage is not None:
            return self._usage
        return Usage(prompt_tokens, self.tokens, 1)

    def _feed_document(self, data: bytes) -> None:
        self._skips |= len(self._document) + len(data) > MAX_DOCUMENT_BYTES
        if self._skips:
            self._document.clear()
        else:
            self._document += data

    def _read_event(self, event: bytes) -> None:
        data = event_data(event)
        if data is None:
            return
        if data.strip() == DONE:
            self.done = True
            return
        if _FIGURES.search(data):
            self._read_usage(data)
        if _CONTENT.search(data):
            self.tokens += 1

    def _read_usage(self, data: bytes) -> None:
        try:
            document = json.loads(data)
        except (ValueError, RecursionError):
            return
        figures = document.get("usage") if isinstance(document, dict) else None
        usage = _usage_of(figures) if isinstance(figures, dict) else None
        self._usage = usage or self._usage


def _usage_of(figures: dict[str, Any]) -> Usage | None:
    prompt = figures.get("prompt_tokens", 0)
    completion = figures.get("completion_tokens", 0)
    valid = all(type(count) is int and count >= 0 for count in (prompt, completion))
    return Usage(prompt, completion, 1) if valid else None
