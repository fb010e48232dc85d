"""Runs every check and closes with one line of counts.

The steps are formatter, linter, the unit tests of each package and the scenarios. Counts come from
the runners' own JUnit files. Tests listed in KNOWN-RED.txt may fail; they are printed.
"""

from __future__ import annotations

import os
import subprocess
import sys
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "build" / "results"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
STEP_TIMEOUT_SECONDS = 1800
PACKAGES = {
    "bilberryplank-core": "bilberryplank_core",
    "bilberryplank": "bilberryplank",
    "bilberryplankctl": "bilberryplankctl",
    "bilberryplank-testing": "bilberryplank_testing",
}
ADAPTER = "platform"
SKIPPED = " (skipped)"
SOURCES = ("packages", "platform", "tools", "features")


@dataclass(slots=True)
class Verdict:
    """Names of the checks by outcome, and the steps whose runner itself failed."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def add_junit(self, path: Path) -> None:
        """Adds the cases of a JUnit file."""
        for case in ElementTree.parse(path).iter("testcase"):
            name = f"{case.get('classname')}.{case.get('name')}"
            if case.find("skipped") is not None:
                self.failed.append(name + SKIPPED)
            elif case.find("failure") is None and case.find("error") is None:
                self.passed.append(name)
            else:
                self.failed.append(name)


def known_red(text: str) -> list[str]:
    """Returns the test names of a KNOWN-RED list: what stands before the first bar of each line.

    Names of scenarios hold spaces.
    """
    lines = [line.strip() for line in text.splitlines()]
    return [line.partition(" | ")[0] for line in lines if line and not line.startswith("#")]


def judge(verdict: Verdict, allowed: list[str]) -> list[str]:
    """Returns the names of what makes the run fail; a listed test covers its subtests.

    A listed test may fail, but not be skipped: it would hide whether it still fails.
    """
    return [
        name for name in verdict.failed if name.endswith(SKIPPED) or test_of(name) not in allowed
    ] + verdict.broken


def test_of(name: str) -> str:
    """Returns the name of the test to which a case belongs, without what tells its subtest."""
    return name.partition(" (")[0].partition(" [")[0]


def run_step(verdict: Verdict, name: str, command: list[str], **environment: str) -> bool:
    """Runs a command; returns True where it exited 0 in time."""
    print(f"== {name}", flush=True)
    variables = {**os.environ, "PYTHONHASHSEED": "0", **environment}
    try:
        process = subprocess.run(
            command, cwd=ROOT, env=variables, timeout=STEP_TIMEOUT_SECONDS, check=False
        )
    except subprocess.TimeoutExpired:
        verdict.broken.append(f"{name} (timeout)")
        return False
    return process.returncode == 0


def run_plain(verdict: Verdict, name: str, command: list[str]) -> None:
    """Runs a check that counts as one."""
    outcome = verdict.passed if run_step(verdict, name, command) else verdict.failed
    outcome.append(name)


def run_counted(verdict: Verdict, name: str, command: list[str], results: Path) -> None:
    """Runs a test runner and adds the cases of the JUnit files that it wrote."""
    succeeded = run_step(verdict, name, command)
    files = sorted(results.glob("*.xml")) if results.is_dir() else [results]
    files = [path for path in files if path.exists()]
    failed_before = len(verdict.failed)
    for path in files:
        verdict.add_junit(path)
    if not files or (not succeeded and len(verdict.failed) == failed_before):
        verdict.broken.append(name)


def run_unit_tests(
    verdict: Verdict, directory: str, module: str, parent: str = "packages/"
) -> None:
    """Runs the unit tests of one package, or of the adapter's folder."""
    results = RESULTS / f"{directory}.xml"
    command = [sys.executable, "-m", "nose2", "--start-dir", parent + directory]
    command += ["--top-level-directory", parent + directory, "--junit-xml"]
    command += ["--junit-xml-path", str(results), module]
    run_counted(verdict, f"unit {directory}", command, results)


def run_scenarios(verdict: Verdict) -> None:
    """Runs the scenarios, where there are any."""
    if not any((ROOT / "features").glob("*.feature")):
        return
    results = RESULTS / "scenarios"
    command = [sys.executable, "-m", "behave", "--junit", "--junit-directory", str(results)]
    command += ["--format", "progress", "--tags", "not @soak", "features"]
    run_counted(verdict, "scenarios", command, results)


def clear_results() -> None:
    """Removes the JUnit files of an earlier run."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    for path in RESULTS.rglob("*.xml"):
        path.unlink()


def main() -> int:
    """Runs all steps and returns the exit code."""
    verdict = Verdict()
    clear_results()
    python = sys.executable
    run_plain(verdict, "formatter", [python, "-m", "black", "--check", "--quiet", *SOURCES])
    run_plain(verdict, "linter", [python, "-m", "ruff", "check", *SOURCES])
    for directory, module in PACKAGES.items():
        run_unit_tests(verdict, directory, module)
    run_unit_tests(verdict, ADAPTER, "tests", parent="")
    run_scenarios(verdict)
    allowed = known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
    for name in allowed:
        failed = name in map(test_of, verdict.failed)
        print(f"known red: {name} ({'failed' if failed else 'passed'})")
    failures = judge(verdict, allowed)
    for name in failures:
        print(f"FAILED: {name}")
    print(f"{len(verdict.passed)} passed, {len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
