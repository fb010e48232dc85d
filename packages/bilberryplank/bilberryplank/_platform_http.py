"""HTTP calls to one of the platform's services, with every failure turned into a typed one."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

import aiohttp
from loguru import logger
from yarl import URL

from bilberryplank._answer_bounds import BoundedConnector, read_bounded
from bilberryplank._clocks import boot_time
from bilberryplank._logs import log_event
from bilberryplank_core.checks import decode_json
from bilberryplank_core.direct import MAX_PATIENCE_SECONDS, PATIENCE_SECONDS
from bilberryplank_core.errors import PlatformUnavailable, ValueInvalid

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bytes of one answer; the longest holds a configuration of a few megabytes."""

MAX_BODY_SECONDS = 20.0
"""Time that the body of an answer may take beyond the time-out: the longest over a slow link."""

JSON_FIELDS = {"Content-Type": "application/json"}


@dataclass(slots=True, frozen=True)
class Answer:
    """Status, whole body and header fields of an HTTP answer."""

    status: int
    body: bytes
    fields: Mapping[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        """Returns the body as JSON; raises `PlatformUnavailable` where it is none."""
        try:
            return decode_json(self.body)
        except ValueInvalid as exc:
            raise PlatformUnavailable(f"answer cannot be read: {exc}") from exc

    def expect(self, *statuses: HTTPStatus) -> None:
        """Raises `PlatformUnavailable` where the status is none of those."""
        if self.status not in statuses:
            raise PlatformUnavailable(f"answered with status {self.status}")


class ServiceClient:
    """Calls one service of the platform over a shared session.

    After a time-out calls use new connections, where the session's connector can replace them.

    Args:
        session: Session whose connections it shares.
        base_url: `http://ip:port` of the service.
        timeout: Seconds in which a connection must stand, and in which more of an answer must come.
    """

    __slots__ = ("_base_url", "_connector", "_patience", "_session", "_timeout")

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout: float) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout = timeout
        self._patience = PATIENCE_SECONDS
        connector = session.connector
        self._connector = connector if isinstance(connector, BoundedConnector) else None

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        fields: dict[str, str] | None = None,
        waits: float = 0.0,
        begun: asyncio.Event | None = None,
    ) -> Answer:
        """Returns the answer to one call.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body of the request; None for none.
            fields: Further header fields.
            waits: Seconds for which the service was asked to hold the answer.
            begun: Set once the head of the answer is here.

        Raises:
            PlatformUnavailable: Timeout or connection failure.
        """
        url = URL(self._base_url + path, encoded=True)
        patience = self._timeout + waits
        timeout = aiohttp.ClientTimeout(
            total=patience + MAX_BODY_SECONDS, sock_connect=self._timeout, sock_read=patience
        )
        with unavailable_on_failure(), self._retire_on_timeout():
            async with self._session.request(
                method,
                url,
                data=body,
                headers=fields,
                timeout=timeout,
                allow_redirects=False,
            ) as resp:
                if begun is not None:
                    begun.set()
                return Answer(resp.status, await read_bounded(resp, MAX_ANSWER_BYTES), resp.headers)

    @contextmanager
    def _retire_on_timeout(self) -> Iterator[None]:
        try:
            yield
        except TimeoutError:
            if self._connector is not None:
                self._connector.retire()
            raise

    async def read(self, target: str, waits: float = 0.0, again: str | None = None) -> Answer:
        """Returns the answer to a read; one that begins late is repeated over a new connection.

        Args:
            target: Path and query.
            waits: Seconds for which the service was asked to hold the answer.
            again: Path and query of the repeat, which the service must not hold; None for the same.

        Raises:
            PlatformUnavailable: Timeout or connection failure.
        """
        begun = asyncio.Event()
        first = asyncio.create_task(self.call("GET", target, waits=waits, begun=begun))
        connector = self._connector
        if connector is None:
            return await first
        calls, asked_at = [first], boot_time()
        try:
            fell_silent = connector.fell_silent
            if await _begins_within(first, begun, waits + self._patience, fell_silent):
                self._note_lateness(asked_at, waits)
                return await first
            # A read that another one told of the silence must not tell others of it again.
            is_late = not fell_silent.is_set()
            if is_late:
                connector.retire()
            calls.append(asyncio.create_task(self.call("GET", again or target)))
            answered = await _first_success(calls)
            if answered is first:
                self._note_lateness(asked_at, waits)
            elif is_late:
                log_event(logger, "connection_silent", level="WARNING", service=self._base_url)
                connector.report_silence()
            return answered.result()
        finally:
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    def _note_lateness(self, asked_at: float, waits: float) -> None:
        late = boot_time() - asked_at - waits
        self._patience = min(max(PATIENCE_SECONDS, 2 * late), MAX_PATIENCE_SECONDS)

    async def call_json(
        self,
        method: str,
        path: str,
        parameters: dict[str, Any] | None = None,
        body: Any = None,
        waits: float = 0.0,
    ) -> tuple[int, Any, Mapping[str, str]]:
        """Returns status, decoded JSON body and header fields of a call.

        The body of a failure is None.

        Raises:
            PlatformUnavailable: Timeout, connection failure, or an answer that is not JSON.
        """
        target = path + (query(**parameters) if parameters else "")
        data = None if body is None else dump_json(body)
        answer = await self.call(method, target, data, JSON_FIELDS if data else None, waits)
        return _decoded(answer)

    async def read_json(
        self,
        path: str,
        parameters: dict[str, Any],
        waits: float = 0.0,
        again: dict[str, Any] | None = None,
    ) -> tuple[int, Any, Mapping[str, str]]:
        """Returns what `call_json` does, for a read; see `read`."""
        repeat = path + query(**again) if again else None
        return _decoded(await self.read(path + query(**parameters), waits, repeat))


def _decoded(answer: Answer) -> tuple[int, Any, Mapping[str, str]]:
    decoded = answer.json() if answer.status == HTTPStatus.OK else None
    return answer.status, decoded, answer.fields


async def _begins_within(
    call: asyncio.Task[Answer], begun: asyncio.Event, seconds: float, ended: asyncio.Event
) -> bool:
    """Waits for the head of an answer; returns False after some seconds, or once `ended` is set."""
    events = [asyncio.create_task(each.wait()) for each in (begun, ended)]
    try:
        await asyncio.wait({call, *events}, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for event in events:
            event.cancel()
    return begun.is_set() or call.done()


async def _first_success(calls: list[asyncio.Task[Answer]]) -> asyncio.Task[Answer]:
    """Returns the first call that succeeds; the first one of all where none does."""
    waiting = set(calls)
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for call in done:
            if call.exception() is None:
                return call
    return calls[0]


@contextmanager
def unavailable_on_failure() -> Iterator[None]:
    """Turns the HTTP library's failures into `PlatformUnavailable`."""
    try:
        yield
    except (aiohttp.ClientError, OSError) as exc:
        raise PlatformUnavailable(f"{type(exc).__name__}: {exc}") from exc


@contextmanager
def unavailable_on_malformed() -> Iterator[None]:
    """Turns an answer of another shape than agreed into `PlatformUnavailable`."""
    try:
        yield
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise PlatformUnavailable(f"malformed answer: {exc!r}") from exc


def segment(text: str) -> str:
    """Returns text as one percent-encoded segment of a path."""
    return quote(text, safe="")


def query(**parameters: str | int) -> str:
    """Returns an encoded query string with its question mark."""
    # A key of another writer may hold what has no encoding.
    return "?" + urlencode(parameters, quote_via=quote, errors="surrogatepass")


def dump_json(value: Any) -> bytes:
    """Returns compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()
