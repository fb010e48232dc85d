"""A call to an upstream that goes out once at the most, and how it can fail."""

from __future__ import annotations

import aiohttp

from bilberryplank_core.errors import BilberryplankError


class UpstreamNotReached(BilberryplankError):
    """No byte of the request went out, or the engine refused it before it began."""

    code = "upstream_not_reached"


class UpstreamBroke(BilberryplankError):
    """The request went out, and the answer did not come back whole."""

    code = "upstream_broke"


class SendOnce:
    """Keeps the HTTP client from sending a call again by itself.

    It does so for methods that HTTP calls idempotent, also on a new connection, although a route
    may say that its calls are not.
    """

    __slots__ = ("_failure",)

    def __init__(self) -> None:
        self._failure: Exception | None = None

    async def __call__(
        self, req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        if self._failure is not None:
            raise UpstreamBroke(str(self._failure)) from self._failure
        try:
            return await handler(req)
        except Exception as exc:
            self._failure = exc
            raise
