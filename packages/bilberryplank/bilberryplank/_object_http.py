"""HTTP client of the object store."""

from __future__ import annotations

from http import HTTPStatus

from bilberryplank._platform_http import ServiceClient, query, segment, unavailable_on_malformed
from bilberryplank_core.contracts import ObjectStore


class HttpObjectStore(ObjectStore):
    """The object store over HTTP; each of its calls is idempotent."""

    __slots__ = ("_client",)

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    async def put(self, name: str, data: bytes) -> None:
        """Stores an object under a name."""
        answer = await self._client.call("PUT", f"/objects/{segment(name)}", data)
        answer.expect(HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT)

    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None where there is none."""
        answer = await self._client.call("GET", f"/objects/{segment(name)}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        answer.expect(HTTPStatus.OK)
        return answer.body

    async def names(self, prefix: str = "") -> list[str]:
        """Returns the names that begin with `prefix`, sorted."""
        answer = await self._client.call("GET", "/objects" + query(prefix=prefix))
        answer.expect(HTTPStatus.OK)
        with unavailable_on_malformed():
            return sorted(answer.json()["names"])

    async def delete(self, name: str) -> None:
        """Removes an object; no failure where there is none."""
        answer = await self._client.call("DELETE", f"/objects/{segment(name)}")
        answer.expect(HTTPStatus.OK, HTTPStatus.NO_CONTENT, HTTPStatus.NOT_FOUND)
