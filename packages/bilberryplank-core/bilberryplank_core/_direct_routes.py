"""Looks up the route and organisation of a request.

Motivating load: every request, of any method and path, while the configuration changes.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass
from operator import neg
from random import Random

from bilberryplank_core._direct_types import DirectConfiguration, DirectRoute, RequestHead
from bilberryplank_core._errors import RefusalReason, Refused
from bilberryplank_core._stepwise import Steps, map_in_steps
from bilberryplank_core.eligibility._homes import regions_allowed

ROUTE_RANK_COUNT = 3
"""Number of route ranks that an engine distinguishes within each rank of organisations."""


@dataclass(slots=True, frozen=True)
class ClassifiedRequest:
    """Route, organisation and priority of a request.

    Attributes:
        route: The route.
        organisation: Name of the organisation; None on a public route without a known key.
        urgency: Rank of the organisation, or of the route if the organisation has none, followed by
            the rank of the route; lower values have priority.
        version: Version of the configuration that was used.
        regions: Regions in which it may be served; None for any.
    """

    route: DirectRoute
    organisation: str | None
    urgency: tuple[int, int]
    version: int
    regions: frozenset[str] | None = None

    def time_limit(self, call: RequestHead) -> float:
        """Returns the seconds after which a request ends in any case."""
        limit = self.route.timeout
        return limit if call.time_limit is None else min(limit, call.time_limit)


class PrefixMap:
    """Routes of one authority by path prefix; the first of those with the same prefix counts."""

    __slots__ = ("_by_prefix", "_lengths")

    def __init__(self) -> None:
        self._by_prefix: dict[str, DirectRoute] = {}
        self._lengths: list[int] = []

    def add(self, route: DirectRoute) -> None:
        """Adds a route."""
        length = len(route.prefix)
        if length not in self._lengths:
            insort(self._lengths, length, key=neg)
        self._by_prefix.setdefault(route.prefix, route)

    def longest(self, path: str) -> DirectRoute | None:
        """Returns the route with the longest prefix of a path."""
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


class RouteIndex:
    """Index of one configuration by authority and path prefix; see `build`."""

    __slots__ = ("_by_authority", "_cfg", "_least_urgent")

    def __init__(self, cfg: DirectConfiguration) -> None:
        self._cfg = cfg
        self._by_authority: dict[str, PrefixMap] = {}
        self._least_urgent: dict[str, tuple[int, int]] = {}

    @classmethod
    def build(cls, cfg: DirectConfiguration) -> Steps[RouteIndex]:
        """Returns the index of a configuration, in steps."""
        index = cls(cfg)
        owners = (cfg.organisations or {}).values()
        least_rank = max((each.rank for each in owners if each.rank is not None), default=None)
        yield
        yield from map_in_steps(lambda route: index._add(route, least_rank), cfg.routes)
        return index

    def _add(self, route: DirectRoute, least_rank: int | None) -> None:
        self._by_authority.setdefault(route.authority, PrefixMap()).add(route)
        least = (route.rank if least_rank is None else least_rank, route.rank)
        for service, _ in route.targets:
            known = self._least_urgent.get(service)
            if known is None or least > known:
                self._least_urgent[service] = least

    @property
    def configuration(self) -> DirectConfiguration:
        """The indexed configuration."""
        return self._cfg

    def classify(self, authority: str, path: str, head: RequestHead) -> ClassifiedRequest:
        """Returns the route and organisation of a request.

        Raises:
            Refused: No route matches, or the API key is missing or unknown.
        """
        route = self._route(authority, path)
        if route is None:
            raise Refused(RefusalReason.ROUTE_UNKNOWN, "no route for this host and path")
        organisations = self._cfg.organisations
        if organisations is None:
            return self._without_organisation(route)
        organisation = organisations.get(head.credential or "")
        if organisation is None:
            if route.public:
                return self._without_organisation(route)
            reason = RefusalReason.KEY_UNKNOWN if head.credential else RefusalReason.KEY_MISSING
            raise Refused(reason, "the request carries no key that is known")
        rank = route.rank if organisation.rank is None else organisation.rank
        regions = regions_allowed(route.homes, organisation.homes)
        urgency = (rank, route.rank)
        return ClassifiedRequest(route, organisation.name, urgency, self._cfg.version, regions)

    def _without_organisation(self, route: DirectRoute) -> ClassifiedRequest:
        regions = regions_allowed(route.homes, frozenset())
        urgency = (route.rank, route.rank)
        return ClassifiedRequest(route, None, urgency, self._cfg.version, regions)

    def is_least_urgent(self, service: str, urgency: tuple[int, int]) -> bool:
        """Returns True if no route and organisation of a service has a lower priority."""
        return urgency >= self._least_urgent.get(service, (0, 0))

    def _route(self, authority: str, path: str) -> DirectRoute | None:
        known = self._by_authority.get(authority)
        return None if known is None else known.longest(path)


def engine_rank(urgency: tuple[int, int]) -> int:
    """Returns the rank in an engine's queue; it preserves the order of urgencies."""
    first, second = urgency
    return first * ROUTE_RANK_COUNT + min(second, ROUTE_RANK_COUNT - 1)


def choose_service(route: DirectRoute, rng: Random) -> str:
    """Returns a service for one request, drawn at random by the weights of its route."""
    if len(route.targets) == 1:
        return route.targets[0][0]
    names = [name for name, _ in route.targets]
    return rng.choices(names, [weight for _, weight in route.targets])[0]
