"""The answer to one caller, begun once and sent whole or cut off."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

from bilberryplank._refusals import REQUEST_ID_HEADER, refusal_event
from bilberryplank_core.errors import Refused

if TYPE_CHECKING:
    from bilberryplank_core.messages import Headers

EVENT_STREAM = "text/event-stream"
STALL_SECONDS = 60.0
"""A caller that takes nothing for this long is taken for gone."""

LOW_WATER_BYTES = 16 * 1024
"""With less than this unsent, a write never waits (asyncio's low-water mark)."""


class CallerGone(ConnectionError):
    """The caller closed its connection before the answer was whole."""


class AnswerCutOff(CallerGone):
    """The answer had begun and could not be made whole; the connection was ended.

    Attributes:
        refused: Why.
    """

    def __init__(self, refused: Refused) -> None:
        super().__init__(f"cut off: {refused.reason.value}")
        self.refused = refused


class CallerAnswer:
    """Writes an answer to a caller.

    Args:
        request: The caller's request.
        request_id: Id that the entry gave it.
        closes: True to end the connection after the answer.
        outlives_caller: True for a call that is followed to its end although its caller left; the
            rest of its answer is then taken without being sent.
        stall_timeout: Seconds without the caller taking anything until it is taken for gone.

    Attributes:
        first_byte: Loop time in seconds of the first byte of the body; None before.
        last_byte: Loop time in seconds of the last byte of the body; None before.
    """

    __slots__ = (
        "first_byte",
        "last_byte",
        "_closes",
        "_discarded",
        "_outlives_caller",
        "_request",
        "_request_id",
        "_resp",
        "_stall_timeout",
    )

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        closes: bool = False,
        outlives_caller: bool = False,
        stall_timeout: float = STALL_SECONDS,
    ) -> None:
        self.first_byte: float | None = None
        self.last_byte: float | None = None
        self._closes = closes
        self._discarded = False
        self._outlives_caller = outlives_caller
        self._request = request
        self._request_id = request_id
        self._resp: web.StreamResponse | None = None
        self._stall_timeout = stall_timeout

    def discard(self) -> None:
        """Drops the rest of the answer."""
        self._discarded = True

    async def start(self, status: int, headers: Headers) -> None:
        """Sends status and headers.

        Raises:
            CallerGone: The caller closed its connection.
        """
        if self._discarded:
            return
        fields = CIMultiDict((name, value) for name, value in headers)
        fields[REQUEST_ID_HEADER] = self._request_id
        self._resp = web.StreamResponse(status=status, headers=fields)
        if self._closes:
            self._resp.force_close()
        try:
            await self._resp.prepare(self._request)
        except ConnectionError as exc:
            self._caller_left(exc)

    async def write(self, data: bytes) -> None:
        """Sends bytes of the body; waits where the caller is slow.

        Raises:
            CallerGone: The caller closed its connection.
        """
        if self._discarded:
            return
        assert self._resp is not None
        now = asyncio.get_running_loop().time()
        self.first_byte = self.first_byte or now
        self.last_byte = now
        try:
            await self._write(self._resp, data)
        except ConnectionError as exc:
            self._caller_left(exc)

    async def finish(self) -> web.StreamResponse:
        """Ends the answer and returns it.

        Raises:
            CallerGone: The caller closed its connection.
        """
        if self._discarded:
            raise CallerGone("the caller left before the end")
        assert self._resp is not None
        try:
            async with self._stall_bound():
                await self._resp.write_eof()
        except ConnectionError as exc:
            raise CallerGone(str(exc)) from exc
        return self._resp

    async def cut_off(self, refused: Refused) -> None:
        """Says why where the answer has a place for it, and ends the connection.

        The HTTP message stays without its end, so that no caller takes it for a whole one.
        """
        assert self._resp is not None
        if self._resp.content_type == EVENT_STREAM:
            await self.write(refusal_event(refused))
        if self._request.transport is not None:
            self._request.transport.close()
        raise AnswerCutOff(refused)

    async def _write(self, resp: web.StreamResponse, data: bytes) -> None:
        transport = self._request.transport
        if transport is not None and self._is_short(transport, data):
            await resp.write(data)
            return
        async with self._stall_bound():
            await resp.write(data)

    def _is_short(self, transport: asyncio.Transport, data: bytes) -> bool:
        return transport.get_write_buffer_size() + len(data) < LOW_WATER_BYTES

    @asynccontextmanager
    async def _stall_bound(self) -> AsyncIterator[None]:
        try:
            async with asyncio.timeout(self._stall_timeout):
                yield
        except TimeoutError as exc:
            if self._request.transport is not None:
                self._request.transport.abort()
            raise ConnectionError("the caller reads nothing") from exc

    def _caller_left(self, exc: ConnectionError) -> None:
        if not self._outlives_caller:
            raise CallerGone(str(exc)) from exc
        self.discard()
