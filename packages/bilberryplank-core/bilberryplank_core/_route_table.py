"""Routes of a configuration: which fit a request, in order of precedence, and their upstreams.

Precedence of routes: the longest path prefix first, then routes that name methods, then the most
requirements on callers. A route that the key may not use hides shorter prefixes.
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
_SLASHES = re.compile(r"/{2,}")


def is_model_path(path: str) -> bool:
    """Returns True where a POST to the path names a model in its body."""
    return path.partition("?")[0] in MODEL_PATHS


def route_labels(route: Route) -> Labels:
    """Returns the labels of a route with its name as `route`."""
    return {**route.labels, "route": route.name}


def upstream_labels(upstream: Upstream) -> Labels:
    """Returns the labels of an upstream with its name, zone and kind."""
    own = {"upstream": upstream.name, "zone": upstream.zone, "kind": upstream.kind.value}
    return {**upstream.labels, **own}


def route_precedence(route: Route) -> tuple[int, ...]:
    """Returns the sort key of a route among those that fit a request; the largest wins."""
    callers = len(requirements(route.organisations))
    match route:
        case ModelRoute():
            return (callers,)
        case ServiceRoute(path_prefix=prefix, methods=methods):
            return (len(prefix), int(bool(methods)), callers)


class RouteTable:
    """The routes of one version of the configuration."""

    __slots__ = ("_models", "_services", "_upstreams")

    def __init__(self, parts: ConfigurationParts) -> None:
        self._models = _by_model(parts.model_routes)
        self._services = sorted(parts.service_routes, key=route_precedence, reverse=True)
        self._upstreams = {
            route.name: _eligible(route, parts.upstreams)
            for route in (*parts.model_routes, *parts.service_routes)
        }

    def upstreams(self, route: Route) -> tuple[str, ...]:
        """Returns the names of a route's eligible upstreams, in the order of the configuration."""
        return self._upstreams[route.name]

    def find(self, method: str, path: str, model: str | None) -> Sequence[Route]:
        """Returns the routes that fit a request, the first to be tried first.

        Raises:
            Refused: No route fits.
        """
        if model is None:
            return self._find_services(method.upper(), matched_path(path))
        routes = self._models.get(model)
        if routes is None:
            raise Refused(RefusalReason.MODEL_UNKNOWN, "no route serves that model")
        return routes

    def _find_services(self, method: str, path: str) -> list[ServiceRoute]:
        found: list[ServiceRoute] = []
        for route in self._services:
            if found and len(route.path_prefix) < len(found[0].path_prefix):
                break
            if path.startswith(route.path_prefix) and _takes_method(route, method):
                found.append(route)
        if not found:
            raise Refused(RefusalReason.ROUTE_UNKNOWN, "no route takes that path")
        return found


def requirements(text: str) -> tuple[Requirement, ...]:
    """Returns the requirements of a selector."""
    return Selector.parse(text).requirements


def matched_path(path_and_query: str) -> str:
    """Returns the path as route prefixes are compared with it: decoded, with single slashes.

    Upstreams decode paths too; a disguised path must not take a more lenient route.

    Raises:
        Refused: The path has dot segments.
    """
    path = path_and_query.partition("?")[0]
    if "%" in path:
        path = unquote(path)
    if "/." in path and any(part in (".", "..") for part in path.split("/")):
        raise Refused(RefusalReason.MALFORMED_REQUEST, "the path has dot segments")
    return _SLASHES.sub("/", path) if "//" in path else path


def _by_model(routes: Sequence[ModelRoute]) -> dict[str, list[ModelRoute]]:
    found: dict[str, list[ModelRoute]] = {}
    for route in sorted(routes, key=route_precedence, reverse=True):
        found.setdefault(route.model, []).append(route)
    return found


def _eligible(route: Route, upstreams: Sequence[Upstream]) -> tuple[str, ...]:
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


def _takes_method(route: ServiceRoute, method: str) -> bool:
    return not route.methods or any(method == item.upper() for item in route.methods)
