"""The configuration in the table service: a head row, one row a change, and checkpoints.

The head row is all that a poller reads. A change row holds only what changed, so that it costs
each process its own size and not that of the document. A checkpoint is the whole document in
parts, for processes that join; it is written before the head row that names it.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from typing import Any

from bilberryplank_core._configuration import Configuration, ConfigurationParts
from bilberryplank_core._configuration_delta import ConfigurationDelta
from bilberryplank_core._configuration_edits import with_draining, with_key, with_withdrawn
from bilberryplank_core._contracts import Condition, Delete, Put, Row, Table
from bilberryplank_core._errors import (
    Conflict,
    PlatformUnavailable,
)
from bilberryplank_core._world import Key

TABLE = "configuration"
HEAD_KEY = "current"
CHECKPOINT_PART_CHARS = 256 * 1024
CHANGES_PER_CHECKPOINT = 64
KEPT_CHANGES = 1024
MAX_CHANGE_CHARS = 256 * 1024
MAX_EDIT_ATTEMPTS = 8
MAX_SETTLE_ATTEMPTS = 4

Edit = Callable[[ConfigurationParts], ConfigurationParts]


@dataclass(slots=True, frozen=True)
class ConfigurationHead:
    """The head row: what a poller reads.

    Attributes:
        version: Version in force.
        change_id: Unique id of the write that made it.
        checkpoint: Version of the newest checkpoint.
        checkpoint_id: Name of that checkpoint; empty for none.
        parts: Number of rows of that checkpoint.
    """

    version: int = 0
    change_id: str = ""
    checkpoint: int = 0
    checkpoint_id: str = ""
    parts: int = 0


class ConfigurationStore:
    """Reads and changes the configuration in the table service.

    Every method may raise `PlatformUnavailable`; from one that writes it means that the outcome
    could not be settled.
    """

    __slots__ = ("_cached", "_make_id", "_table")

    def __init__(self, table: Table, make_id: Callable[[], str] = lambda: uuid.uuid4().hex) -> None:
        self._table = table
        self._make_id = make_id
        self._cached = Configuration()

    async def read_head(self) -> ConfigurationHead:
        """Returns the head row; version 0 where nothing was ever written."""
        return _head_of(await self._read_head_row())

    async def read(self) -> Configuration:
        """Returns the whole configuration in force."""
        return await self._load(await self.read_head())

    async def read_since(self, version: int) -> list[ConfigurationDelta] | None:
        """Returns the changes after `version`, oldest first.

        Returns:
            None where too many are missing: the caller must `read` the whole.
        """
        head = await self.read_head()
        return await self._read_changes(version, head)

    async def write(self, expected_version: int, document: Any) -> Configuration:
        """Writes a whole document as the version after `expected_version`.

        Raises:
            ConfigurationInvalid: The document has faults; nothing was written.
            Conflict: Another version is in force; nothing was written.
        """
        configuration = Configuration.from_document(expected_version + 1, document)
        return await self._write(configuration)

    async def edit(self, edit: Edit) -> Configuration:
        """Applies an edit that may be repeated on any newer version; retries on conflict.

        Raises:
            ConfigurationInvalid: The edited document has faults; nothing was written.
            Conflict: Other writers won each of `MAX_EDIT_ATTEMPTS` times; nothing was written.
        """
        for attempt in range(MAX_EDIT_ATTEMPTS):
            current = await self.read()
            parts = edit(current.parts)
            if parts == current.parts:
                return current
            edited = _checked(Configuration(current.version + 1, parts))
            try:
                return await self._write(edited)
            except Conflict:
                if attempt == MAX_EDIT_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    async def create_key(self, key: Key) -> Configuration:
        """Adds a key; a repeat with the same digest changes nothing.

        Raises:
            ConfigurationInvalid: Its id is taken, or its organisation does not exist.
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

    async def _write(self, configuration: Configuration) -> Configuration:
        row = await self._read_head_row()
        head = _head_of(row)
        expected = configuration.version - 1
        if head.version != expected:
            raise Conflict(f"version {head.version} is in force, not {expected}")
        delta = ConfigurationDelta.between(await self._load(head), configuration)
        change = delta.to_document()
        fits = len(json.dumps(change)) <= MAX_CHANGE_CHARS
        new = replace(head, version=configuration.version, change_id=self._make_id())
        if not fits or new.version - head.checkpoint >= CHANGES_PER_CHECKPOINT or not head.parts:
            new = await self._write_checkpoint(new, configuration)
        value = {"change_id": new.change_id, "change": change if fits else None}
        try:
            await self._commit_head(row.revision if row else 0, new, value)
        except Conflict:
            await self._delete(_part_keys(new) if new.checkpoint != head.checkpoint else [])
            raise
        self._cached = configuration
        if new.checkpoint != head.checkpoint:
            await self._delete(_part_keys(head) + _old_change_keys(new.version))
        return configuration

    async def _commit_head(self, revision: int, new: ConfigurationHead, value: Any) -> None:
        conditions = [Condition(TABLE, HEAD_KEY, revision)]
        writes = [
            Put(TABLE, HEAD_KEY, asdict(new)),
            Put(TABLE, _change_key(new.version), value),
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
            row = await self._table.read(TABLE, _change_key(new.version))
            if row is not None:
                return row.value["change_id"] == new.change_id
        raise PlatformUnavailable("reads are behind; the outcome of the change is unknown")

    async def _write_checkpoint(
        self, new: ConfigurationHead, configuration: Configuration
    ) -> ConfigurationHead:
        text = configuration.to_bytes().decode()
        count = -(-len(text) // CHECKPOINT_PART_CHARS)
        for index in range(count):
            start = index * CHECKPOINT_PART_CHARS
            part = text[start : start + CHECKPOINT_PART_CHARS]
            key = _part_key(new.change_id, index)
            await self._table.commit([], [Put(TABLE, key, part)])
        return replace(new, checkpoint=new.version, checkpoint_id=new.change_id, parts=count)

    async def _delete(self, keys: list[str]) -> None:
        if not keys:
            return
        try:
            await self._table.commit([], [Delete(TABLE, key) for key in keys])
        except PlatformUnavailable:
            return

    async def _read_head_row(self) -> Row | None:
        return await self._table.read(TABLE, HEAD_KEY)

    async def _load(self, head: ConfigurationHead) -> Configuration:
        if head.version < self._cached.version or head.checkpoint > self._cached.version:
            self._cached = await self._read_checkpoint(head)
        changes = await self._read_changes(self._cached.version, head)
        if changes is None:
            self._cached = await self._read_checkpoint(head)
            changes = await self._read_changes(self._cached.version, head)
        for delta in changes or []:
            self._cached = delta.apply(self._cached)
        if self._cached.version != head.version:
            raise PlatformUnavailable("reads are behind; a change row is missing")
        return self._cached

    async def _read_checkpoint(self, head: ConfigurationHead) -> Configuration:
        if not head.parts:
            return Configuration()
        texts = []
        for index in range(head.parts):
            row = await self._table.read(TABLE, _part_key(head.checkpoint_id, index))
            if row is None:
                raise PlatformUnavailable("reads are behind; a checkpoint part is missing")
            texts.append(row.value)
        return Configuration.from_bytes(head.checkpoint, "".join(texts).encode())

    async def _read_changes(
        self, version: int, head: ConfigurationHead
    ) -> list[ConfigurationDelta] | None:
        if head.version - version > 2 * CHANGES_PER_CHECKPOINT:
            return None
        changes = []
        for number in range(version + 1, head.version + 1):
            row = await self._table.read(TABLE, _change_key(number))
            if row is None or row.value["change"] is None:
                return None
            changes.append(ConfigurationDelta.from_document(row.value["change"]))
        return changes


def _head_of(row: Row | None) -> ConfigurationHead:
    return ConfigurationHead() if row is None else ConfigurationHead(**row.value)


def _change_key(version: int) -> str:
    return f"change/{version:012d}"


def _part_key(checkpoint_id: str, index: int) -> str:
    return f"checkpoint/{checkpoint_id}/{index:04d}"


def _part_keys(head: ConfigurationHead) -> list[str]:
    return [_part_key(head.checkpoint_id, index) for index in range(head.parts)]


def _old_change_keys(version: int) -> list[str]:
    last = version - KEPT_CHANGES
    first = max(1, last - 2 * CHANGES_PER_CHECKPOINT)
    return [_change_key(old) for old in range(first, last + 1)]


def _checked(configuration: Configuration) -> Configuration:
    return Configuration.from_bytes(configuration.version, configuration.to_bytes())
