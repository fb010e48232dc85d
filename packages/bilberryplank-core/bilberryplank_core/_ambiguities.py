"""Detects ambiguous configurations: overlapping classes or routes of equal precedence."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import combinations
from typing import TypeVar

from bilberryplank_core._classification import class_precedence
from bilberryplank_core._configuration import ConfigurationParts
from bilberryplank_core._errors import Fault
from bilberryplank_core._route_table import route_precedence
from bilberryplank_core._selectors import Selector, could_match_both
from bilberryplank_core._world import ModelRoute, RequestClass, ServiceRoute

_CALLER_LABELS = frozenset(("organisation",))
_ROUTE_LABELS = frozenset(("route",))
_EXPECTED_TEXT = "selectors that exclude each other, or one with more requirements"

T = TypeVar("T", RequestClass, ModelRoute, ServiceRoute)


def find_ambiguities(parts: ConfigurationParts) -> list[Fault]:
    """Returns a fault for each pair whose precedence is undefined."""
    return [
        *_find_overlapping_pairs("classes", parts.classes, _classes_overlap),
        *_find_overlapping_pairs("model_routes", parts.model_routes, _model_routes_overlap),
        *_find_overlapping_pairs("service_routes", parts.service_routes, _service_routes_overlap),
        *_find_names_used_twice(parts),
    ]


def _find_overlapping_pairs(name: str, items: Sequence[T], overlap) -> Iterator[Fault]:
    for (_, first), (index, second) in combinations(enumerate(items), 2):
        if overlap(first, second):
            message = f"is ambiguous with {first.name!r}: both could match the same labels"
            yield Fault(f"configuration.{name}[{index}]", message, _EXPECTED_TEXT)


def _find_names_used_twice(parts: ConfigurationParts) -> Iterator[Fault]:
    model_route_names = {route.name for route in parts.model_routes}
    for index, route in enumerate(parts.service_routes):
        if route.name in model_route_names:
            path = f"configuration.service_routes[{index}].name"
            yield Fault(path, f"{route.name!r} names a model route too", "names of their own")


def _classes_overlap(first: RequestClass, second: RequestClass) -> bool:
    return (
        class_precedence(first) == class_precedence(second)
        and _callers_overlap(first, second)
        and _overlap(first.routes, second.routes, _ROUTE_LABELS)
    )


def _model_routes_overlap(first: ModelRoute, second: ModelRoute) -> bool:
    return (
        first.model == second.model
        and route_precedence(first) == route_precedence(second)
        and _callers_overlap(first, second)
    )


def _service_routes_overlap(first: ServiceRoute, second: ServiceRoute) -> bool:
    return (
        first.path_prefix == second.path_prefix
        and route_precedence(first) == route_precedence(second)
        and _methods_overlap(first, second)
        and _callers_overlap(first, second)
    )


def _methods_overlap(first: ServiceRoute, second: ServiceRoute) -> bool:
    if not first.methods or not second.methods:
        return True
    second_methods = {item.upper() for item in second.methods}
    return any(item.upper() in second_methods for item in first.methods)


def _callers_overlap(first: T, second: T) -> bool:
    return _overlap(first.organisations, second.organisations, _CALLER_LABELS)


def _overlap(first: str, second: str, present_labels: frozenset[str]) -> bool:
    return could_match_both(Selector.parse(first), Selector.parse(second), present_labels)
