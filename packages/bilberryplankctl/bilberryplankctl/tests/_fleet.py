"""A table in memory, and one process's operators' port, for the tests of this package."""

import contextlib
import copy
import io
import json
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from bilberryplank_core.contracts import Put, Row, Table
from bilberryplank_core.errors import Conflict, PlatformUnavailable
from bilberryplankctl.main import run

HASH_SECRET = "hash-secret-of-the-tests"
URL = "http://127.0.0.1:1"
SERVICES = ("table", "object_store", "upstream_orders", "usage_reports", "host_list")
SETTINGS = {
    "key_hash_secret": HASH_SECRET,
    "platform": {**dict.fromkeys(SERVICES, URL), "timeout": 5.0},
}
DOCUMENT = {
    "organisations": [{"name": "org-a"}, {"name": "org-b"}],
    "tiers": [{"name": "gold", "rank": 0}],
    "classes": [{"name": "reply", "tier": "gold"}],
    "upstreams": [{"name": "m1", "zone": "a", "kind": "engine", "address": "10.0.0.1:9"}],
}


class MemoryTable(Table):
    """A table with faults.

    While `down`, every call fails. `lost` commits take effect and lose the answer; with `dies` the
    table is down from then on.
    """

    def __init__(self):
        self.rows = {}
        self.down = False
        self.lost = 0
        self.dies = False

    async def read(self, table, key):
        self._check()
        return copy.deepcopy(self.rows.get((table, key)))

    async def scan(self, table, prefix="", limit=1000):
        self._check()
        keys = sorted(key for key in self.rows if key[0] == table and key[1].startswith(prefix))
        return [self.rows[key] for key in keys[:limit]]

    async def commit(self, conditions, writes):
        self._check()
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if condition.revision != (row.revision if row else 0):
                raise Conflict("another revision")
        revision = 1 + max((row.revision for row in self.rows.values()), default=0)
        for write in writes:
            if isinstance(write, Put):
                value = json.loads(json.dumps(write.value))
                self.rows[write.table, write.key] = Row(write.table, write.key, value, revision)
            else:
                self.rows.pop((write.table, write.key), None)
        if self.lost:
            self.lost -= 1
            self.down = self.dies
            raise PlatformUnavailable("answer lost")
        return revision

    def _check(self):
        if self.down:
            raise PlatformUnavailable("table is down")


class CommandCase(unittest.TestCase):
    """Runs command lines against a table in memory."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.table = MemoryTable()
        platform = mock.Mock()
        platform.from_settings.return_value = SimpleNamespace(table=self.table)
        patched = mock.patch("bilberryplankctl._session.Platform", platform)
        patched.start()
        self.addCleanup(patched.stop)
        self.settings = self.write("operator.jsonc", SETTINGS)

    def write(self, name, document):
        path = self.directory / name
        text = document if isinstance(document, str) else json.dumps(document)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run_local(self, *argv):
        """Returns exit code, standard output and standard error of a command line."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                code = run(argv)
            except SystemExit as exc:
                code = exc.code
        return int(code), out.getvalue(), err.getvalue()

    def command(self, *argv):
        return self.run_local(*argv, "--settings", self.settings)

    def command_json(self, *argv):
        code, out, err = self.command(*argv, "--json")
        return code, json.loads(out or err)

    def apply(self, document=DOCUMENT, version=0):
        path = self.write("applied.jsonc", document)
        return self.command_json("apply", path, "--expect-version", str(version))
