"""HTTP calls to one of the platform's services, with every failure turned into a typed one."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

import aiohttp
from yarl import URL

from bilberryplank_core.checks import decode_json
from bilberryplank_core.errors import PlatformUnavailable, ValueInvalid

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

    Args:
        session: Session whose connections it shares.
        base_url: `http://ip:port` of the service.
        timeout: Seconds that a whole call may take.
    """

    __slots__ = ("_base_url", "_session", "_timeout")

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout: float) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout = timeout

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        fields: dict[str, str] | None = None,
        waits: float = 0.0,
    ) -> Answer:
        """Returns the answer to one call; `waits` is how long the service was asked to hold it.

        Raises:
            PlatformUnavailable: Timeout or connection failure.
        """
        url = URL(self._base_url + path, encoded=True)
        timeout = aiohttp.ClientTimeout(total=self._timeout + waits)
        with unavailable_on_failure():
            async with self._session.request(
                method,
                url,
                data=body,
                headers=fields,
                timeout=timeout,
                allow_redirects=False,
            ) as resp:
                return Answer(resp.status, await resp.read(), resp.headers)

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
        decoded = answer.json() if answer.status == HTTPStatus.OK else None
        return answer.status, decoded, answer.fields


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
