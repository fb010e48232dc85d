"""Differences between two configurations, as operators read them."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from bilberryplank_core.configuration import ConfigurationParts
from bilberryplank_core.world import Key


class Action(Enum):
    """What happens to an item."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclass(slots=True, frozen=True)
class FieldChange:
    """A member of an item with another value."""

    name: str
    before: Any
    after: Any


@dataclass(slots=True, frozen=True)
class Change:
    """An item that is added, changed or removed.

    Attributes:
        action: What happens to it.
        part: List of the configuration that holds it.
        name: Its name, or the id of a key.
        fields: Changed members; empty for an item added or removed.
    """

    action: Action
    part: str
    name: str
    fields: tuple[FieldChange, ...] = ()


def differences(before: ConfigurationParts, after: ConfigurationParts) -> tuple[Change, ...]:
    """Returns the changes from one configuration to another, in the order of the document."""
    return tuple(
        change
        for part in fields(ConfigurationParts)
        for change in _part_differences(
            part.name, getattr(before, part.name), getattr(after, part.name)
        )
    )


def _part_differences(part: str, before: tuple[Any, ...], after: tuple[Any, ...]) -> list[Change]:
    old = {_identity(item): item for item in before}
    new = {_identity(item): item for item in after}
    changes = [Change(Action.REMOVED, part, name) for name in old if name not in new]
    for name, item in new.items():
        if name not in old:
            changes.append(Change(Action.ADDED, part, name))
        elif old[name] != item:
            changes.append(Change(Action.CHANGED, part, name, _field_changes(old[name], item)))
    return changes


def _field_changes(before: Any, after: Any) -> tuple[FieldChange, ...]:
    pairs = [
        (part.name, getattr(before, part.name), getattr(after, part.name))
        for part in fields(before)
    ]
    return tuple(FieldChange(name, old, new) for name, old, new in pairs if old != new)


def _identity(item: Any) -> str:
    return item.key_id if isinstance(item, Key) else item.name
