"""An answer on its way from a sidecar to an entry, kept until the entry has it whole."""

from __future__ import annotations

import asyncio

from bilberryplank._link import Link
from bilberryplank_core.messages import (
    AttemptId,
    Body,
    End,
    Failed,
    Head,
    Headers,
    Load,
    Usage,
)

WINDOW_BYTES = 256 * 1024
PART_BYTES = 64 * 1024


class AnswerStream:
    """Sends one answer in parts, within the window that the entry's credits leave.

    The parts stay here, so that the answer can be sent again over another link, until it outgrows
    `keep_bytes`: from then on only what is unsent stays.

    Attributes:
        attempt: Identity of the attempt.
        size: Bytes of the body so far.
        replayable: True while all parts are still here.
    """

    __slots__ = (
        "attempt",
        "size",
        "replayable",
        "_link",
        "_head",
        "_parts",
        "_cursor",
        "_unacknowledged",
        "_closing",
        "_closing_sent",
        "_moved",
        "_keep_bytes",
    )

    def __init__(self, attempt: AttemptId, link: Link | None, keep_bytes: int) -> None:
        self.attempt = attempt
        self.size = 0
        self.replayable = True
        self._link = link
        self._head: Head | None = None
        self._parts: list[bytes] = []
        self._cursor = 0
        self._unacknowledged = 0
        self._closing: End | Failed | None = None
        self._closing_sent = False
        self._moved = asyncio.Event()
        self._keep_bytes = keep_bytes

    @property
    def link(self) -> Link | None:
        """The link that the answer goes to; None while its entry is gone."""
        return self._link

    @classmethod
    def from_kept(
        cls, attempt: AttemptId, link: Link, head: Head, parts: tuple[bytes, ...], usage: Usage
    ) -> AnswerStream:
        """Returns a stream that sends a whole answer again; its load hints are the old ones."""
        stream = cls(attempt, None, sum(len(part) for part in parts))
        stream._head = head
        stream._parts = list(parts)
        stream.finish(usage, head.load)
        stream.attach(link)
        return stream

    def head(self, status: int, headers: Headers, load: Load, waited: float = 0.0) -> None:
        """Sends status and headers, and how long the attempt waited before it was run."""
        self._head = Head(self.attempt, status, headers, load, waited)
        if self._link is not None:
            self._link.send(self._head)

    async def part(self, data: bytes) -> None:
        """Sends bytes of the body; waits while the entry, or the room to keep them, is short."""
        for start in range(0, len(data), PART_BYTES):
            self._parts.append(data[start : start + PART_BYTES])
        self.size += len(data)
        self._pump()
        while self._must_wait():
            self._moved.clear()
            await self._moved.wait()

    def finish(self, usage: Usage, load: Load) -> None:
        """Says that the answer is whole."""
        self._close(End(self.attempt, len(self._parts), usage, load))

    def fail(self, reason: str, load: Load) -> None:
        """Says that the answer broke off."""
        self._close(Failed(self.attempt, reason, load))

    @property
    def delivered(self) -> bool:
        """True once the answer's end was sent."""
        return self._closing_sent

    @property
    def held_bytes(self) -> int:
        """Bytes of the body that are held here."""
        return sum(map(len, self._parts))

    def attach(self, link: Link) -> None:
        """Sends the whole answer again, from its start, over another link.

        Raises:
            ValueError: The answer is no longer replayable.
        """
        if not self.replayable:
            raise ValueError("parts of the answer were dropped")
        self._link = link
        self._cursor = 0
        self._unacknowledged = 0
        self._closing_sent = False
        if self._head is not None:
            link.send(self._head)
        self._pump()

    def detach(self) -> None:
        """Stops sending; the answer is still kept."""
        self._link = None
        self._moved.set()

    def credit(self, size: int) -> None:
        """Takes the entry's word that it took `size` bytes."""
        self._unacknowledged = max(0, self._unacknowledged - size)
        self._pump()

    def _close(self, closing: End | Failed) -> None:
        self._closing = closing
        self._pump()

    def _must_wait(self) -> bool:
        if self._link is None:
            return self.size > self._keep_bytes
        return self._cursor < len(self._parts)

    def _pump(self) -> None:
        link = self._link
        if link is None:
            return
        while self._cursor < len(self._parts) and self._unacknowledged < WINDOW_BYTES:
            data = self._parts[self._cursor]
            link.send(Body(self.attempt, self._cursor, data))
            self._cursor += 1
            self._unacknowledged += len(data)
        if self.size > self._keep_bytes:
            self._drop_sent()
        if self._cursor == len(self._parts) and self._closing and not self._closing_sent:
            link.send(self._closing)
            self._closing_sent = True
        self._moved.set()

    def _drop_sent(self) -> None:
        self.replayable = False
        for index in range(self._cursor - 1, -1, -1):
            if not self._parts[index]:
                break
            self._parts[index] = b""
