"""Which header fields go from a caller to its upstream, and which come back."""

from __future__ import annotations

from multidict import CIMultiDict, CIMultiDictProxy

from bilberryplank._header_fields import HOP_FIELDS, as_text, named_by_connection
from bilberryplank_core.messages import Dispatch, Headers
from bilberryplank_core.world import UpstreamKind

REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
RESUME_HEADER = "X-Resume-Tokens"
_OWN = frozenset(name.lower() for name in (REQUEST_ID_HEADER, PRIORITY_HEADER, RESUME_HEADER))
_NOT_SENT = HOP_FIELDS | _OWN | {"content-length", "expect"}
_NOT_RETURNED = HOP_FIELDS | {"date", "server"}


def request_headers(dispatch: Dispatch, rank: int, kind: UpstreamKind) -> CIMultiDict[str]:
    """Returns the fields of a call; those that only the router sets are never the caller's."""
    named = named_by_connection(dispatch.headers)
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
    pairs = [[name, as_text(value)] for name, value in fields.items()]
    dropped = _NOT_RETURNED | named_by_connection(pairs)
    return [pair for pair in pairs if pair[0].lower() not in dropped]
