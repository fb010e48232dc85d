"""Reading of JSON documents into slotted data classes, with every fault listed by its path."""

from __future__ import annotations

import types
from collections.abc import Callable
from dataclasses import MISSING, Field, fields
from enum import Enum
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from bilberryplank_core._errors import Fault

T = TypeVar("T")
Check = Callable[[Any, str], list[Fault]]
"""Returns the faults of an object, given its path."""

FieldCheck = Callable[[str, Any, str], list[Fault]]
"""Returns the faults of a field's value, given its name and path."""

MAX_SHOWN_CHARS = 60


class UnknownMember(Exception):
    """A value that no member of an enumeration has; a newer release may know it."""


class DocumentReader:
    """Builds data classes from parsed JSON and collects faults instead of stopping at the first.

    A document that a newer release wrote is read leniently: names that are not known here are
    ignored, and an item of a list is left out where an enumeration lacks its value.

    Attributes:
        faults: Every fault so far.
        ignored: Number of names that were ignored, and of items that were left out.
        left_out: Those items, each with the path of its list.
    """

    __slots__ = ("_check", "_check_field", "_strict", "faults", "ignored", "left_out")

    def __init__(
        self,
        check: Check | None = None,
        check_field: FieldCheck | None = None,
        strict: bool = True,
    ) -> None:
        """Makes a reader.

        Args:
            check: Called with each object that could be built.
            check_field: Called with each plain value whose type is right.
            strict: False to read what a newer release may have written.
        """
        self.faults: list[Fault] = []
        self.ignored = 0
        self.left_out: list[tuple[str, Any]] = []
        self._strict = strict
        self._check = check
        self._check_field = check_field

    def fault(self, place: str, message: str, expected: str = "") -> None:
        """Adds a fault."""
        self.faults.append(Fault(place, message, expected))

    def read(self, kind: type[T], value: Any, place: str) -> T | None:
        """Returns an object of data class `kind`, or None where `value` has faults."""
        if not isinstance(value, dict):
            self.fault(place, f"is {_name_of(value)}", "an object")
            return None
        before = len(self.faults)
        shape = _shape_of(kind)
        self._note_unknown(value.keys() - shape.keys(), shape, place)
        arguments = {}
        for name, (part, annotation) in shape.items():
            if name in value:
                arguments[name] = self._read_field(annotation, name, value[name], place)
            elif part.default is MISSING and part.default_factory is MISSING:
                self.fault(f"{place}.{name}", "missing", _describe(annotation))
        if len(self.faults) > before:
            return None
        built = kind(**arguments)
        if self._check is not None:
            self.faults.extend(self._check(built, place))
        return built if len(self.faults) == before else None

    def _note_unknown(self, names: set[str], shape: dict[str, Any], place: str) -> None:
        if not self._strict:
            self.ignored += len(names)
            return
        for name in names:
            self.fault(f"{place}.{name}", "unknown name", ", ".join(sorted(shape)))

    def _read_field(self, annotation: Any, name: str, value: Any, place: str) -> Any:
        before = len(self.faults)
        path = f"{place}.{name}"
        converted = self._convert(annotation, value, path)
        if self._check_field is not None and len(self.faults) == before:
            self.faults.extend(self._check_field(name, converted, path))
        return converted

    def _convert(self, annotation: Any, value: Any, place: str) -> Any:
        origin = get_origin(annotation)
        if origin in (Union, types.UnionType):
            return self._convert_optional(annotation, value, place)
        if origin is dict:
            return self._convert_mapping(annotation, value, place)
        if origin in (list, tuple):
            return self._convert_sequence(annotation, value, place)
        if isinstance(annotation, type) and issubclass(annotation, Enum):
            return self._convert_enum(annotation, value, place)
        if hasattr(annotation, "__dataclass_fields__"):
            return self.read(annotation, value, place)
        return self._convert_scalar(annotation, value, place)

    def _convert_optional(self, annotation: Any, value: Any, place: str) -> Any:
        if value is None:
            return None
        inner = next(arg for arg in get_args(annotation) if arg is not type(None))
        return self._convert(inner, value, place)

    def _convert_mapping(self, annotation: Any, value: Any, place: str) -> Any:
        if not isinstance(value, dict):
            self.fault(place, f"is {_name_of(value)}", "an object")
            return {}
        inner = get_args(annotation)[1]
        return {key: self._convert(inner, item, f"{place}.{key}") for key, item in value.items()}

    def _convert_sequence(self, annotation: Any, value: Any, place: str) -> Any:
        if not isinstance(value, list):
            self.fault(place, f"is {_name_of(value)}", "a list")
            return ()
        inner = get_args(annotation)[0]
        items = []
        for index, item in enumerate(value):
            try:
                items.append(self._convert(inner, item, f"{place}[{index}]"))
            except UnknownMember:
                self.ignored += 1
                self.left_out.append((place, item))
        return tuple(items) if get_origin(annotation) is tuple else items

    def _convert_enum(self, annotation: type[Enum], value: Any, place: str) -> Any:
        allowed = [member.value for member in annotation]
        if value not in allowed:
            if not self._strict and isinstance(value, str):
                raise UnknownMember(value)
            self.fault(place, f"is {show(value)}", "one of " + ", ".join(allowed))
            return None
        return annotation(value)

    def _convert_scalar(self, annotation: Any, value: Any, place: str) -> Any:
        if type(value) is annotation:
            return value
        if annotation is float and type(value) is int:
            return self._convert_whole_number(value, place)
        self.fault(place, f"is {_name_of(value)}", _describe(annotation))
        return None

    def _convert_whole_number(self, value: int, place: str) -> float | None:
        try:
            return float(value)
        except OverflowError:
            self.fault(place, "is too large", "a number")
            return None


def show(value: Any) -> str:
    """Returns a value as faults show it, cut where it is long."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."


@cache
def _shape_of(kind: type) -> dict[str, tuple[Field[Any], Any]]:
    hints = get_type_hints(kind)
    return {part.name: (part, hints[part.name]) for part in fields(kind) if part.init}


def _name_of(value: Any) -> str:
    if value is None:
        return "null"
    names = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
    return names.get(type(value), "a list" if isinstance(value, list) else "an object")


def _describe(annotation: Any) -> str:
    names = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
    if hasattr(annotation, "__dataclass_fields__"):
        return "an object"
    if get_origin(annotation) in (list, tuple):
        return "a list"
    return names.get(annotation, "a value")
