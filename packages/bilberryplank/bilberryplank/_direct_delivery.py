"""The answer to one caller of a direct entry: whole at once, piece by piece, or cut off."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

from aiohttp import web
from loguru import logger
from multidict import CIMultiDict

from bilberryplank._caller_answer import AnswerCutOff, CallerGone
from bilberryplank._clocks import boot_time
from bilberryplank._logs import log_event
from bilberryplank_core.errors import RefusalReason, Refused

Fields = Iterable[tuple[str, str]]


class AnswerPace:
    """How the pieces of one answer came.

    Attributes:
        first: Seconds from the request to the first piece; None before.
        longest_pause: Longest seconds between two pieces; None before the second.
    """

    __slots__ = ("_arrived", "_last", "first", "longest_pause")

    def __init__(self, arrived: float) -> None:
        self.first: float | None = None
        self.longest_pause: float | None = None
        self._arrived = arrived
        self._last = arrived

    def event(self, now: float) -> None:
        """Takes in that a piece came."""
        if self.first is None:
            self.first = round(now - self._arrived, 3)
        else:
            self.longest_pause = max(self.longest_pause or 0.0, round(now - self._last, 3))
        self._last = now


class Delivery:
    """Sends one answer.

    Args:
        request: The caller's request.
        request_id: The caller's id of it.
        arrived: When its head was here, in seconds on the boot clock.
        closes: Returns True where the connection must end after the answer.

    Attributes:
        pace: How its pieces came.
    """

    __slots__ = ("_arrived", "_closes", "_request", "_request_id", "_resp", "pace")

    def __init__(
        self, request: web.BaseRequest, request_id: str, arrived: float, closes: Callable[[], bool]
    ) -> None:
        self.pace = AnswerPace(arrived)
        self._arrived = arrived
        self._closes = closes
        self._request = request
        self._request_id = request_id
        self._resp: web.StreamResponse | None = None

    @property
    def begun(self) -> bool:
        """True once the caller has a part of the answer."""
        return self._resp is not None

    def whole(self, status: int, fields: Fields, body: bytes, upstream: str) -> web.StreamResponse:
        """Returns an answer in one piece."""
        headers = CIMultiDict((name, value) for name, value in fields)
        headers.popall("Content-Length", None)
        resp = web.Response(status=status, headers=headers, body=body)
        if self._closes():
            resp.force_close()
        self._resp = resp
        self._log_ended(upstream, status)
        return resp

    async def begin(self, status: int, fields: Fields) -> None:
        """Sends the head of a streamed answer; the head of a resumed one stays the first.

        Raises:
            CallerGone: The caller closed its connection.
        """
        if self._resp is not None:
            return
        resp = web.StreamResponse(status=status, headers=CIMultiDict(fields))
        if self._closes():
            resp.force_close()
        await self._sent(resp.prepare(self._request))
        self._resp = resp

    async def piece(self, data: bytes) -> None:
        """Sends the next bytes; raises as `begin`."""
        assert self._resp is not None
        await self._sent(self._resp.write(data))

    async def finish(self, upstream: str) -> web.StreamResponse:
        """Ends a streamed answer and returns it; raises as `begin`."""
        assert self._resp is not None
        await self._sent(self._resp.write_eof())
        self._log_ended(upstream, self._resp.status)
        return self._resp

    def cut_off(self, reason: RefusalReason, message: str) -> None:
        """Ends the caller's connection, so that nobody takes the answer for a whole one.

        Raises:
            AnswerCutOff: Always.
        """
        log_event(
            logger,
            "answer_cut_off",
            level="WARNING",
            request=self._request_id,
            reason=reason.value,
            cause=message,
            seconds=round(boot_time() - self._arrived, 3),
        )
        if self._request.transport is not None:
            self._request.transport.close()
        raise AnswerCutOff(Refused(reason, message, not_run=False))

    def _log_ended(self, upstream: str, status: int) -> None:
        log_event(
            logger,
            "request_answered",
            request=self._request_id,
            upstream=upstream,
            status=status,
            seconds=round(boot_time() - self._arrived, 3),
            first=self.pace.first,
            longest_pause=self.pace.longest_pause,
        )

    @staticmethod
    async def _sent(writing: Awaitable[object]) -> None:
        try:
            await writing
        except ConnectionError as exc:
            raise CallerGone(str(exc)) from exc
