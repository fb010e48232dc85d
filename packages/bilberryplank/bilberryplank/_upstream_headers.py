"""Which header fields go from a caller to its upstream, and which come back."""

from __future__ import annotations

from collections.abc import Iterable

from multidict import CIMultiDict, CIMultiDictProxy

from bilberryplank_core.messages import Dispatch, Headers
from bilberryplank_core.world import UpstreamKind

REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
RESUME_HEADER = "X-Resume-Tokens"
AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Fields that the HTTP client would add where the caller sent none."""

_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Fields of one connection only (RFC 9110, 7.6.1)."""

_OWN = frozenset(name.lower() for name in (REQUEST_ID_HEADER, PRIORITY_HEADER, RESUME_HEADER))
_NOT_SENT = _HOP | _OWN | {"content-length", "expect"}
_NOT_RETURNED = _HOP | {"date", "server"}


def request_headers(dispatch: Dispatch, rank: int, kind: UpstreamKind) -> CIMultiDict[str]:
    """Returns the fields of a call; those that only the router sets are never the caller's."""
    named = _named_by_connection(dispatch.headers)
    dropped = _NOT_SENT | named
    if kind is UpstreamKind.ENGINE:
        dropped |= {"accept-encoding"}
    headers = CIMultiDict(
        (name, value) for name, value in dispatch.headers if name.lower() not in dropped
    )
    headers.add(REQUEST_ID_HEADER, dispatch.attempt.request)
    if kind is UpstreamKind.ENGINE:
        # A packed answer could neither be metered nor resumed.
        headers.add("Accept-Encoding", "identity")
        headers.add(PRIORITY_HEADER, str(rank))
        if dispatch.resume_tokens:
            headers.add(RESUME_HEADER, str(dispatch.resume_tokens))
    return headers


def answer_headers(fields: CIMultiDictProxy[str]) -> Headers:
    """Returns the fields of an answer that go on to the caller, in order."""
    pairs = [[name, _as_text(value)] for name, value in fields.items()]
    dropped = _NOT_RETURNED | _named_by_connection(pairs)
    return [pair for pair in pairs if pair[0].lower() not in dropped]


def _named_by_connection(headers: Headers) -> set[str]:
    values = (value for name, value in headers if name.lower() == "connection")
    return {part.strip().lower() for value in values for part in value.split(",")}


def _as_text(value: str) -> str:
    """Returns a value in which bytes that are not UTF-8 are replaced, as no frame carries them."""
    return value.encode(errors="surrogateescape").decode(errors="replace")


def forwarded_fields(fields: Iterable[tuple[str, str]]) -> Headers:
    """Returns the fields that don't concern one connection only, in order."""
    pairs = [[name, _as_text(value)] for name, value in fields]
    dropped = _HOP | {"content-length", "expect"} | _named_by_connection(pairs)
    return [pair for pair in pairs if pair[0].lower() not in dropped]
