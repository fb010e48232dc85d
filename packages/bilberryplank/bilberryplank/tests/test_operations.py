import asyncio
import unittest

import aiohttp

from bilberryplank._operations_server import MAX_CONNECTIONS
from bilberryplank.decisions import DecisionJournal, DecisionStep
from bilberryplank.metrics import ProcessMetrics
from bilberryplank.operations import OperationsServer, ProcessStatus, Readiness, UpstreamStatus


class OperationsServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.journal = DecisionJournal(16, "entry-a", lambda: 1.0)
        upstream = UpstreamStatus("m1", "zone-a", True, False, 2, 3)
        self.status = ProcessStatus("entry-a", "entry", "zone-a", version=4, upstreams=(upstream,))
        self.server = OperationsServer(
            "127.0.0.1:0", ProcessMetrics(), self.journal, lambda: self.status
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{self.server.port}")
        self.addAsyncCleanup(self.session.close)

    async def get(self, path):
        async with self.session.get(path) as response:
            return response.status, await response.text()

    async def test_readiness_follows_the_owner_and_health_does_not(self):
        for readiness, status in (
            (Readiness.STARTING, 503),
            (Readiness.READY, 200),
            (Readiness.DRAINING, 503),
        ):
            with self.subTest(readiness=readiness):
                self.server.readiness = readiness
                self.assertEqual(await self.get("/readyz"), (status, f"{readiness.value}\n"))
                self.assertEqual(await self.get("/healthz"), (200, "ok\n"))

    # Connections without a byte kept the balancer's questions out, and took descriptors.
    async def test_idle_connections_are_bounded_and_keep_no_question_out(self):
        opened = [
            await asyncio.open_connection("127.0.0.1", self.server.port)
            for _ in range(2 * MAX_CONNECTIONS)
        ]
        self.assertEqual(await self.get("/healthz"), (200, "ok\n"))
        closed = 0
        for reader, writer in opened:
            closed += reader.at_eof()
            writer.close()
        self.assertGreaterEqual(closed, MAX_CONNECTIONS)

    async def test_metrics_are_prometheus_text(self):
        status, text = await self.get("/metrics")
        self.assertEqual(status, 200)
        self.assertIn('bilberryplank_refusals_total{class="none",reason="shed"} 0.0', text)

    async def test_status_and_decisions_are_json(self):
        self.server.readiness = Readiness.READY
        self.journal.record("r1", DecisionStep.REFUSED, "reason=shed")
        async with self.session.get("/status") as response:
            status = await response.json()
        self.assertEqual((status["readiness"], status["version"]), ("ready", 4))
        self.assertEqual(status["upstreams"][0]["name"], "m1")
        async with self.session.get("/decisions/r1") as response:
            document = await response.json()
        expected = {"request": "r1", "at": 1.0, "process": "entry-a", "step": "refused"}
        self.assertEqual(document["decisions"], [{**expected, "detail": "reason=shed"}])

    async def test_what_is_not_there_is_said_so(self):
        self.assertEqual((await self.get("/decisions/r9"))[0], 404)
        self.assertEqual((await self.get("/other"))[0], 404)
        async with self.session.post("/status") as response:
            self.assertEqual(response.status, 405)
