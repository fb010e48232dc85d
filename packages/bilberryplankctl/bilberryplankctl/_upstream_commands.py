"""Commands on upstreams."""

from __future__ import annotations

from bilberryplank_core.fleet import ConfigurationStore
from bilberryplankctl._failures import NotFound
from bilberryplankctl._results import UpstreamDrained


async def set_draining(store: ConfigurationStore, name: str, draining: bool) -> UpstreamDrained:
    """Sets or clears the drain flag of an upstream.

    Raises:
        NotFound: There is no such upstream.
    """
    if name not in (await store.read()).upstreams:
        raise NotFound(f"no upstream {name!r}")
    configuration = await store.drain_upstream(name, draining)
    return UpstreamDrained(configuration.version, name, draining)
