"""HTTP client of what a sidecar asks of its engine besides answers."""

from __future__ import annotations

from dataclasses import asdict
from http import HTTPStatus

import aiohttp

from bilberryplank._platform_http import (
    ServiceClient,
    dump_json,
    segment,
    unavailable_on_malformed,
)
from bilberryplank_core.contracts import EngineControl, EngineLoad, EngineOrder
from bilberryplank_core.errors import OrderRejected

_REJECTED = (HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED)


class HttpEngineControl(EngineControl):
    """An engine's control interface over HTTP.

    Args:
        session: Session whose connections it shares.
        base_url: `http://ip:port` of the engine.
        timeout: Seconds that a whole call may take.
    """

    __slots__ = ("_client",)

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout: float) -> None:
        self._client = ServiceClient(session, base_url, timeout)

    async def load(self) -> EngineLoad:
        """Returns the engine's load, as it last reported it."""
        answer = await self._client.call("GET", "/load")
        answer.expect(HTTPStatus.OK)
        with unavailable_on_malformed():
            document = answer.json()
            return EngineLoad(
                running=int(document["running"]),
                waiting=int(document["waiting"]),
                slots=int(document["slots"]),
                kv_used=float(document["kv_used"]),
                age=float(document["age"]),
            )

    async def cancel(self, request_id: str) -> None:
        """Stops a running request; no failure where it has ended."""
        answer = await self._client.call("POST", f"/v1/cancel/{segment(request_id)}")
        answer.expect(HTTPStatus.OK, HTTPStatus.NO_CONTENT, HTTPStatus.NOT_FOUND)

    async def order(self, order: EngineOrder) -> None:
        """Gives the engine an order; the same order id may be given again."""
        answer = await self._client.call("POST", "/orders", dump_json(asdict(order)))
        if answer.status in _REJECTED:
            raise OrderRejected(answer.body.decode(errors="replace"))
        answer.expect(HTTPStatus.OK)
