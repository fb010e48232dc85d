"""One server for the fakes of all five platform services."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import Any

from aiohttp import web

from bilberryplank_testing._fake_hosts import FakeHosts
from bilberryplank_testing._fake_objects import FakeObjects
from bilberryplank_testing._fake_orders import FakeOrders
from bilberryplank_testing._fake_reports import FakeReports, ReportOutcome
from bilberryplank_testing._fake_table import FakeTable
from bilberryplank_testing._faults import Fault, FaultKind
from bilberryplank_testing._server import FakeServer

DEFAULT_SCAN_LIMIT = 1000
_SERVICE_BY_PREFIX = {
    "tables": "table",
    "transactions": "table",
    "objects": "objects",
    "zones": "orders",
    "usage-reports": "reports",
    "hosts": "hosts",
}


class FakePlatform(FakeServer):
    """Fake of table, object store, upstream orders, usage reports and host list.

    A call whose client has gone still takes effect, late, as on a real service.

    Args:
        honours_fences: True where orders with an old fencing number are refused.
        host_lag: Seconds by which the host list lags.
    """

    def __init__(self, *, honours_fences: bool = True, host_lag: float = 0.0) -> None:
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.orders = FakeOrders(honours_fences)
        self.reports = FakeReports()
        self.hosts = FakeHosts(host_lag)
        super().__init__(("table", "objects", "orders", "reports", "hosts"))
        self._add_routes(self.app.router)

    def service_of(self, path: str) -> str:
        """Returns the service to which a path belongs."""
        return _SERVICE_BY_PREFIX.get(path.split("/")[1], "table")

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_get("/tables/{table}/rows/{key}", self._read_row)
        router.add_get("/tables/{table}/rows", self._scan_rows)
        router.add_post("/transactions", self._commit)
        router.add_put("/objects/{name}", self._put_object)
        router.add_get("/objects/{name}", self._get_object)
        router.add_delete("/objects/{name}", self._delete_object)
        router.add_get("/objects", self._list_objects)
        router.add_post("/zones/{zone}/orders", self._accept_order)
        router.add_put("/usage-reports/{window}", self._accept_report)
        router.add_get("/hosts", self._get_hosts)
        router.add_put("/_hosts", self._set_hosts)
        router.add_get("/_state", self._get_state)

    async def _read_row(self, req: web.Request) -> web.Response:
        info = req.match_info
        row = self.table.read(info["table"], info["key"], _as_of(req))
        if row is None:
            return _refuse(HTTPStatus.NOT_FOUND, "no such row")
        return web.json_response(row)

    async def _scan_rows(self, req: web.Request) -> web.Response:
        prefix = req.query.get("prefix", "")
        limit = int(req.query.get("limit", DEFAULT_SCAN_LIMIT))
        rows = self.table.scan(req.match_info["table"], prefix, limit, _as_of(req))
        return web.json_response({"rows": rows})

    async def _commit(self, req: web.Request) -> web.Response:
        document = await _document(req)
        conditions, writes = document["conditions"], document["writes"]
        revision, failed = self.table.commit(conditions, writes, _now())
        if failed:
            return web.json_response({"failed": failed}, status=HTTPStatus.CONFLICT)
        req["entry"].begin()
        return web.json_response({"revision": revision})

    async def _put_object(self, req: web.Request) -> web.Response:
        self.objects.objects[req.match_info["name"]] = await req.read()
        req["entry"].begin()
        return web.json_response({})

    async def _get_object(self, req: web.Request) -> web.Response:
        data = self.objects.objects.get(req.match_info["name"])
        if data is None:
            return _refuse(HTTPStatus.NOT_FOUND, "no such object")
        return web.Response(body=data)

    async def _delete_object(self, req: web.Request) -> web.Response:
        if self.objects.objects.pop(req.match_info["name"], None) is not None:
            req["entry"].begin()
        return web.json_response({})

    async def _list_objects(self, req: web.Request) -> web.Response:
        return web.json_response({"names": self.objects.names(req.query.get("prefix", ""))})

    async def _accept_order(self, req: web.Request) -> web.Response:
        accepted, effect = self.orders.accept(req.match_info["zone"], await _document(req))
        if not accepted:
            return _refuse(HTTPStatus.CONFLICT, "old fencing number")
        if effect:
            req["entry"].begin()
        return web.json_response({})

    async def _accept_report(self, req: web.Request) -> web.Response:
        document = await _document(req)
        outcome = self.reports.accept(req.match_info["window"], document["lines"])
        if outcome is ReportOutcome.STORED:
            req["entry"].begin()
        return web.json_response({"outcome": outcome.name.lower()}, status=outcome.value)

    async def _get_hosts(self, req: web.Request) -> web.Response:
        return web.json_response({"hosts": self.hosts.get(_as_of(req))})

    async def _set_hosts(self, req: web.Request) -> web.Response:
        self.hosts.set((await _document(req))["hosts"], _now())
        return web.json_response({})

    async def _get_state(self, req: web.Request) -> web.Response:
        state = {"orders": self.orders.carried_out, "reports": self.reports.windows}
        return web.json_response(state)


async def _document(req: web.Request) -> dict[str, Any]:
    try:
        document = json.loads(await req.read())
    except ValueError as exc:
        raise web.HTTPBadRequest(text=f"not JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise web.HTTPBadRequest(text="not a JSON object")
    return document


def _refuse(status: HTTPStatus, message: str) -> web.Response:
    return web.json_response({"error": message}, status=status)


def _as_of(req: web.Request) -> float:
    match req.get("fault"):
        case Fault(kind=FaultKind.STALE, seconds=seconds):
            return _now() - seconds
    return _now()


def _now() -> float:
    return asyncio.get_running_loop().time()
