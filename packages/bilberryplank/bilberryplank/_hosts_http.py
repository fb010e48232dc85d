"""HTTP client of the platform's lagging list of hosts."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from bilberryplank._platform_http import ServiceClient, unavailable_on_malformed
from bilberryplank_core.contracts import HostList
from bilberryplank_core.world import Host, HostState, Role


class HttpHostList(HostList):
    """The host list over HTTP."""

    __slots__ = ("_client",)

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    async def hosts(self) -> list[Host]:
        """Returns live and leaving hosts."""
        answer = await self._client.call("GET", "/hosts")
        answer.expect(HTTPStatus.OK)
        with unavailable_on_malformed():
            return [_host(document) for document in answer.json()["hosts"]]


def _host(document: dict[str, Any]) -> Host:
    return Host(
        name=document["name"],
        zone=document["zone"],
        role=Role(document["role"]),
        address=document["address"],
        state=HostState(document["state"]),
    )
