"""Which route and organisation a request belongs to.

Load pattern: every request, of any method and path; a change of the configuration in between.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bilberryplank_core._direct_world import CallerCall, DirectConfiguration, DirectRoute
from bilberryplank_core._errors import RefusalReason, Refused


@dataclass(slots=True, frozen=True)
class Classified:
    """A request whose route and organisation are known.

    Attributes:
        route: The route.
        organisation: Name of the organisation; None on a public route without a key.
        rank: Urgency; 0 is the highest.
        version: Version of the configuration that decided.
    """

    route: DirectRoute
    organisation: str | None
    rank: int
    version: int


class RouteIndex:
    """Looks requests up in one configuration."""

    __slots__ = ("_by_authority", "_cfg")

    def __init__(self, cfg: DirectConfiguration) -> None:
        self._cfg = cfg
        self._by_authority: dict[str, list[DirectRoute]] = {}
        for route in sorted(cfg.routes, key=lambda each: -len(each.prefix)):
            self._by_authority.setdefault(route.authority, []).append(route)

    @property
    def configuration(self) -> DirectConfiguration:
        """The configuration that is indexed."""
        return self._cfg

    def classify(self, authority: str, path: str, call: CallerCall) -> Classified:
        """Returns route and organisation of a request.

        Raises:
            Refused: No route, or a key that is not known.
        """
        route = self._route(authority, path)
        if route is None:
            raise Refused(RefusalReason.ROUTE_UNKNOWN, "no route for this host and path")
        owners = self._cfg.organisations
        if owners is None:
            return Classified(route, None, route.rank, self._cfg.version)
        owner = owners.get(call.credential or "")
        if owner is None:
            if route.public:
                return Classified(route, None, route.rank, self._cfg.version)
            reason = RefusalReason.KEY_UNKNOWN if call.credential else RefusalReason.KEY_MISSING
            raise Refused(reason, "the request carries no key that is known")
        rank = route.rank if owner.rank is None else owner.rank
        return Classified(route, owner.name, rank, self._cfg.version)

    def _route(self, authority: str, path: str) -> DirectRoute | None:
        for route in self._by_authority.get(authority, ()):
            if path.startswith(route.prefix):
                return route
        return None


def draw_service(route: DirectRoute, rng: Random) -> str:
    """Returns the service of one request, by the weights of its route."""
    if len(route.targets) == 1:
        return route.targets[0][0]
    names = [name for name, _ in route.targets]
    return rng.choices(names, [share for _, share in route.targets])[0]
