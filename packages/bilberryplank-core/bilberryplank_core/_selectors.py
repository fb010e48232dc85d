"""Selectors over labels: `zone=a, kind!=batch, tier in (gold, silver), beta, !legacy`.

The grammar is that of Kubernetes label selectors: comma-separated requirements that must all hold.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from bilberryplank_core._errors import SelectorInvalid
from bilberryplank_core._world import Labels

_WORD = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_SET = re.compile(rf"^({_WORD})\s+(in|notin)\s*\(([^()]*)\)$")
_COMPARE = re.compile(rf"^({_WORD})\s*(!=|==|=)\s*({_WORD})$")
_PRESENCE = re.compile(rf"^(!?)\s*({_WORD})$")
_VALUE = re.compile(rf"^{_WORD}$")
_SEPARATOR = re.compile(r",(?![^()]*\))")
CACHED_SELECTORS = 4096


@dataclass(slots=True, frozen=True)
class In:
    """The label exists and has one of the values."""

    label: str
    values: frozenset[str]


@dataclass(slots=True, frozen=True)
class NotIn:
    """The label is missing or has none of the values."""

    label: str
    values: frozenset[str]


@dataclass(slots=True, frozen=True)
class Exists:
    """The label exists."""

    label: str


@dataclass(slots=True, frozen=True)
class Missing:
    """The label does not exist."""

    label: str


Requirement = In | NotIn | Exists | Missing


@dataclass(slots=True, frozen=True)
class Selector:
    """Requirements that must all hold; without any it matches everything."""

    requirements: tuple[Requirement, ...] = ()

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Returns the selector that `text` describes.

        Raises:
            SelectorInvalid: A part of the text is no requirement.
        """
        return _parse(text)

    def matches(self, labels: Labels) -> bool:
        """Returns True where every requirement holds for the labels."""
        return all(_holds(requirement, labels) for requirement in self.requirements)

    def __str__(self) -> str:
        return ", ".join(_print(requirement) for requirement in self.requirements)


def could_match_both(first: Selector, second: Selector, present: frozenset[str]) -> bool:
    """Returns True where some labels match both selectors.

    Args:
        first: One selector.
        second: The other one.
        present: Labels that always exist.
    """
    requirements = (*first.requirements, *second.requirements)
    names = {requirement.label for requirement in requirements}
    return all(_satisfiable(name, requirements, name in present) for name in names)


class LabelProjection:
    """Reduces labels to what a set of selectors can tell apart."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, frozenset[str]]) -> None:
        self._values = tuple(values.items())

    @classmethod
    def from_selectors(cls, selectors: Iterable[Selector]) -> LabelProjection:
        """Returns the projection for these selectors."""
        values: dict[str, frozenset[str]] = {}
        for selector in selectors:
            for requirement in selector.requirements:
                named = getattr(requirement, "values", frozenset())
                values[requirement.label] = values.get(requirement.label, frozenset()) | named
        return cls(values)

    def project(self, labels: Labels) -> tuple[str | None, ...]:
        """Returns equal tuples for labels that every selector judges alike."""
        return tuple(
            value if (value := labels.get(name)) is None or value in named else ""
            for name, named in self._values
        )


def _satisfiable(name: str, requirements: Iterable[Requirement], present: bool) -> bool:
    allowed: frozenset[str] | None = None
    barred: frozenset[str] = frozenset()
    missing = False
    for requirement in requirements:
        if requirement.label != name:
            continue
        match requirement:
            case In(_, values):
                allowed = values if allowed is None else allowed & values
            case NotIn(_, values):
                barred |= values
            case Exists():
                present = True
            case Missing():
                missing = True
    if missing:
        return not present and allowed is None
    return allowed is None or bool(allowed - barred)


def _print(requirement: Requirement) -> str:
    match requirement:
        case In(label, values):
            return f"{label} in ({', '.join(sorted(values))})"
        case NotIn(label, values):
            return f"{label} notin ({', '.join(sorted(values))})"
        case Exists(label):
            return label
        case Missing(label):
            return f"!{label}"


def _holds(requirement: Requirement, labels: Labels) -> bool:
    match requirement:
        case In(label, values):
            return labels.get(label) in values
        case NotIn(label, values):
            return labels.get(label) not in values
        case Exists(label):
            return label in labels
        case Missing(label):
            return label not in labels


@lru_cache(maxsize=CACHED_SELECTORS)
def _parse(text: str) -> Selector:
    if not text.strip():
        return Selector()
    parts = _SEPARATOR.split(text)
    return Selector(tuple(_parse_requirement(part.strip()) for part in parts))


def _parse_requirement(part: str) -> Requirement:
    if found := _SET.match(part):
        label, operator, listed = found.groups()
        values = _parse_values(listed, part)
        return In(label, values) if operator == "in" else NotIn(label, values)
    if found := _COMPARE.match(part):
        label, operator, value = found.groups()
        values = frozenset((value,))
        return NotIn(label, values) if operator == "!=" else In(label, values)
    if found := _PRESENCE.match(part):
        negated, label = found.groups()
        return Missing(label) if negated else Exists(label)
    raise SelectorInvalid(f"not a requirement: {part!r}")


def _parse_values(listed: str, part: str) -> frozenset[str]:
    values = [value.strip() for value in listed.split(",")]
    if not all(_VALUE.match(value) for value in values):
        raise SelectorInvalid(f"not a list of values: {part!r}")
    return frozenset(values)
