"""The operators' command: `bilberryplankctl COMMAND`.

Every command takes `--json`. Exit codes are those of `ExitCode`.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import defopt

from bilberryplankctl import _configuration_commands as configuration
from bilberryplankctl import _engine_commands as engines
from bilberryplankctl import _key_commands as keys
from bilberryplankctl import _log_lines as log_lines
from bilberryplankctl import _process_commands as processes
from bilberryplankctl._configuration_commands import Kind
from bilberryplankctl._engine_commands import EngineAction
from bilberryplankctl._failures import ExitCode
from bilberryplankctl._session import run_connected, run_local
from bilberryplankctl._upstream_commands import set_draining

DEFAULT_SETTINGS = Path("operator.jsonc")


def check(path: Path, *, kind: Kind | None = None, json: bool = False) -> ExitCode:
    """Checks a settings file or a configuration whole and lists every fault.

    Args:
        path: File of JSON with comments.
        kind: What the file is; without it, its members tell.
        json: Print JSON.
    """
    return run_local(json, lambda: configuration.check(path, kind))


def get(*, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Prints the configuration in force; `apply` takes what it prints.

    Args:
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(settings, json, lambda session: configuration.get(session.store))


def diff(path: Path, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Prints what applying a file would change; exits 8 where it would change something.

    Args:
        path: Configuration in JSON with comments.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(settings, json, lambda session: configuration.diff(session.store, path))


def apply(
    path: Path,
    *,
    expect_version: int | None = None,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> ExitCode:
    """Puts a configuration in force; a file without a list of keys keeps the keys.

    Args:
        path: Configuration in JSON with comments.
        expect_version: Version that it replaces; without it, the one that `get` wrote on top.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(
        settings, json, lambda session: configuration.apply(session.store, path, expect_version)
    )


def create(
    organisation: str,
    *,
    label: Sequence[str] = (),
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> ExitCode:
    """Creates a key of an organisation and shows it this once.

    Args:
        organisation: Name of the organisation.
        label: Labels of the callers that use the key, each as name=value.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(
        settings,
        json,
        lambda session: keys.create(
            session.store,
            session.settings.key_hash_secret,
            organisation,
            keys.parse_labels(label),
        ),
    )


def withdraw(key_id: str, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Withdraws a key.

    Args:
        key_id: Id of the key, as `key list` shows it.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(settings, json, lambda session: keys.withdraw(session.store, key_id))


def list_keys(
    *,
    organisation: str | None = None,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> ExitCode:
    """Lists keys without their digests.

    Args:
        organisation: List only the keys of this organisation.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(
        settings, json, lambda session: keys.list_keys(session.store, organisation)
    )


def drain(name: str, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Gives an upstream no new work; what it runs ends whole.

    Args:
        name: Name of the upstream.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(settings, json, lambda session: set_draining(session.store, name, True))


def undrain(name: str, *, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Gives a drained upstream work again.

    Args:
        name: Name of the upstream.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(settings, json, lambda session: set_draining(session.store, name, False))


def order(
    upstream: str,
    action: EngineAction,
    argument: str,
    *,
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> ExitCode:
    """Asks for an order to an engine; an entry sends it through the engine's sidecar.

    Args:
        upstream: Name of the upstream.
        action: What the engine is told.
        argument: Name of the model, adapter, version or role.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(
        settings,
        json,
        lambda session: engines.order(session.store, session.table, upstream, action, argument),
    )


def status(*, settings: Path = DEFAULT_SETTINGS, json: bool = False) -> ExitCode:
    """Prints the state of each process that the settings name.

    Args:
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    return run_connected(settings, json, lambda session: processes.status(session.processes))


def explain(
    request_id: str,
    *,
    logs: Sequence[Path] = (),
    settings: Path = DEFAULT_SETTINGS,
    json: bool = False,
) -> ExitCode:
    """Prints why a request went where it went or was refused.

    Args:
        request_id: Id of the request, as its answer's headers and the logs show it.
        logs: Log files of processes to read; without them the processes are asked.
        settings: Settings file of the operators' command.
        json: Print JSON.
    """
    if logs:
        return run_local(json, lambda: log_lines.explain(logs, request_id))
    return run_connected(
        settings, json, lambda session: processes.explain(session.processes, request_id)
    )


COMMANDS = {
    "check": check,
    "get": get,
    "diff": diff,
    "apply": apply,
    "key": {"create": create, "withdraw": withdraw, "list": list_keys},
    "upstream": {"drain": drain, "undrain": undrain},
    "engine": {"order": order},
    "status": status,
    "explain": explain,
}


def run(argv: Sequence[str]) -> ExitCode:
    """Runs one command line and returns its exit code."""
    if sum(map(_is_label_option, argv)) > 1:
        # The last one would silently win.
        print("write all labels after one --label: --label a=1 b=2", file=sys.stderr)
        return ExitCode.SETTINGS
    return defopt.run(COMMANDS, argv=list(argv), short={}, cli_options="has_default")


def _is_label_option(argument: str) -> bool:
    # The command line takes shortened options, too.
    return argument.startswith("--l") and "--label".startswith(argument.split("=")[0])


def main() -> None:
    """Entry point of the program."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
