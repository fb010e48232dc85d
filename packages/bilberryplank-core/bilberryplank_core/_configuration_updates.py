"""Configuration updates between processes: JSON lines, a header and then changes or chunks."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from io import BytesIO
from typing import Any

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._configuration_chunks import ChunkReader, iter_chunks
from bilberryplank_core._configuration_delta import ConfigurationDelta
from bilberryplank_core._errors import ConfigurationInvalid, Fault


@dataclass(slots=True, frozen=True)
class WholeUpdate:
    """A whole configuration."""

    configuration: Configuration


@dataclass(slots=True, frozen=True)
class ChangesUpdate:
    """The changes that lead to a version, oldest first; empty if a whole update is not newer."""

    version: int
    deltas: tuple[ConfigurationDelta, ...]


Update = WholeUpdate | ChangesUpdate


def encode_update(configuration: Configuration, deltas: list[ConfigurationDelta] | None) -> bytes:
    """Returns the update that leads to a configuration.

    A process that could not read all of a configuration does not send its part as the whole. It
    sends an empty update instead, and the peer reads the table or asks another process.

    Args:
        configuration: The configuration that results from the update.
        deltas: The changes that lead to it, oldest first; None to send the whole configuration.
    """
    lines: list[Any] = [{"version": configuration.version, "whole": deltas is None}]
    if deltas is None and configuration.ignored:
        lines = [{"version": 0, "whole": False}]
    elif deltas is None:
        lines.extend(iter_chunks(configuration))
    else:
        lines.extend(delta.to_document() for delta in deltas)
    return b"\n".join(json.dumps(line, separators=(",", ":")).encode() for line in lines)


def update_version(update: bytes) -> int:
    """Returns the version to which an update leads.

    Raises:
        ConfigurationInvalid: The bytes are not a valid update.
    """
    return _parse_header(next(_parsed_lines(update)))[0]


def read_update(update: bytes, version: int) -> Update:
    """Returns the parsed update; a whole one that is no newer than `version` is skipped.

    Raises:
        ConfigurationInvalid: The bytes are not a valid update.
    """
    lines = _parsed_lines(update)
    newest, whole = _parse_header(next(lines))
    if not whole:
        return ChangesUpdate(newest, tuple(_parse_change(line) for line in lines))
    if newest <= version:
        return ChangesUpdate(newest, ())
    reader = ChunkReader()
    for line in lines:
        reader.add(line)
    return WholeUpdate(reader.build(newest))


def _parse_change(line: Any) -> ConfigurationDelta:
    return ConfigurationDelta.from_document(line, strict=False)


def _parsed_lines(update: bytes) -> Iterator[Any]:
    for line in BytesIO(update):
        yield _parse_line(line)
    if not update:
        yield None


def _parse_line(line: bytes) -> Any:
    try:
        return json.loads(line)
    except (ValueError, RecursionError) as exc:
        raise ConfigurationInvalid([Fault("update", f"is not JSON: {exc}")]) from exc


def _parse_header(value: Any) -> tuple[int, bool]:
    match value:
        case {"version": int(version), "whole": bool(whole)} if type(version) is int:
            return version, whole
        case _:
            raise ConfigurationInvalid([Fault("update", "has no header", "version and whole")])
