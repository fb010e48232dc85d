"""Which upstreams are the last ones that some route needs."""

from __future__ import annotations

from collections.abc import Collection

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._route_table import RouteTable


def needed_upstreams(configuration: Configuration, live: Collection[str]) -> set[str]:
    """Returns the upstreams in `live` without which some route would have none.

    A class is served by routes, so what the last upstream of a route serves, some class needs.

    Args:
        configuration: The configuration in force.
        live: Names of the upstreams that live.
    """
    parts = configuration.parts
    working = {item.name for item in parts.upstreams if item.name in live and not item.draining}
    routes = RouteTable(parts)
    needed = set()
    for route in (*parts.model_routes, *parts.service_routes):
        serving = working.intersection(routes.upstreams(route))
        if len(serving) == 1:
            needed |= serving
    return needed
