"""Prefix cache of the fake engine, with events that come late and with gaps."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

MAX_EVENTS = 10_000


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A block was stored or evicted.

    Attributes:
        number: Position among all events, those that got lost included.
        at: Monotonic seconds when it happened.
        kind: `stored` or `evicted`.
        block: Hash of the prompt up to the end of the block.
    """

    number: int
    at: float
    kind: str
    block: int

    def to_document(self) -> dict[str, Any]:
        """Returns the event as JSON values."""
        return {"number": self.number, "kind": self.kind, "block": f"{self.block:016x}"}


class PrefixCache:
    """Least recently used cache of prompt blocks.

    Args:
        blocks: Blocks that fit.
        event_lag: Seconds until an event is shown.
        event_loss: Share of events that are never shown, 0 to 1.
        rng: Source of the losses.
    """

    __slots__ = ("_blocks", "_event_lag", "_event_loss", "_events", "_number", "_rng", "_stored")

    def __init__(
        self, blocks: int, event_lag: float, event_loss: float, rng: random.Random
    ) -> None:
        self._blocks = blocks
        self._event_lag = event_lag
        self._event_loss = event_loss
        self._rng = rng
        self._stored: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._number = 0

    def match(self, hashes: list[int]) -> int:
        """Returns how many leading blocks are stored, and marks them as used."""
        count = 0
        for block in hashes:
            if block not in self._stored:
                break
            self._stored.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: list[int], now: float) -> None:
        """Stores the blocks of a prompt, and evicts those that were unused for longest."""
        for block in hashes:
            if block not in self._stored:
                self._note("stored", block, now)
            self._stored[block] = None
            self._stored.move_to_end(block)
        while len(self._stored) > self._blocks:
            block, _ = self._stored.popitem(last=False)
            self._note("evicted", block, now)

    def clear(self) -> None:
        """Forgets every block without an event, as a crash does."""
        self._stored.clear()

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Returns the shown events above a number."""
        latest = now - self._event_lag
        return [event for event in self._events if event.number > after and event.at <= latest]

    def _note(self, kind: str, block: int, now: float) -> None:
        self._number += 1
        if self._rng.random() >= self._event_loss:
            self._events.append(CacheEvent(self._number, now, kind, block))
