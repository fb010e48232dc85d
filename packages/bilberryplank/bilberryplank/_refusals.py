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
    headers = {
        OUTCOME_HEADER: NOT_RUN if refused.not_run else MAY_HAVE_RUN,
        REQUEST_ID_HEADER: request_id,
    }
    if refused.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refused.retry_after)))
    if refused.reason is RefusalReason.KEY_MISSING:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=REFUSAL_STATUS[refused.reason].value,
        body=refusal_body(refused),
        headers=headers,
        content_type="application/json",
    )


def refusal_event(refused: Refused) -> bytes:
    """Returns a server-sent event for a refusal after a stream has begun."""
    return b"data: " + refusal_body(refused) + b"\n\n"
