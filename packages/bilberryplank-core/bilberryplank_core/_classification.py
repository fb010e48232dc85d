"""Classifies a request: its organisation, class, route and eligible upstreams.

A class has label selectors for organisations and routes. Of the classes whose selectors match, the
one with the most requirements (terms of its selectors) is the default. Two classes with equally
many requirements that could match the same labels are rejected when a configuration is applied
(`find_ambiguities` in `_ambiguities`). A caller may request another matching class, but none of a
higher tier than its default class, so a caller never gets more than its key allows.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._errors import RefusalReason, Refused
from bilberryplank_core._keys import digest_secret
from bilberryplank_core._route_table import RouteTable, route_labels, selector_requirements
from bilberryplank_core._selectors import LabelProjection, Selector
from bilberryplank_core._world import Key, Labels, RequestClass, Route

CLASS_HEADER = "x-request-class"
MAX_CACHED_MATCHES = 20_000


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """The properties of a request that classification uses.

    Attributes:
        method: HTTP method.
        path: Path and query, without API keys.
        headers: Headers as `(name, value)` pairs, without API keys.
        model: Model that the body names; None for requests to services that serve no model.
    """

    method: str
    path: str
    headers: Sequence[tuple[str, str]] = ()
    model: str | None = None


@dataclass(slots=True, frozen=True)
class ClassifiedRequest:
    """The class, rank and route of a request, and the upstreams that may run it.

    Attributes:
        organisation: Name of the organisation that the key belongs to.
        key_id: Public identifier of the key.
        request_class: Class of the request.
        rank: Rank of the class's tier; 0 is the highest.
        route: Route that the request matched.
        upstreams: Names of the eligible upstreams, in the order of the configuration.
    """

    organisation: str
    key_id: str
    request_class: RequestClass
    rank: int
    route: Route
    upstreams: tuple[str, ...]


def class_precedence(request_class: RequestClass) -> int:
    """Returns the number of requirements of a class; the class with the most takes precedence."""
    return len(selector_requirements(request_class.organisations)) + len(
        selector_requirements(request_class.routes)
    )


class RequestClassifier:
    """Classifies requests under one version of the configuration.

    Matches are cached by the values of those labels that any selector mentions. Keys with equal
    values share a cached match, and a request costs a few look-ups.
    """

    __slots__ = (
        "_cfg",
        "_classes",
        "_key_hash_secret",
        "_projection",
        "_routes",
        "_match_cache",
    )

    def __init__(self, configuration: Configuration, key_hash_secret: str) -> None:
        self._cfg = configuration
        self._key_hash_secret = key_hash_secret
        parts = configuration.parts
        by_precedence = sorted(parts.classes, key=class_precedence, reverse=True)
        self._classes = [
            (
                request_class,
                Selector.parse(request_class.organisations),
                Selector.parse(request_class.routes),
            )
            for request_class in by_precedence
        ]
        self._routes = RouteTable(parts)
        routes = (*parts.model_routes, *parts.service_routes)
        selectors = [Selector.parse(item.organisations) for item in (*parts.classes, *routes)]
        self._projection = LabelProjection.from_selectors(selectors)
        self._match_cache: dict[tuple, AllowedClasses | None] = {}

    @property
    def configuration(self) -> Configuration:
        """The configuration that requests are classified under."""
        return self._cfg

    def authenticate(self, secret: str | None) -> Key:
        """Returns the record of the API key whose secret the caller sent.

        Raises:
            Refused: The key is missing, unknown or withdrawn.
        """
        if not secret:
            raise Refused(RefusalReason.KEY_MISSING, "no key was sent")
        key = self._cfg.keys_by_digest.get(digest_secret(secret, self._key_hash_secret))
        if key is None:
            raise Refused(RefusalReason.KEY_UNKNOWN, "the key is unknown")
        if key.withdrawn:
            raise Refused(RefusalReason.KEY_WITHDRAWN, "the key is withdrawn")
        return key

    def classify(self, key: Key, req: CallerRequest) -> ClassifiedRequest:
        """Returns the class, route and eligible upstreams of a request.

        Raises:
            Refused: The route or class is unknown or not allowed to this key, or the request names
                more than one class.
        """
        labels = self._cfg.caller_labels(key)
        label_values = self._projection.project(labels)
        route = self._find_route(req, labels, label_values)
        allowed = self._allowed_classes(route, labels, label_values)
        request_class = _pick_class(allowed, _requested_class(req))
        return ClassifiedRequest(
            key.organisation,
            key.key_id,
            request_class,
            self._cfg.rank(request_class.name),
            route,
            self._routes.upstreams(route),
        )

    def _find_route(self, req: CallerRequest, labels: Labels, label_values: tuple) -> Route:
        for route in self._routes.find(req.method, req.path, req.model):
            if self._may_use(route, labels, label_values):
                return route
        raise Refused(RefusalReason.KEY_NOT_ALLOWED, "the key may not use that route")

    def _may_use(self, route: Route, labels: Labels, label_values: tuple) -> bool:
        if not route.organisations:
            return True
        cache_key = ("route", route.name, label_values)
        allowed = self._match_cache.get(cache_key)
        if allowed is None:
            allowed = Selector.parse(route.organisations).matches(labels)
            self._cache_match(cache_key, allowed)
        return allowed

    def _allowed_classes(self, route: Route, labels: Labels, label_values: tuple) -> AllowedClasses:
        cache_key = ("class", route.name, label_values)
        allowed = self._match_cache.get(cache_key)
        if allowed is None:
            allowed = self._match_classes(route, labels)
            self._cache_match(cache_key, allowed)
        return allowed

    def _match_classes(self, route: Route, labels: Labels) -> AllowedClasses:
        labels_of_route = route_labels(route)
        matching = [
            request_class
            for request_class, organisation_selector, route_selector in self._classes
            if organisation_selector.matches(labels) and route_selector.matches(labels_of_route)
        ]
        if not matching:
            return ()
        default_rank = self._cfg.rank(matching[0].name)  # a larger rank is a lower tier
        return tuple(item for item in matching if self._cfg.rank(item.name) >= default_rank)

    def _cache_match(self, cache_key: tuple, match: AllowedClasses | bool) -> None:
        if len(self._match_cache) >= MAX_CACHED_MATCHES:
            self._match_cache.clear()
        self._match_cache[cache_key] = match


AllowedClasses = tuple[RequestClass, ...]
"""Classes that a caller may use, its default class first."""


def _requested_class(req: CallerRequest) -> str:
    names = {value.strip() for name, value in req.headers if name.lower() == CLASS_HEADER}
    if len(names) > 1:
        raise Refused(RefusalReason.MALFORMED_REQUEST, "several classes were asked for")
    return names.pop() if names else ""


def _pick_class(allowed: AllowedClasses, requested: str) -> RequestClass:
    if not allowed:
        raise Refused(RefusalReason.CLASS_UNKNOWN, "no class covers this key on this route")
    if not requested:
        return allowed[0]
    for request_class in allowed:
        if request_class.name == requested:
            return request_class
    # The reason is the same whether the class does not exist or the key may not use it.
    raise Refused(RefusalReason.CLASS_UNKNOWN, "the key may not have that class")
