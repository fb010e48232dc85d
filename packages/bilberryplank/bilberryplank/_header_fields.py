"""Header fields of messages that pass through."""

from __future__ import annotations

from collections.abc import Iterable

AUTOMATIC_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Fields that the HTTP client would add where the caller sent none."""

HOP_FIELDS = frozenset(
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


def forwarded_fields(fields: Iterable[tuple[str, str]]) -> list[list[str]]:
    """Returns the fields that don't concern one connection only, in order."""
    pairs = [[name, as_text(value)] for name, value in fields]
    dropped = HOP_FIELDS | {"content-length", "expect"} | named_by_connection(pairs)
    return [pair for pair in pairs if pair[0].lower() not in dropped]


def named_by_connection(headers: Iterable[Iterable[str]]) -> set[str]:
    """Returns the fields that a `Connection` field calls its own, in lower case."""
    values = (value for name, value in headers if name.lower() == "connection")
    return {part.strip().lower() for value in values for part in value.split(",")}


def as_text(value: str) -> str:
    """Returns a value in which bytes that are not UTF-8 are replaced, as no frame carries them."""
    return value.encode(errors="surrogateescape").decode(errors="replace")
