"""Bounds on what may come over a connection in place of an answer."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

MAX_INTERIM_ANSWERS = 32
"""Interim answers (1xx) before the final one; HTTP allows any number."""

HEAD_READ_BYTES = 4 * 1024
"""Bytes of one read until the head is there: each may begin hundreds of interim answers."""

BODY_READ_BYTES = 64 * 1024


class AnswerOverflow(aiohttp.ClientPayloadError):
    """More came than an answer may have; the connection was closed."""


class BoundedHandler(ResponseHandler):
    """Closes a connection on which interim answers go on without the final one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        retired_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        super().__init__(loop)
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
        self._limit_read(HEAD_READ_BYTES)

    def set_response_params(self, **params: Any) -> None:
        """Takes in that a request goes out."""
        self._interim_answers = 0
        self._limit_read(HEAD_READ_BYTES)
        super().set_response_params(**params)

    def feed_data(self, data: Any, *size: int) -> None:
        """Takes in the head of an answer."""
        if self._overflow is not None:
            return
        if data[0].code >= HTTPStatus.OK:
            self._limit_read(BODY_READ_BYTES)
        else:
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

    def _limit_read(self, size: int) -> None:
        # The transport of asyncio's selector loops reads up to `max_size` bytes in one turn.
        if self.transport is not None:
            self.transport.max_size = size


class BoundedConnector(aiohttp.TCPConnector):
    """Opens such connections, and replaces all of them where they may have fallen silent."""

    def __init__(self, handler: type[BoundedHandler], **options: Any) -> None:
        super().__init__(**options)
        self._retired_at = float("-inf")
        self._fell_silent = asyncio.Event()
        self._factory = functools.partial(
            handler, loop=self._loop, retired_at=lambda: self._retired_at
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


def bounded_connector(
    handler: type[BoundedHandler] = BoundedHandler, **options: Any
) -> BoundedConnector:
    """Returns a connector whose connections have these bounds.

    Args:
        handler: Protocol of the connections.
        options: Options of the connector.
    """
    return BoundedConnector(handler, **options)
