"""Links between entries and sidecars."""

from bilberryplank._link import Identity, Link, LinkCounters, LinkHandler
from bilberryplank._link_pool import LinkListener, LinkPool, VersionShown

__all__ = [
    "Identity",
    "Link",
    "LinkCounters",
    "LinkHandler",
    "LinkListener",
    "LinkPool",
    "VersionShown",
]
