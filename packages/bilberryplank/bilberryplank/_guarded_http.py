"""HTTP calls that a guard may stop until the very write that makes them whole.

The body has a known length and is sent only after the server's `100 Continue`, so that nothing
waits in front of it. All but its last byte go first, and must be acknowledged by the server's
kernel. Then the guard is asked, and the last byte is handed to the kernel with no await between.
Where the guard refuses, the connection is closed and the server never holds a whole call. The
kernel gives the bytes up after what is left of the lease (`TCP_USER_TIMEOUT`, RFC 5482), so that
a host that was frozen or cut off does not deliver them later. The guard is told whether the call
was answered: what left may arrive however the connection is ended, so the lease must not be given
up early before that.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import AsyncIterator

import aiohttp
from yarl import URL

from bilberryplank._answer_bounds import BoundedConnector, read_bounded
from bilberryplank._platform_http import MAX_ANSWER_BYTES, Answer, unavailable_on_failure
from bilberryplank_core.contracts import Guard, SentCall
from bilberryplank_core.errors import LeaseLost, PlatformUnavailable

PIECE_BYTES = 64 * 1024
SEND_BUFFER_BYTES = 2 * PIECE_BYTES
UNSENT_POLL_INTERVAL = 0.001
MS_PER_SECOND = 1000


class GuardedClient:
    """Sends guarded calls to one service, each over a connection of its own.

    Args:
        base_url: `http://ip:port` of the service.
        timeout: Seconds that a whole call may take.
        asks_first: True to wait for the server's `100 Continue` before the body; a server that
            knows no such answer would never get one.
    """

    __slots__ = ("_asks_first", "_base_url", "_timeout")

    def __init__(self, base_url: str, timeout: float, asks_first: bool = True) -> None:
        self._asks_first = asks_first
        self._base_url = base_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        guard: Guard,
        fields: dict[str, str] | None = None,
    ) -> Answer:
        """Returns the answer to one call.

        Raises:
            LeaseLost: `guard` raised it; the server saw no whole call.
            PlatformUnavailable: Timeout or connection failure.
        """
        guard.check()
        sending = _GuardedBody(body, guard)
        answer: Answer | None = None
        try:
            with unavailable_on_failure():
                answer = await self._exchange(method, path, sending, fields or {})
        except PlatformUnavailable:
            sending.raise_refusal()
            raise
        finally:
            sending.end(answered=answer is not None)
        sending.raise_refusal()
        return answer

    async def _exchange(
        self, method: str, path: str, sending: _GuardedBody, fields: dict[str, str]
    ) -> Answer:
        connector = BoundedConnector(force_close=True, socket_factory=sending.open_socket)
        async with (
            aiohttp.ClientSession(connector=connector, timeout=self._timeout) as session,
            session.request(
                method,
                URL(self._base_url + path, encoded=True),
                data=sending.pieces(),
                headers={**fields, "Content-Length": str(len(sending.body))},
                expect100=self._asks_first,
                allow_redirects=False,
            ) as resp,
        ):
            return Answer(resp.status, await read_bounded(resp, MAX_ANSWER_BYTES))


class _GuardedBody:
    __slots__ = ("_guard", "_sent", "_sock", "body", "refusal")

    def __init__(self, body: bytes, guard: Guard) -> None:
        self.body = body
        self.refusal: LeaseLost | None = None
        self._guard = guard
        self._sent: SentCall | None = None
        self._sock: socket.socket | None = None

    def open_socket(self, addr_info: tuple) -> socket.socket:
        family, kind, protocol, _, _ = addr_info
        self._sock = socket.socket(family, kind, protocol)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._limit_delivery()
        return self._sock

    async def pieces(self) -> AsyncIterator[bytes]:
        head = self.body[:-1]
        for start in range(0, len(head), PIECE_BYTES):
            yield head[start : start + PIECE_BYTES]
            await self._delivered()
        self._limit_delivery()
        try:
            self._sent = self._guard.begin_call()
        except LeaseLost as exc:
            self.refusal = exc
            raise
        yield self.body[-1:]

    def end(self, answered: bool) -> None:
        """Tells the guard how the call ended, if it was whole."""
        if self._sent is not None:
            self._sent.end(answered)

    def raise_refusal(self) -> None:
        if self.refusal is not None:
            raise self.refusal

    def _limit_delivery(self) -> None:
        left = max(1, int(self._guard.remaining() * MS_PER_SECOND))
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, left)

    async def _delivered(self) -> None:
        # A piece fits into an empty send buffer, so none of it is left in user space; once the
        # kernel holds no unacknowledged byte, the next piece leaves at once too.
        # The kernel gives no event for that: hence the poll.
        while _unacknowledged(self._sock):  # noqa: ASYNC110
            await asyncio.sleep(UNSENT_POLL_INTERVAL)


def _unacknowledged(sock: socket.socket) -> int:
    answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return struct.unpack("i", answer)[0]
