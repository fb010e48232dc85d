"""Links between entries and sidecars."""

from bilberryplank._link import Identity, Link, LinkHandler
from bilberryplank._link_pool import LinkListener, LinkPool, VersionShown

__all__ = ["Identity", "Link", "LinkHandler", "LinkListener", "LinkPool", "VersionShown"]
