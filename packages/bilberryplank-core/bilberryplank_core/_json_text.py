"""Parses JSON with comments; rejects duplicate names and non-finite numbers."""

from __future__ import annotations

import json
import math
import re
from typing import Any

import jsonc

from bilberryplank_core._errors import Fault

MAX_REPORTED_LINES = 5

_STRING = r'"(?:\\.|[^"\\\n])*"'
_COMMENT = r"/\*.*?\*/|//[^\r\n]*"
_STRING_OR_COMMENT = re.compile(rf"(?P<string>{_STRING})|{_COMMENT}", re.DOTALL)
_STRING_OR_COMMA = re.compile(rf"(?P<string>{_STRING})|,(?=\s*[\]}}])")
_NOT_LINE_BREAK = re.compile(r"[^\r\n]")


def parse_json(text: str, place: str) -> tuple[Any, list[Fault]]:
    """Parses JSON with comments.

    Args:
        text: The document.
        place: Name of the file or document as faults give it.

    Returns:
        The value and the faults; the value is None if there are faults.
    """
    collector = _FaultCollector(text, place)
    try:
        value = _parse(collector, text)
    except json.JSONDecodeError as exc:
        location = f"{place}: {_line_and_column(text, exc.pos)}"
        return None, [Fault(location, f"is not JSON with comments: {exc.msg}")]
    except (ValueError, RecursionError) as exc:
        return None, [Fault(place, f"is not JSON with comments: {exc}")]
    return (None if collector.faults else value), collector.faults


class _FaultCollector:
    """Hooks for the JSON decoder that collect faults."""

    __slots__ = ("_place", "_text", "faults")

    def __init__(self, text: str, place: str) -> None:
        self._text = text
        self._place = place
        self.faults: list[Fault] = []

    def hooks(self) -> dict[str, Any]:
        """Returns the hooks as keyword arguments of the decoder; discards earlier faults."""
        self.faults.clear()
        return {
            "object_pairs_hook": self._build_object,
            "parse_float": self._parse_finite_number,
            "parse_constant": self._parse_finite_number,
        }

    def _build_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        members = dict(pairs)
        if len(members) < len(pairs):
            names = [name for name, _ in pairs]
            duplicates = sorted({name for name in names if names.count(name) > 1})
            self.faults.extend(
                _duplicate_fault(name, self._text, self._place) for name in duplicates
            )
        return members

    def _parse_finite_number(self, literal: str) -> float:
        number = float(literal)
        if not math.isfinite(number):
            self.faults.append(Fault(self._place, f"{literal} is no finite number", "a number"))
        return number


def _parse(collector: _FaultCollector, text: str) -> Any:
    # Documents between processes are large and plain JSON: the slow pass that strips comments
    # runs only when plain parsing fails.
    try:
        return json.loads(text, **collector.hooks())
    except json.JSONDecodeError:
        plain = _blank_comments(text)
        return jsonc.loads(plain, **collector.hooks())


def _blank_comments(text: str) -> str:
    return _blank(_STRING_OR_COMMA, _blank(_STRING_OR_COMMENT, text))


def _blank(pattern: re.Pattern[str], text: str) -> str:
    """Replaces matches outside strings by blanks; line breaks and so line numbers stay."""
    return pattern.sub(
        lambda match: match["string"] or _NOT_LINE_BREAK.sub(" ", match[0]),
        text,
    )


def _line_and_column(text: str, offset: int) -> str:
    before = text[:offset]
    column = len(before) - before.rfind("\n")
    return f"line {before.count(chr(10)) + 1}, column {column}"


def _duplicate_fault(name: str, text: str, place: str) -> Fault:
    plain = _blank_comments(text)
    quoted = re.escape(json.dumps(name, ensure_ascii=False))
    starts = [match.start() for match in re.finditer(rf"{quoted}\s*:", plain)]
    lines = [str(plain.count("\n", 0, start) + 1) for start in starts[:MAX_REPORTED_LINES]]
    location = f"{place}: line {', '.join(lines)}" if lines else place
    return Fault(location, f"{name!r} stands twice in one object", "one of them")
