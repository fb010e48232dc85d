"""Why a request ended as it did, from the logs of processes."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from bilberryplankctl._failures import NotFound
from bilberryplankctl._results import LogExplanation

CONTEXT_EVENTS = frozenset(
    {
        "configuration_in_force",
        "configuration_unreadable",
        "dependency_lost",
        "dependency_regained",
        "engine_crashed",
        "log_lines_dropped",
        "readiness_changed",
        "settings_rejected",
        "started",
        "stopping",
        "store_behind",
        "store_era_began",
        "store_restored",
        "upstream_gone",
        "upstream_held_out",
        "upstream_leaving",
    }
)
"""Events that are no request's own and may be its cause."""

CONTEXT_BEFORE = timedelta(seconds=10)
"""How long before a request such an event may explain it: longer than an entry may be stale."""

QUARANTINE_EVENTS = frozenset(
    {"prompt_quarantined", "prompt_quarantine_ended", "prompt_quarantine_lifted"}
)
"""Events about a prompt part, which explain its requests for as long as the quarantine lasts."""

_FIELD = re.compile(r'([A-Za-z0-9_.]+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(slots=True, frozen=True)
class _Line:
    text: str
    fields: dict[str, str]
    at: datetime


def read_logs(paths: Iterable[Path]) -> list[str]:
    """Returns the lines of log files.

    Raises:
        NotFound: A file cannot be read.
    """
    lines = []
    for path in paths:
        try:
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as exc:
            raise NotFound(f"{path}: {exc.strerror}") from exc
    return lines


def explain(paths: Iterable[Path], request_id: str) -> LogExplanation:
    """Returns what the logs of processes tell of a request; raises as the functions below."""
    return LogExplanation(request_id, tuple(explain_lines(read_logs(paths), request_id)))


def explain_lines(lines: Iterable[str], request_id: str) -> list[str]:
    """Returns the lines of a request, and those that may explain them, by time.

    Raises:
        NotFound: No line is about the request.
    """
    parsed = [line for line in map(_parse, lines) if line is not None]
    own = [line for line in parsed if line.fields.get("request") == request_id]
    if not own:
        raise NotFound(f"no line is about request {request_id}")
    processes = {line.fields.get("process") for line in own}
    upstreams = {line.fields["upstream"] for line in own if "upstream" in line.fields}
    parts = {line.fields["part"] for line in own if "part" in line.fields}
    first, last = min(line.at for line in own), max(line.at for line in own)
    around = [
        line
        for line in parsed
        if _is_of_part(line, parts, processes, last)
        or line.fields.get("event") in CONTEXT_EVENTS
        and first - CONTEXT_BEFORE <= line.at <= last
        and line.fields.get("process") in processes
        and line.fields.get("upstream", "") in {"", *upstreams}
        and line not in own
    ]
    return [line.text for line in sorted([*own, *around], key=lambda line: line.at)]


def _is_of_part(line: _Line, parts: set[str], processes: set[str | None], last: datetime) -> bool:
    return (
        line.fields.get("event") in QUARANTINE_EVENTS
        and line.fields.get("part") in parts
        and line.fields.get("process") in processes
        and line.at <= last
    )


def _parse(text: str) -> _Line | None:
    fields = {name: value.strip('"') for name, value in _FIELD.findall(text)}
    try:
        return _Line(text, fields, datetime.fromisoformat(fields["time"]))
    except (KeyError, ValueError):
        return None
