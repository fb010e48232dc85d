"""Paces reads whose bytes come in many small pieces, each of which costs work.

Motivating load: a peer that sends chunks of one byte without end, on many connections at once.
"""

from __future__ import annotations

BYTES_PER_PIECE = 64
"""A piece of this many bytes is no excess: tokens and chunks of an answer are longer."""

FREE_PIECES = 8
"""Pieces of one read that are no excess, as a slow answer comes in reads of a few bytes."""

PIECES_PER_SECOND = 20_000.0
"""Excess pieces of all connections together."""


def excess_pieces(pieces: int, size: int) -> int:
    """Returns the pieces of a read beyond those that its bytes allow for."""
    return max(0, pieces - size // BYTES_PER_PIECE - FREE_PIECES)


class ReadPacer:
    """Spreads the excess pieces of all connections over time."""

    __slots__ = ("_free_at",)

    def __init__(self) -> None:
        self._free_at = float("-inf")

    def reserve(self, pieces: int, now: float) -> float:
        """Returns the seconds after which the connection that got some pieces may read on."""
        self._free_at = max(self._free_at, now) + pieces / PIECES_PER_SECOND
        return self._free_at - now
