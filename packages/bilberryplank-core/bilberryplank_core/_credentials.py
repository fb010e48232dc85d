"""Extracts the caller's API key and decides which headers and parameters are forwarded.

The key may be in any of the usual headers, query parameters and cookies. Nothing that contains it
is forwarded to an upstream.
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
AMBIGUOUS_PARAMETERS = frozenset(("key", "token"))
"""Names that services use as well; their value is the caller's key if it begins with the key
prefix, if it equals a key that was found elsewhere, or if no key was found elsewhere."""

RESERVED_HEADERS = frozenset(("x-priority", "x-request-id", "x-resume-tokens", "x-tier"))
RESERVED_HEADER_PREFIXES = ("x-organisation", "x-organization", "x-bilberryplank-", "x-label")
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
NON_REMOVABLE_HEADERS = frozenset(("content-type", "idempotency-key", "x-request-class"))
"""Headers that are forwarded even if the `Connection` header lists them."""


@dataclass(slots=True, frozen=True)
class Credentials:
    """The key of a request, and the request without it.

    Attributes:
        secret: The key; None if the caller sent none.
        headers: Headers to forward.
        path: Path and query to forward.
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
        Refused: The request contains several different keys, a key in its path, or an
            authorization header that cannot be read.
    """
    pairs = [(name, value) for name, value in headers]
    bare_path, separator, query = path.partition("?")
    parameters = _read_parameters(query) + _read_cookies(pairs)
    definite_keys = (value for name, value in parameters if _holds_definite_key(name, value))
    known_keys = {*_keys_in_headers(pairs), *definite_keys}
    known_keys.discard("")
    secrets = known_keys | {
        value for name, value in parameters if value and _holds_key(name, value, known_keys)
    }
    if len(secrets) > 1:
        raise Refused(RefusalReason.MALFORMED_REQUEST, "several different keys were sent")
    forwarded_query = _forwarded_parameters(query, known_keys)
    forwarded_path = (
        f"{bare_path}?{forwarded_query}" if separator and forwarded_query else bare_path
    )
    forwarded_headers = _forwarded_headers(pairs, known_keys)
    return _without_secret(next(iter(secrets), None), forwarded_headers, forwarded_path)


def _without_secret(secret: str | None, headers: list[Header], path: str) -> Credentials:
    if secret is None:
        return Credentials(None, headers, path)
    forms = secret_forms(secret)
    if _contains_any(path, forms):
        raise Refused(RefusalReason.MALFORMED_REQUEST, "the key stands in the path")
    clean_headers = [
        pair for pair in headers if not any(_contains_any(part, forms) for part in pair)
    ]
    return Credentials(secret, clean_headers, path)


def _holds_definite_key(name: str, value: str) -> bool:
    lowered = name.lower()
    prefixed = lowered in AMBIGUOUS_PARAMETERS and value.startswith(KEY_PREFIX)
    return prefixed or lowered in KEY_PARAMETERS


def _holds_key(name: str, value: str, known_keys: set[str]) -> bool:
    if _holds_definite_key(name, value):
        return True
    return name.lower() in AMBIGUOUS_PARAMETERS and (not known_keys or value in known_keys)


def secret_forms(secret: str) -> frozenset[str]:
    """Returns the encodings in which a request may repeat a key; none if it is too short."""
    if len(secret) < MIN_KEY_CHARS:
        return frozenset()
    encoded = base64.b64encode(secret.encode()).decode().rstrip("=")
    forms = (secret, quote(secret, safe=""), quote_plus(secret), encoded)
    return frozenset((*forms, encoded.replace("+", "-").replace("/", "_")))


def _contains_any(text: str, forms: frozenset[str]) -> bool:
    decoded_once = unquote(text)
    decoded_twice = unquote_plus(decoded_once)
    return any(form in variant for form in forms for variant in (text, decoded_once, decoded_twice))


def _read_parameters(query: str) -> list[Header]:
    return [_read_parameter(part) for part in query.split("&") if part]


def _read_parameter(part: str) -> Header:
    name, _, value = part.partition("=")
    return unquote_plus(name), unquote_plus(value)


def _forwarded_parameters(query: str, known_keys: set[str]) -> str:
    parts = query.split("&")
    return "&".join(part for part in parts if not _holds_key(*_read_parameter(part), known_keys))


def _keys_in_headers(headers: list[Header]) -> list[str]:
    keys: list[str] = []
    for name, value in headers:
        match name.lower():
            case "authorization" | "proxy-authorization":
                keys.extend(_read_authorization(value))
            case lowered if lowered in KEY_HEADERS:
                keys.append(value.strip())
    return keys


def _read_authorization(value: str) -> list[str]:
    scheme, _, parameters = value.strip().partition(" ")
    parameters = parameters.strip()
    match scheme.lower():
        case "basic":
            return _read_basic(parameters)
        case "bearer" | "token" | "apikey" | "api-key" | "key":
            return [parameters]
        case _ if not parameters:
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


def _forwarded_headers(headers: list[Header], known_keys: set[str]) -> list[Header]:
    connection_headers = _connection_headers(headers)
    forwarded = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == "cookie":
            value = _forwarded_cookies(value, known_keys)
        if value and _is_forwardable(lowered) and lowered not in connection_headers:
            forwarded.append((name, value))
    return forwarded


def _is_forwardable(name: str) -> bool:
    if name in ("authorization", *KEY_HEADERS) or name in HOP_BY_HOP_HEADERS:
        return False
    normalized = name.replace("_", "-")
    if normalized in RESERVED_HEADERS or normalized in KEY_HEADERS:
        return False
    return not normalized.startswith(RESERVED_HEADER_PREFIXES)


def _connection_headers(headers: list[Header]) -> set[str]:
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    return named - NON_REMOVABLE_HEADERS


def _forwarded_cookies(value: str, known_keys: set[str]) -> str:
    parts = [part.strip() for part in value.split(";")]
    return "; ".join(part for part in parts if not _holds_key(*_read_cookie(part), known_keys))
