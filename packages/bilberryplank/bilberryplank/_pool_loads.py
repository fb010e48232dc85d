"""Loads of pools, asked of a sample of their sidecars over links of their own.

An entry's own links reach its subset only. These links have an epoch of their own, so that their
end doesn't look to a sidecar like the end of the entry.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping, Sequence

from bilberryplank._link import Identity, Link
from bilberryplank._link_pool import LinkPool
from bilberryplank._seeds import new_epoch
from bilberryplank_core.errors import BilberryplankError, HandshakeFailed, LinkClosed
from bilberryplank_core.fleet import Drain, PoolLoad, PoolMember
from bilberryplank_core.messages import Heartbeat, Load, LoadReport, Message
from bilberryplank_core.settings import LinkSettings
from bilberryplank_core.world import Role, Upstream

ASK_TIMEOUT_SECONDS = 1.5
UNCONFIRMED_AGE = 1e9
"""Age in seconds of the configuration that these links show; no peer takes it for news."""

UNKNOWN_BUSY = 1
"""Requests assumed at an upstream that was not asked, so that it doesn't look idle."""


class LoadProbe:
    """Asks sidecars for their load; links stay open between the calls as long as they are used."""

    def __init__(self, name: str, fleet_key: str, settings: LinkSettings) -> None:
        identity = Identity(Role.ENTRY, name, new_epoch())
        self._pool = LinkPool(identity, fleet_key, settings, self)
        self._waiting: dict[Link, asyncio.Future[Load]] = {}

    async def ask(self, upstreams: Iterable[Upstream]) -> dict[str, Load]:
        """Returns the load of each upstream that answered, by name."""
        asked = list(upstreams)
        answers = await asyncio.gather(*(self._ask_one(upstream) for upstream in asked))
        return {
            upstream.name: load
            for upstream, load in zip(asked, answers, strict=True)
            if load is not None
        }

    def retain(self, upstreams: Iterable[Upstream]) -> None:
        """Closes links to all other upstreams."""
        self._pool.retain({upstream.address for upstream in upstreams})

    def link_ready(self, link: Link) -> None:
        """Nothing to do: `ask` sends the first message."""

    def link_message(self, link: Link, message: Message) -> None:
        """Takes a report; whatever else a sidecar tells an entry is of no use here."""
        match message:
            case LoadReport(load):
                waiting = self._waiting.get(link)
                if waiting is not None and not waiting.done():
                    waiting.set_result(load)

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """Ends the wait for an answer."""
        waiting = self._waiting.get(link)
        if waiting is not None and not waiting.done():
            waiting.set_exception(exc)

    async def _ask_one(self, upstream: Upstream) -> Load | None:
        try:
            async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
                link = await self._pool.get(upstream.address, ASK_TIMEOUT_SECONDS)
                return await self._exchange(link, upstream)
        except (LinkClosed, HandshakeFailed, TimeoutError):
            return None

    async def _exchange(self, link: Link, upstream: Upstream) -> Load | None:
        if link.peer is None or link.peer.upstream != upstream.name:
            return None
        waiting = self._waiting[link] = asyncio.get_running_loop().create_future()
        try:
            link.send(Heartbeat(0, UNCONFIRMED_AGE))
            return await waiting
        finally:
            self._waiting.pop(link, None)


def pool_load(
    pool: str,
    members: Sequence[PoolMember],
    loads: Mapping[str, Load],
    zones: Sequence[str],
    open_orders: int,
) -> PoolLoad:
    """Returns the load of a pool, extrapolated from those members that were asked.

    An empty queue has no cost, whatever rounding left in its sum.

    Args:
        pool: Name of the pool.
        members: Its live members.
        loads: Loads of the members that answered.
        zones: Zones in which it may grow.
        open_orders: Orders whose end is not known.
    """
    working = [member for member in members if member.drain is Drain.NONE]
    known = [loads[member.name] for member in working if member.name in loads]
    scale = len(working) / len(known) if known else 0.0
    slot_rate = _slot_rate(known)
    arrivals = sum(load.arrivals for load in known)
    hits = sum(load.attainment * load.arrivals for load in known)
    return PoolLoad(
        pool=pool,
        members=tuple(members),
        zones=tuple(zones),
        queued_cost=scale * sum(load.queued_cost for load in known if load.queued),
        drain_rate=scale * slot_rate * sum(min(load.running, load.slots) for load in known),
        capacity=scale * slot_rate * sum(load.slots for load in known),
        attainment=hits / arrivals if arrivals else 1.0,
        requests_per_second=scale * arrivals,
        open_orders=open_orders,
    )


def busy(load: Load | None) -> int:
    """Returns the requests at an upstream; some where it was not asked."""
    return UNKNOWN_BUSY if load is None else load.queued + load.running


def _slot_rate(loads: Sequence[Load]) -> float:
    """Returns what a busy slot finishes a second; 1 while no sidecar has measured it."""
    measured = [load for load in loads if load.drain_rate > 0]
    slots = sum(load.slots for load in measured)
    return sum(load.drain_rate for load in measured) / slots if slots else 1.0
