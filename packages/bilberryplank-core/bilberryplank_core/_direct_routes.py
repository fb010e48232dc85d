"""Which route and organisation a request belongs to.

Load pattern: every request, of any method and path; a change of the configuration in between.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bilberryplank_core._direct_types import DirectConfiguration, DirectRoute, RequestHead
from bilberryplank_core._errors import RefusalReason, Refused

ROUTE_RANK_COUNT = 3
"""Ranks of routes that an engine tells apart within a rank of organisations."""


@dataclass(slots=True, frozen=True)
class ClassifiedRequest:
    """A request whose route and organisation are known.

    Attributes:
        route: The route.
        organisation: Name of the organisation; None on a public route without a key.
        urgency: Rank of the organisation, or of the route where it has none, and behind that the
            route's own; lower goes first.
        version: Version of the configuration that decided.
    """

    route: DirectRoute
    organisation: str | None
    urgency: tuple[int, int]
    version: int


class RouteIndex:
    """Looks requests up in one configuration."""

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
        for route in sorted(cfg.routes, key=lambda each: -len(each.prefix)):
            self._by_authority.setdefault(route.authority, []).append(route)

    @property
    def configuration(self) -> DirectConfiguration:
        """The configuration that is indexed."""
        return self._cfg

    def classify(self, authority: str, path: str, head: RequestHead) -> ClassifiedRequest:
        """Returns route and organisation of a request.

        Raises:
            Refused: No route, or a key that is not known.
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
        """Returns True where nothing less urgent may use a service."""
        return urgency >= self._least_urgent.get(service, (0, 0))

    def _route(self, authority: str, path: str) -> DirectRoute | None:
        for route in self._by_authority.get(authority, ()):
            if path.startswith(route.prefix):
                return route
        return None


def engine_rank(urgency: tuple[int, int]) -> int:
    """Returns one rank for an engine's queue, which keeps the order of urgencies."""
    first, second = urgency
    return first * ROUTE_RANK_COUNT + min(second, ROUTE_RANK_COUNT - 1)


def choose_service(route: DirectRoute, rng: Random) -> str:
    """Returns the service of one request, by the weights of its route."""
    if len(route.targets) == 1:
        return route.targets[0][0]
    names = [name for name, _ in route.targets]
    return rng.choices(names, [share for _, share in route.targets])[0]
