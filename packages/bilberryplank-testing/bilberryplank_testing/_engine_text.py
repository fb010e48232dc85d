"""Deterministic answers of the fake engine: each token is a pure function of prompt and index."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

CHARS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 64
VOCABULARY = 1000


class BadPrompt(Exception):
    """A generation body that the engine cannot run."""


@dataclass(slots=True, frozen=True)
class Prompt:
    """What the engine reads out of a generation body.

    Attributes:
        text: The whole prompt.
        tokens: Its length in tokens.
        output_tokens: Length of the answer in tokens.
        max_tokens: Bound that the caller set on the answer.
        stream: True where the answer is streamed.
        model: Model name as sent.
    """

    text: str
    tokens: int
    output_tokens: int
    max_tokens: int
    stream: bool
    model: str

    @classmethod
    def from_document(cls, document: Any) -> Prompt:
        """Returns the prompt in the JSON body of a chat or text completion.

        Raises:
            BadPrompt: The body lacks a prompt, or has values of wrong types.
        """
        try:
            text = _chat_text(document["messages"]) if "messages" in document else None
            text = _plain_text(document["prompt"]) if text is None else text
            return cls._from_text(text, document)
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            raise BadPrompt(f"wrong body: {exc!r}") from exc

    @classmethod
    def _from_text(cls, text: str, document: dict[str, Any]) -> Prompt:
        bound = document.get("max_completion_tokens") or document.get("max_tokens")
        max_tokens = max(1, int(bound or DEFAULT_MAX_TOKENS))
        forced = document.get("fake_output_tokens")
        if forced is None:
            output = 1 + _hash(text, "length") % max_tokens
        else:
            output = min(int(forced), max_tokens) if bound else int(forced)
        return cls(
            text=text,
            tokens=count_tokens(text),
            output_tokens=max(1, output),
            max_tokens=max_tokens,
            stream=bool(document.get("stream", False)),
            model=str(document["model"]),
        )


def count_tokens(text: str) -> int:
    """Returns the number of tokens of a text."""
    return max(1, -(-len(text) // CHARS_PER_TOKEN))


def token(text: str, index: int) -> str:
    """Returns token `index`, from 0, of the answer to a prompt."""
    return f"w{_hash(text, index) % VOCABULARY} "


def answer_text(text: str, output_tokens: int, start: int = 0) -> str:
    """Returns the tokens of an answer from `start` on, as one text."""
    return "".join(token(text, index) for index in range(start, output_tokens))


def block_hashes(text: str, block_tokens: int) -> list[int]:
    """Returns a hash for each whole block of the prompt, each over all text before its end."""
    size = block_tokens * CHARS_PER_TOKEN
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for start in range(0, len(text) - size + 1, size):
        digest.update(text[start : start + size].encode(errors="surrogatepass"))
        hashes.append(int.from_bytes(digest.copy().digest(), "big"))
    return hashes


def _hash(text: str, salt: int | str) -> int:
    data = f"{salt}\0{text}".encode(errors="surrogatepass")
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def _chat_text(messages: list[dict[str, Any]]) -> str:
    return "\n".join(f"{item['role']}: {_content_text(item['content'])}" for item in messages)


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return "".join(part.get("text", "") for part in content)
    return str(content)


def _plain_text(prompt: Any) -> str:
    return "\n".join(prompt) if isinstance(prompt, list) else str(prompt)
