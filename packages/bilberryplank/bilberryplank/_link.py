"""One authenticated connection between an entry and a sidecar.

A peer may be newer: messages that are not known here are counted and ignored, as are further fields
of those that are. A change that an older peer must not miss needs another protocol version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from bilberryplank._handshake import Handshake, Identity
from bilberryplank._logs import log_event
from bilberryplank._metrics import FrameDropCause, ProcessMetrics
from bilberryplank_core.errors import (
    BilberryplankError,
    FrameInvalid,
    HandshakeFailed,
    LinkClosed,
    MessageUnknown,
)
from bilberryplank_core.messages import (
    LENGTH_BYTES,
    Goodbye,
    Hello,
    Message,
    decode,
    encode,
    payload_length,
)
from bilberryplank_core.settings import LinkSettings

__all__ = ["Identity", "Link", "LinkCounters", "LinkHandler"]

MAX_HANDSHAKE_BYTES = 4096
HARD_BUFFER_FACTOR = 4
"""A link ends where this many times `buffer_bytes` wait in it: its peer does not read."""


class LinkHandler(Protocol):
    """What the owner of links does with their events; every method returns at once."""

    def link_ready(self, link: Link) -> None:
        """The handshake succeeded."""

    def link_message(self, link: Link, message: Message) -> None:
        """A message arrived after the handshake."""

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """The connection ended, after `link_ready` only."""


@dataclass(slots=True, frozen=True)
class LinkCounters:
    """What links count.

    Attributes:
        handshake_failed: Called for each peer that did not prove itself.
        message_unknown: Called for each message of a kind that is not known here.
    """

    handshake_failed: Callable[[], None] = lambda: None
    message_unknown: Callable[[], None] = lambda: None

    @classmethod
    def from_metrics(cls, metrics: ProcessMetrics) -> LinkCounters:
        """Returns counters that are metrics of the process."""
        return cls(metrics.handshake_failed, lambda: metrics.frame_dropped(FrameDropCause.INVALID))


class Link(asyncio.Protocol):
    """One connection to a peer.

    Attributes:
        peer: The peer's hello once the handshake succeeded; None before.
        last_received: Loop time in seconds when bytes last arrived.
    """

    def __init__(
        self,
        identity: Identity,
        fleet_key: str,
        settings: LinkSettings,
        handler: LinkHandler,
        counters: LinkCounters | None = None,
    ) -> None:
        self.peer: Hello | None = None
        self.last_received = 0.0
        self._handshake: Handshake | None = Handshake(identity, fleet_key)
        self._settings = settings
        self._handler = handler
        self._counters = counters or LinkCounters()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._needed = LENGTH_BYTES
        self._hard_limit = HARD_BUFFER_FACTOR * settings.buffer_bytes
        self._failure: BilberryplankError | None = None
        self._loop = asyncio.get_running_loop()
        self._ready = self._loop.create_future()
        self._deadline: asyncio.TimerHandle | None = None
        self._resumed = asyncio.Event()
        self._resumed.set()

    async def ready(self) -> None:
        """Waits for the end of the handshake.

        Raises:
            HandshakeFailed: The peer did not prove itself in time.
            LinkClosed: The connection ended before.
        """
        await asyncio.shield(self._ready)

    @property
    def is_open(self) -> bool:
        """True from the end of the handshake until the connection ends."""
        return self.peer is not None and self._failure is None

    def send(self, message: Message) -> None:
        """Queues a message; without effect on a link that has ended.

        The link ends where its peer has left too much of what was queued unread.

        Raises:
            FrameInvalid: The message is too large for a frame.
        """
        self._write(encode(message))

    async def drained(self) -> None:
        """Waits until the peer takes bytes again, or the link has ended."""
        await self._resumed.wait()

    def close(self, exc: BilberryplankError) -> None:
        """Ends the link; `exc` is what its owner gets to see."""
        if self._failure is None:
            self._failure = exc
            self._resumed.set()
        if self._transport is not None:
            self._transport.abort()

    def close_gently(self, reason: str) -> None:
        """Says goodbye, sends what is queued and ends the link, in bounded time."""
        self.send(Goodbye(reason))
        if self._transport is not None:
            self._transport.close()
            self._loop.call_later(self._settings.connect_timeout, self._transport.abort)

    def close_if_silent(self, now: float) -> None:
        """Ends the link where nothing arrived for `silence_limit` seconds."""
        silence = now - self.last_received
        if silence > self._settings.silence_limit:
            self.close(LinkClosed(f"silent for {silence:.1f} s"))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the hello."""
        assert isinstance(transport, asyncio.Transport) and self._handshake is not None
        self._transport = transport
        transport.set_write_buffer_limits(high=self._settings.buffer_bytes)
        self.last_received = self._loop.time()
        self._deadline = self._loop.call_later(self._settings.connect_timeout, self._handshake_late)
        self._write(self._handshake.own_frame)

    def data_received(self, data: bytes) -> None:
        """Handles every whole frame."""
        if self._failure is not None:
            return
        self.last_received = self._loop.time()
        self._buffer += data
        if len(self._buffer) < self._needed:
            return
        try:
            self._handle_frames()
        except (FrameInvalid, HandshakeFailed) as exc:
            self.close(exc)
        except Exception as exc:
            log_event(logger, "link_failed", level="ERROR", trace=exc)
            self.close(LinkClosed("a message could not be handled"))

    def pause_writing(self) -> None:
        """Makes senders wait."""
        self._resumed.clear()

    def resume_writing(self) -> None:
        """Lets senders go on."""
        self._resumed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the owner."""
        self._resumed.set()
        if self._deadline is not None:
            self._deadline.cancel()
        if self._failure is None:
            self._failure = LinkClosed(str(exc) if exc else "closed by peer")
        if not self._ready.done():
            self._ready.set_exception(self._failure)
            self._ready.exception()
        if self.peer is not None:
            self._handler.link_closed(self, self._failure)
        elif isinstance(self._failure, (FrameInvalid, HandshakeFailed)):
            self._counters.handshake_failed()

    def _write(self, frame: bytes) -> None:
        transport = self._transport
        if transport is None or self._failure is not None:
            return
        if transport.get_write_buffer_size() > self._hard_limit:
            self.close(LinkClosed("the peer does not read"))
            return
        transport.write(frame)

    def _handle_frames(self) -> None:
        start = 0
        with memoryview(self._buffer) as view:
            while self._failure is None:
                end = self._end_of_frame(view, start)
                if end > len(view):
                    break
                self._handle_frame(view[start:end])
                start = end
            self._needed = end - start
        del self._buffer[:start]

    def _end_of_frame(self, view: memoryview, start: int) -> int:
        body = start + LENGTH_BYTES
        if body > len(view):
            return body
        length = payload_length(view[start:body])
        if self.peer is None and length > MAX_HANDSHAKE_BYTES:
            raise HandshakeFailed("oversized frame in the handshake")
        return body + length

    def _handle_frame(self, frame: memoryview) -> None:
        try:
            message = decode(frame[LENGTH_BYTES:])
        except MessageUnknown:
            if self.peer is None:
                raise
            self._counters.message_unknown()
            return
        if self._handshake is None:
            self._handler.link_message(self, message)
        else:
            self._take_handshake(self._handshake, message, bytes(frame))

    def _take_handshake(self, handshake: Handshake, message: Message, frame: bytes) -> None:
        answer = handshake.take(message, frame)
        if answer is not None:
            self.send(answer)
        if handshake.peer is None:
            return
        self.peer = handshake.peer
        self._handshake = None
        if self._deadline is not None:
            self._deadline.cancel()
        self._ready.set_result(None)
        self._handler.link_ready(self)

    def _handshake_late(self) -> None:
        self.close(HandshakeFailed("no handshake in time"))
