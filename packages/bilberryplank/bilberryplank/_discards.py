"""Drops what callers send that nobody needs: refused bodies, and all after the last response."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from aiohttp import web
from aiohttp.streams import StreamReader
from loguru import logger

from bilberryplank._logs import log_event
from bilberryplank_core.memory import DiscardBound
from bilberryplank_core.settings import CallerSettings

LINGER_IDLE_SECONDS = 2.0
"""A half closed connection is read until its caller pauses for longer than this."""

LINGER_BODIES = 4
"""Bytes read after the last response, as a multiple of the longest body that is accepted."""


def body_bound(settings: CallerSettings, now: float) -> DiscardBound:
    """Returns the bound on a refused body: it may take what an accepted one may."""
    seconds = settings.body_timeout
    return DiscardBound(now, settings.max_body_bytes, seconds, seconds)


async def discard_body(body: StreamReader, bound: DiscardBound, owner: str) -> bool:
    """Drops the rest of a body; returns False where it does not end within a bound.

    Args:
        body: The body.
        bound: Bound on what is read, in the loop's time.
        owner: Whose connection it is, for the log.
    """
    loop = asyncio.get_running_loop()
    cause = ""
    try:
        async with asyncio.timeout_at(bound.ends_at):
            while not body.at_eof():
                if not bound.record(len(await body.readany()), loop.time()):
                    break
    except (TimeoutError, web.RequestPayloadError) as exc:
        cause = repr(exc)
    if not body.at_eof():
        dropped = bound.bytes
        log_event(logger, "refused_body_unfinished", owner=owner, dropped=dropped, cause=cause)
    return body.at_eof()


class Linger:
    """The end of a half closed connection, which is read until its caller closes it too.

    Args:
        settings: Bounds on what callers may send.
    """

    __slots__ = ("_bound", "_closed", "_loop")

    def __init__(self, settings: CallerSettings) -> None:
        self._loop = asyncio.get_running_loop()
        self._closed = asyncio.Event()
        most_bytes = LINGER_BODIES * settings.max_body_bytes
        self._bound = DiscardBound(
            self._loop.time(), most_bytes, settings.body_timeout, LINGER_IDLE_SECONDS
        )

    @property
    def dropped(self) -> int:
        """Bytes that were dropped."""
        return self._bound.bytes

    def drop(self, count: int) -> bool:
        """Records dropped bytes; returns False once the connection has to be cut."""
        return self._bound.record(count, self._loop.time())

    def note_closed(self) -> None:
        """Records the end of the connection."""
        self._closed.set()

    async def wait(self) -> bool:
        """Waits for the end of the connection; returns False where the bound comes first."""
        while not self._closed.is_set():
            if self._bound.ends_at <= self._loop.time():
                return False
            with suppress(TimeoutError):
                async with asyncio.timeout_at(self._bound.ends_at):
                    await self._closed.wait()
        return True
