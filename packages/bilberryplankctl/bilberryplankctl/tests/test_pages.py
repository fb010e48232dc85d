"""The pages for readers agree with the code."""

import importlib
import json
import re
import unittest
from dataclasses import MISSING, fields, is_dataclass
from pathlib import Path

from bilberryplank.metrics import ProcessMetrics
from bilberryplank_core import settings
from bilberryplank_core.errors import REFUSAL_STATUS, RefusalReason, RetryReason
from bilberryplankctl._failures import ExitCode
from bilberryplankctl.main import COMMANDS

ROOT = Path(__file__).resolve().parents[4]
DOCS = ROOT / "docs"
SETTINGS_KINDS = {
    "Entry": settings.EntrySettings,
    "Direct entry": settings.DirectEntrySettings,
    "Retry budget": settings.RetryBudgetSettings,
    "Sidecar": settings.SidecarSettings,
    "Operator": settings.OperatorSettings,
    "Platform": settings.PlatformSettings,
    "Callers": settings.CallerSettings,
    "Links": settings.LinkSettings,
    "Routing": settings.RoutingSettings,
    "Scaling": settings.ScalingSettings,
    "Queue": settings.QueueSettings,
    "Fleet": settings.FleetSettings,
    "Logs": settings.LogSettings,
}


def page(name):
    return (DOCS / name).read_text(encoding="utf-8")


def section(text, heading):
    found = re.search(rf"^## {heading}\n(.*?)(?=^## |\Z)", text, re.DOTALL | re.MULTILINE)
    return found[1] if found else ""


def rows(text):
    """Returns the cells of each row of the tables in a text, without heads."""
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    tables = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [cells for cells in tables if cells[0].startswith("`") or cells[0].isdigit()]


def default_of(part):
    if part.default is MISSING:
        return "required"
    if is_dataclass(part.default):
        return "see there"
    value = list(part.default) if isinstance(part.default, tuple) else part.default
    return f"`{json.dumps(value)}`"


class PagesTest(unittest.TestCase):
    def test_settings_are_those_of_the_data_classes(self):
        text = page("SETTINGS.md")
        self.assertEqual(re.findall(r"^## ([\w ]+)$", text, re.MULTILINE), list(SETTINGS_KINDS))
        for heading, kind in SETTINGS_KINDS.items():
            with self.subTest(section=heading):
                written = [(cells[0], cells[2]) for cells in rows(section(text, heading))]
                expected = [(f"`{part.name}`", default_of(part)) for part in fields(kind)]
                self.assertEqual(written, expected)
                self.assertTrue(all(cells[1] and cells[3] for cells in rows(text)))

    def test_every_settings_class_has_a_section(self):
        kinds = {
            item
            for item in vars(settings).values()
            if isinstance(item, type) and is_dataclass(item)
        }
        self.assertEqual(kinds, set(SETTINGS_KINDS.values()))

    def test_every_reason_has_a_row(self):
        text = page("OPERATIONS.md")
        for heading, reasons in (("Refusals", RefusalReason), ("Retries", RetryReason)):
            with self.subTest(section=heading):
                found = rows(section(text, heading))
                written = [cells[0].strip("`") for cells in found]
                self.assertEqual(written, [reason.value for reason in reasons])
                self.assertTrue(all(len(cells) == 3 and all(cells) for cells in found))

    def test_refusals_have_their_statuses(self):
        written = {
            cells[0].strip("`"): cells[1] for cells in rows(section(page("USE.md"), "Refusals"))
        }
        for reason, status in REFUSAL_STATUS.items():
            self.assertEqual(written[reason.value], str(status.value), reason)

    def test_every_metric_has_a_row_with_its_labels(self):
        written = {
            cells[0].strip("`"): cells[1]
            for cells in rows(section(page("OPERATIONS.md"), "Metrics"))
        }
        metrics = ProcessMetrics()
        metrics.set_lease("any", False)
        expected = {}
        for family in metrics.registry.collect():
            if family.name.startswith("bilberryplank_"):
                name = family.name + ("_total" if family.type == "counter" else "")
                labels = set().union(*(sample.labels for sample in family.samples)) - {"le"}
                expected[name] = labels
        split = {name: set(filter(None, labels.split(", "))) for name, labels in written.items()}
        self.assertEqual(split, expected)

    def test_every_exit_code_has_a_row(self):
        text = section(page("OPERATIONS.md"), "Exit codes of bilberryplankctl")
        written = [(int(cells[0]), cells[1].strip("`")) for cells in rows(text)]
        self.assertEqual(written, [(code.value, code.name.lower()) for code in ExitCode])

    def test_commands_on_the_pages_exist(self):
        lines = re.findall(r"bilberryplankctl (\w+)(?: (\w+))?", page("OPERATIONS.md"))
        for command, inner in lines:
            with self.subTest(command=command):
                self.assertIn(command, COMMANDS)
                if isinstance(COMMANDS[command], dict):
                    self.assertIn(inner, COMMANDS[command])

    def test_every_public_module_is_on_the_map(self):
        text = page("INTERNALS.md")
        written = {cells[0].strip("`") for cells in rows(text) if "." in cells[0]}
        expected = {
            f"{package}.{path.stem}"
            for package in ("bilberryplank_core", "bilberryplank", "bilberryplankctl")
            for path in Path(importlib.import_module(package).__file__).parent.glob("[a-z]*.py")
        }
        self.assertEqual(written, expected)

    def test_links_between_pages_lead_somewhere(self):
        for path in sorted(DOCS.rglob("*.md")):
            for name in re.findall(r"`(docs/[A-Z]+\.md)`", path.read_text(encoding="utf-8")):
                with self.subTest(page=path.name, link=name):
                    self.assertTrue((ROOT / name).exists())
