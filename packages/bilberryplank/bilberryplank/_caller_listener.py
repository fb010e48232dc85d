"""Accepts callers' connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from loguru import logger

from bilberryplank._listening_socket import BACKLOG
from bilberryplank._logs import log_event

MAX_ACCEPTED = 64
"""Connections accepted in one turn of the loop, so that requests get their turn as well."""

RETRY_SECONDS = 0.05
"""An accepted connection over the bounds is offered again after this interval."""

EXHAUSTED_SECONDS = 1.0
"""Pause where the process or the host has no descriptor or memory for a connection."""

ProtocolFactory = Callable[[str], asyncio.Protocol | None]


class CallerListener:
    """Accepts connections; pauses while there is no protocol for the last one.

    Connections that come meanwhile stay in the kernel's backlog.

    Args:
        sock: A listening socket.
        new_protocol: Returns the protocol for a connection from an address; None if the connection
            can be neither served nor refused yet.
    """

    __slots__ = ("_deferred", "_loop", "_new_protocol", "_opening", "_sock", "_timer")

    def __init__(self, sock: socket.socket, new_protocol: ProtocolFactory) -> None:
        self._loop = asyncio.get_running_loop()
        self._new_protocol = new_protocol
        self._opening: set[asyncio.Task[object]] = set()
        self._deferred: tuple[socket.socket, str] | None = None
        self._sock = sock
        self._timer: asyncio.TimerHandle | None = None
        self._loop.add_reader(sock, self._accept_ready)

    @property
    def port(self) -> int:
        """The TCP port."""
        return self._sock.getsockname()[1]

    async def drain(self) -> None:
        """Accepts what waits, closes the socket, and waits until each connection has its protocol.

        Connections that are unaccepted when a listening socket is closed are reset.
        """
        if self._sock.fileno() < 0:
            return
        if self._timer is None:
            for _ in range(BACKLOG):
                if not self._accept_next():
                    break
        self.close()
        if self._opening:
            await asyncio.wait(self._opening)

    def close(self) -> None:
        """Closes the socket."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._deferred is not None:
            self._deferred[0].close()
            self._deferred = None
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock)
            self._sock.close()

    def _accept_ready(self) -> None:
        for _ in range(MAX_ACCEPTED):
            if not self._accept_next():
                return

    def _accept_next(self) -> bool:
        """Accepts a connection; returns False if none waits, or none can be taken now."""
        try:
            sock, address = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as exc:
            log_event(logger, "accept_failed", level="WARNING", cause=exc)
            self._pause(EXHAUSTED_SECONDS)
            return False
        sock.setblocking(False)
        return self._open(sock, str(address[0]))

    def _open(self, sock: socket.socket, address: str) -> bool:
        protocol = self._new_protocol(address)
        if protocol is None:
            self._deferred = sock, address
            self._pause(RETRY_SECONDS)
            return False
        task = self._loop.create_task(self._connect(protocol, sock))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return True

    async def _connect(self, protocol: asyncio.Protocol, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError as exc:
            log_event(logger, "accept_failed", level="WARNING", cause=exc)
            sock.close()
            protocol.connection_lost(exc)

    def _pause(self, seconds: float) -> None:
        self._loop.remove_reader(self._sock)
        self._timer = self._loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        self._timer = None
        deferred, self._deferred = self._deferred, None
        if deferred is None or self._open(*deferred):
            self._loop.add_reader(self._sock, self._accept_ready)
