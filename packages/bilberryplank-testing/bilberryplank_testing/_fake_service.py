"""Fake of a plain service that echoes calls and counts their effects."""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web

from bilberryplank_testing._run_log import LogEntry
from bilberryplank_testing._server import FakeServer


class FakeService(FakeServer):
    """Answers any method and path; a call whose client has gone still takes effect.

    Args:
        name: Name that its answers carry.
        latency: Seconds until a call takes effect and is answered.
        organisation_header: Header in which it looks for the organisation.

    Attributes:
        effects: Effects by request id and path.
    """

    fail_status = 500

    def __init__(
        self,
        name: str = "service",
        *,
        latency: float = 0.0,
        organisation_header: str = "X-Organisation",
    ) -> None:
        self.effects: Counter[tuple[str, str]] = Counter()
        self._name = name
        self._latency = latency
        self._organisation_header = organisation_header
        super().__init__(("service",))
        self.app.router.add_get("/_state", self._get_state)
        self.app.router.add_route("*", "/{path:.*}", self._run)

    async def _get_state(self, req: web.Request) -> web.Response:
        effects = [
            {"request_id": request_id, "path": path, "count": count}
            for (request_id, path), count in self.effects.items()
        ]
        return web.json_response({"effects": effects})

    async def _run(self, req: web.Request) -> web.Response:
        await asyncio.sleep(self._latency)
        entry: LogEntry = req["entry"]
        entry.begin()
        self.effects[entry.request_id, req.path] += 1
        document = {
            "service": self._name,
            "method": req.method,
            "path": req.raw_path,
            "organisation": req.headers.get(self._organisation_header),
            "request_id": entry.request_id,
            "headers": entry.headers,
            "body": entry.body,
            "effects": self.effects[entry.request_id, req.path],
        }
        return web.json_response(document)
