"""HTTP client of the interface that accepts usage reports, once per window."""

from __future__ import annotations

from dataclasses import asdict
from http import HTTPStatus

from bilberryplank._guarded_http import GuardedClient
from bilberryplank._platform_http import dump_json
from bilberryplank_core.contracts import Guard, UsageReport, UsageReports
from bilberryplank_core.errors import ReportRejected


class HttpUsageReports(UsageReports):
    """Usage reports over HTTP, each guarded until the byte that makes it whole."""

    __slots__ = ("_client",)

    def __init__(self, client: GuardedClient) -> None:
        self._client = client

    async def send(self, report: UsageReport, guard: Guard) -> None:
        """Sends a report; the same figures may be sent again after an unknown outcome."""
        body = {"fence": report.fence, "lines": [asdict(line) for line in report.lines]}
        path = f"/usage-reports/{report.window}"
        answer = await self._client.call("PUT", path, dump_json(body), guard)
        if answer.status == HTTPStatus.CONFLICT:
            raise ReportRejected(answer.body.decode(errors="replace"))
        answer.expect(HTTPStatus.OK, HTTPStatus.CREATED)
