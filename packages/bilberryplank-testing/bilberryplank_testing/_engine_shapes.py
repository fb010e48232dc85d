"""JSON shapes of OpenAI's completion interfaces, as the fake engine answers them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from bilberryplank_testing._engine_model import Job
from bilberryplank_testing._engine_text import answer_text, token

DONE = b"data: [DONE]\n\n"
CREATED = 1_700_000_000


@dataclass(slots=True, frozen=True)
class Shape:
    """Shape of one answer.

    Attributes:
        chat: True for chat completions, False for text completions.
        answer_id: Value of the answer's `id`.
        model: Model name.
    """

    chat: bool
    answer_id: str
    model: str

    def token_event(self, job: Job, index: int) -> bytes:
        """Returns the stream event of one token."""
        text = token(job.prompt.text, index)
        delta = {"content": text}
        if index == job.start:
            delta = {"role": "assistant"} | delta
        choice = {"delta": delta} if self.chat else {"text": text}
        return self._event([self._choice(choice, None)])

    def end_events(self, job: Job) -> bytes:
        """Returns the events that end a stream: finish reason, usage, then `[DONE]`."""
        choice = {"delta": {}} if self.chat else {"text": ""}
        finish = self._event([self._choice(choice, _finish_reason(job))])
        return finish + self._event([], usage=_usage(job)) + DONE

    def whole(self, job: Job) -> dict[str, Any]:
        """Returns an unstreamed answer."""
        text = answer_text(job.prompt.text, job.position, job.start)
        message = {"message": {"role": "assistant", "content": text}}
        choice = message if self.chat else {"text": text}
        choices = [self._choice(choice, _finish_reason(job))]
        kind = "chat.completion" if self.chat else "text_completion"
        return self._document(kind, choices) | {"usage": _usage(job)}

    def _event(self, choices: list[dict[str, Any]], **more: Any) -> bytes:
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        document = self._document(kind, choices) | more
        return b"data: " + json.dumps(document, separators=(",", ":")).encode() + b"\n\n"

    def _document(self, kind: str, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            "id": self.answer_id,
            "object": kind,
            "created": CREATED,
            "model": self.model,
            "choices": choices,
        }

    def _choice(self, content: dict[str, Any], reason: str | None) -> dict[str, Any]:
        return {"index": 0} | content | {"finish_reason": reason}


def error(message: str, kind: str) -> dict[str, Any]:
    """Returns an error document."""
    return {"error": {"message": message, "type": kind, "code": kind}}


def _finish_reason(job: Job) -> str:
    if job.cancelled:
        return "cancelled"
    return "length" if job.position >= job.prompt.max_tokens else "stop"


def _usage(job: Job) -> dict[str, Any]:
    # A resumed answer counts whole, so that its caller sees the usage of one whole answer.
    return {
        "prompt_tokens": job.prompt.tokens,
        "completion_tokens": job.position,
        "total_tokens": job.prompt.tokens + job.position,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
        "completion_tokens_details": {"resumed_tokens": job.start},
    }
