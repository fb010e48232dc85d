"""Peer notices with what changed in a row that is much longer than its changes.

A table poller that held a row as of one revision and reads it as of another reports the difference.
An entry that holds the row as of the first revision, in the same era, then needs no read of its
own. Any other entry must read the row. So a late, lost, duplicated or reordered notice cannot
lead to another value than the store's.

Motivating load: a configuration of 1,400 routes, 0.5 MB, of which a version changes one, while
streams run over links of 10 Mbit/s.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgpack

from bilberryplank_core._checked_values import (
    MAX_SAFE_INTEGER,
    ValueInvalid,
    check_text,
    check_whole,
)
from bilberryplank_core._notice_format import NoticeInvalid, unpack_notice
from bilberryplank_core._stepwise import Steps, map_in_steps
from bilberryplank_core._table_notices import MAX_TABLE_CHARS

EDIT_FORMAT = 8

MAX_EDIT_BYTES = 1200
"""Fits into one Ethernet frame."""

SET, REMOVE, MERGE = range(3)
UNCHANGED = [MERGE, [], [], []]


def pack_exactly(value: Any) -> bytes | None:
    """Returns bytes that differ for 1, 1.0 and True, which are equal; None for odd JSON values."""
    try:
        return msgpack.packb(value)
    except (OverflowError, TypeError, ValueError):
        return None


@dataclass(slots=True, frozen=True)
class RowEdit:
    """The difference between two values of a row, both JSON objects.

    Attributes:
        table: Name of the table.
        era: Era of the store in which the revisions were given out.
        base: Revision of the row before.
        revision: Revision of the row after.
        upto: Revision of the table up to which the row is known not to have changed again.
        changes: By member of the object, what changed.
    """

    table: str
    era: int
    base: int
    revision: int
    upto: int
    changes: dict[str, list[Any]]

    def encode(self) -> bytes | None:
        """Returns the notice as a datagram; None if it is too long for one."""
        fields = [self.table, self.era, self.base, self.revision, self.upto, self.changes]
        data = pack_exactly([EDIT_FORMAT, *fields])
        return None if data is None or len(data) > MAX_EDIT_BYTES else data

    @classmethod
    def decode(cls, data: bytes) -> RowEdit:
        """Returns the notice in a datagram.

        Raises:
            NoticeInvalid: The datagram is malformed or has another format.
        """
        table, *numbers, changes = unpack_notice(data, EDIT_FORMAT, MAX_EDIT_BYTES, fields=6)
        try:
            check_text(table, "the table", MAX_TABLE_CHARS)
            for number in numbers:
                check_whole(number, "a revision", most=MAX_SAFE_INTEGER)
        except ValueInvalid as exc:
            raise NoticeInvalid(str(exc)) from exc
        era, base, revision, upto = numbers
        if not base < revision <= upto or not isinstance(changes, dict):
            raise NoticeInvalid("the revisions are out of order, or the changes no map")
        return cls(table, era, base, revision, upto, changes)

    def apply(self, value: Any) -> dict[str, Any]:
        """Returns the value after, given the one before.

        Raises:
            NoticeInvalid: The changes don't fit the value.
        """
        try:
            after = dict(value)
            for name, (kind, *operands) in self.changes.items():
                if kind == SET:
                    (after[name],) = operands
                elif kind == REMOVE:
                    del after[name]
                elif kind == MERGE:
                    after[name] = _merge(after[name], *operands)
                else:
                    raise ValueError(f"unknown kind of change {kind!r}")
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            raise NoticeInvalid(f"the changes don't fit the row: {exc!r}") from exc
        return after


def compare_values(before: Any, after: Any) -> Steps[dict[str, list[Any]] | None]:
    """Returns what changed between two values of a row, in steps; None if they are no objects."""
    if type(before) is not dict or type(after) is not dict:
        return None
    changes: dict[str, list[Any]] = {name: [REMOVE] for name in before if name not in after}
    for name, value in after.items():
        change = [SET, value]
        if name in before:
            change = yield from _compare_members(before[name], value)
        if change is not None:
            changes[name] = change
    return changes


def _compare_members(before: Any, after: Any) -> Steps[list[Any] | None]:
    """Returns the change of a member; None if it is the same."""
    merge = None
    if type(before) is list and type(after) is list:
        merge = yield from _compare_lists(before, after)
    if merge is not None:
        return None if merge == UNCHANGED else merge
    packed = pack_exactly(after)
    is_same = packed is not None and packed == pack_exactly(before)
    return None if is_same else [SET, after]


def _compare_lists(before: list[Any], after: list[Any]) -> Steps[list[Any] | None]:
    """Returns the change of a list of named objects; None where only the whole list tells it."""
    old = yield from map_in_steps(_named, before)
    new = yield from map_in_steps(_named, after)
    if None in old or None in new:
        return None
    known, present = dict(old), dict(new)
    if len(known) < len(old) or len(present) < len(new):
        return None
    kept = [name for name, _ in old if name in present]
    if kept != [name for name, _ in new if name in known]:
        return None
    removed = [name for name, _ in old if name not in present]
    changed = [
        (place, item, name in known)
        for place, (item, (name, packed)) in enumerate(zip(after, new, strict=True))
        if known.get(name) != packed
    ]
    replaced = [item for _, item, is_known in changed if is_known]
    inserted = [[place, item] for place, item, is_known in changed if not is_known]
    return [MERGE, removed, replaced, inserted]


def _named(item: Any) -> tuple[str, bytes] | None:
    name = item.get("name") if type(item) is dict else None
    packed = pack_exactly(item)
    return None if type(name) is not str or packed is None else (name, packed)


def _merge(items: list[Any], removed: Any, replaced: Any, inserted: Any) -> list[Any]:
    gone, left = frozenset(removed), {item["name"]: item for item in replaced}
    merged = [left.pop(item["name"], item) for item in items if item["name"] not in gone]
    for place, item in inserted:
        if type(place) is not int or not 0 <= place <= len(merged):
            raise ValueError("a place is beyond the list")
        merged.insert(place, item)
    if left:
        raise ValueError("an object to replace is missing")
    return merged
