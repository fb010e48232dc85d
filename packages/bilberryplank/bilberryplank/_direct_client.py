"""Calls from an entry to an upstream, each over a connection of its own.

A connection that was kept open may be closed by the upstream just then, or hold an answer that
belongs to nobody; a fresh one has neither. So what a failure means is always plain: before the
connection stands nothing went out, after that the request may have run.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

import aiohttp
from loguru import logger
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from bilberryplank._answer_bounds import BoundedConnector
from bilberryplank._header_fields import AUTOMATIC_HEADERS
from bilberryplank._logs import log_event
from bilberryplank._single_call import (
    SendOnce,
    UpstreamBroke,
    UpstreamNotReached,
    check_head,
    single_connector,
)
from bilberryplank_core.checks import ValueInvalid, check_endpoint, split_endpoint
from bilberryplank_core.direct import LinkPacer, ReadPacer

CONNECT_TIMEOUT_SECONDS = 0.4
"""A living upstream accepts within milliseconds; a dark one must not cost an objective."""

MAX_PIECE_BYTES = 64 * 1024
"""Longer bodies are sent in pieces: the transport keeps a copy of what the kernel does not take."""

UNREAD_ANSWER_BYTES = 16 * 1024
"""An answer that its caller does not take yet is left to the socket once it is this long."""

QUESTION_SECONDS = 0.06
"""A request waits this long at the most for the loads of engines before it is placed without."""

QUESTION_CONNECTIONS = 2
"""Connections to one engine that are kept for questions; engines bound all connections."""


MAX_REPLY_BYTES = 256 * 1024
"""Longest reply to a question: a load report names each request at the engine in some 100 bytes."""


@dataclass(slots=True, frozen=True)
class QuestionReply:
    """The whole answer to a question that runs nothing."""

    status: int
    fields: CIMultiDictProxy[str]
    body: bytes


class UpstreamAnswer:
    """An answer whose head is here.

    Attributes:
        status: HTTP status.
        fields: Header fields.
    """

    __slots__ = ("_resp", "fields", "status")

    def __init__(self, resp: aiohttp.ClientResponse) -> None:
        self._resp = resp
        self.status = resp.status
        self.fields: CIMultiDictProxy[str] = resp.headers

    @property
    def ends_with_connection(self) -> bool:
        """True if only the end of the connection ends the body."""
        return "Content-Length" not in self.fields and "Transfer-Encoding" not in self.fields

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the bytes of the body as they come.

        Raises:
            UpstreamBroke: The answer ended before it was whole.
        """
        try:
            async for data in self._resp.content.iter_any():
                yield data
        except (aiohttp.ClientError, ConnectionError) as exc:
            raise UpstreamBroke(f"{type(exc).__name__}: {exc}") from exc

    async def body(self, limit: int) -> bytes:
        """Returns the whole body.

        Raises:
            UpstreamBroke: The answer ended before it was whole, or has more than `limit` bytes.
        """
        held = bytearray()
        async for data in self.pieces():
            held += data
            if len(held) > limit:
                raise UpstreamBroke(f"the answer has more than {limit} bytes")
        return bytes(held)

    def close(self) -> None:
        """Ends the connection, whether or not the answer is whole."""
        self._resp.close()


class DirectClient:
    """Calls upstreams.

    Args:
        link: The host's link, which bodies share with events.
    """

    __slots__ = ("_link", "_questions", "_session")

    def __init__(self, link: LinkPacer) -> None:
        self._link = link
        pacer = ReadPacer()
        self._session = aiohttp.ClientSession(
            connector=single_connector(pacer),
            read_bufsize=UNREAD_ANSWER_BYTES,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=AUTOMATIC_HEADERS,
        )
        self._questions = aiohttp.ClientSession(
            connector=BoundedConnector(pacer=pacer, limit_per_host=QUESTION_CONNECTIONS),
            timeout=aiohttp.ClientTimeout(total=QUESTION_SECONDS),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()
        await self._questions.close()

    async def ask(self, address: str, path: str) -> QuestionReply:
        """Returns the answer to a question that runs nothing, over a connection that is kept.

        Args:
            address: `ip:port` of the upstream.
            path: What to ask for.

        Raises:
            UpstreamBroke: No whole answer came in the time that a question may take.
        """
        try:
            _check_address(address)
            async with self._questions.get(f"http://{address}{path}") as resp:
                body = await UpstreamAnswer(resp).body(MAX_REPLY_BYTES)
                return QuestionReply(resp.status, resp.headers, body)
        except (aiohttp.ClientError, OSError, ValueInvalid) as exc:
            raise UpstreamBroke(f"{type(exc).__name__}: {exc}") from exc

    async def is_listening(self, address: str) -> bool | None:
        """Returns whether an upstream accepts connections; None if it does not respond.

        Args:
            address: `ip:port` of the upstream.
        """
        try:
            _check_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(*split_endpoint(address))
        except ConnectionRefusedError:
            return False
        except OSError:
            return None
        except ValueInvalid as exc:
            log_event(logger, "upstream_not_probed", level="WARNING", cause=exc)
            return None
        writer.close()
        return True

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        fields: Iterable[tuple[str, str]],
        body: bytes | bytearray,
    ) -> UpstreamAnswer:
        """Sends a request and returns the answer once its head is here.

        Args:
            address: `ip:port` of the upstream.
            method: HTTP method.
            target: Raw path and query.
            fields: Header fields.
            body: Whole body; empty for none.

        Raises:
            UpstreamNotReached: No byte of the request went out.
            UpstreamBroke: It may have run.
        """
        try:
            _check_address(address)
        except ValueInvalid as exc:
            raise UpstreamNotReached(str(exc)) from exc
        headers = CIMultiDict(fields)
        size = min(self._link.chunk_bytes(len(body)), MAX_PIECE_BYTES)
        data: bytes | AsyncIterator[memoryview] | None
        if size < len(body):
            headers["Content-Length"] = str(len(body))
            data = self._pieces(body, size)
        else:
            data = bytes(body) or None
        try:
            resp = await self._session.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                headers=headers,
                data=data,
                allow_redirects=False,
                middlewares=(SendOnce(),),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise UpstreamNotReached(str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise UpstreamBroke(f"{type(exc).__name__}: {exc}") from exc
        check_head(resp)
        return UpstreamAnswer(resp)

    async def _pieces(self, body: bytes | bytearray, size: int) -> AsyncIterator[memoryview]:
        whole = memoryview(body)
        for begin in range(0, len(body), size):
            piece = whole[begin : begin + size]
            await asyncio.sleep(self._link.reserve(len(piece), asyncio.get_running_loop().time()))
            yield piece


@functools.lru_cache(maxsize=1024)
def _check_address(address: str) -> None:
    # The connection of any other address raises errors that are no OSError, or looks up a name.
    check_endpoint(address, "the address")
