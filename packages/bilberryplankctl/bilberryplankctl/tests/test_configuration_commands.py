import asyncio
import json
from pathlib import Path
from unittest import mock

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import Conflict
from bilberryplankctl._configuration_commands import apply
from bilberryplankctl.tests._fleet import DOCUMENT, SETTINGS, CommandCase

TIERS = [{"name": "gold", "rank": 0}, {"name": "bronze", "rank": 1}]


class CheckTest(CommandCase):
    def test_each_kind_is_told_by_its_members(self):
        address = {"listen": "10.0.0.1:80", "operations_listen": "10.0.0.1:81"}
        common = {"name": "x", "zone": "a", "fleet_key": "f" * 16, **address}
        entry = {**common, **SETTINGS}
        sidecar = {**common, "platform": SETTINGS["platform"], "upstream": "m1"}
        sidecar |= {"upstream_kind": "engine", "upstream_url": "http://10.0.0.1:82"}
        cases = [(entry, "settings file of entry"), (sidecar, "settings file of sidecar")]
        cases += [(SETTINGS, "settings file of operator"), (DOCUMENT, "configuration")]
        for document, kind in cases:
            with self.subTest(kind=kind):
                path = self.write("file.jsonc", document)
                code, out, _ = self.run_local("check", path)
                self.assertEqual((code, out), (0, f"{path}: a {kind} without faults\n"))

    def test_faults_have_their_exit_codes(self):
        cases = [
            ({**SETTINGS, "operations": ["x"]}, 2, "operations[0]: is 'x'"),
            ({**DOCUMENT, "tiers": []}, 3, "configuration.classes[0].tier: no tier 'gold'"),
            ("{\n\n  1", 3, "line 3, column 3: is not JSON"),
        ]
        for document, expected, text in cases:
            with self.subTest(text=text):
                code, out, err = self.run_local("check", self.write("file.jsonc", document))
                self.assertEqual((code, out), (expected, ""))
                self.assertIn(text, err)

    def test_classes_that_could_both_match_are_a_fault(self):
        classes = [{"name": name, "tier": "gold"} for name in ("reply", "batch")]
        path = self.write("file.jsonc", {**DOCUMENT, "classes": classes})
        for command in (("check", path), ("apply", path, "--expect-version", "0")):
            with self.subTest(command=command[0]):
                options = () if command[0] == "check" else ("--settings", self.settings)
                code, _, err = self.run_local(*command, *options)
                self.assertEqual(code, 3)
                self.assertIn("configuration.classes[1]: is ambiguous with 'reply'", err)
        self.assertEqual(self.table.rows, {})

    def test_a_named_kind_goes_first(self):
        path = self.write("file.jsonc", DOCUMENT)
        self.assertEqual(self.run_local("check", path, "--kind", "entry")[0], 2)
        self.assertEqual(self.run_local("check", path, "--kind", "nonsense")[0], 2)


class ApplyTest(CommandCase):
    def test_what_get_prints_can_be_applied(self):
        self.assertEqual(self.apply()[1]["version"], 1)
        text = self.command("get")[1]
        self.assertTrue(text.startswith("// version 1\n"))
        path = self.write("edited.jsonc", text.replace('"rank": 0', '"rank": 3'))
        code, out, _ = self.command("apply", path)
        self.assertEqual(code, 0)
        self.assertIn("version 2 is in force\n~ tiers gold\n    rank: 0 -> 3\n", out)

    def test_of_two_operators_one_gets_a_conflict(self):
        self.apply()
        first = self.write("first.jsonc", self.command("get")[1].replace('rank": 0', 'rank": 1'))
        second = self.write("second.jsonc", self.command("get")[1].replace('rank": 0', 'rank": 2'))
        self.assertEqual(self.command("apply", first)[0], 0)
        code, document = self.command_json("apply", second)
        self.assertEqual((code, document["error"]["code"]), (4, "conflict"))
        self.assertEqual(self.command_json("get")[1]["document"]["tiers"][0]["rank"], 1)

    def test_a_repeat_of_an_applied_file_changes_nothing(self):
        self.apply()
        code, result = self.apply()
        self.assertEqual((code, result), (0, {"version": 1, "changes": []}))

    def test_without_a_version_nothing_is_written(self):
        path = self.write("file.jsonc", DOCUMENT)
        code, _, err = self.command("apply", path)
        self.assertEqual(code, 2)
        self.assertIn("--expect-version", err)
        self.assertEqual(self.table.rows, {})

    def test_a_file_without_keys_keeps_the_keys(self):
        self.apply()
        self.command("key", "create", "org-a")
        self.assertEqual(self.apply({**DOCUMENT, "tiers": TIERS}, 2)[0], 0)
        self.assertEqual(len(self.command_json("key", "list")[1]["keys"]), 1)
        code, result = self.apply({**DOCUMENT, "tiers": TIERS, "keys": []}, 3)
        self.assertEqual((code, result["changes"][0]["action"]), (0, "removed"))

    def test_keys_of_an_older_read_are_not_written(self):
        store = mock.AsyncMock()
        store.read.return_value = Configuration.from_document(2, DOCUMENT)
        path = Path(self.write("file.jsonc", {**DOCUMENT, "tiers": TIERS}))
        with self.assertRaises(Conflict):
            asyncio.run(apply(store, path, 3))
        store.write.assert_not_awaited()

    def test_faults_and_outages_have_their_exit_codes(self):
        code, result = self.apply({**DOCUMENT, "tiers": []})
        self.assertEqual((code, result["error"]["code"]), (3, "configuration_invalid"))
        self.assertEqual(result["error"]["faults"][0]["place"], "configuration.classes[0].tier")
        self.table.down = True
        code, result = self.apply()
        self.assertEqual((code, result["error"]["code"]), (5, "platform_unavailable"))
        self.settings = self.write("operator.jsonc", {})
        self.assertEqual(self.apply()[0], 2)


class DiffTest(CommandCase):
    def test_differences_are_told_and_change_nothing(self):
        self.apply()
        wanted = {**DOCUMENT, "tiers": TIERS, "organisations": [{"name": "org-b", "weight": 2}]}
        path = self.write("wanted.jsonc", json.dumps(wanted))
        code, out, _ = self.command("diff", path)
        lines = [
            "differences from version 1",
            "- organisations org-a",
            "~ organisations org-b",
            "    weight: 1.0 -> 2.0",
            "+ tiers bronze",
        ]
        self.assertEqual((code, out.splitlines()), (8, lines))
        path = self.write("same.jsonc", DOCUMENT)
        self.assertEqual(self.command("diff", path)[:2], (0, "no difference from version 1\n"))
        self.assertEqual(self.command_json("get")[1]["version"], 1)
