import unittest
from pathlib import Path

from bilberryplank._entry import Entry
from bilberryplank._operations_server import Readiness
from bilberryplank._sidecar import Sidecar
from bilberryplank_core.settings import EntrySettings, SidecarSettings, read_settings

SAMPLES = Path(__file__).resolve().parents[4] / "examples" / "rarangi"


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_that_does_not_work_yet_has_a_status_and_can_be_stopped(self):
        entry = Entry.from_settings(read_settings(EntrySettings, SAMPLES / "entry-a.jsonc"))
        path = SAMPLES / "sidecar-model-1.jsonc"
        sidecar = Sidecar.from_settings(read_settings(SidecarSettings, path))
        for process, role in ((entry, "entry"), (sidecar, "sidecar")):
            with self.subTest(role):
                status = process._status_now()
                self.assertEqual((status.role, status.epoch), (role, process.epoch))
                self.assertIs(status.readiness, Readiness.STARTING)
                await process.stop()
