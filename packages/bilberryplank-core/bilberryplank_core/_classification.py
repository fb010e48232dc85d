"""From a caller's request to its organisation, class, route and eligible upstreams.

Precedence of classes: of those whose selectors match, the one with the most requirements wins.
Two classes with as many requirements that could match the same labels are refused at apply by
`find_ambiguities`. A caller may name another class that matches, but none of a higher tier than
it would get unasked: what a caller sends narrows, and never widens, what its key allows.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._errors import RefusalReason, Refused
from bilberryplank_core._keys import digest_secret
from bilberryplank_core._route_table import RouteTable, requirements, route_labels
from bilberryplank_core._selectors import LabelProjection, Selector
from bilberryplank_core._world import Key, Labels, RequestClass, Route

CLASS_HEADER = "x-request-class"
MAX_CACHED_MATCHES = 20_000


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """What classification needs of a request.

    Attributes:
        method: HTTP method.
        path: Path and query, cleaned of keys.
        headers: Headers as `(name, value)` pairs, cleaned of keys.
        model: Model that the body names; None for calls of plain services.
    """

    method: str
    path: str
    headers: Sequence[tuple[str, str]] = ()
    model: str | None = None


@dataclass(slots=True, frozen=True)
class ClassifiedRequest:
    """What a request is and where it may run.

    Attributes:
        organisation: Name of the key's organisation.
        key_id: Public identifier of the key.
        request_class: Its class.
        rank: Rank of the class's tier; 0 is the highest.
        route: Its route.
        upstreams: Names of the eligible upstreams, in the order of the configuration.
    """

    organisation: str
    key_id: str
    request_class: RequestClass
    rank: int
    route: Route
    upstreams: tuple[str, ...]


def class_precedence(request_class: RequestClass) -> int:
    """Returns the number of requirements of a class; the most wins."""
    return len(requirements(request_class.organisations)) + len(requirements(request_class.routes))


class RequestClassifier:
    """Classifies requests under one version of the configuration.

    Verdicts are cached by the label values that selectors tell apart, so organisations with the
    same such values share an entry, and a request costs a few look-ups.
    """

    __slots__ = (
        "_cfg",
        "_classes",
        "_hash_secret",
        "_projection",
        "_routes",
        "_match_cache",
    )

    def __init__(self, configuration: Configuration, hash_secret: str) -> None:
        self._cfg = configuration
        self._hash_secret = hash_secret
        parts = configuration.parts
        by_precedence = sorted(parts.classes, key=class_precedence, reverse=True)
        self._classes = [
            (item, Selector.parse(item.organisations), Selector.parse(item.routes))
            for item in by_precedence
        ]
        self._routes = RouteTable(parts)
        routes = (*parts.model_routes, *parts.service_routes)
        selectors = [Selector.parse(item.organisations) for item in (*parts.classes, *routes)]
        self._projection = LabelProjection.from_selectors(selectors)
        self._match_cache: dict[tuple, Classes | None] = {}

    @property
    def configuration(self) -> Configuration:
        """The configuration that it was made from."""
        return self._cfg

    def authenticate(self, secret: str | None) -> Key:
        """Returns the key with that secret.

        Raises:
            Refused: The key is missing, unknown or withdrawn.
        """
        if not secret:
            raise Refused(RefusalReason.KEY_MISSING, "no key was sent")
        key = self._cfg.keys_by_digest.get(digest_secret(secret, self._hash_secret))
        if key is None:
            raise Refused(RefusalReason.KEY_UNKNOWN, "the key is unknown")
        if key.withdrawn:
            raise Refused(RefusalReason.KEY_WITHDRAWN, "the key is withdrawn")
        return key

    def classify(self, key: Key, req: CallerRequest) -> ClassifiedRequest:
        """Returns the class, route and eligible upstreams of a request.

        Raises:
            Refused: The route or class is unknown, or the key may not use it.
        """
        labels = self._cfg.caller_labels(key)
        label_values = self._projection.project(labels)
        route = self._find_route(req, labels, label_values)
        verdict = self._allowed_classes(route, labels, label_values)
        request_class = _pick_class(verdict, _requested_class(req))
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
        verdict = self._match_cache.get(cache_key)
        if verdict is None:
            verdict = Selector.parse(route.organisations).matches(labels)
            self._cache_match(cache_key, verdict)
        return verdict

    def _allowed_classes(self, route: Route, labels: Labels, label_values: tuple) -> Classes:
        cache_key = ("class", route.name, label_values)
        verdict = self._match_cache.get(cache_key)
        if verdict is None:
            verdict = self._match_classes(route, labels)
            self._cache_match(cache_key, verdict)
        return verdict

    def _match_classes(self, route: Route, labels: Labels) -> Classes:
        of_route = route_labels(route)
        matching = [
            item
            for item, callers, routes in self._classes
            if callers.matches(labels) and routes.matches(of_route)
        ]
        if not matching:
            return ()
        top = self._cfg.rank(matching[0].name)
        return tuple(item for item in matching if self._cfg.rank(item.name) >= top)

    def _cache_match(self, cache_key: tuple, verdict: Classes | bool) -> None:
        if len(self._match_cache) >= MAX_CACHED_MATCHES:
            self._match_cache.clear()
        self._match_cache[cache_key] = verdict


Classes = tuple[RequestClass, ...]
"""Classes that a caller may have, the one that it gets unasked first."""


def _requested_class(req: CallerRequest) -> str:
    names = {value.strip() for name, value in req.headers if name.lower() == CLASS_HEADER}
    if len(names) > 1:
        raise Refused(RefusalReason.MALFORMED_REQUEST, "several classes were asked for")
    return names.pop() if names else ""


def _pick_class(allowed: Classes, requested: str) -> RequestClass:
    if not allowed:
        raise Refused(RefusalReason.CLASS_UNKNOWN, "no class covers this key on this route")
    if not requested:
        return allowed[0]
    for item in allowed:
        if item.name == requested:
            return item
    raise Refused(RefusalReason.CLASS_UNKNOWN, "the key may not have that class")
