"""What of a streamed model answer the caller has, and the events of a resumed one made to fit.

A token is counted for each event with text, as engines send one event a token. The caller sees
one answer: every event has the id and time of the first one, and one usage.
"""

from __future__ import annotations

import json
from typing import Any

from bilberryplank_core._events import event_data
from bilberryplank_core._messages import Usage

DONE_EVENT = b"data: [DONE]\n\n"
_DONE = b"[DONE]"
_IDENTITY = ("id", "object", "created", "model")


def merge_usage(resumed_from: int, seen: int, usage: Usage) -> Usage:
    """Returns the usage of a whole answer from that of its last attempt.

    Args:
        resumed_from: Tokens that the caller had before the attempt.
        seen: Tokens that the attempt sent.
        usage: What the attempt reported, for the whole answer or for its own tokens only.
    """
    whole = usage.completion_tokens >= resumed_from + seen
    completion = usage.completion_tokens + (0 if whole else resumed_from)
    return Usage(usage.prompt_tokens, completion, usage.calls)


class StreamedAnswer:
    """The part of a streamed answer that reached the caller.

    Attributes:
        tokens: Tokens that the caller has.
        resumable: True as long as the text alone tells where to go on.
        finished: True once the engine gave a reason for having finished.
        done: True once the end marker passed.
    """

    __slots__ = (
        "_identity",
        "_resumed_from",
        "_show_usage",
        "_text",
        "_usage_passed",
        "done",
        "finished",
        "resumable",
        "tokens",
    )

    def __init__(self, show_usage: bool = True) -> None:
        self._show_usage = show_usage
        self._identity: dict[str, Any] = {}
        self._text: list[str] = []
        self._resumed_from: int | None = None
        self._usage_passed = False
        self.tokens = 0
        self.resumable = True
        self.finished = False
        self.done = False

    @property
    def text(self) -> str:
        """Text of the tokens."""
        return "".join(self._text)

    def resume(self) -> None:
        """Begins a further attempt, whose first token follows the last one here."""
        self._resumed_from = self.tokens

    def usage(self, usage: Usage) -> Usage:
        """Returns the usage of the whole answer from that of the last attempt."""
        if self._resumed_from is None:
            return usage
        return merge_usage(self._resumed_from, self.tokens - self._resumed_from, usage)

    def pass_event(self, event: bytes) -> bytes:
        """Takes in an event and returns it as the caller gets it; empty to leave it out."""
        data = event_data(event)
        if data is None:
            return event
        if data.strip() == _DONE:
            self.done = True
            return event
        try:
            document = json.loads(data)
        except ValueError:
            self.resumable = False
            return event
        if not isinstance(document, dict):
            self.resumable = False
            return event
        return self._pass_document(event, document)

    def missing_end(self, usage: Usage) -> bytes:
        """Returns the events that a finished answer lacks."""
        if self.done:
            return b""
        if not self._show_usage or self._usage_passed:
            return DONE_EVENT
        figures = {
            "prompt_tokens": usage.prompt_tokens,
            "completion_tokens": usage.completion_tokens,
            "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        }
        return _print({**self._identity, "choices": [], "usage": figures}) + DONE_EVENT

    def _pass_document(self, event: bytes, document: dict[str, Any]) -> bytes:
        choices = document.get("choices")
        if not choices:
            return self._pass_usage(event, document)
        repeats_role = self._resumed_from is not None and _strip_role(choices)
        has_text = self._count(choices)
        if repeats_role and not has_text and not self.finished:
            return b""
        changed = self._rewrite_identity(document)
        changed |= self._rewrite_usage(document)
        return _print(document) if changed or repeats_role else event

    def _pass_usage(self, event: bytes, document: dict[str, Any]) -> bytes:
        if "usage" in document and not self._show_usage:
            return b""
        self._usage_passed |= "usage" in document
        changed = self._rewrite_identity(document)
        changed |= self._rewrite_usage(document)
        return _print(document) if changed else event

    def _count(self, choices: Any) -> bool:
        if not isinstance(choices, list) or len(choices) != 1 or not isinstance(choices[0], dict):
            self.resumable = False
            return True
        choice = choices[0]
        self._note_shape(choice)
        if choice.get("finish_reason") is not None:
            self.finished = True
        text = _text_of(choice)
        if text:
            self.tokens += 1
            self._text.append(text)
        return bool(text)

    def _note_shape(self, choice: dict[str, Any]) -> None:
        delta = choice.get("delta")
        calls_tool = isinstance(delta, dict) and delta.get("tool_calls") is not None
        if choice.get("index", 0) != 0 or calls_tool:
            self.resumable = False

    def _rewrite_identity(self, document: dict[str, Any]) -> bool:
        if not self._identity:
            self._identity = {name: document[name] for name in _IDENTITY if name in document}
            return False
        if self._resumed_from is None:
            return False
        differing = {
            name: value for name, value in self._identity.items() if document.get(name) != value
        }
        document.update(differing)
        return bool(differing)

    def _rewrite_usage(self, document: dict[str, Any]) -> bool:
        figures = document.get("usage")
        if self._resumed_from is None or not isinstance(figures, dict):
            return False
        prompt, completion = (
            figures.get(name, 0) for name in ("prompt_tokens", "completion_tokens")
        )
        if type(prompt) is not int or type(completion) is not int:
            return False
        whole = self.usage(Usage(prompt, completion)).completion_tokens
        document["usage"] = {**figures, "completion_tokens": whole, "total_tokens": prompt + whole}
        return True


def _text_of(choice: dict[str, Any]) -> str:
    delta = choice.get("delta")
    text = delta.get("content") if isinstance(delta, dict) else choice.get("text")
    return text if isinstance(text, str) else ""


def _strip_role(choices: Any) -> bool:
    delta = choices[0].get("delta") if isinstance(choices[0], dict) else None
    return isinstance(delta, dict) and delta.pop("role", None) is not None


def _print(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"
