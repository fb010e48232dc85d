import asyncio
import threading

from bilberryplank.decisions import DecisionJournal, DecisionStep
from bilberryplank.metrics import ProcessMetrics
from bilberryplank.operations import OperationsServer, ProcessStatus, Readiness
from bilberryplankctl.tests._fleet import SETTINGS, CommandCase

START_TIMEOUT_SECONDS = 30


class ProcessPorts:
    """The operators' ports of two processes, served by a loop on a thread of their own."""

    def __init__(self):
        times = iter(range(100, 200))
        self.journals = [
            DecisionJournal(32, name, lambda: next(times)) for name in ("entry-a", "sidecar-m1")
        ]
        self.addresses = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._servers = self._call(self._start())

    def close(self):
        self._call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _call(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(START_TIMEOUT_SECONDS)

    async def _start(self):
        servers = []
        for journal, role in zip(self.journals, ("entry", "sidecar"), strict=True):
            status = ProcessStatus(journal._process, role, "zone-a", version=7, leases=("usage",))
            server = OperationsServer(
                "127.0.0.1:0", ProcessMetrics(), journal, lambda status=status: status
            )
            server.readiness = Readiness.READY
            await server.start()
            self.addresses.append(f"127.0.0.1:{server.port}")
            servers.append(server)
        return servers

    async def _stop(self):
        for server in self._servers:
            await server.stop()


class ProcessCommandsTest(CommandCase):
    def setUp(self):
        super().setUp()
        self.ports = ProcessPorts()
        self.addCleanup(self.ports.close)
        self.use(*self.ports.addresses)

    def use(self, *addresses):
        self.settings = self.write("operator.jsonc", {**SETTINGS, "operations": addresses})

    def test_status_lists_the_processes(self):
        code, out, _ = self.command("status")
        self.assertEqual(code, 0)
        header, first, second = out.splitlines()
        self.assertEqual(header.split()[:5], ["name", "role", "zone", "readiness", "version"])
        self.assertEqual(first.split()[:5], ["entry-a", "entry", "zone-a", "ready", "7"])
        self.assertEqual(second.split()[0], "sidecar-m1")

    def test_an_unreached_process_is_named(self):
        self.use("127.0.0.1:1", self.ports.addresses[0])
        code, out, _ = self.command("status")
        self.assertEqual(code, 7)
        self.assertIn("entry-a", out)
        self.assertIn("127.0.0.1:1: not reached:", out)
        code, document = self.command_json("status")
        self.assertEqual(document["processes"][1]["answer"]["version"], 7)

    def test_explain_merges_the_decisions_by_time(self):
        entry, sidecar = self.ports.journals
        entry.record("r/1", DecisionStep.CHOSEN, "upstream=m1")
        sidecar.record("r/1", DecisionStep.REFUSED, "reason=shed")
        entry.record("r/1", DecisionStep.RETRIED, "reason=not_run")
        code, out, _ = self.command("explain", "r/1")
        self.assertEqual(code, 0)
        words = [line.split()[1:] for line in out.splitlines()]
        expected = [
            ["entry-a", "chosen", "upstream=m1"],
            ["sidecar-m1", "refused", "reason=shed"],
            ["entry-a", "retried", "reason=not_run"],
        ]
        self.assertEqual(words, expected)
        code, document = self.command_json("explain", "r/1")
        self.assertEqual([item["step"] for item in document["decisions"]][0], "chosen")

    def test_an_unknown_request_is_told_from_an_unreached_process(self):
        self.assertEqual(self.command("explain", "r9")[0], 6)
        self.use(self.ports.addresses[0], "127.0.0.1:1")
        code, _, err = self.command("explain", "r9")
        self.assertEqual(code, 7)
        self.assertIn("127.0.0.1:1", err)
