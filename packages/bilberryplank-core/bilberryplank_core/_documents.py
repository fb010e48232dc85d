"""Reading of JSON documents into slotted data classes, with every fault listed by its path."""

from __future__ import annotations

import types
from dataclasses import MISSING, fields
from enum import Enum
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from bilberryplank_core._errors import Fault

T = TypeVar("T")


class DocumentReader:
    """Builds data classes from parsed JSON and collects faults instead of stopping at the first."""

    __slots__ = ("faults",)

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def fault(self, place: str, message: str, expected: str = "") -> None:
        """Adds a fault."""
        self.faults.append(Fault(place, message, expected))

    def read(self, kind: type[T], value: Any, place: str) -> T | None:
        """Returns an object of data class `kind`, or None where `value` has faults."""
        if not isinstance(value, dict):
            self.fault(place, f"is {_name_of(value)}", "an object")
            return None
        before = len(self.faults)
        known = {part.name: part for part in fields(kind)}
        hints = get_type_hints(kind)
        for name in value:
            if name not in known:
                self.fault(f"{place}.{name}", "unknown setting", ", ".join(sorted(known)))
        arguments = {}
        for name, part in known.items():
            if name in value:
                arguments[name] = self._convert(hints[name], value[name], f"{place}.{name}")
            elif part.default is MISSING and part.default_factory is MISSING:
                self.fault(f"{place}.{name}", "missing", _describe(hints[name]))
        return kind(**arguments) if len(self.faults) == before else None

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
        items = [
            self._convert(inner, item, f"{place}[{index}]") for index, item in enumerate(value)
        ]
        return tuple(items) if get_origin(annotation) is tuple else items

    def _convert_enum(self, annotation: type[Enum], value: Any, place: str) -> Any:
        allowed = [member.value for member in annotation]
        if value not in allowed:
            self.fault(place, f"is {value!r}", "one of " + ", ".join(allowed))
            return None
        return annotation(value)

    def _convert_scalar(self, annotation: Any, value: Any, place: str) -> Any:
        if annotation is float and type(value) is int:
            return float(value)
        if type(value) is not annotation:
            self.fault(place, f"is {_name_of(value)}", _describe(annotation))
            return None
        if annotation is float and value != value:
            self.fault(place, "is not a number", "a number")
        return value


def _name_of(value: Any) -> str:
    if value is None:
        return "null"
    names = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
    return names.get(type(value), "a list" if isinstance(value, list) else "an object")


def _describe(annotation: Any) -> str:
    names = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}
    return names.get(annotation, "a value")
