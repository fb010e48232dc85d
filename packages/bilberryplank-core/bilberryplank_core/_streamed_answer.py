"""Progress of a streamed model answer, and rewriting of its events when it is resumed.

Each event with text counts as one token, as engines send one event per token. The caller sees a
single answer: every event has the id and creation time of the first one, and usage is sent once.
"""

from __future__ import annotations

import json
from typing import Any

from bilberryplank_core._checked_values import ValueInvalid, decode_json
from bilberryplank_core._events import event_data
from bilberryplank_core._messages import Usage

DONE_EVENT = b"data: [DONE]\n\n"
_DONE = b"[DONE]"
_IDENTITY = ("id", "object", "created", "model")


def merge_usage(resumed_from: int, received: int, usage: Usage) -> Usage:
    """Returns the usage of a whole answer from the usage that its last attempt reported.

    Args:
        resumed_from: Number of tokens that the caller had before the attempt.
        received: Number of tokens that the attempt sent.
        usage: Usage that the attempt reported, for the whole answer or for its own tokens only.
    """
    covers_whole_answer = usage.completion_tokens >= resumed_from + received
    completion = usage.completion_tokens + (0 if covers_whole_answer else resumed_from)
    return Usage(usage.prompt_tokens, completion, usage.calls)


class StreamedAnswer:
    """The part of a streamed answer that has reached the caller.

    Attributes:
        tokens: Number of tokens that the caller has.
        resumable: True while the text alone suffices to continue the answer elsewhere.
        has_finish_reason: True once the engine has sent a finish reason.
        end_marker_sent: True once the end marker has been passed on.
    """

    __slots__ = (
        "_identity",
        "_resumed_from_token",
        "_show_usage",
        "_text",
        "_usage_sent",
        "end_marker_sent",
        "has_finish_reason",
        "resumable",
        "tokens",
    )

    def __init__(self, show_usage: bool = True) -> None:
        self._show_usage = show_usage
        self._identity: dict[str, Any] = {}
        self._text: list[str] = []
        self._resumed_from_token: int | None = None
        self._usage_sent = False
        self.tokens = 0
        self.resumable = True
        self.has_finish_reason = False
        self.end_marker_sent = False

    @property
    def text(self) -> str:
        """Text of the tokens that the caller has."""
        return "".join(self._text)

    def resume(self) -> None:
        """Starts a further attempt, whose first token follows the last one so far."""
        self._resumed_from_token = self.tokens

    def usage(self, usage: Usage) -> Usage:
        """Returns the usage of the whole answer from that of the last attempt."""
        if self._resumed_from_token is None:
            return usage
        return merge_usage(self._resumed_from_token, self.tokens - self._resumed_from_token, usage)

    def rewrite_event(self, event: bytes) -> bytes:
        """Returns an event as the caller gets it; empty if it must be left out."""
        data = event_data(event)
        if data is None:
            return event
        if data.strip() == _DONE:
            self.end_marker_sent = True
            return event
        try:
            document = decode_json(data)
        except ValueInvalid:
            self.resumable = False
            return event
        if not isinstance(document, dict):
            self.resumable = False
            return event
        return self._rewrite_document(event, document)

    def missing_end_events(self, usage: Usage) -> bytes:
        """Returns the closing events that a finished answer still lacks."""
        if self.end_marker_sent:
            return b""
        if not self._show_usage or self._usage_sent:
            return DONE_EVENT
        usage_fields = {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        }
        return _encode_event({**self._identity, "choices": [], "usage": usage_fields}) + DONE_EVENT

    def _rewrite_document(self, event: bytes, document: dict[str, Any]) -> bytes:
        choices = document.get("choices")
        if not choices:
            return self._rewrite_usage_event(event, document)
        repeats_role = self._resumed_from_token is not None and _strip_role(choices)
        has_text = self._count_tokens(choices)
        if repeats_role and not has_text and not self.has_finish_reason:
            return b""
        changed = self._rewrite_identity(document)
        changed |= self._rewrite_usage(document)
        return _encode_event(document) if changed or repeats_role else event

    def _rewrite_usage_event(self, event: bytes, document: dict[str, Any]) -> bytes:
        if "usage" in document and not self._show_usage:
            return b""
        self._usage_sent |= "usage" in document
        changed = self._rewrite_identity(document)
        changed |= self._rewrite_usage(document)
        return _encode_event(document) if changed else event

    def _count_tokens(self, choices: Any) -> bool:
        if not isinstance(choices, list) or len(choices) != 1 or not isinstance(choices[0], dict):
            self.resumable = False
            return True
        choice = choices[0]
        self._check_resumable(choice)
        if choice.get("finish_reason") is not None:
            self.has_finish_reason = True
        text = _text_of(choice)
        if text:
            self.tokens += 1
            self._text.append(text)
        return bool(text)

    def _check_resumable(self, choice: dict[str, Any]) -> None:
        delta = choice.get("delta")
        calls_tool = isinstance(delta, dict) and delta.get("tool_calls") is not None
        if choice.get("index", 0) != 0 or calls_tool:
            self.resumable = False

    def _rewrite_identity(self, document: dict[str, Any]) -> bool:
        if not self._identity:
            self._identity = {name: document[name] for name in _IDENTITY if name in document}
            return False
        if self._resumed_from_token is None:
            return False
        differing = {
            name: value for name, value in self._identity.items() if document.get(name) != value
        }
        document.update(differing)
        return bool(differing)

    def _rewrite_usage(self, document: dict[str, Any]) -> bool:
        usage_fields = document.get("usage")
        if self._resumed_from_token is None or not isinstance(usage_fields, dict):
            return False
        prompt, completion = (
            usage_fields.get(name, 0) for name in ("prompt_tokens", "completion_tokens")
        )
        if type(prompt) is not int or type(completion) is not int:
            return False
        total = self.usage(Usage(prompt, completion)).completion_tokens
        document["usage"] = {
            **usage_fields,
            "completion_tokens": total,
            "total_tokens": prompt + total,
        }
        return True


def _text_of(choice: dict[str, Any]) -> str:
    delta = choice.get("delta")
    text = delta.get("content") if isinstance(delta, dict) else choice.get("text")
    return text if isinstance(text, str) else ""


def _strip_role(choices: Any) -> bool:
    delta = choices[0].get("delta") if isinstance(choices[0], dict) else None
    return isinstance(delta, dict) and delta.pop("role", None) is not None


def _encode_event(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"
