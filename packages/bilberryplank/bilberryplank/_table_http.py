"""HTTP client of the transactional table service."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from bilberryplank._platform_http import (
    ServiceClient,
    dump_json,
    query,
    segment,
    unavailable_on_malformed,
)
from bilberryplank_core.contracts import Condition, Delete, Put, Row, Table, Write
from bilberryplank_core.errors import Conflict


class HttpTable(Table):
    """The table service over HTTP.

    A lost answer to `commit` leaves its outcome unknown; the caller reads the rows to learn it.
    """

    __slots__ = ("_client",)

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None where there is none."""
        answer = await self._client.call("GET", f"/tables/{segment(table)}/rows/{segment(key)}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        answer.expect(HTTPStatus.OK)
        with unavailable_on_malformed():
            document = answer.json()
            return Row(table, key, document["value"], _revision(document))

    async def scan(self, table: str, prefix: str = "", limit: int = 1000) -> list[Row]:
        """Returns rows whose key begins with `prefix`, in key order."""
        path = f"/tables/{segment(table)}/rows" + query(prefix=prefix, limit=limit)
        answer = await self._client.call("GET", path)
        answer.expect(HTTPStatus.OK)
        with unavailable_on_malformed():
            rows = answer.json()["rows"]
            return [Row(table, row["key"], row["value"], _revision(row)) for row in rows]

    async def commit(self, conditions: list[Condition], writes: list[Write]) -> int:
        """Writes all or nothing, and returns the revision of the rows written."""
        body = {
            "conditions": [_condition_document(item) for item in conditions],
            "writes": [_write_document(item) for item in writes],
        }
        answer = await self._client.call("POST", "/transactions", dump_json(body))
        if answer.status == HTTPStatus.CONFLICT:
            raise Conflict(answer.body.decode(errors="replace"))
        answer.expect(HTTPStatus.OK)
        with unavailable_on_malformed():
            return _revision(answer.json())


def _revision(document: dict[str, Any]) -> int:
    revision = document["revision"]
    if type(revision) is not int:
        raise TypeError("revision is no whole number")
    return revision


def _condition_document(condition: Condition) -> dict[str, Any]:
    return {"table": condition.table, "key": condition.key, "revision": condition.revision}


def _write_document(write: Write) -> dict[str, Any]:
    match write:
        case Put(table, key, value):
            return {"table": table, "key": key, "value": value}
        case Delete(table, key):
            return {"table": table, "key": key, "delete": True}
