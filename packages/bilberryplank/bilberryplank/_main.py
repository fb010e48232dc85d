"""The command line of the daemon."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Literal

from loguru import logger

from bilberryplank._entry import Entry
from bilberryplank._logs import configure_logs, log_event
from bilberryplank._process import Process, run_process
from bilberryplank._sidecar import Sidecar
from bilberryplank_core.errors import SettingsInvalid
from bilberryplank_core.settings import EntrySettings, SidecarSettings, read_settings

EXIT_SETTINGS = 2


def entry(settings: Path) -> int:
    """Runs an entry until SIGTERM.

    Args:
        settings: File of JSON with comments.
    """
    cfg = read_settings(EntrySettings, settings)
    configure_logs(cfg.logs, cfg.name)
    return _run(Entry.from_settings, cfg)


def sidecar(settings: Path) -> int:
    """Runs a sidecar until SIGTERM.

    Args:
        settings: File of JSON with comments.
    """
    cfg = read_settings(SidecarSettings, settings)
    configure_logs(cfg.logs, cfg.name)
    return _run(Sidecar.from_settings, cfg)


def check(settings: Path, *, role: Literal["entry", "sidecar"] = "entry") -> int:
    """Checks a settings file and starts nothing.

    Args:
        settings: File of JSON with comments.
        role: Which process the file is for.
    """
    read_settings(EntrySettings if role == "entry" else SidecarSettings, settings)
    print(f"{settings}: no faults")
    return 0


def main() -> None:
    """Runs the command that the arguments name."""
    try:
        code = _run_command(sys.argv[1:])
    except SettingsInvalid as exc:
        for fault in exc.faults:
            print(fault, file=sys.stderr)
        code = EXIT_SETTINGS
    sys.exit(code)


def _run_command(arguments: list[str]) -> int:
    match arguments:
        case [("entry" | "sidecar" | "check") as name, path] if not path.startswith("-"):
            return _COMMANDS[name](Path(path))
    # Loaded late: a process that serves would keep its 3 MB for good.
    import defopt

    return defopt.run(_COMMANDS, argv=arguments)


_COMMANDS = {"entry": entry, "sidecar": sidecar, "check": check}


def _run(make: type[Process], cfg: EntrySettings | SidecarSettings) -> int:
    async def run() -> int:
        return await run_process(make(cfg))

    try:
        return asyncio.run(run())
    except OSError as exc:
        log_event(logger, "start_failed", level="ERROR", cause=exc)
        return 1
