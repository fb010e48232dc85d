"""A call to an upstream that goes out once at the most, and how it can fail."""

from __future__ import annotations

import re
from http import HTTPStatus

import aiohttp

from bilberryplank._answer_bounds import BoundedConnector, BoundedHandler
from bilberryplank_core.direct import ReadPacer
from bilberryplank_core.errors import BilberryplankError

MAX_STATUS = 599

_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class UpstreamNotReached(BilberryplankError):
    """No byte of the request went out, or the engine refused it before it began."""

    code = "upstream_not_reached"


class UpstreamBroke(BilberryplankError):
    """The request went out, and the answer did not come back whole."""

    code = "upstream_broke"


def check_head(resp: aiohttp.ClientResponse) -> None:
    """Ends an answer whose head cannot be sent on; the client's parser takes more than HTTP.

    Raises:
        UpstreamBroke: Its status is not one of HTTP, or a field holds a control character.
    """
    odd = [name for name, value in resp.headers.items() if _CONTROL.search(value)]
    if HTTPStatus.OK <= resp.status <= MAX_STATUS and not odd:
        return
    resp.close()
    cause = f"status {resp.status}" if not odd else f"a control character in the field {odd[0]}"
    raise UpstreamBroke(f"the head of the answer holds {cause}")


class SendOnce:
    """Keeps the HTTP client from sending a call again by itself.

    It does so for methods that HTTP calls idempotent, also on a new connection, although a route
    may say that its calls are not.
    """

    __slots__ = ("_failure",)

    def __init__(self) -> None:
        self._failure: str | None = None

    async def __call__(
        self, req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        if self._failure is not None:
            raise UpstreamBroke(self._failure)
        try:
            return await handler(req)
        except Exception as exc:
            # Its traceback refers to this frame, and to the body that it sent.
            self._failure = str(exc)
            raise


class _StrictHandler(BoundedHandler):
    """Treats an answer without a stated length that ends in a reset as incomplete."""

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(aiohttp.ClientPayloadError(f"connection reset: {exc}"))
        super().connection_lost(exc)


def single_connector(pacer: ReadPacer | None = None) -> aiohttp.TCPConnector:
    """Returns a connector that opens a connection for each call.

    A kept connection may be closed by the upstream just then, or hold a second copy of an earlier
    answer, which would pass for the answer to the next call.
    """
    return BoundedConnector(_StrictHandler, pacer, limit=0, force_close=True)
