"""Frames of one attempt on their way from a link to the request that waits for them."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from bilberryplank._link import Link
from bilberryplank_core.errors import BilberryplankError
from bilberryplank_core.messages import AttemptId, Body, Credit, End, Failed, Head, NotRun


@dataclass(slots=True, frozen=True)
class LinkLost:
    """The link of the attempt ended before its answer did."""

    cause: BilberryplankError


Frame = Head | Body | End | NotRun | Failed
Event = Frame | LinkLost


class AttemptChannel:
    """Events of one attempt, in order of arrival.

    Attributes:
        attempt: Identity of the attempt.
        link: The link over which it runs.
    """

    __slots__ = ("attempt", "link", "_events", "_arrived")

    def __init__(self, attempt: AttemptId, link: Link) -> None:
        self.attempt = attempt
        self.link = link
        self._events: deque[Event] = deque()
        self._arrived = asyncio.Event()

    def put(self, event: Event) -> None:
        """Adds an event."""
        self._events.append(event)
        self._arrived.set()

    async def get(self, timeout: float) -> Event:
        """Returns the next event, and gives the sidecar credit for a part of the body.

        Raises:
            TimeoutError: None came within `timeout` seconds.
        """
        while not self._events:
            self._arrived.clear()
            async with asyncio.timeout(timeout):
                await self._arrived.wait()
        event = self._events.popleft()
        if isinstance(event, Body):
            self.link.send(Credit(self.attempt, len(event.data)))
        return event
