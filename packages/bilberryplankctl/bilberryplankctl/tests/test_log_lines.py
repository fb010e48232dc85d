import io
import tempfile
import unittest
from contextlib import redirect_stdout
from pathlib import Path

from bilberryplankctl._failures import ExitCode, NotFound
from bilberryplankctl._log_lines import explain_lines
from bilberryplankctl.main import run


def line(second, event, process="front-1", **fields):
    rest = " ".join(f"{name}={value}" for name, value in fields.items())
    at = f"2026-02-05T08:50:{second:06.3f}+00:00"
    return f"time={at} level=info process={process} event={event} {rest}"


LINES = [
    line(1.0, "dependency_lost", dependency='"table op"', cause='"TimeoutError: "'),
    line(1.0, "dependency_lost", process="front-2", dependency='"table op"'),
    line(2.0, "upstream_held_out", upstream="u1", request="other"),
    line(2.1, "upstream_held_out", upstream="u2", request="other"),
    line(3.0, "request_placed", request="r1", upstream="u1"),
    line(3.2, "request_answered", request="r2", upstream="u1"),
    line(4.0, "attempt_failed", request="r1", upstream="u1", cause='"reset by \\"peer\\""'),
    line(9.0, "dependency_regained", dependency='"table op"'),
    "no line of ours",
]


class ExplainLinesTest(unittest.TestCase):
    def test_a_request_s_lines_come_with_what_may_explain_them(self):
        found = explain_lines(reversed(LINES), "r1")
        self.assertEqual(found, [LINES[0], LINES[2], LINES[4], LINES[6]])

    def test_a_withheld_request_comes_with_the_quarantine_of_its_part_however_old(self):
        lines = [
            line(1.0, "prompt_quarantined", part="m/dead", crashes=2),
            line(1.0, "prompt_quarantined", process="front-2", part="m/dead", crashes=2),
            line(2.0, "prompt_quarantined", part="m/other", crashes=2),
            line(55.0, "prompt_withheld", request="r1", part="m/dead", since=54.0),
            line(56.0, "prompt_quarantine_ended", part="m/dead"),
        ]
        self.assertEqual(explain_lines(lines, "r1"), [lines[0], lines[3]])

    def test_a_request_refused_after_a_restore_of_the_store_comes_with_the_restore(self):
        lines = [
            line(1.0, "store_era_began", era=2),
            line(1.1, "store_behind", version=9, in_force=13),
            line(1.2, "store_restored", process="front-2", era=2),
            line(1.6, "store_restored", era=2, entry_rows=1),
            line(5.0, "request_refused", request="r1", reason="configuration_stale"),
            line(25.0, "request_refused", request="r2", reason="configuration_stale"),
        ]
        self.assertEqual(explain_lines(lines, "r1"), [*lines[:2], *lines[3:5]])
        self.assertEqual(explain_lines(lines, "r2"), [lines[5]])

    def test_an_unknown_request_is_said_so(self):
        with self.assertRaises(NotFound):
            explain_lines(LINES, "r9")

    def test_the_command_reads_files(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "front.log"
            path.write_text("\n".join(LINES))
            out = io.StringIO()
            with redirect_stdout(out):
                code = run(["explain", "r1", "--logs", str(path)])
            self.assertEqual(code, ExitCode.OK)
            self.assertIn("attempt_failed", out.getvalue())
            self.assertEqual(run(["explain", "r9", "--logs", str(path)]), ExitCode.NOT_FOUND)
            self.assertEqual(run(["explain", "r1", "--logs", directory]), ExitCode.NOT_FOUND)
