import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from bilberryplank_core.errors import SettingsInvalid
from bilberryplank_core.settings import (
    EntrySettings,
    LinkSettings,
    SidecarSettings,
    check_settings,
    read_settings,
)
from bilberryplank_core.world import UpstreamKind

URL = "http://10.0.0.1:80"
PLATFORM = {
    "table": URL,
    "object_store": URL,
    "upstream_orders": URL,
    "usage_reports": URL,
    "host_list": URL,
}
ENTRY = {
    "name": "entry-a",
    "zone": "a",
    "listen": "10.0.0.2:8080",
    "operations_listen": "10.0.0.2:8081",
    "fleet_key": "f" * 16,
    "key_hash_secret": "h" * 16,
    "platform": PLATFORM,
}
SIDECAR = {
    **{name: value for name, value in ENTRY.items() if name != "key_hash_secret"},
    "upstream": "model-1",
    "upstream_kind": "engine",
    "upstream_url": URL,
}


class SettingsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "settings.jsonc"

    def read_document(self, document, kind=EntrySettings):
        text = document if isinstance(document, str) else json.dumps(document)
        self.path.write_text(text, encoding="utf-8")
        return read_settings(kind, self.path)

    def read_faults(self, document, kind=EntrySettings):
        with self.assertRaises(SettingsInvalid) as raised:
            self.read_document(document, kind)
        return [str(fault).replace(str(self.path), "FILE") for fault in raised.exception.faults]

    def test_comments_are_ignored_and_defaults_applied(self):
        text = json.dumps(ENTRY, indent=1).replace("{", "{ // the entry\n", 1)
        entry = self.read_document(text)
        self.assertEqual((entry.name, entry.drain_timeout), ("entry-a", 120.0))
        self.assertEqual(check_settings(entry, "entry"), [])
        sidecar = self.read_document(SIDECAR, SidecarSettings)
        self.assertIs(sidecar.upstream_kind, UpstreamKind.ENGINE)
        self.assertFalse(sidecar.checks_fencing)

    def test_each_invalid_value_is_reported_with_its_path(self):
        cases = [
            ({"name": ""}, "FILE.name: is ''"),
            ({"name": "a\nb"}, "FILE.name: is 'a\\nb'"),
            ({"name": None}, "FILE.name: is null (expected text)"),
            ({"listen": "10.0.0.2"}, "FILE.listen: is '10.0.0.2' (expected an IP number and port"),
            ({"listen": "localhost:80"}, "FILE.listen: "),
            ({"listen": "10.0.0.2:0"}, "FILE.listen: "),
            ({"listen": "10.0.0.2:8_0"}, "FILE.listen: "),
            ({"listen": "::1:80"}, "FILE.listen: "),
            ({"listen": "10.0.0.2:8081"}, "FILE.operations_listen: is also listen"),
            ({"fleet_key": "short"}, "FILE.fleet_key: too short (expected at least 16"),
            ({"drain_timeout": True}, "FILE.drain_timeout: is true or false (expected a number)"),
            ({"drain_timeout": 0}, "FILE.drain_timeout: is 0.0 (expected more than 0)"),
            ({"drain_timeout": 10**400}, "FILE.drain_timeout: is too large"),
            ({"routing": {"policy": "fifo"}}, "FILE.routing.policy: is 'fifo' (expected one of"),
            ({"routing": {"retry_ratio": 1.5}}, "FILE.routing.retry_ratio: is 1.5 (expected 0 to"),
            ({"routing": {"subset_size": 1.5}}, "FILE.routing.subset_size: is a number"),
            ({"links": {"silence_limit": 5}}, "FILE.links.silence_limit: too short"),
            ({"fleet": {"lease_margin": 3}}, "FILE.fleet.lease_margin: too long"),
            ({"logs": {"level": "LOUD"}}, "FILE.logs.level: is 'LOUD' (expected one of DEBUG"),
            ({"logs": []}, "FILE.logs: is a list (expected an object)"),
            ({"platform": {**PLATFORM, "table": "https://h"}}, "FILE.platform.table: is 'https"),
            ({"nmae": "x"}, "FILE.nmae: unknown name (expected callers, "),
        ]
        for change, expected in cases:
            with self.subTest(change=change):
                (fault,) = self.read_faults({**ENTRY, **change})
                self.assertTrue(fault.startswith(expected), fault)
        (fault,) = self.read_faults({**SIDECAR, "upstream_kind": "gpu"}, SidecarSettings)
        self.assertEqual(fault, "FILE.upstream_kind: is 'gpu' (expected one of engine, service)")

    def test_all_faults_are_reported_together(self):
        document = {**ENTRY, "zone": 7, "listen": "x", "links": {"buffer_bytes": -1, "odd": 1}}
        del document["platform"]
        faults = self.read_faults(document)
        places = sorted(fault.split(":")[0] for fault in faults)
        expected = ["FILE.links.buffer_bytes", "FILE.links.odd", "FILE.listen", "FILE.platform"]
        self.assertEqual(places, [*expected, "FILE.zone"])

    def test_syntax_faults_are_reported_with_their_line(self):
        cases = [
            ("{\n/* a\nb */ // c\n'x': 1}", "FILE: line 4, column 1: is not JSON"),
            ('{"a": [1,\n],\n\n"b" 2}', "FILE: line 4, column 5: is not JSON"),
            ("", "FILE: line 1, column 1: is not JSON"),
            ('{"a": 1, // "a": 3\n"b": {},\n"a": 2}', "FILE: line 1, 3: 'a' stands twice"),
            ('{"drain_timeout": NaN}', "FILE: NaN is no finite number"),
            ('{"drain_timeout": 1e999}', "FILE: 1e999 is no finite number"),
            ("[" * 100_000, "FILE: is not JSON"),
            ("[]", "FILE: is a list (expected an object)"),
        ]
        for text, expected in cases:
            with self.subTest(text=text[:30]):
                (fault,) = self.read_faults(text)
                self.assertTrue(fault.startswith(expected), fault)

    def test_unreadable_files_are_reported(self):
        self.path.write_bytes(b"\xff")
        for path, expected in ((self.path, "is not UTF-8"), (self.path.parent / "no", "No such")):
            with self.subTest(path=path.name), self.assertRaises(SettingsInvalid) as raised:
                read_settings(EntrySettings, path)
            self.assertIn(expected, str(raised.exception))

    def test_settings_built_in_code_pass_the_same_checks(self):
        entry = replace(
            self.read_document(ENTRY), links=LinkSettings(silence_limit=1.0), listen="x"
        )
        places = [fault.place for fault in check_settings(entry, "entry")]
        self.assertEqual(places, ["entry.listen", "entry.links.silence_limit"])

    def test_secrets_and_addresses_stay_out_of_repr(self):
        text = repr(self.read_document(ENTRY)) + repr(self.read_document(SIDECAR, SidecarSettings))
        for hidden in (ENTRY["fleet_key"], ENTRY["key_hash_secret"], URL + "', object"):
            self.assertNotIn(hidden, text)
        self.assertIn("entry-a", text)
