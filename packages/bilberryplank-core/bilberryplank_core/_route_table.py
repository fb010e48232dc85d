"""Routes of a configuration: those that match a request, by precedence, and their upstreams.

Precedence of routes: the longest path prefix first, then routes that name methods, then the most
requirements on callers. A route hides those with shorter prefixes even if the key may not use it.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from urllib.parse import unquote

from bilberryplank_core._configuration import ConfigurationParts
from bilberryplank_core._errors import RefusalReason, Refused
from bilberryplank_core._selectors import Requirement, Selector
from bilberryplank_core._world import (
    Labels,
    ModelRoute,
    Route,
    ServiceRoute,
    Upstream,
    UpstreamKind,
)

MODEL_PATHS = frozenset(("/v1/chat/completions", "/v1/completions"))
_REPEATED_SLASHES = re.compile(r"/{2,}")


def is_model_path(path: str) -> bool:
    """Returns True if a POST to the path names a model in its body."""
    return path.partition("?")[0] in MODEL_PATHS


def route_labels(route: Route) -> Labels:
    """Returns the labels of a route, and its name as `route`."""
    return {**route.labels, "route": route.name}


def upstream_labels(upstream: Upstream) -> Labels:
    """Returns the labels of an upstream, and its name, zone and kind."""
    built_in = {"upstream": upstream.name, "zone": upstream.zone, "kind": upstream.kind.value}
    return {**upstream.labels, **built_in}


def route_precedence(route: Route) -> tuple[int, ...]:
    """Returns the sort key of a route among those that match a request; the largest wins."""
    caller_requirements = len(selector_requirements(route.organisations))
    match route:
        case ModelRoute():
            return (caller_requirements,)
        case ServiceRoute(path_prefix=prefix, methods=methods):
            return (len(prefix), int(bool(methods)), caller_requirements)


class RouteTable:
    """The routes of one version of the configuration."""

    __slots__ = ("_routes_by_model", "_service_routes", "_upstreams_by_route")

    def __init__(self, parts: ConfigurationParts) -> None:
        self._routes_by_model = _by_model(parts.model_routes)
        self._service_routes = sorted(parts.service_routes, key=route_precedence, reverse=True)
        self._upstreams_by_route = {
            route.name: _eligible_upstream_names(route, parts.upstreams)
            for route in (*parts.model_routes, *parts.service_routes)
        }

    def upstreams(self, route: Route) -> tuple[str, ...]:
        """Returns the names of a route's eligible upstreams, in the order of the configuration."""
        return self._upstreams_by_route[route.name]

    def find(self, method: str, path: str, model: str | None) -> Sequence[Route]:
        """Returns the routes that match a request, by descending precedence.

        Raises:
            Refused: No route matches.
        """
        if model is None:
            return self._find_service_routes(method.upper(), normalized_path(path))
        routes = self._routes_by_model.get(model)
        if routes is None:
            raise Refused(RefusalReason.MODEL_UNKNOWN, "no route serves that model")
        return routes

    def _find_service_routes(self, method: str, path: str) -> list[ServiceRoute]:
        matching: list[ServiceRoute] = []
        for route in self._service_routes:
            if matching and len(route.path_prefix) < len(matching[0].path_prefix):
                break
            if path.startswith(route.path_prefix) and _accepts_method(route, method):
                matching.append(route)
        if not matching:
            raise Refused(RefusalReason.ROUTE_UNKNOWN, "no route takes that path")
        return matching


def selector_requirements(text: str) -> tuple[Requirement, ...]:
    """Parses a selector and returns its requirements."""
    return Selector.parse(text).requirements


def normalized_path(path_and_query: str) -> str:
    """Returns the path that is compared with route prefixes: decoded, with single slashes.

    Upstreams decode paths too; an encoded path must not match a more permissive route.

    Raises:
        Refused: The path has dot segments.
    """
    path = path_and_query.partition("?")[0]
    if "%" in path:
        path = unquote(path)
    if "/." in path and any(part in (".", "..") for part in path.split("/")):
        raise Refused(RefusalReason.MALFORMED_REQUEST, "the path has dot segments")
    return _REPEATED_SLASHES.sub("/", path) if "//" in path else path


def _by_model(routes: Sequence[ModelRoute]) -> dict[str, list[ModelRoute]]:
    by_model: dict[str, list[ModelRoute]] = {}
    for route in sorted(routes, key=route_precedence, reverse=True):
        by_model.setdefault(route.model, []).append(route)
    return by_model


def _eligible_upstream_names(route: Route, upstreams: Sequence[Upstream]) -> tuple[str, ...]:
    selector = Selector.parse(route.upstreams)
    return tuple(
        item.name
        for item in upstreams
        if _serves(route, item) and selector.matches(upstream_labels(item))
    )


def _serves(route: Route, upstream: Upstream) -> bool:
    match route:
        case ModelRoute(model=model):
            return upstream.kind is UpstreamKind.ENGINE and model in upstream.models
        case ServiceRoute():
            return upstream.kind is UpstreamKind.SERVICE


def _accepts_method(route: ServiceRoute, method: str) -> bool:
    return not route.methods or any(method == item.upper() for item in route.methods)
