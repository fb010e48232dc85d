"""Reads from an upstream's answer what it used, without holding the answer up."""

from __future__ import annotations

import json
from typing import Any

from bilberryplank_core.messages import Usage

EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
DONE = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class UsageMeter:
    """Meters one answer of a model engine, streamed or whole.

    Attributes:
        tokens: Answer tokens seen so far: one for each streamed event with text.
        done: True once a stream ended with its end marker.
    """

    __slots__ = ("tokens", "done", "_streamed", "_pending", "_usage")

    def __init__(self, streamed: bool) -> None:
        self.tokens = 0
        self.done = False
        self._streamed = streamed
        self._pending = bytearray()
        self._usage: Usage | None = None

    def feed(self, data: bytes) -> None:
        """Takes a part of the answer."""
        limit = MAX_EVENT_BYTES if self._streamed else MAX_DOCUMENT_BYTES
        if len(self._pending) + len(data) > limit:
            self._pending.clear()
            return
        self._pending += data
        if self._streamed:
            self._feed_events()

    def usage(self, prompt_tokens: int) -> Usage:
        """Returns the upstream's own figures, or what was seen and estimated without them."""
        if not self._streamed and self._pending:
            self._read(bytes(self._pending))
            self._pending.clear()
        if self._usage is not None:
            return self._usage
        return Usage(prompt_tokens, self.tokens, 1)

    def _feed_events(self) -> None:
        while (end := self._pending.find(EVENT_END)) >= 0:
            event = bytes(self._pending[:end])
            del self._pending[: end + len(EVENT_END)]
            if event.startswith(DATA_PREFIX):
                self._read_event(event[len(DATA_PREFIX) :].strip())

    def _read_event(self, data: bytes) -> None:
        if data == DONE:
            self.done = True
        elif b'"usage"' in data:
            self._read(data)
        else:
            self.tokens += 1

    def _read(self, data: bytes) -> None:
        try:
            document = json.loads(data)
        except ValueError:
            return
        figures = document.get("usage") if isinstance(document, dict) else None
        if isinstance(figures, dict):
            self._usage = _usage_of(figures)


def _usage_of(figures: dict[str, Any]) -> Usage:
    prompt = figures.get("prompt_tokens", 0)
    completion = figures.get("completion_tokens", 0)
    valid = all(type(count) is int and count >= 0 for count in (prompt, completion))
    return Usage(prompt, completion, 1) if valid else Usage()
