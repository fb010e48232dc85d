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

Header = tuple[str, str]

MIN_KEY_CHARS = 8

KEY_HEADERS = frozenset(("x-api-key", "api-key", "apikey", "x-auth-token", "x-access-token"))
KEY_PARAMETERS = frozenset(
    ("api_key", "api-key", "apikey", "x-api-key", "key", "access_token", "token", "auth_token")
)
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
    bare_path, found = _take_parameters(path)
    secrets = {*found, *_find_secrets(pairs)}
    if len(secrets) > 1:
        raise Refused(RefusalReason.MALFORMED_REQUEST, "several different keys were sent")
    secret = next(iter(secrets), None)
    kept = _keep_headers(pairs)
    if secret is None:
        return Credentials(None, kept, bare_path)
    forms = secret_forms(secret)
    if _mentions(bare_path, forms):
        raise Refused(RefusalReason.MALFORMED_REQUEST, "the key stands in the path")
    clean = [pair for pair in kept if not any(_mentions(part, forms) for part in pair)]
    return Credentials(secret, clean, bare_path)


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


def _take_parameters(path: str) -> tuple[str, list[str]]:
    bare, mark, query = path.partition("?")
    if not mark:
        return path, []
    kept, secrets = [], []
    for part in query.split("&"):
        name, _, value = part.partition("=")
        if unquote_plus(name).lower() not in KEY_PARAMETERS:
            kept.append(part)
        elif value:
            secrets.append(unquote_plus(value))
    return (f"{bare}?{'&'.join(kept)}" if kept else bare), secrets


def _find_secrets(headers: list[Header]) -> list[str]:
    found: list[str] = []
    for name, value in headers:
        match name.lower():
            case "authorization" | "proxy-authorization":
                found.extend(_read_authorization(value))
            case "cookie":
                found.extend(_read_cookies(value))
            case lowered if lowered in KEY_HEADERS:
                found.append(value.strip())
    return [secret for secret in found if secret]


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


def _read_cookies(value: str) -> list[str]:
    found = []
    for part in value.split(";"):
        name, _, content = part.strip().partition("=")
        if name.lower() in KEY_PARAMETERS:
            found.append(unquote(content.strip().strip('"')))
    return found


def _keep_headers(headers: list[Header]) -> list[Header]:
    named = _named_by_connection(headers)
    kept = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == "cookie":
            value = _clean_cookies(value)
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


def _clean_cookies(value: str) -> str:
    parts = [part.strip() for part in value.split(";")]
    return "; ".join(part for part in parts if part.partition("=")[0].lower() not in KEY_PARAMETERS)
