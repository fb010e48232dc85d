"""One call from a sidecar to its upstream."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from yarl import URL

from bilberryplank._header_fields import AUTOMATIC_HEADERS
from bilberryplank._single_call import (
    SendOnce,
    UpstreamBroke,
    UpstreamNotReached,
    check_head,
    single_connector,
)
from bilberryplank._upstream_headers import answer_headers, request_headers
from bilberryplank._usage_meter import UsageMeter
from bilberryplank_core.messages import Dispatch, Headers, Usage
from bilberryplank_core.world import UpstreamKind

CONNECT_TIMEOUT_SECONDS = 2.0
OVERLOAD_STATUSES = (429, 503)
FIRST_SERVER_ERROR = 500
PROGRESS_SECONDS = 10.0
"""An answer that has begun goes on, whatever the deadline, while it moves at least this often."""
EVENT_STREAM = "text/event-stream"


class AnswerSink(Protocol):
    """Takes an answer as it arrives; a method waits where the reader is slow."""

    async def head(self, status: int, headers: Headers) -> None:
        """Takes status and headers."""

    async def part(self, data: bytes) -> None:
        """Takes the next bytes of the body."""


@dataclass(slots=True)
class UpstreamCaller:
    """Calls one upstream, each time over a connection of its own.

    Attributes:
        url: `http://ip:port` of the upstream.
        kind: Engine or plain service.
        session: Opens the connections.
    """

    url: str
    kind: UpstreamKind
    session: aiohttp.ClientSession

    @classmethod
    def from_url(
        cls, url: str, kind: UpstreamKind, connect_timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> UpstreamCaller:
        """Returns a caller with a session of its own."""
        session = aiohttp.ClientSession(
            connector=single_connector(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return cls(url.rstrip("/"), kind, session)

    async def close(self) -> None:
        """Closes the session."""
        await self.session.close()

    async def run(self, dispatch: Dispatch, rank: int, sink: AnswerSink) -> Usage:
        """Makes the call, passes the answer to `sink` and returns what it used.

        Raises:
            UpstreamNotReached: The call never ran.
            UpstreamBroke: The call may have run.
            TimeoutError: The request's budget ran out before its answer began, or the answer
                stood still for `PROGRESS_SECONDS`.
        """
        try:
            async with asyncio.timeout(dispatch.budget) as limit:
                return await self._exchange(dispatch, rank, sink, limit)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise UpstreamNotReached(str(exc)) from exc
        except aiohttp.ClientError as exc:
            raise UpstreamBroke(f"{type(exc).__name__}: {exc}") from exc
        except OSError as exc:
            if isinstance(exc, TimeoutError):
                raise
            raise UpstreamBroke(str(exc)) from exc

    async def _exchange(
        self, dispatch: Dispatch, rank: int, sink: AnswerSink, limit: asyncio.Timeout
    ) -> Usage:
        async with self.session.request(
            dispatch.method,
            URL(self.url + dispatch.path, encoded=True),
            headers=request_headers(dispatch, rank, self.kind),
            data=self._body(dispatch),
            allow_redirects=False,
            skip_auto_headers=AUTOMATIC_HEADERS,
            middlewares=() if dispatch.idempotent else (SendOnce(),),
        ) as resp:
            check_head(resp)
            if self.kind is UpstreamKind.ENGINE and resp.status in OVERLOAD_STATUSES:
                raise UpstreamNotReached(f"engine refused with {resp.status}")
            if self.kind is UpstreamKind.ENGINE and resp.status >= FIRST_SERVER_ERROR:
                raise UpstreamBroke(f"engine failed with {resp.status}")
            streamed = resp.content_type == EVENT_STREAM
            meter = UsageMeter(streamed)
            await sink.head(resp.status, answer_headers(resp.headers))
            async for data in resp.content.iter_any():
                if self.kind is UpstreamKind.ENGINE:
                    meter.feed(data)
                limit.reschedule(None)
                await sink.part(data)
                limit.reschedule(asyncio.get_running_loop().time() + PROGRESS_SECONDS)
            if streamed and self.kind is UpstreamKind.ENGINE and not meter.done:
                raise UpstreamBroke("stream ended without its end marker")
        if self.kind is UpstreamKind.SERVICE:
            return Usage()
        return meter.usage(dispatch.prompt_tokens)

    def _body(self, dispatch: Dispatch) -> bytes | None:
        if not dispatch.body:
            return None
        if self.kind is UpstreamKind.SERVICE or b'"stream"' not in dispatch.body:
            return dispatch.body
        return _with_usage(dispatch.body)


def _with_usage(body: bytes) -> bytes:
    """Returns the body of a streamed request, asking for usage; any other body as it is."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return body
    if not isinstance(document, dict) or not document.get("stream"):
        return body
    options = document.get("stream_options")
    others = options if isinstance(options, dict) else {}
    document["stream_options"] = {**others, "include_usage": True}
    return json.dumps(document).encode()
