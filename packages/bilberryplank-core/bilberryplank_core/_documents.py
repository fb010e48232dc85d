"""Converts parsed JSON into slotted data classes and reports every fault with its path."""

from __future__ import annotations

import types
from collections.abc import Callable
from dataclasses import MISSING, Field, fields
from enum import Enum
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from bilberryplank_core._errors import Fault

T = TypeVar("T")
ObjectCheck = Callable[[Any, str], list[Fault]]
"""Returns the faults of an object, given its path."""

FieldCheck = Callable[[str, Any, str], list[Fault]]
"""Returns the faults of a field's value, given the field's name and path."""

MAX_SHOWN_CHARS = 60


class UnknownEnumValue(Exception):
    """Raised for a value that its enumeration lacks; a newer release may define it."""


class DocumentReader:
    """Builds data classes from parsed JSON; collects all faults instead of stopping at the first.

    With `strict=False`, documents of a newer release can be read: unknown names are ignored, and
    list items with an unknown enumeration value are skipped.

    Attributes:
        faults: Every fault so far.
        ignored: Number of ignored names and skipped items.
        skipped_items: The skipped items, each with the path of its list.
    """

    __slots__ = ("_check", "_check_field", "_strict", "faults", "ignored", "skipped_items")

    def __init__(
        self,
        check: ObjectCheck | None = None,
        check_field: FieldCheck | None = None,
        strict: bool = True,
    ) -> None:
        """Creates a reader.

        Args:
            check: Called with each object that was built without faults.
            check_field: Called with each field value of the right type.
            strict: False to accept documents that a newer release may have written.
        """
        self.faults: list[Fault] = []
        self.ignored = 0
        self.skipped_items: list[tuple[str, Any]] = []
        self._strict = strict
        self._check = check
        self._check_field = check_field

    def add_fault(self, place: str, message: str, expected: str = "") -> None:
        """Records a fault."""
        self.faults.append(Fault(place, message, expected))

    def read(self, kind: type[T], value: Any, place: str) -> T | None:
        """Returns `value` as an object of data class `kind`, or None if it has faults."""
        if not isinstance(value, dict):
            self.add_fault(place, f"is {_json_type_name(value)}", "an object")
            return None
        fault_count = len(self.faults)
        known_fields = _init_fields(kind)
        self._handle_unknown_names(value.keys() - known_fields.keys(), known_fields, place)
        arguments = {}
        for name, (definition, annotation) in known_fields.items():
            if name in value:
                arguments[name] = self._read_field(annotation, name, value[name], place)
            elif definition.default is MISSING and definition.default_factory is MISSING:
                self.add_fault(f"{place}.{name}", "missing", _expected_type_name(annotation))
        if len(self.faults) > fault_count:
            return None
        built = kind(**arguments)
        if self._check is not None:
            self.faults.extend(self._check(built, place))
        return built if len(self.faults) == fault_count else None

    def _handle_unknown_names(
        self, names: set[str], known_fields: dict[str, Any], place: str
    ) -> None:
        if not self._strict:
            self.ignored += len(names)
            return
        for name in names:
            self.add_fault(f"{place}.{name}", "unknown name", ", ".join(sorted(known_fields)))

    def _read_field(self, annotation: Any, name: str, value: Any, place: str) -> Any:
        fault_count = len(self.faults)
        path = f"{place}.{name}"
        converted = self._convert(annotation, value, path)
        if self._check_field is not None and len(self.faults) == fault_count:
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
        value_type = next(arg for arg in get_args(annotation) if arg is not type(None))
        return self._convert(value_type, value, place)

    def _convert_mapping(self, annotation: Any, value: Any, place: str) -> Any:
        if not isinstance(value, dict):
            self.add_fault(place, f"is {_json_type_name(value)}", "an object")
            return {}
        item_type = get_args(annotation)[1]
        return {
            key: self._convert(item_type, item, f"{place}.{key}") for key, item in value.items()
        }

    def _convert_sequence(self, annotation: Any, value: Any, place: str) -> Any:
        if not isinstance(value, list):
            self.add_fault(place, f"is {_json_type_name(value)}", "a list")
            return ()
        item_type = get_args(annotation)[0]
        items = []
        for index, item in enumerate(value):
            try:
                items.append(self._convert(item_type, item, f"{place}[{index}]"))
            except UnknownEnumValue:
                self.ignored += 1
                self.skipped_items.append((place, item))
        return tuple(items) if get_origin(annotation) is tuple else items

    def _convert_enum(self, annotation: type[Enum], value: Any, place: str) -> Any:
        allowed = [member.value for member in annotation]
        if value not in allowed:
            if not self._strict and isinstance(value, str):
                raise UnknownEnumValue(value)
            self.add_fault(place, f"is {short_repr(value)}", "one of " + ", ".join(allowed))
            return None
        return annotation(value)

    def _convert_scalar(self, annotation: Any, value: Any, place: str) -> Any:
        if type(value) is annotation:
            return value
        if annotation is float and type(value) is int:
            return self._convert_integer_to_float(value, place)
        self.add_fault(place, f"is {_json_type_name(value)}", _expected_type_name(annotation))
        return None

    def _convert_integer_to_float(self, value: int, place: str) -> float | None:
        try:
            return float(value)
        except OverflowError:
            self.add_fault(place, "is too large", "a number")
            return None


def short_repr(value: Any) -> str:
    """Returns the repr of a value for use in faults, truncated if it is long."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."


@cache
def _init_fields(kind: type) -> dict[str, tuple[Field[Any], Any]]:
    hints = get_type_hints(kind)
    return {item.name: (item, hints[item.name]) for item in fields(kind) if item.init}


def _json_type_name(value: Any) -> str:
    if value is None:
        return "null"
    names = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
    return names.get(type(value), "a list" if isinstance(value, list) else "an object")


def _expected_type_name(annotation: Any) -> str:
    names = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
    if hasattr(annotation, "__dataclass_fields__"):
        return "an object"
    if get_origin(annotation) in (list, tuple):
        return "a list"
    return names.get(annotation, "a value")
