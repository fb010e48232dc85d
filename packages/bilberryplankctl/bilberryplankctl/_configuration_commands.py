"""Commands on the shared configuration: check, get, diff and apply."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any, Literal

from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import ConfigurationInvalid, Conflict
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.routing import find_ambiguities
from bilberryplank_core.settings import (
    EntrySettings,
    OperatorSettings,
    SidecarSettings,
    read_settings,
)
from bilberryplankctl._differences import differences
from bilberryplankctl._failures import UsageInvalid
from bilberryplankctl._results import Applied, Checked, Differences, Document
from bilberryplankctl._versioned_file import read_versioned

Kind = Literal["entry", "sidecar", "operator", "configuration"]

_SETTINGS_KINDS = {
    "entry": EntrySettings,
    "sidecar": SidecarSettings,
    "operator": OperatorSettings,
}


def check(path: Path, kind: Kind | None) -> Checked:
    """Checks a file whole; without a kind, its members tell what it is.

    Raises:
        SettingsInvalid: With every fault of a settings file.
        ConfigurationInvalid: With every fault of a configuration.
    """
    document = None if kind in _SETTINGS_KINDS else read_versioned(path)[0]
    found = kind or _kind_of(document)
    if found == "configuration":
        _checked(0, document)
        return Checked(str(path), "configuration")
    read_settings(_SETTINGS_KINDS[found], path)
    return Checked(str(path), f"settings file of {found}")


async def get(store: ConfigurationStore) -> Document:
    """Returns the configuration in force."""
    configuration = await store.read()
    return Document(configuration.version, configuration.to_document())


async def diff(store: ConfigurationStore, path: Path) -> Differences:
    """Returns what applying a file would change."""
    document, _ = read_versioned(path)
    current = await store.read()
    wanted = _wanted(document, current)
    return Differences(current.version, differences(current.parts, wanted.parts))


async def apply(store: ConfigurationStore, path: Path, expect_version: int | None) -> Applied:
    """Puts a file in force on top of the version that the operator read.

    Raises:
        UsageInvalid: Neither the command line nor the file tells that version.
        ConfigurationInvalid: The document has faults; nothing was written.
        Conflict: Another version is in force; nothing was written.
        PlatformUnavailable: The outcome is unknown.
    """
    document, named = read_versioned(path)
    expected = named if expect_version is None else expect_version
    if expected is None:
        raise UsageInvalid("no version to apply on: give --expect-version or a file from `get`")
    current = await store.read()
    wanted = _wanted(document, current)
    if wanted.parts == current.parts:
        return Applied(current.version, ())
    if current.version != expected:
        raise Conflict(f"version {current.version} is in force, not {expected}")
    written = await store.write(expected, wanted.to_document())
    return Applied(written.version, differences(current.parts, written.parts))


def _wanted(document: Any, current: Configuration) -> Configuration:
    """Returns the file's configuration; without a list of keys it keeps those in force."""
    if isinstance(document, dict) and "keys" not in document:
        document = {**document, "keys": [asdict(key) for key in current.parts.keys]}
    return _checked(current.version + 1, document)


def _checked(version: int, document: Any) -> Configuration:
    configuration = Configuration.from_document(version, document)
    if faults := find_ambiguities(configuration.parts):
        raise ConfigurationInvalid(faults)
    return configuration


def _kind_of(document: Any) -> Kind:
    names = document.keys() if isinstance(document, dict) else set()
    if {"upstream_url", "upstream_kind", "upstream"} & names:
        return "sidecar"
    if {"listen", "operations_listen"} & names:
        return "entry"
    return "operator" if {"operations", "platform"} & names else "configuration"
