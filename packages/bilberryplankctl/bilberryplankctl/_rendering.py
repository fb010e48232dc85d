"""Results and failures as text for people or as JSON."""

from __future__ import annotations

import json
from dataclasses import asdict
from datetime import UTC, datetime
from enum import Enum
from typing import Any

from bilberryplank_core.errors import (
    BilberryplankError,
    ConfigurationInvalid,
    PlatformUnavailable,
    SettingsInvalid,
)
from bilberryplankctl._differences import Action, Change
from bilberryplankctl._results import (
    Applied,
    Checked,
    Differences,
    Document,
    EngineOrderAsked,
    Explanation,
    FleetStatus,
    KeyCreated,
    KeyList,
    KeyWithdrawn,
    LogExplanation,
    ProcessAnswer,
    Result,
    UpstreamDrained,
)
from bilberryplankctl._versioned_file import version_line

_SIGNS = {Action.ADDED: "+", Action.CHANGED: "~", Action.REMOVED: "-"}
_UNKNOWN_OUTCOME = "If this was a change, it may have taken effect: look with `get` first."
_STATUS_COLUMNS = (
    "name",
    "role",
    "zone",
    "readiness",
    "version",
    "confirmed_age",
    "queued",
    "running",
    "usage_waiting",
    "leases",
)


def render_json(result: Result) -> str:
    """Returns a result as JSON."""
    return _dump(asdict(result))


def render_text(result: Result) -> str:
    """Returns a result for people."""
    match result:
        case Checked(path, kind):
            return f"{path}: a {kind} without faults"
        case Document(version, document):
            return f"{version_line(version)}\n{_dump(document)}"
        case Applied() | Differences():
            return _changes_text(result)
        case KeyCreated() | KeyWithdrawn() | KeyList():
            return _key_text(result)
        case UpstreamDrained(version, upstream, draining):
            state = "takes no new work" if draining else "takes work again"
            return f"version {version} is in force; {upstream} {state}"
        case EngineOrderAsked(order_id, upstream, action, argument):
            return f"order {order_id} is asked for: {upstream} {action} {argument}"
        case FleetStatus(processes):
            return _status(processes)
        case LogExplanation(lines=lines):
            return "\n".join(lines)
        case Explanation():
            return _explanation(result)


def render_failure(exc: BilberryplankError, as_json: bool) -> str:
    """Returns a failure as text or JSON."""
    faults = exc.faults if isinstance(exc, (SettingsInvalid, ConfigurationInvalid)) else []
    if as_json:
        error: dict[str, Any] = {"code": exc.code, "message": str(exc)}
        if faults:
            error["faults"] = [asdict(fault) for fault in faults]
        return _dump({"error": error})
    lines = [str(fault) for fault in faults] or [f"{exc.code}: {exc}"]
    if isinstance(exc, PlatformUnavailable):
        lines.append(_UNKNOWN_OUTCOME)
    return "\n".join(lines)


def _changes_text(result: Applied | Differences) -> str:
    match result:
        case Applied(version, ()):
            return f"version {version} is in force; nothing to change"
        case Applied(version, changes):
            head = f"version {version} is in force"
        case Differences(version, ()):
            return f"no difference from version {version}"
        case Differences(version, changes):
            head = f"differences from version {version}"
    return "\n".join([head, *map(_change, changes)])


def _key_text(result: KeyCreated | KeyWithdrawn | KeyList) -> str:
    match result:
        case KeyCreated(version, key_id, organisation, secret):
            lines = [
                f"version {version} is in force; key {key_id} of {organisation}",
                "This is the only time that the key is shown:",
                secret,
            ]
            return "\n".join(lines)
        case KeyWithdrawn(version, key_id):
            return f"version {version} is in force; key {key_id} is withdrawn"
        case KeyList(keys=keys):
            head = ("key", "organisation", "state", "labels")
            rows = [
                (
                    key.key_id,
                    key.organisation,
                    "withdrawn" if key.withdrawn else "valid",
                    ",".join(f"{name}={value}" for name, value in key.labels.items()),
                )
                for key in keys
            ]
            return _table([head, *rows])


def _change(change: Change) -> str:
    line = f"{_SIGNS[change.action]} {change.part} {change.name}"
    details = [f"    {item.name}: {item.before!r} -> {item.after!r}" for item in change.fields]
    return "\n".join([line, *details])


def _status(processes: tuple[ProcessAnswer, ...]) -> str:
    rows = [(*_STATUS_COLUMNS, "upstreams")]
    rows.extend(_status_row(process.answer) for process in processes if not process.error)
    return "\n".join([_table(rows), *_unreached_lines(processes)])


def _status_row(status: dict[str, Any]) -> tuple[str, ...]:
    cells = [_cell(status.get(name, "")) for name in _STATUS_COLUMNS]
    upstreams = status.get("upstreams", [])
    linked = sum(1 for upstream in upstreams if upstream.get("linked"))
    return (*cells, f"{linked} of {len(upstreams)} linked")


def _cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


def _explanation(result: Explanation) -> str:
    rows = [
        (_clock(item["at"]), item["process"], item["step"], item["detail"])
        for item in result.decisions
    ]
    return "\n".join([_table(rows), *_unreached_lines(result.unreached)])


def _unreached_lines(processes: tuple[ProcessAnswer, ...]) -> list[str]:
    failed = [process for process in processes if process.error]
    return [f"{process.address}: not reached: {process.error}" for process in failed]


def _clock(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")


def _table(rows: list[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ("  ".join(map(str.ljust, row, widths)).rstrip() for row in rows)
    return "\n".join(lines)


def _dump(value: Any) -> str:
    return json.dumps(value, indent=2, ensure_ascii=False, default=_plain)


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"no JSON form for {type(value).__name__}")
