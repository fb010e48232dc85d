"""Drops what callers send that nobody needs: refused bodies, and all after the last response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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


def linger_bound(settings: CallerSettings, now: float) -> DiscardBound:
    """Returns the bound on what comes after the last response of a connection."""
    most_bytes = LINGER_BODIES * settings.max_body_bytes
    return DiscardBound(now, most_bytes, settings.body_timeout, LINGER_IDLE_SECONDS)


async def discard_body(
    body: StreamReader, bound: DiscardBound, clock: Callable[[], float], owner: str
) -> bool:
    """Drops the rest of a body; returns False where it does not end within a bound.

    Args:
        body: The body.
        bound: Bound on what is read.
        clock: Returns the loop's time in seconds.
        owner: Whose connection it is, for the log.
    """
    cause = ""
    try:
        async with asyncio.timeout_at(bound.ends_at):
            while not body.at_eof():
                if not bound.record(len(await body.readany()), clock()):
                    break
    except (TimeoutError, web.RequestPayloadError) as exc:
        cause = repr(exc)
    if not body.at_eof():
        log_discard("refused_body_unfinished", bound, owner, cause)
    return body.at_eof()


def log_discard(event: str, bound: DiscardBound, owner: str, cause: str = "") -> None:
    """Logs that a connection ends before its caller has sent all or closed it."""
    log_event(logger, event, owner=owner, dropped=bound.bytes, cause=cause)
