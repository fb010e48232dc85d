"""Identity of a non-idempotent request, by which a caller's repeat is recognised."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass

from jsonpointer import JsonPointer, JsonPointerException

from bilberryplank_core._errors import RefusalReason, Refused
from bilberryplank_core._world import ServiceRoute

MAX_IDENTITY_CHARS = 512


@dataclass(slots=True, frozen=True)
class RequestIdentity:
    """Identity of a request, the same for each of the caller's repeats.

    Attributes:
        key: Row key: organisation, route and a hash of the idempotency key that the caller sent.
        fingerprint: Hash of method, path and body, which are the same for a repeat.
    """

    key: str
    fingerprint: str


def identify(
    route: ServiceRoute,
    organisation: str,
    method: str,
    path: str,
    headers: Sequence[Sequence[str]],
    body: bytes,
) -> RequestIdentity | None:
    """Returns the identity of a request, or None if it has none.

    The route names a header, or, for callers that cannot send one, a JSON pointer (RFC 6901) into
    the body. The header takes precedence if both are present.

    Raises:
        Refused: The identity is too long.
    """
    value = _from_headers(route, headers) or _from_body(route, body)
    if not value:
        return None
    if len(value) > MAX_IDENTITY_CHARS:
        message = f"the identity of the request is longer than {MAX_IDENTITY_CHARS} characters"
        raise Refused(RefusalReason.MALFORMED_REQUEST, message)
    key = f"{organisation}/{route.name}/{_hash(value.encode())}"
    return RequestIdentity(key, _hash(method.encode(), path.encode(), body))


def _from_headers(route: ServiceRoute, headers: Sequence[Sequence[str]]) -> str:
    wanted = route.idempotency_header.lower()
    if not wanted:
        return ""
    return next((value.strip() for name, value in headers if name.lower() == wanted), "")


def _from_body(route: ServiceRoute, body: bytes) -> str:
    if not route.idempotency_pointer:
        return ""
    try:
        value = JsonPointer(route.idempotency_pointer).resolve(json.loads(body))
    except (ValueError, RecursionError, JsonPointerException):
        return ""
    if isinstance(value, bool) or not isinstance(value, (str, int)):
        return ""
    return str(value)


def _hash(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
