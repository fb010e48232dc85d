"""HTTP client of the interface that starts and stops upstreams by availability zone."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from bilberryplank._guarded_http import GuardedClient
from bilberryplank._platform_http import dump_json, segment
from bilberryplank_core.contracts import (
    Guard,
    StartUpstream,
    StopUpstream,
    UpstreamOrder,
    UpstreamOrders,
)
from bilberryplank_core.errors import OrderRejected

_REJECTED = (HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED)


class HttpUpstreamOrders(UpstreamOrders):
    """Orders over HTTP, each guarded until the byte that makes it whole."""

    __slots__ = ("_client",)

    def __init__(self, client: GuardedClient) -> None:
        self._client = client

    async def send(self, order: UpstreamOrder, guard: Guard) -> None:
        """Sends an order; the same order id may be sent again after an unknown outcome."""
        path = f"/zones/{segment(order.zone)}/orders"
        answer = await self._client.call("POST", path, dump_json(_document(order)), guard)
        if answer.status in _REJECTED:
            raise OrderRejected(answer.body.decode(errors="replace"))
        answer.expect(HTTPStatus.OK)


def _document(order: UpstreamOrder) -> dict[str, Any]:
    document = {"order_id": order.order_id, "fence": order.fence}
    match order:
        case StartUpstream(pool=pool):
            return document | {"action": "start", "pool": pool}
        case StopUpstream(upstream=upstream):
            return document | {"action": "stop", "upstream": upstream}
