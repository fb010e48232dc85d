"""Bounds the bytes of answers that wait in an entry for the rest of them.

Motivating load: hundreds of streams whose upstreams send one long event each, on a small host.
"""

from __future__ import annotations

FREE_HELD_BYTES = 64 * 1024
"""Bytes of each answer that are always granted, so that long ones cannot end short ones."""


class HeldBytes:
    """Bytes held for all answers together.

    Args:
        most: Bytes beyond those that are always granted.
    """

    __slots__ = ("_most", "_total")

    def __init__(self, most: int) -> None:
        self._most = most
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes held beyond those that are always granted."""
        return self._total

    def change(self, before: int, size: int) -> bool:
        """Records that an answer holds `size` bytes now; returns False where that is too much.

        Args:
            before: Bytes that the answer held until now.
            size: Bytes that it holds now.
        """
        grown = max(0, size - FREE_HELD_BYTES)
        self._total += grown - max(0, before - FREE_HELD_BYTES)
        return not grown or self._total <= self._most
