"""Reads and writes of the configuration in the table service, with optimistic concurrency."""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from typing import Any

from bilberryplank_core._ambiguities import find_ambiguities
from bilberryplank_core._configuration import Configuration, ConfigurationParts
from bilberryplank_core._configuration_chunks import iter_chunks
from bilberryplank_core._configuration_delta import ConfigurationDelta
from bilberryplank_core._configuration_edits import with_draining, with_key, with_withdrawn
from bilberryplank_core._configuration_rows import (
    CHANGES_PER_CHECKPOINT,
    HEAD_KEY,
    TABLE,
    ConfigurationHead,
    change_key,
    part_key,
    read_changes,
    read_head_row,
    read_whole,
)
from bilberryplank_core._contracts import Condition, Delete, Put, Table
from bilberryplank_core._errors import (
    ConfigurationInvalid,
    Conflict,
    Fault,
    PlatformUnavailable,
)
from bilberryplank_core._world import Key

KEPT_CHANGE_ROWS = 1024
MAX_CHANGE_CHARS = 256 * 1024  # a larger change is stored only in a checkpoint
MAX_EDIT_ATTEMPTS = 8
MAX_SETTLE_ATTEMPTS = 4

Edit = Callable[[ConfigurationParts], ConfigurationParts]


@dataclass(slots=True, frozen=True)
class _StoredConfiguration:
    revision: int
    head: ConfigurationHead
    configuration: Configuration


