"""How the two sides of a link prove to each other that they have the fleet key.

Both send a hello with a nonce, then a keyed hash over both hellos and the sender's own role. The
nonces keep an older proof from being replayed, and the role keeps a proof from being sent back.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from bilberryplank_core.errors import HandshakeFailed
from bilberryplank_core.messages import PROTOCOL_VERSION, Hello, Message, Proof, encode
from bilberryplank_core.world import Role

NONCE_BYTES = 16

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


class Handshake:
    """One side of the handshake of one link.

    Attributes:
        own_frame: Frame of the own hello, to be sent first.
        peer: The peer's hello once it proved itself; None before.
    """

    __slots__ = ("own_frame", "peer", "_fleet_key", "_peer_frame", "_peer_hello", "_role")

    def __init__(self, identity: Identity, fleet_key: str) -> None:
        self.own_frame = encode(identity.hello())
        self.peer: Hello | None = None
        self._fleet_key = fleet_key.encode()
        self._role = identity.role
        self._peer_hello: Hello | None = None
        self._peer_frame = b""

    def take(self, message: Message, frame: bytes) -> Proof | None:
        """Takes a message of the peer, and returns the answer to it where there is one.

        Args:
            message: The message.
            frame: Its frame as it came, which a newer peer may have made with further fields.

        Raises:
            HandshakeFailed: The peer does not belong to the fleet, or speaks another version.
        """
        match message:
            case Hello() if self._peer_hello is None:
                self._check_hello(message)
                self._peer_hello = message
                self._peer_frame = frame
                return Proof(self._mac(self._role))
            case Proof(mac) if self._peer_hello is not None:
                self._check_proof(mac)
                self.peer = self._peer_hello
                return None
        raise HandshakeFailed(f"{type(message).__name__} in the handshake")

    def _check_hello(self, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            raise HandshakeFailed(f"peer speaks protocol {hello.protocol}")
        if hello.role != _OPPOSITE[self._role].value:
            raise HandshakeFailed(f"peer is {hello.role[:16]!r}")
        if len(hello.nonce) < NONCE_BYTES:
            raise HandshakeFailed("short nonce")

    def _check_proof(self, mac: bytes) -> None:
        if not hmac.compare_digest(mac, self._mac(_OPPOSITE[self._role])):
            raise HandshakeFailed("peer has another fleet key")

    def _mac(self, role: Role) -> bytes:
        frames = [self.own_frame, self._peer_frame]
        if self._role is Role.SIDECAR:
            frames.reverse()
        covered = b"".join([role.value.encode(), *frames])
        return hmac.new(self._fleet_key, covered, hashlib.sha256).digest()
