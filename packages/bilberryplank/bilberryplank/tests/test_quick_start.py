"""What a direct entry loads before it serves."""

import subprocess
import sys
from unittest import TestCase

NOT_LOADED = (
    "bilberryplank._link",
    "bilberryplank._platform",
    "bilberryplank._process",
    "bilberryplank_core._configuration",
    "bilberryplank_core._frames",
    "bilberryplank_core._messages",
    "bilberryplank_core._world",
    "croniter",
    "pytz",
)
"""Modules of the sidecar way and of timetables: a third of the start before they were left out."""

PROGRAM = """
import sys
from bilberryplank._quick_start import skip_unused_imports
skip_unused_imports()
import ssl
import bilberryplank.direct
import mode
print([name for name in {names!r} if name in sys.modules])
print(ssl.create_default_context().cert_store_stats()["x509"])
"""


class QuickStartTest(TestCase):
    """An entry that was lost is back soon: its start loads only what it runs."""

    def test_the_direct_way_loads_neither_the_sidecar_way_nor_certificates(self):
        """Load pattern: all entries die at once under full traffic."""
        program = PROGRAM.format(names=NOT_LOADED)
        run = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(run.stdout.split("\n")[:2], ["[]", "0"])
