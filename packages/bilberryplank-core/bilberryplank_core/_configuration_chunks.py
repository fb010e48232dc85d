"""Configuration in chunks, so that a joining process never holds the whole JSON text in memory.

Items that are read share equal label sets and repeated names, because thousands of keys and
organisations have only a few different ones.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from sys import intern
from typing import Any

from bilberryplank_core._configuration import Configuration, ConfigurationParts
from bilberryplank_core._configuration_delta import PART_NAMES, items_to_json
from bilberryplank_core._documents import DocumentReader
from bilberryplank_core._errors import ConfigurationInvalid
from bilberryplank_core._world import Key, Labels

CHUNK_ITEMS = 500


def iter_chunks(configuration: Configuration) -> Iterator[dict[str, Any]]:
    """Yields a configuration as partial documents of at most `CHUNK_ITEMS` items each."""
    chunk: dict[str, Any] = {}
    free_item_slots = CHUNK_ITEMS
    for name in PART_NAMES:
        items = getattr(configuration.parts, name)
        start = 0
        while start < len(items):
            batch = items[start : start + free_item_slots]
            chunk[name] = items_to_json(batch)
            start += len(batch)
            free_item_slots -= len(batch)
            if not free_item_slots:
                yield chunk
                chunk, free_item_slots = {}, CHUNK_ITEMS
    if chunk:
        yield chunk


class ChunkReader:
    """Assembles a configuration from its chunks; it was validated before it was accepted."""

    __slots__ = ("_ignored", "_items", "_labels")

    def __init__(self) -> None:
        self._ignored = 0
        self._items: dict[str, list[Any]] = {name: [] for name in PART_NAMES}
        self._labels: dict[tuple[tuple[str, str], ...], Labels] = {}

    def add(self, chunk: Any) -> None:
        """Adds the items of the next chunk.

        Raises:
            ConfigurationInvalid: With every fault of the chunk.
        """
        reader = DocumentReader(strict=False)
        parts = reader.read(ConfigurationParts, chunk, "configuration")
        if parts is None:
            raise ConfigurationInvalid(reader.faults)
        self._ignored += reader.ignored
        for name, items in self._items.items():
            items.extend(self._with_shared_values(item) for item in getattr(parts, name))

    def build(self, version: int) -> Configuration:
        """Returns the configuration assembled from all chunks."""
        parts = {name: tuple(items) for name, items in self._items.items()}
        return Configuration(version, ConfigurationParts(**parts), self._ignored)

    def _with_shared_values(self, item: Any) -> Any:
        if not hasattr(item, "labels"):
            return item
        identity = tuple(sorted(item.labels.items()))
        labels = self._labels.setdefault(identity, item.labels)
        if isinstance(item, Key):
            return replace(item, organisation=intern(item.organisation), labels=labels)
        return replace(item, name=intern(item.name), labels=labels)
