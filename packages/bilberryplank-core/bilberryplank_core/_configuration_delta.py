"""Deltas between configuration versions, so that processes transfer only what changed."""

from __future__ import annotations

import json
from dataclasses import MISSING, Field, dataclass, field, fields, replace
from enum import Enum
from typing import Any

from bilberryplank_core._configuration import Configuration, ConfigurationParts
from bilberryplank_core._documents import DocumentReader
from bilberryplank_core._errors import ConfigurationInvalid, Fault
from bilberryplank_core._world import Key

PART_NAMES = tuple(part.name for part in fields(ConfigurationParts))


@dataclass(slots=True, frozen=True)
class _ReceivedChange:
    """A change of a newer release as received, to be passed on whole to peers that know more."""

    document: dict[str, Any]
    ignored: int


@dataclass(slots=True, frozen=True)
class ConfigurationDelta:
    """The difference between a configuration version and a later one.

    Attributes:
        from_version: Version to which it applies.
        to_version: Version that results.
        upserts: Items that were added or changed.
        removals: Identities of removed items, by list.
        replaced: Names of the lists that `upserts` holds whole, because their order changed.
        received: The change as received if a part of it is unknown here; else None.
    """

    from_version: int
    to_version: int
    upserts: ConfigurationParts = field(default_factory=ConfigurationParts)
    removals: dict[str, tuple[str, ...]] = field(default_factory=dict)
    replaced: tuple[str, ...] = ()
    received: _ReceivedChange | None = field(default=None, init=False, compare=False, repr=False)

    @classmethod
    def between(cls, old: Configuration, new: Configuration) -> ConfigurationDelta:
        """Returns the delta between two configurations."""
        upserts: dict[str, tuple[Any, ...]] = {}
        removals: dict[str, tuple[str, ...]] = {}
        replaced = []
        for name in PART_NAMES:
            before, after = getattr(old.parts, name), getattr(new.parts, name)
            upserts[name], removals[name] = _differences(before, after)
            if _merge(before, upserts[name], removals[name]) != after:
                upserts[name], removals[name] = after, ()
                replaced.append(name)
        removals = {name: removed for name, removed in removals.items() if removed}
        parts = ConfigurationParts(**upserts)
        return cls(old.version, new.version, parts, removals, tuple(replaced))

    @classmethod
    def from_document(cls, document: Any, strict: bool = True) -> ConfigurationDelta:
        """Returns the delta in a parsed JSON document.

        Args:
            document: The document.
            strict: False if the change was accepted before, perhaps by a newer release.

        Raises:
            ConfigurationInvalid: With every fault of the document.
        """
        reader = DocumentReader(strict=strict)
        delta = reader.read(cls, document, "change")
        if delta is None:
            raise ConfigurationInvalid(reader.faults)
        if not reader.ignored:
            return delta
        # An item whose new value is unknown here must not keep its old value.
        removals = _with_skipped_items(delta.removals, reader.skipped_items)
        delta = replace(delta, removals=removals)
        object.__setattr__(delta, "received", _ReceivedChange(document, reader.ignored))
        return delta

    @property
    def item_count(self) -> int:
        """The number of upserts and removals, plus one for the delta itself."""
        upserts = sum(len(getattr(self.upserts, name)) for name in PART_NAMES)
        return 1 + upserts + sum(len(removed) for removed in self.removals.values())

    def to_document(self) -> dict[str, Any]:
        """Returns the delta as plain JSON values."""
        if self.received is not None:
            return self.received.document
        upserts = {name: items_to_json(getattr(self.upserts, name)) for name in PART_NAMES}
        return {
            "from_version": self.from_version,
            "to_version": self.to_version,
            "upserts": {name: items for name, items in upserts.items() if items},
            "removals": {name: list(removed) for name, removed in self.removals.items()},
            "replaced": list(self.replaced),
        }

    def to_bytes(self) -> bytes:
        """Returns the delta as JSON bytes."""
        return json.dumps(self.to_document(), separators=(",", ":")).encode()

    def apply(self, old: Configuration) -> Configuration:
        """Returns the later configuration, without validation: it was validated when accepted.

        Raises:
            ConfigurationInvalid: `old` is another version.
        """
        if old.version != self.from_version:
            fault = Fault("change.from_version", f"is {self.from_version}", str(old.version))
            raise ConfigurationInvalid([fault])
        merged = {name: self._merged(name, old) for name in PART_NAMES}
        ignored = old.ignored + (self.received.ignored if self.received else 0)
        return Configuration(self.to_version, ConfigurationParts(**merged), ignored)

    def _merged(self, name: str, old: Configuration) -> tuple[Any, ...]:
        upserts = getattr(self.upserts, name)
        if name in self.replaced:
            return upserts
        return _merge(getattr(old.parts, name), upserts, self.removals.get(name, ()))


def identity_of(item: Any) -> str:
    """Returns the name or key id that identifies an item within its list."""
    return item.key_id if isinstance(item, Key) else item.name


def items_to_json(items: tuple[Any, ...]) -> list[dict[str, Any]]:
    """Returns items as plain JSON values, without members that have their default value."""
    return [
        {
            part.name: _to_json_value(getattr(item, part.name))
            for part in fields(item)
            if _is_set(part, item)
        }
        for item in items
    ]


def _is_set(part: Field[Any], item: Any) -> bool:
    value = getattr(item, part.name)
    if part.default_factory is not MISSING:
        return value != part.default_factory()
    return value != part.default


def _to_json_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value


def _with_skipped_items(
    removals: dict[str, tuple[str, ...]], skipped_items: list[tuple[str, Any]]
) -> dict[str, tuple[str, ...]]:
    merged = dict(removals)
    for place, item in skipped_items:
        name = place.rpartition(".")[2]
        merged[name] = (*merged.get(name, ()), item.get("key_id") or item.get("name", ""))
    return merged


def _differences(
    before: tuple[Any, ...], after: tuple[Any, ...]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    if before is after:
        return (), ()
    remaining_items = {identity_of(item): item for item in before}
    upserts = []
    for item in after:
        if remaining_items.pop(identity_of(item), None) != item:
            upserts.append(item)
    return tuple(upserts), tuple(remaining_items)


def _merge(
    before: tuple[Any, ...], upserts: tuple[Any, ...], removals: tuple[str, ...]
) -> tuple[Any, ...]:
    if not upserts and not removals:
        return before
    merged = {identity_of(item): item for item in before}
    for identity in removals:
        merged.pop(identity, None)
    for item in upserts:
        merged[identity_of(item)] = item
    return tuple(merged.values())
