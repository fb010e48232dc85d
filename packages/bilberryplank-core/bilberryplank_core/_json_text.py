"""Parsing of JSON with comments: strict about duplicates and numbers, exact about lines."""

from __future__ import annotations

import json
import math
import re
from typing import Any

import jsonc

from bilberryplank_core._errors import Fault

MAX_LISTED_LINES = 5

_STRING = r'"(?:\\.|[^"\\\n])*"'
_COMMENT = r"/\*.*?\*/|//[^\r\n]*"
_STRING_OR_COMMENT = re.compile(rf"(?P<string>{_STRING})|{_COMMENT}", re.DOTALL)
_STRING_OR_COMMA = re.compile(rf"(?P<string>{_STRING})|,(?=\s*[\]}}])")
_VISIBLE = re.compile(r"[^\r\n]")


def parse_json(text: str, place: str) -> tuple[Any, list[Fault]]:
    """Parses JSON with comments.

    Args:
        text: The document.
        place: Name of the file or document, for faults.

    Returns:
        The value and the faults; with faults the value is None.
    """
    loader = _Loader(text, place)
    try:
        value = _load(loader, text)
    except json.JSONDecodeError as exc:
        where = f"{place}: {_position(text, exc.pos)}"
        return None, [Fault(where, f"is not JSON with comments: {exc.msg}")]
    except (ValueError, RecursionError) as exc:
        return None, [Fault(place, f"is not JSON with comments: {exc}")]
    return (None if loader.faults else value), loader.faults


class _Loader:
    """Hooks of the JSON decoder that collect faults."""

    __slots__ = ("_place", "_text", "faults")

    def __init__(self, text: str, place: str) -> None:
        self._text = text
        self._place = place
        self.faults: list[Fault] = []

    def hooks(self) -> dict[str, Any]:
        """Returns the keyword arguments for the decoder."""
        self.faults.clear()
        return {
            "object_pairs_hook": self._build_object,
            "parse_float": self._parse_number,
            "parse_constant": self._parse_number,
        }

    def _build_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        built = dict(pairs)
        if len(built) < len(pairs):
            names = [name for name, _ in pairs]
            repeated = sorted({name for name in names if names.count(name) > 1})
            self.faults.extend(_duplicate(name, self._text, self._place) for name in repeated)
        return built

    def _parse_number(self, written: str) -> float:
        number = float(written)
        if not math.isfinite(number):
            self.faults.append(Fault(self._place, f"{written} is no finite number", "a number"))
        return number


def _load(loader: _Loader, text: str) -> Any:
    # What processes send one another is plain JSON, and large: it must not pay for comments.
    try:
        return json.loads(text, **loader.hooks())
    except json.JSONDecodeError:
        plain = _blank_comments(text)
        return jsonc.loads(plain, **loader.hooks())


def _blank_comments(text: str) -> str:
    return _blank(_STRING_OR_COMMA, _blank(_STRING_OR_COMMENT, text))


def _blank(pattern: re.Pattern[str], text: str) -> str:
    """Returns the text with blanks for what matches and is no string; lines keep their numbers."""
    return pattern.sub(
        lambda found: found["string"] or _VISIBLE.sub(" ", found[0]),
        text,
    )


def _position(text: str, offset: int) -> str:
    before = text[:offset]
    column = len(before) - before.rfind("\n")
    return f"line {before.count(chr(10)) + 1}, column {column}"


def _duplicate(name: str, text: str, place: str) -> Fault:
    plain = _blank_comments(text)
    quoted = re.escape(json.dumps(name, ensure_ascii=False))
    starts = [found.start() for found in re.finditer(rf"{quoted}\s*:", plain)]
    lines = [str(plain.count("\n", 0, start) + 1) for start in starts[:MAX_LISTED_LINES]]
    where = f"{place}: line {', '.join(lines)}" if lines else place
    return Fault(where, f"{name!r} stands twice in one object", "one of them")
