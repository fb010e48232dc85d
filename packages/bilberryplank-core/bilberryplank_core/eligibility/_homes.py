"""Regions in which a request may be served."""

from __future__ import annotations

from collections.abc import Mapping


def regions_allowed(
    route_homes: frozenset[str], organisation_homes: frozenset[str]
) -> frozenset[str] | None:
    """Returns the regions in which a request may be served; None for any.

    Args:
        route_homes: Homes of its route; empty for none.
        organisation_homes: Homes of its organisation; empty for none.
    """
    if route_homes and organisation_homes:
        return route_homes & organisation_homes
    return route_homes or organisation_homes or None


def is_at_home(
    zone: str, regions: frozenset[str] | None, region_by_zone: Mapping[str, str] | None
) -> bool:
    """Returns True if an upstream in a zone may serve a request.

    Args:
        zone: The upstream's availability zone.
        regions: What `regions_allowed` returned.
        region_by_zone: Regions of the zones; an unknown zone is in no region.
    """
    return regions is None or (region_by_zone or {}).get(zone) in regions
