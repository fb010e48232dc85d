"""Models which prompt prefixes an engine has cached, from the requests that were sent to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import xxhash

from bilberryplank_core._direct_types import PromptSegment, RequestHead

PREFIX_MEMORY_SHARE = 0.8
"""Share of an engine's KV cache assumed to hold earlier prefixes; running requests use the rest."""

MAX_SEGMENTS = 8192
"""Segments of one engine that are remembered: callers may send some of a token each, or of none."""


def prefix_keys(model: str, prompt: Sequence[PromptSegment]) -> list[tuple[str, int]]:
    """Returns a key for each prefix of a prompt, with the tokens of its last segment.

    Keys are hashes of 8 bytes, as entries send them to each other.
    """
    keys = []
    key = model
    for segment in prompt:
        key = xxhash.xxh3_64_hexdigest(f"{key}/{segment.segment_id}".encode())
        keys.append((key, segment.tokens))
    return keys


class PrefixCacheModel:
    """Model of the prefix cache of one engine, with least-recently-used eviction.

    Args:
        kv_cache_tokens: Tokens that fit into the engine's KV cache.
    """

    __slots__ = ("_capacity_tokens", "_segments", "_total_tokens")

    def __init__(self, kv_cache_tokens: int) -> None:
        self._capacity_tokens = kv_cache_tokens * PREFIX_MEMORY_SHARE
        self._segments: OrderedDict[str, int] = OrderedDict()
        self._total_tokens = 0

    def cached_tokens(self, keys: Sequence[tuple[str, int]]) -> int:
        """Returns the tokens of a prompt's longest cached prefix."""
        total = 0
        for key, tokens in keys:
            if key not in self._segments:
                break
            total += tokens
        return total

    def add(self, keys: Sequence[tuple[str, int]]) -> None:
        """Records the prefill of a prompt."""
        for key, tokens in keys:
            if key in self._segments:
                self._segments.move_to_end(key)
            else:
                self._segments[key] = tokens
                self._total_tokens += tokens
        while self._segments and (
            self._total_tokens > self._capacity_tokens or len(self._segments) > MAX_SEGMENTS
        ):
            _, evicted_tokens = self._segments.popitem(last=False)
            self._total_tokens -= evicted_tokens

    def clear(self) -> None:
        """Empties the model after a restart of the engine."""
        self._segments.clear()
        self._total_tokens = 0


def shared_prefix_key(call: RequestHead, prefix_segments: Sequence[tuple[str, int]]) -> str:
    """Returns the key of the prompt's shared prefix; the request's own id where it has none."""
    return prefix_segments[-2][0] if len(prefix_segments) > 1 else call.request_id