class ConfigurationStore:
    """Reads and changes the configuration in the table service.

    Every method may raise `PlatformUnavailable`. From a method that writes, it means that the
    outcome of the write is unknown.

    Attributes:
        last_change: The change made by the last write; None before. The writer can push it to the
            other processes at once, in case the table goes down before any of them reads it.
    """

    __slots__ = ("_make_id", "_table", "last_change")

    def __init__(self, table: Table, make_id: Callable[[], str] = lambda: uuid.uuid4().hex) -> None:
        self._table = table
        self._make_id = make_id
        self.last_change: ConfigurationDelta | None = None

    async def read_head(self) -> ConfigurationHead:
        """Returns the head row; version 0 if nothing was ever written."""
        return ConfigurationHead.from_row(await read_head_row(self._table))

    async def read(self) -> Configuration:
        """Returns the whole configuration in force."""
        return (await self._read_current()).configuration

    async def read_since(
        self, version: int, head: ConfigurationHead | None = None
    ) -> list[ConfigurationDelta] | None:
        """Returns the changes after `version`, oldest first.

        Args:
            version: Version that the caller has.
            head: The head row, if the caller has just read it.

        Returns:
            None if a change is missing or there are too many; the caller must then `read` the whole
            configuration.
        """
        return await read_changes(self._table, version, head or await self.read_head())

    async def write(self, expected_version: int, document: Any) -> Configuration:
        """Writes a whole document as the version after `expected_version`.

        Raises:
            ConfigurationInvalid: The document has faults; nothing was written.
            Conflict: Another version is in force; nothing was written.
        """
        configuration = Configuration.from_document(expected_version + 1, document)
        _check_ambiguities(configuration.parts, ConfigurationParts())
        current = await self._read_writable()
        version_in_force = current.head.version
        if version_in_force > expected_version:
            raise Conflict(f"version {version_in_force} is in force, not {expected_version}")
        if version_in_force < expected_version:
            raise PlatformUnavailable(f"reads are behind; they show version {version_in_force}")
        return await self._write(current, configuration)

    async def edit(self, edit: Edit) -> Configuration:
        """Applies an edit and retries it on the newer version after a conflict.

        The edit must therefore be applicable to any newer version.

        Raises:
            ConfigurationInvalid: The edited document has faults; nothing was written.
            Conflict: Other writers won all `MAX_EDIT_ATTEMPTS` attempts; nothing was written.
        """
        for attempt in range(MAX_EDIT_ATTEMPTS):
            current = await self._read_writable()
            before = current.configuration
            parts = edit(before.parts)
            if parts == before.parts:
                return before
            _check_ambiguities(parts, before.parts)
            try:
                return await self._write(current, _checked_configuration(before.version + 1, parts))
            except Conflict:
                if attempt == MAX_EDIT_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    async def create_key(self, key: Key) -> Configuration:
        """Adds a key; a repeated call with the same key changes nothing.

        Raises:
            ConfigurationInvalid: The id is already in use, or the organisation does not exist.
        """
        return await self.edit(lambda parts: with_key(parts, key))

    async def withdraw_key(self, key_id: str) -> Configuration:
        """Marks a key as withdrawn.

        Raises:
            ConfigurationInvalid: There is no such key.
        """
        return await self.edit(lambda parts: with_withdrawn(parts, key_id))

    async def drain_upstream(self, name: str, draining: bool = True) -> Configuration:
        """Sets or clears the drain flag of an upstream.

        Raises:
            ConfigurationInvalid: There is no such upstream.
        """
        return await self.edit(lambda parts: with_draining(parts, name, draining))

    async def _read_current(self) -> _StoredConfiguration:
        row = await read_head_row(self._table)
        head = ConfigurationHead.from_row(row)
        configuration = await read_whole(self._table, head)
        return _StoredConfiguration(row.revision if row else 0, head, configuration)

    async def _read_writable(self) -> _StoredConfiguration:
        current = await self._read_current()
        if current.configuration.ignored:
            message = "was written by a newer release, and this one knows only a part of it"
            raise ConfigurationInvalid([Fault("configuration", message, "that release")])
        return current

    async def _write(
        self, current: _StoredConfiguration, configuration: Configuration
    ) -> Configuration:
        head = current.head
        delta = ConfigurationDelta.between(current.configuration, configuration)
        change = delta.to_document()
        fits = len(json.dumps(change)) <= MAX_CHANGE_CHARS
        new = replace(head, version=configuration.version, change_id=self._make_id())
        if not fits or new.version - head.checkpoint >= CHANGES_PER_CHECKPOINT or not head.version:
            new = await self._write_checkpoint(new, configuration)
        checkpointed = new.checkpoint != head.checkpoint
        value = {"change_id": new.change_id, "change": change if fits else None}
        try:
            await self._commit_head(current.revision, new, value)
        except Conflict:
            await self._delete(new.part_keys() if checkpointed else [])
            raise
        self.last_change = delta
        if checkpointed:
            await self._delete(head.part_keys() + _old_change_keys(new.version))
        return configuration

    async def _commit_head(self, revision: int, new: ConfigurationHead, value: Any) -> None:
        conditions = [Condition(TABLE, HEAD_KEY, revision)]
        writes = [
            Put(TABLE, HEAD_KEY, asdict(new)),
            Put(TABLE, change_key(new.version), value),
        ]
        for attempt in range(MAX_SETTLE_ATTEMPTS):
            try:
                await self._table.commit(conditions, writes)
                return
            except PlatformUnavailable:
                if attempt == MAX_SETTLE_ATTEMPTS - 1:
                    raise
            except Conflict:
                if await self._was_written(new):
                    return
                raise

    async def _was_written(self, new: ConfigurationHead) -> bool:
        for _ in range(MAX_SETTLE_ATTEMPTS):
            row = await self._table.read(TABLE, change_key(new.version))
            if row is not None:
                return row.value["change_id"] == new.change_id
        raise PlatformUnavailable("reads are behind; the outcome of the change is unknown")

    async def _write_checkpoint(
        self, new: ConfigurationHead, configuration: Configuration
    ) -> ConfigurationHead:
        count = 0
        for chunk in iter_chunks(configuration):
            put = Put(TABLE, part_key(new.change_id, count), chunk)
            await self._table.commit([], [put])
            count += 1
        return replace(new, checkpoint=new.version, checkpoint_id=new.change_id, parts=count)

    async def _delete(self, keys: list[str]) -> None:
        if not keys:
            return
        try:
            await self._table.commit([], [Delete(TABLE, key) for key in keys])
        except PlatformUnavailable:
            return


def _check_ambiguities(parts: ConfigurationParts, before: ConfigurationParts) -> None:
    """Raises for ambiguities that a write adds; existing ones must not block an edit."""
    known = {_identity(fault) for fault in find_ambiguities(before)}
    faults = [fault for fault in find_ambiguities(parts) if _identity(fault) not in known]
    if faults:
        raise ConfigurationInvalid(faults)


def _identity(fault: Fault) -> tuple[str, str]:
    return fault.place, fault.message


def _old_change_keys(version: int) -> list[str]:
    last = version - KEPT_CHANGE_ROWS
    first = max(1, last - 2 * CHANGES_PER_CHECKPOINT)
    return [change_key(old) for old in range(first, last + 1)]


def _checked_configuration(version: int, parts: ConfigurationParts) -> Configuration:
    document = json.loads(Configuration(version, parts).to_bytes())
    return Configuration.from_document(version, document)
