"""A caller's key and what of its request goes on to an upstream.

The key is taken from every place where callers put one, and nothing that holds it goes on.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from urllib.parse import quote, quote_plus, unquote, unquote_plus

from bilberryplank_core._errors import RefusalReason, Refused
from bilberryplank_core._keys import KEY_PREFIX

Header = tuple[str, str]

MIN_KEY_CHARS = 8

KEY_HEADERS = frozenset(("x-api-key", "api-key", "apikey", "x-auth-token", "x-access-token"))
KEY_PARAMETERS = frozenset(
    ("api_key", "api-key", "apikey", "x-api-key", "access_token", "auth_token")
)
COMMON_PARAMETERS = frozenset(("key", "token"))
"""Names that services use too; they hold the caller's key only where no other place does."""

SYSTEM_HEADERS = frozenset(("x-priority", "x-request-id", "x-resume-tokens", "x-tier"))
SYSTEM_PREFIXES = ("x-organisation", "x-organization", "x-bilberryplank-", "x-label")
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "expect",
        "host",
        "http2-settings",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "content-length",
        "upgrade",
    )
)
KEPT_LIST_HEADERS = frozenset(("content-type", "idempotency-key", "x-request-class"))
"""Headers that the `Connection` header must not be able to remove."""


@dataclass(slots=True, frozen=True)
class Credentials:
    """A request without its key.

    Attributes:
        secret: The key; None where the caller sent none.
        headers: Headers that may go on.
        path: Path and query that may go on.
    """

    secret: str | None
    headers: list[Header]
    path: str


def extract_credentials(headers: Iterable[Sequence[str]], path: str) -> Credentials:
    """Returns the caller's key and the request without it.

    Args:
        headers: Headers as `(name, value)` pairs.
        path: Raw path and query.

    Raises:
        Refused: Two different keys were sent, or one stands in the path itself.
    """
    pairs = [(name, value) for name, value in headers]
    bare, mark, query = path.partition("?")
    parameters = _read_parameters(query) + _read_cookies(pairs)
    certain = (value for name, value in parameters if _is_certain(name, value))
    known = {*_read_headers(pairs), *certain}
    known.discard("")
    secrets = known | {value for name, value in parameters if value and _is_key(name, value, known)}
    if len(secrets) > 1:
        raise Refused(RefusalReason.MALFORMED_REQUEST, "several different keys were sent")
    kept_query = _keep_parameters(query, known)
    kept_path = f"{bare}?{kept_query}" if mark and kept_query else bare
    kept = _keep_headers(pairs, known)
    return _without_secret(next(iter(secrets), None), kept, kept_path)


def _without_secret(secret: str | None, headers: list[Header], path: str) -> Credentials:
    if secret is None:
        return Credentials(None, headers, path)
    forms = secret_forms(secret)
    if _mentions(path, forms):
        raise Refused(RefusalReason.MALFORMED_REQUEST, "the key stands in the path")
    clean = [pair for pair in headers if not any(_mentions(part, forms) for part in pair)]
    return Credentials(secret, clean, path)


def _is_certain(name: str, value: str) -> bool:
    lowered = name.lower()
    common = lowered in COMMON_PARAMETERS and value.startswith(KEY_PREFIX)
    return common or lowered in KEY_PARAMETERS


def _is_key(name: str, value: str, known: set[str]) -> bool:
    if _is_certain(name, value):
        return True
    return name.lower() in COMMON_PARAMETERS and (not known or value in known)


def secret_forms(secret: str) -> frozenset[str]:
    """Returns the encodings in which a key could be hidden; none for what is too short for one."""
    if len(secret) < MIN_KEY_CHARS:
        return frozenset()
    encoded = base64.b64encode(secret.encode()).decode().rstrip("=")
    forms = (secret, quote(secret, safe=""), quote_plus(secret), encoded)
    return frozenset((*forms, encoded.replace("+", "-").replace("/", "_")))


def _mentions(text: str, forms: frozenset[str]) -> bool:
    decoded = unquote(text)
    twice = unquote_plus(decoded)
    return any(form in seen for form in forms for seen in (text, decoded, twice))


def _read_parameters(query: str) -> list[Header]:
    return [_read_parameter(part) for part in query.split("&") if part]


def _read_parameter(part: str) -> Header:
    name, _, value = part.partition("=")
    return unquote_plus(name), unquote_plus(value)


def _keep_parameters(query: str, known: set[str]) -> str:
    parts = query.split("&")
    return "&".join(part for part in parts if not _is_key(*_read_parameter(part), known))


def _read_headers(headers: list[Header]) -> list[str]:
    found: list[str] = []
    for name, value in headers:
        match name.lower():
            case "authorization" | "proxy-authorization":
                found.extend(_read_authorization(value))
            case lowered if lowered in KEY_HEADERS:
                found.append(value.strip())
    return found


def _read_authorization(value: str) -> list[str]:
    scheme, _, rest = value.strip().partition(" ")
    rest = rest.strip()
    match scheme.lower():
        case "basic":
            return _read_basic(rest)
        case "bearer" | "token" | "apikey" | "api-key" | "key":
            return [rest]
        case _ if not rest:
            return [scheme]
        case _:
            raise Refused(RefusalReason.MALFORMED_REQUEST, "unknown authorization scheme")


def _read_basic(value: str) -> list[str]:
    try:
        decoded = base64.b64decode(value, validate=True).decode()
    except (binascii.Error, ValueError) as exc:
        raise Refused(RefusalReason.MALFORMED_REQUEST, "basic authorization is broken") from exc
    user, _, password = decoded.partition(":")
    return [password or user]


def _read_cookies(headers: list[Header]) -> list[Header]:
    values = [value for name, value in headers if name.lower() == "cookie"]
    return [_read_cookie(part) for value in values for part in value.split(";")]


def _read_cookie(part: str) -> Header:
    name, _, content = part.strip().partition("=")
    return name, unquote(content.strip().strip('"'))


def _keep_headers(headers: list[Header], known: set[str]) -> list[Header]:
    named = _named_by_connection(headers)
    kept = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == "cookie":
            value = _keep_cookies(value, known)
        if value and _may_go_on(lowered) and lowered not in named:
            kept.append((name, value))
    return kept


def _may_go_on(name: str) -> bool:
    if name in ("authorization", *KEY_HEADERS) or name in HOP_BY_HOP_HEADERS:
        return False
    folded = name.replace("_", "-")
    if folded in SYSTEM_HEADERS or folded in KEY_HEADERS:
        return False
    return not folded.startswith(SYSTEM_PREFIXES)


def _named_by_connection(headers: list[Header]) -> set[str]:
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    return named - KEPT_LIST_HEADERS


def _keep_cookies(value: str, known: set[str]) -> str:
    parts = [part.strip() for part in value.split(";")]
    return "; ".join(part for part in parts if not _is_key(*_read_cookie(part), known))
