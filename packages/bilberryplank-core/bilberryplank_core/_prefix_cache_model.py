"""Which parts of prompts an engine still keeps, learnt from the requests that were sent to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import xxhash

from bilberryplank_core._direct_types import PromptSegment

KEPT_SHARE = 0.8
"""Share of an engine's memory that is taken to keep old parts; running requests need the rest."""


def prefix_keys(model: str, prompt: Sequence[PromptSegment]) -> list[tuple[str, int]]:
    """Returns a key for each prefix of a prompt, with the tokens of its last part.

    Keys are hashes of 8 bytes, as entries tell them to each other.
    """
    keys = []
    name = model
    for part in prompt:
        name = xxhash.xxh3_64_hexdigest(f"{name}/{part.segment_id}".encode())
        keys.append((name, part.tokens))
    return keys


class PrefixCacheModel:
    """Parts of prompts at one engine; the least recently used go first.

    Args:
        memory_tokens: Tokens that the engine can keep.
    """

    __slots__ = ("_capacity", "_kept", "_tokens")

    def __init__(self, memory_tokens: int) -> None:
        self._capacity = memory_tokens * KEPT_SHARE
        self._kept: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def cached_tokens(self, keys: Sequence[tuple[str, int]]) -> int:
        """Returns the tokens of a prompt that need not be read again."""
        total = 0
        for key, tokens in keys:
            if key not in self._kept:
                break
            total += tokens
        return total

    def add(self, keys: Sequence[tuple[str, int]]) -> None:
        """Takes in that the engine reads a prompt."""
        for key, tokens in keys:
            if key in self._kept:
                self._kept.move_to_end(key)
            else:
                self._kept[key] = tokens
                self._tokens += tokens
        while self._tokens > self._capacity and self._kept:
            _, dropped = self._kept.popitem(last=False)
            self._tokens -= dropped

    def clear(self) -> None:
        """Takes in that the engine started anew."""
        self._kept.clear()
        self._tokens = 0
