"""Runs a command: settings, connections, output and exit code."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from bilberryplank.platform import Platform
from bilberryplank_core.contracts import Table
from bilberryplank_core.errors import BilberryplankError
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.settings import OperatorSettings, read_settings
from bilberryplankctl._failures import ExitCode, exit_code_of
from bilberryplankctl._process_commands import ProcessClient
from bilberryplankctl._push import push_change
from bilberryplankctl._rendering import render_failure, render_json, render_text
from bilberryplankctl._results import Differences, FleetStatus, Result


@dataclass(slots=True, frozen=True)
class Session:
    """What commands work with."""

    settings: OperatorSettings
    store: ConfigurationStore
    table: Table
    processes: ProcessClient


Command = Callable[[Session], Awaitable[Result]]


def run_connected(path: Path, as_json: bool, command: Command) -> ExitCode:
    """Runs a command that needs the operators' settings."""
    return run_local(as_json, lambda: asyncio.run(_connect(path, command)))


def run_local(as_json: bool, command: Callable[[], Result]) -> ExitCode:
    """Runs a command, prints its result or failure and returns the exit code."""
    try:
        result = command()
    except BilberryplankError as exc:
        print(render_failure(exc, as_json), file=sys.stderr)
        return exit_code_of(exc)
    print(render_json(result) if as_json else render_text(result))
    return _exit_code(result)


async def _connect(path: Path, command: Command) -> Result:
    settings = read_settings(OperatorSettings, path)
    async with aiohttp.ClientSession() as session:
        platform = Platform.from_settings(settings.platform, session)
        processes = ProcessClient(session, settings.operations, settings.platform.timeout)
        store = ConfigurationStore(platform.table)
        result = await command(Session(settings, store, platform.table, processes))
        if store.last_change is not None:
            await push_change(session, settings, store.last_change)
        return result


def _exit_code(result: Result) -> ExitCode:
    match result:
        case Differences(changes=(_, *_)):
            return ExitCode.DIFFERENT
        case FleetStatus(processes) if any(process.error for process in processes):
            return ExitCode.PROCESS_UNREACHABLE
    return ExitCode.OK
