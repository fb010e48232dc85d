"""Answers to callers for requests that were given up."""

from __future__ import annotations

import json
import math

from aiohttp import web

from bilberryplank_core.errors import REFUSAL_STATUS, RefusalReason, Refused

OUTCOME_HEADER = "Bilberryplank-Outcome"
REQUEST_ID_HEADER = "Bilberryplank-Request-Id"
NOT_RUN = "not-run"
MAY_HAVE_RUN = "may-have-run"


def refusal_body(refused: Refused) -> bytes:
    """Returns the JSON body `{"error": {"code", "message", "not_run"}}` of a refusal."""
    error = {
        "code": refused.reason.value,
        "type": refused.reason.value,
        "message": str(refused),
        "not_run": refused.not_run,
    }
    return json.dumps({"error": error}).encode()


def refusal_response(refused: Refused, request_id: str) -> web.Response:
    """Returns the HTTP answer for a refusal."""
    return web.Response(
        status=REFUSAL_STATUS[refused.reason].value,
        body=refusal_body(refused),
        headers=_headers(refused, request_id),
        content_type="application/json",
    )


def raw_refusal(refused: Refused) -> bytes:
    """Returns the bytes of a refusal on a connection that carries no request."""
    status = REFUSAL_STATUS[refused.reason]
    body = refusal_body(refused)
    fields = {
        **_headers(refused, ""),
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    lines.extend(f"{name}: {value}" for name, value in fields.items())
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _headers(refused: Refused, request_id: str) -> dict[str, str]:
    headers = {
        OUTCOME_HEADER: NOT_RUN if refused.not_run else MAY_HAVE_RUN,
        REQUEST_ID_HEADER: request_id,
    }
    if refused.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refused.retry_after)))
    if refused.reason is RefusalReason.KEY_MISSING:
        headers["WWW-Authenticate"] = "Bearer"
    return headers


def refusal_event(refused: Refused) -> bytes:
    """Returns a server-sent event for a refusal after a stream has begun."""
    return b"data: " + refusal_body(refused) + b"\n\n"
