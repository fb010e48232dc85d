"""One authenticated connection between an entry and a sidecar.

Both sides send a hello with a nonce, then a keyed hash over both hellos, so that only a process
that has the fleet key, and answers right now, gets any further.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Protocol

from bilberryplank_core.errors import BilberryplankError, FrameInvalid, HandshakeFailed, LinkClosed
from bilberryplank_core.messages import (
    LENGTH_BYTES,
    PROTOCOL_VERSION,
    Goodbye,
    Hello,
    Message,
    Proof,
    decode,
    encode,
    payload_length,
)
from bilberryplank_core.settings import LinkSettings
from bilberryplank_core.world import Role

NONCE_BYTES = 16
MAX_HANDSHAKE_BYTES = 4096

_OPPOSITE = {Role.ENTRY: Role.SIDECAR, Role.SIDECAR: Role.ENTRY}


@dataclass(slots=True, frozen=True)
class Identity:
    """Who a process is to its peers.

    Attributes:
        role: Entry or sidecar.
        process: Name of the process.
        epoch: Random id of this run of the process.
        upstream: Name of the upstream behind a sidecar; empty for an entry.
    """

    role: Role
    process: str
    epoch: str
    upstream: str = ""

    def hello(self) -> Hello:
        """Returns a hello with a fresh nonce."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        return Hello(
            PROTOCOL_VERSION, self.role.value, self.process, self.epoch, self.upstream, nonce
        )


class LinkHandler(Protocol):
    """What the owner of links does with their events; every method returns at once."""

    def link_ready(self, link: Link) -> None:
        """The handshake succeeded."""

    def link_message(self, link: Link, message: Message) -> None:
        """A message arrived after the handshake."""

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """The connection ended, after `link_ready` only."""


class Link(asyncio.Protocol):
    """One connection to a peer.

    Attributes:
        peer: The peer's hello once the handshake succeeded; None before.
        last_received: Loop time in seconds when bytes last arrived.
    """

    def __init__(
        self, identity: Identity, fleet_key: str, settings: LinkSettings, handler: LinkHandler
    ) -> None:
        self.peer: Hello | None = None
        self.last_received = 0.0
        self._identity = identity
        self._fleet_key = fleet_key.encode()
        self._settings = settings
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._own_hello = identity.hello()
        self._peer_hello: Hello | None = None
        self._failure: BilberryplankError | None = None
        self._ready = asyncio.get_running_loop().create_future()
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

        Raises:
            FrameInvalid: The message is too large for a frame.
        """
        if self._transport is None or self._failure is not None:
            return
        self._transport.write(encode(message))

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
        """Says goodbye, sends what is queued and ends the link."""
        self.send(Goodbye(reason))
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the hello."""
        assert isinstance(transport, asyncio.Transport)
        loop = asyncio.get_running_loop()
        self._transport = transport
        transport.set_write_buffer_limits(high=self._settings.buffer_bytes)
        self.last_received = loop.time()
        self._deadline = loop.call_later(self._settings.connect_timeout, self._handshake_late)
        self.send(self._own_hello)

    def data_received(self, data: bytes) -> None:
        """Handles every whole frame."""
        self.last_received = asyncio.get_running_loop().time()
        self._buffer += data
        try:
            self._handle_frames()
        except (FrameInvalid, HandshakeFailed) as exc:
            self.close(exc)

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

    def _handle_frames(self) -> None:
        start = 0
        available = len(self._buffer)
        while self._failure is None and available - start >= LENGTH_BYTES:
            length = payload_length(bytes(self._buffer[start : start + LENGTH_BYTES]))
            if self.peer is None and length > MAX_HANDSHAKE_BYTES:
                raise HandshakeFailed("oversized frame in the handshake")
            end = start + LENGTH_BYTES + length
            if end > available:
                break
            self._handle(decode(bytes(self._buffer[start + LENGTH_BYTES : end])))
            start = end
        del self._buffer[:start]

    def _handle(self, message: Message) -> None:
        if self.peer is not None:
            self._handler.link_message(self, message)
            return
        match message:
            case Hello() if self._peer_hello is None:
                self._check_hello(message)
                self._peer_hello = message
                self.send(Proof(self._mac(self._identity.role)))
            case Proof(mac) if self._peer_hello is not None:
                self._finish_handshake(mac)
            case _:
                raise HandshakeFailed(f"{type(message).__name__} in the handshake")

    def _check_hello(self, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            raise HandshakeFailed(f"peer speaks protocol {hello.protocol}")
        if hello.role != _OPPOSITE[self._identity.role].value:
            raise HandshakeFailed(f"peer is {hello.role[:16]!r}")
        if len(hello.nonce) < NONCE_BYTES:
            raise HandshakeFailed("short nonce")

    def _finish_handshake(self, mac: bytes) -> None:
        assert self._peer_hello is not None
        expected = self._mac(Role(self._peer_hello.role))
        if not hmac.compare_digest(mac, expected):
            raise HandshakeFailed("peer has another fleet key")
        self.peer = self._peer_hello
        if self._deadline is not None:
            self._deadline.cancel()
        self._ready.set_result(None)
        self._handler.link_ready(self)

    def _mac(self, role: Role) -> bytes:
        assert self._peer_hello is not None
        hellos = {self._own_hello.role: self._own_hello, self._peer_hello.role: self._peer_hello}
        covered = [role.value.encode()]
        covered += [encode(hellos[name]) for name in sorted(hellos)]
        return hmac.new(self._fleet_key, b"".join(covered), hashlib.sha256).digest()

    def _handshake_late(self) -> None:
        self.close(HandshakeFailed("no handshake in time"))
