"""Which upstreams a request may go to, before the costs of the rest are compared."""

from bilberryplank_core.eligibility._cold_upstreams import ColdLimits, ColdUpstreams
from bilberryplank_core.eligibility._homes import is_at_home, regions_allowed
from bilberryplank_core.eligibility._zone_evacuations import DOUBT_SECONDS, ZoneEvacuations

__all__ = [
    "DOUBT_SECONDS",
    "ColdLimits",
    "ColdUpstreams",
    "ZoneEvacuations",
    "is_at_home",
    "regions_allowed",
]
