"""Upstreams that must not be drained, because they are the last live ones of a route."""

from __future__ import annotations

from collections.abc import Collection

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._route_table import RouteTable


def needed_upstreams(configuration: Configuration, live: Collection[str]) -> set[str]:
    """Returns the upstreams in `live` without which some route would have none.

    Classes need no check of their own: a class is served only through routes.

    Args:
        configuration: The configuration in force.
        live: Names of the live upstreams.
    """
    parts = configuration.parts
    in_service = {item.name for item in parts.upstreams if item.name in live and not item.draining}
    routes = RouteTable(parts)
    needed = set()
    for route in (*parts.model_routes, *parts.service_routes):
        in_service_on_route = in_service.intersection(routes.upstreams(route))
        if len(in_service_on_route) == 1:
            needed |= in_service_on_route
    return needed
