"""Rows of the configuration in the table service, and their readers.

A poller reads only the head row. A change row holds one delta, so a process that follows the
changes reads the delta and not the whole document. A checkpoint is the whole document, split into
several rows, for processes that join; it is written before the head row that refers to it.
"""

from __future__ import annotations

from dataclasses import dataclass

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._configuration_chunks import ChunkReader
from bilberryplank_core._configuration_delta import ConfigurationDelta
from bilberryplank_core._contracts import Row, Table
from bilberryplank_core._errors import PlatformUnavailable

TABLE = "configuration"
HEAD_KEY = "current"
CHANGES_PER_CHECKPOINT = 64
MAX_CHANGES_READ = 2 * CHANGES_PER_CHECKPOINT


@dataclass(slots=True, frozen=True)
class ConfigurationHead:
    """Value of the head row.

    Attributes:
        version: Version in force.
        change_id: Unique id of the write that made this version.
        checkpoint: Version of the newest checkpoint.
        checkpoint_id: Id of that checkpoint; empty if there is none.
        parts: Number of rows of that checkpoint.
    """

    version: int = 0
    change_id: str = ""
    checkpoint: int = 0
    checkpoint_id: str = ""
    parts: int = 0

    @classmethod
    def from_row(cls, row: Row | None) -> ConfigurationHead:
        """Returns the head in a row; version 0 without a row."""
        if row is None:
            return cls()
        # Skips fields that a newer release added.
        return cls(**{name: row.value[name] for name in cls.__slots__ if name in row.value})

    def part_keys(self) -> list[str]:
        """Returns the keys of the checkpoint's rows."""
        return [part_key(self.checkpoint_id, index) for index in range(self.parts)]


def change_key(version: int) -> str:
    """Returns the key of the row with the change that made a version."""
    return f"change/{version:012d}"


def part_key(checkpoint_id: str, index: int) -> str:
    """Returns the key of one row of a checkpoint."""
    return f"checkpoint/{checkpoint_id}/{index:04d}"


async def read_head_row(table: Table) -> Row | None:
    """Returns the head row."""
    return await table.read(TABLE, HEAD_KEY)


async def read_changes(
    table: Table, version: int, head: ConfigurationHead
) -> list[ConfigurationDelta] | None:
    """Returns the changes from `version` to the head's, oldest first.

    Returns:
        None if a change is missing or there are more than `MAX_CHANGES_READ`.

    Raises:
        PlatformUnavailable: The read was stale; the head is older than `version`.
    """
    if head.version < version:
        raise PlatformUnavailable(f"reads are behind; they show version {head.version}")
    if head.version - version > MAX_CHANGES_READ:
        return None
    changes = []
    for number in range(version + 1, head.version + 1):
        row = await table.read(TABLE, change_key(number))
        if row is None or row.value["change"] is None:
            return None
        changes.append(ConfigurationDelta.from_document(row.value["change"], strict=False))
    return changes


async def read_whole(table: Table, head: ConfigurationHead) -> Configuration:
    """Returns the configuration of the head's version.

    Raises:
        PlatformUnavailable: The reads were stale; rows of the head's version are missing.
    """
    configuration = await _read_checkpoint(table, head)
    changes = await read_changes(table, configuration.version, head)
    if changes is None:
        raise PlatformUnavailable("reads are behind; a change is missing")
    for delta in changes:
        configuration = delta.apply(configuration)
    return configuration


async def _read_checkpoint(table: Table, head: ConfigurationHead) -> Configuration:
    if not head.parts:
        return Configuration()
    reader = ChunkReader()
    for key in head.part_keys():
        row = await table.read(TABLE, key)
        if row is None:
            raise PlatformUnavailable("reads are behind; a part of a checkpoint is missing")
        reader.add(row.value)
    return reader.build(head.checkpoint)
