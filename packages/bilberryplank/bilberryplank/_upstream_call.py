"""One call from a sidecar to its upstream."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from bilberryplank._usage_meter import UsageMeter
from bilberryplank_core.errors import BilberryplankError
from bilberryplank_core.messages import Dispatch, Headers, Usage
from bilberryplank_core.world import UpstreamKind

REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
RESUME_HEADER = "X-Resume-Tokens"
CHUNK_BYTES = 64 * 1024
OVERLOAD_STATUSES = (429, 503)
FIRST_SERVER_ERROR = 500
EVENT_STREAM = "text/event-stream"

_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
        "content-length",
        "date",
        "server",
        "content-encoding",
    )
)


class UpstreamNotReached(BilberryplankError):
    """No byte of the request went out, or the engine refused it before it began."""

    code = "upstream_not_reached"


class UpstreamBroke(BilberryplankError):
    """The request went out, and the answer did not come back whole."""

    code = "upstream_broke"


class AnswerSink(Protocol):
    """Takes an answer as it arrives; a method waits where the reader is slow."""

    async def head(self, status: int, headers: Headers) -> None:
        """Takes status and headers."""

    async def part(self, data: bytes) -> None:
        """Takes the next bytes of the body."""


@dataclass(slots=True)
class UpstreamCaller:
    """Calls one upstream.

    Connections are closed after each call that may run only once, because an HTTP client may
    silently repeat a call on a connection that it kept open.

    Attributes:
        url: `http://ip:port` of the upstream.
        kind: Engine or plain service.
        kept: Session whose connections are kept open.
        single: Session that opens a connection for each call.
    """

    url: str
    kind: UpstreamKind
    kept: aiohttp.ClientSession
    single: aiohttp.ClientSession

    @classmethod
    def from_url(cls, url: str, kind: UpstreamKind) -> UpstreamCaller:
        """Returns a caller with sessions of its own."""
        options = {
            "timeout": aiohttp.ClientTimeout(total=None, sock_connect=2.0),
            "auto_decompress": False,
            "cookie_jar": aiohttp.DummyCookieJar(),
        }
        kept = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), **options)
        closing = aiohttp.TCPConnector(limit=0, force_close=True)
        return cls(url.rstrip("/"), kind, kept, aiohttp.ClientSession(connector=closing, **options))

    async def close(self) -> None:
        """Closes both sessions."""
        await self.kept.close()
        await self.single.close()

    async def run(self, dispatch: Dispatch, rank: int, sink: AnswerSink) -> Usage:
        """Makes the call, passes the answer to `sink` and returns what it used.

        Raises:
            UpstreamNotReached: The call never ran.
            UpstreamBroke: The call may have run.
            TimeoutError: The request's budget ran out.
        """
        session = self.kept if dispatch.idempotent else self.single
        try:
            async with asyncio.timeout(dispatch.budget):
                return await self._exchange(session, dispatch, rank, sink)
        except aiohttp.ClientConnectorError as exc:
            raise UpstreamNotReached(str(exc)) from exc
        except aiohttp.ClientError as exc:
            raise UpstreamBroke(f"{type(exc).__name__}: {exc}") from exc
        except OSError as exc:
            if isinstance(exc, TimeoutError):
                raise
            raise UpstreamBroke(str(exc)) from exc

    async def _exchange(
        self, session: aiohttp.ClientSession, dispatch: Dispatch, rank: int, sink: AnswerSink
    ) -> Usage:
        async with session.request(
            dispatch.method,
            URL(self.url + dispatch.path, encoded=True),
            headers=self._headers(dispatch, rank),
            data=self._body(dispatch),
            allow_redirects=False,
        ) as resp:
            if self.kind is UpstreamKind.ENGINE and resp.status in OVERLOAD_STATUSES:
                raise UpstreamNotReached(f"engine refused with {resp.status}")
            if self.kind is UpstreamKind.ENGINE and resp.status >= FIRST_SERVER_ERROR:
                raise UpstreamBroke(f"engine failed with {resp.status}")
            streamed = resp.content_type == EVENT_STREAM
            meter = UsageMeter(streamed)
            await sink.head(resp.status, _answer_headers(resp))
            async for data in resp.content.iter_any():
                if self.kind is UpstreamKind.ENGINE:
                    meter.feed(data)
                await sink.part(data)
            if streamed and self.kind is UpstreamKind.ENGINE and not meter.done:
                raise UpstreamBroke("stream ended without its end marker")
        if self.kind is UpstreamKind.SERVICE:
            return Usage()
        return meter.usage(dispatch.prompt_tokens)

    def _headers(self, dispatch: Dispatch, rank: int) -> CIMultiDict[str]:
        headers = [pair for pair in dispatch.headers if pair[0].lower() not in _HOP_HEADERS]
        headers.append([REQUEST_ID_HEADER, dispatch.attempt.request])
        if self.kind is UpstreamKind.ENGINE:
            headers.append([PRIORITY_HEADER, str(rank)])
            if dispatch.resume_tokens:
                headers.append([RESUME_HEADER, str(dispatch.resume_tokens)])
        return CIMultiDict((name, value) for name, value in headers)

    def _body(self, dispatch: Dispatch) -> bytes | None:
        if not dispatch.body:
            return None
        if self.kind is UpstreamKind.SERVICE or b'"stream"' not in dispatch.body:
            return dispatch.body
        document = json.loads(dispatch.body)
        if not document.get("stream"):
            return dispatch.body
        document["stream_options"] = {"include_usage": True}
        return json.dumps(document).encode()


def _answer_headers(resp: aiohttp.ClientResponse) -> Headers:
    length = resp.headers.get("Content-Length")
    headers = [[k, v] for k, v in resp.headers.items() if k.lower() not in _HOP_HEADERS]
    encoding = resp.headers.get("Content-Encoding")
    if encoding:
        headers.append(["Content-Encoding", encoding])
    if length is not None:
        headers.append(["Content-Length", length])
    return headers
