"""Looks up the route and organisation of a request.

Motivating load: every request, of any method and path, while the configuration changes.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bilberryplank_core._direct_types import DirectConfiguration, DirectRoute, RequestHead
from bilberryplank_core._errors import RefusalReason, Refused

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
    """

    route: DirectRoute
    organisation: str | None
    urgency: tuple[int, int]
    version: int

    def time_limit(self, call: RequestHead) -> float:
        """Returns the seconds after which a request ends in any case."""
        limit = self.route.timeout
        return limit if call.time_limit is None else min(limit, call.time_limit)


class RouteIndex:
    """Index of one configuration by authority and path prefix."""

    __slots__ = ("_by_authority", "_cfg", "_least_urgent")

    def __init__(self, cfg: DirectConfiguration) -> None:
        self._cfg = cfg
        self._by_authority: dict[str, list[DirectRoute]] = {}
        organisations = set((cfg.organisations or {}).values())
        ranks = [
            organisation.rank for organisation in organisations if organisation.rank is not None
        ]
        self._least_urgent: dict[str, tuple[int, int]] = {}
        for route in cfg.routes:
            least = (max(ranks, default=route.rank), route.rank)
            for service, _ in route.targets:
                self._least_urgent[service] = max(least, self._least_urgent.get(service, least))
        for route in sorted(cfg.routes, key=lambda indexed: -len(indexed.prefix)):
            self._by_authority.setdefault(route.authority, []).append(route)

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
            return ClassifiedRequest(route, None, (route.rank, route.rank), self._cfg.version)
        organisation = organisations.get(head.credential or "")
        if organisation is None:
            if route.public:
                return ClassifiedRequest(route, None, (route.rank, route.rank), self._cfg.version)
            reason = RefusalReason.KEY_UNKNOWN if head.credential else RefusalReason.KEY_MISSING
            raise Refused(reason, "the request carries no key that is known")
        rank = route.rank if organisation.rank is None else organisation.rank
        return ClassifiedRequest(route, organisation.name, (rank, route.rank), self._cfg.version)

    def is_least_urgent(self, service: str, urgency: tuple[int, int]) -> bool:
        """Returns True if no route and organisation of a service has a lower priority."""
        return urgency >= self._least_urgent.get(service, (0, 0))

    def _route(self, authority: str, path: str) -> DirectRoute | None:
        for route in self._by_authority.get(authority, ()):
            if path.startswith(route.prefix):
                return route
        return None


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
