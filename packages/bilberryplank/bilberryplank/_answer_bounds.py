"""Bounds on what may come over a connection in place of an answer."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from loguru import logger

from bilberryplank._logs import log_event
from bilberryplank._paced_reading import PacedReading, pieces_of
from bilberryplank_core.direct import ReadPacer, excess_pieces

MAX_INTERIM_ANSWERS = 32
"""Interim answers (1xx) before the final one; HTTP allows any number."""

LEAST_READ_BYTES = 4 * 1024
"""Bytes of one read until the head is there, and after a read of many small pieces."""

MAX_READ_BYTES = 16 * 1024
"""Bytes of one read; hundreds of connections may be readable in one turn of the loop."""

MAX_BODILESS_BYTES = 256 * 1024
"""Bytes after the head in which no byte of the body comes, as in the extension of a chunk."""

UNPACED_PIECES = 512
"""Small pieces of one answer that need not wait behind those of others."""

MAX_EXCESS_PIECES = 65_536
"""Small pieces of one answer beyond those that its bytes allow for."""


class AnswerOverflow(aiohttp.ClientPayloadError):
    """More came than an answer may have; the connection was closed."""


def limit_read(transport: asyncio.BaseTransport, size: int) -> None:
    """Has a transport of asyncio's selector loops read up to `size` bytes in one turn."""
    transport.max_size = size


async def read_bounded(resp: aiohttp.ClientResponse, limit: int) -> bytes:
    """Returns the whole body of an answer.

    Raises:
        AnswerOverflow: It has more than `limit` bytes; the connection was closed.
    """
    held = bytearray()
    async for data in resp.content.iter_any():
        held += data
        if len(held) > limit:
            resp.close()
            raise AnswerOverflow(f"more than {limit} bytes")
    return bytes(held)


class BoundedHandler(PacedReading, ResponseHandler):
    """Bounds the work for one connection in one turn of the loop, and in all.

    Closes a connection on which interim answers go on without the final one, or an answer goes on
    in pieces of a few bytes. Until then a connection with such pieces reads slowly.

    Closes a kept connection on which bytes come that no call awaits, as they would be read as the
    answer to the next call.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        retired_at: Callable[[], float] = lambda: float("-inf"),
        pacer: ReadPacer | None = None,
        byte_rate: float | None = None,
    ) -> None:
        super().__init__(loop)
        self._awaits_answer = True
        self._byte_rate = byte_rate
        self._pacer = pacer or ReadPacer()
        self._pace_timer: asyncio.TimerHandle | None = None
        self._excess_pieces = self._bodiless_bytes = 0
        self._opened_at = loop.time()
        self._retired_at = retired_at
        self._interim_answers = 0
        self._overflow: AnswerOverflow | None = None

    @property
    def _is_retired(self) -> bool:
        return self._opened_at < self._retired_at()

    def is_connected(self) -> bool:
        """Returns True where the connection may take a call."""
        return super().is_connected() and not self._is_retired

    @property
    def should_close(self) -> bool:
        """True where the connection must not be kept after its call."""
        return super().should_close or self._is_retired

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Has the transport read little at a time."""
        super().connection_made(transport)
        self._limit_read(LEAST_READ_BYTES)

    def set_response_params(self, **params: Any) -> None:
        """Takes in that a request goes out."""
        self._awaits_answer = True
        self._interim_answers = self._excess_pieces = self._bodiless_bytes = 0
        self._limit_read(LEAST_READ_BYTES)
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Takes in bytes, and has the connection read on later where their pieces are small."""
        if data and self._is_idle:
            self._close_unasked()
            return
        known, before = self._payload, pieces_of(self._payload)
        super().data_received(data)
        payload = self._payload
        if payload is None or self._overflow is not None:
            return
        pieces = pieces_of(payload) - (before if payload is known else 0)
        excess = excess_pieces(pieces, len(data))
        self._limit_read(LEAST_READ_BYTES if excess else MAX_READ_BYTES)
        self._excess_pieces += excess
        self._bodiless_bytes = 0 if pieces else self._bodiless_bytes + len(data)
        if self._bodiless_bytes > MAX_BODILESS_BYTES:
            self.overflow(f"more than {MAX_BODILESS_BYTES} bytes that are no part of the body")
        elif self._excess_pieces > MAX_EXCESS_PIECES:
            self.overflow(f"more than {MAX_EXCESS_PIECES} pieces of a few bytes")
        elif excess and self._excess_pieces > UNPACED_PIECES:
            self.pause_for(self._pacer.reserve(excess, self._loop.time()))
        elif self._byte_rate is not None and len(data) >= LEAST_READ_BYTES:
            self.pause_for(len(data) / self._byte_rate)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the connection."""
        self.stop_pacing()
        super().connection_lost(exc)

    def feed_data(self, data: Any, *size: int) -> None:
        """Takes in the head of an answer."""
        if self._overflow is not None:
            return
        if not self._awaits_answer:
            self._close_unasked()
            return
        self._awaits_answer = data[0].code < HTTPStatus.OK
        if self._awaits_answer:
            self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self.overflow(f"more than {MAX_INTERIM_ANSWERS} interim answers")
            return
        super().feed_data(data, *size)

    def set_exception(self, exc: Any, *cause: BaseException) -> None:
        """Takes in how the connection ended; the bound is the cause where one was passed."""
        super().set_exception(self._overflow or exc, *cause)

    def overflow(self, message: str) -> None:
        """Closes the connection, and fails the answer that is read from it."""
        self._overflow = AnswerOverflow(message)
        if self._payload is not None:
            self._payload.set_exception(self._overflow)
        self.set_exception(self._overflow)
        if self.transport is not None:
            self.transport.abort()

    @property
    def _is_idle(self) -> bool:
        return not self._awaits_answer and (self._payload is None or self._payload.is_eof())

    def _close_unasked(self) -> None:
        """Closes the connection on which an answer came that no call awaits."""
        if self.transport is not None:
            peer = self.transport.get_extra_info("peername")
            log_event(logger, "answer_unasked", level="WARNING", peer=peer)
        self.close()

    def _limit_read(self, size: int) -> None:
        if self.transport is not None:
            limit_read(self.transport, size)


class BoundedConnector(aiohttp.TCPConnector):
    """Opens such connections, and replaces all of them where they may have fallen silent.

    Args:
        handler: Protocol of the connections.
        pacer: Paces the reads of all of them; None for one of their own.
        byte_rate: Bytes a second at which one of them reads a long answer; None for no bound.
        options: Options of the connector.
    """

    def __init__(
        self,
        handler: type[BoundedHandler] = BoundedHandler,
        pacer: ReadPacer | None = None,
        byte_rate: float | None = None,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._retired_at = float("-inf")
        self._fell_silent = asyncio.Event()
        self._factory = functools.partial(
            handler,
            loop=self._loop,
            retired_at=lambda: self._retired_at,
            pacer=pacer or ReadPacer(),
            byte_rate=byte_rate,
        )

    @property
    def fell_silent(self) -> asyncio.Event:
        """Set once calls in flight on connections of this moment should not be waited for."""
        return self._fell_silent

    def retire(self) -> None:
        """Has calls from now on use new connections; calls in flight go on."""
        self._retired_at = self._loop.time()

    def report_silence(self) -> None:
        """Tells calls in flight that their connections are silent."""
        self._fell_silent.set()
        self._fell_silent = asyncio.Event()
