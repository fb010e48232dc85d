"""Label selectors, such as `zone=a, kind!=batch, tier in (gold, silver), beta, !legacy`.

The grammar is that of Kubernetes label selectors: comma-separated requirements that must all hold.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from bilberryplank_core._errors import SelectorInvalid
from bilberryplank_core._world import Labels

_IDENTIFIER = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_SET_REQUIREMENT = re.compile(rf"^({_IDENTIFIER})\s+(in|notin)\s*\(([^()]*)\)$")
_EQUALITY_REQUIREMENT = re.compile(rf"^({_IDENTIFIER})\s*(!=|==|=)\s*({_IDENTIFIER})$")
_EXISTENCE_REQUIREMENT = re.compile(rf"^(!?)\s*({_IDENTIFIER})$")
_VALUE_PATTERN = re.compile(rf"^{_IDENTIFIER}$")
_SEPARATOR = re.compile(r",(?![^()]*\))")
MAX_CACHED_SELECTORS = 4096


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
    """Requirements that must all hold; an empty selector matches everything."""

    requirements: tuple[Requirement, ...] = ()

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Returns the selector that `text` expresses.

        Raises:
            SelectorInvalid: A part of the text is not a valid requirement.
        """
        return _parse_selector(text)

    def matches(self, labels: Labels) -> bool:
        """Returns True if the labels satisfy every requirement."""
        return all(_is_satisfied(requirement, labels) for requirement in self.requirements)

    def __str__(self) -> str:
        return ", ".join(_format_requirement(requirement) for requirement in self.requirements)


def could_match_both(first: Selector, second: Selector, always_present: frozenset[str]) -> bool:
    """Returns True if some set of labels matches both selectors.

    Args:
        first: The first selector.
        second: The second selector.
        always_present: Names of labels that always exist.
    """
    requirements = (*first.requirements, *second.requirements)
    names = {requirement.label for requirement in requirements}
    return all(_is_satisfiable(name, requirements, name in always_present) for name in names)


class LabelProjection:
    """Reduces labels to the values that a set of selectors can distinguish."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, frozenset[str]]) -> None:
        self._values = tuple(values.items())

    @classmethod
    def from_selectors(cls, selectors: Iterable[Selector]) -> LabelProjection:
        """Returns the projection for the given selectors."""
        values: dict[str, frozenset[str]] = {}
        for selector in selectors:
            for requirement in selector.requirements:
                listed_values = getattr(requirement, "values", frozenset())
                values[requirement.label] = (
                    values.get(requirement.label, frozenset()) | listed_values
                )
        return cls(values)

    def project(self, labels: Labels) -> tuple[str | None, ...]:
        """Returns a tuple for the labels; labels with equal tuples match the same selectors."""
        return tuple(
            value if (value := labels.get(name)) is None or value in listed_values else ""
            for name, listed_values in self._values
        )


def _is_satisfiable(name: str, requirements: Iterable[Requirement], must_exist: bool) -> bool:
    allowed: frozenset[str] | None = None
    excluded: frozenset[str] = frozenset()
    must_be_missing = False
    for requirement in requirements:
        if requirement.label != name:
            continue
        match requirement:
            case In(_, values):
                allowed = values if allowed is None else allowed & values
            case NotIn(_, values):
                excluded |= values
            case Exists():
                must_exist = True
            case Missing():
                must_be_missing = True
    if must_be_missing:
        return not must_exist and allowed is None
    return allowed is None or bool(allowed - excluded)


def _format_requirement(requirement: Requirement) -> str:
    match requirement:
        case In(label, values):
            return f"{label} in ({', '.join(sorted(values))})"
        case NotIn(label, values):
            return f"{label} notin ({', '.join(sorted(values))})"
        case Exists(label):
            return label
        case Missing(label):
            return f"!{label}"


def _is_satisfied(requirement: Requirement, labels: Labels) -> bool:
    match requirement:
        case In(label, values):
            return labels.get(label) in values
        case NotIn(label, values):
            return labels.get(label) not in values
        case Exists(label):
            return label in labels
        case Missing(label):
            return label not in labels


@lru_cache(maxsize=MAX_CACHED_SELECTORS)
def _parse_selector(text: str) -> Selector:
    if not text.strip():
        return Selector()
    parts = _SEPARATOR.split(text)
    return Selector(tuple(_parse_requirement(part.strip()) for part in parts))


def _parse_requirement(part: str) -> Requirement:
    if matched := _SET_REQUIREMENT.match(part):
        label, operator, value_list = matched.groups()
        values = _parse_values(value_list, part)
        return In(label, values) if operator == "in" else NotIn(label, values)
    if matched := _EQUALITY_REQUIREMENT.match(part):
        label, operator, value = matched.groups()
        values = frozenset((value,))
        return NotIn(label, values) if operator == "!=" else In(label, values)
    if matched := _EXISTENCE_REQUIREMENT.match(part):
        negated, label = matched.groups()
        return Missing(label) if negated else Exists(label)
    raise SelectorInvalid(f"not a requirement: {part!r}")


def _parse_values(value_list: str, part: str) -> frozenset[str]:
    values = [value.strip() for value in value_list.split(",")]
    if not all(_VALUE_PATTERN.match(value) for value in values):
        raise SelectorInvalid(f"not a list of values: {part!r}")
    return frozenset(values)
