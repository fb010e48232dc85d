"""The job that starts, drains and stops upstreams, under the lease `scaling`.

A started upstream works under a name that the configuration holds for it beforehand, at the
address where its sidecar will listen: it takes work once the host list shows it. So no order leads
to a change of the configuration, and a pool grows only where such a name is free.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Collection, Coroutine
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._entry_job import EntryJob
from bilberryplank._host_feed import HostFeed
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._platform import Platform
from bilberryplank._pool_loads import LoadProbe, busy, pool_load
from bilberryplank._pool_view import PoolView
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.contracts import StartUpstream, StopUpstream, UpstreamOrder
from bilberryplank_core.errors import ConfigurationInvalid, PlatformUnavailable
from bilberryplank_core.fleet import (
    ConfigurationStore,
    Drain,
    DrainIntent,
    JournalledOrder,
    OrderJournal,
    OrderState,
    PolicyDrains,
    PoolLoad,
    PoolMember,
    ScalingIntent,
    ScalingPolicy,
    StartIntent,
    StopIntent,
)
from bilberryplank_core.messages import Load
from bilberryplank_core.settings import EntrySettings
from bilberryplank_core.world import Upstream

JOB = "scaling"
ORDERS_TABLE = "orders"


@dataclass(slots=True)
class _Joining:
    """Upstreams of a pool that were ordered and have not joined.

    Attributes:
        until: Loop time in seconds at which they are no longer waited for.
        members: Live members of the pool that end the wait; None where that is not known.
        ordered: How many were ordered by this holder, by zone.
    """

    until: float
    members: int | None = None
    ordered: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class _Tenure:
    """What the holder of one lease remembers; the next one begins anew.

    Attributes:
        fence: Fencing number of the lease.
        policy: The policy with its memory.
        settled: False while orders may be open in the journal.
        joining: What pools wait for, by pool.
        stopping: Loop time until which a stopped upstream may still be listed, by name.
    """

    fence: int
    policy: ScalingPolicy
    settled: bool = False
    joining: dict[str, _Joining] = field(default_factory=dict)
    stopping: dict[str, float] = field(default_factory=dict)


class ScalingJob(EntryJob):
    """Runs the scaling policy over the pools of the settings; on entries only."""

    abstract = False

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        hosts: HostFeed,
        feed: ConfigurationFeed,
        metrics: ProcessMetrics,
        rng: random.Random,
    ) -> None:
        super().__init__(JOB, settings.name, settings.fleet, platform.table, hosts, metrics, rng)
        self._scaling = settings.scaling
        self._table = platform.table
        self._feed = feed
        self._store = ConfigurationStore(platform.table)
        self._journal = OrderJournal(platform.table, platform.orders, self.lease)
        self._drains = PolicyDrains(platform.table, self._store, self.lease)
        self._probe = LoadProbe(settings.name, settings.fleet_key, settings.links)
        self._tenure = _Tenure(0, ScalingPolicy(self._scaling))

    def pause(self) -> float:
        """Returns the seconds until sidecars are asked again."""
        return self._scaling.sample_interval

    async def on_stop(self) -> None:
        """Gives the lease up and closes the links."""
        await super().on_stop()
        self._probe.retain(())

    async def work(self) -> None:
        """Settles what an earlier holder left open, asks for loads and carries out what is due.

        An upstream that operators remove meanwhile ends this piece of work, not the process.
        """
        try:
            await self._work()
        except ConfigurationInvalid as exc:
            log_event(logger, "scaling_edit_refused", level="WARNING", cause=exc)

    async def _work(self) -> None:
        if self.lease.fence != self._tenure.fence:
            await self._begin_tenure()
        configuration = self._feed.configuration
        if not self._hosts.hosts or not configuration.version:
            return
        view = self._view(configuration)
        drains = await self._drains.drained_upstreams(configuration)
        if not self._tenure.settled:
            await self._settle(view, drains)
        for name in view.gone(drains):
            await self._drains.clear_drain(name)
            self._tenure.stopping.pop(name, None)
        pools = await self._ask(view, drains)
        for intent in self._tenure.policy.decide(pools, _now()):
            await self._carry_out(intent)

    async def _begin_tenure(self) -> None:
        """Begins anew, and waits as long for what was ordered before as its holder would have."""
        tenure = _Tenure(self.lease.fence, ScalingPolicy(self._scaling))
        until = _now() + self._scaling.join_timeout
        for row in await self._table.scan(ORDERS_TABLE, f"done/{JOB}/"):
            match JournalledOrder.from_value(row.value):
                case JournalledOrder(StartUpstream(pool=pool), OrderState.DONE):
                    tenure.joining[pool] = _Joining(until)
        self._tenure = tenure

    async def _settle(self, view: PoolView, drains: set[str]) -> None:
        needed = view.needed((), drains)

        def wanted(order: UpstreamOrder) -> bool:
            match order:
                case StartUpstream(zone=zone, pool=pool):
                    return zone in view.zones(pool)
                case StopUpstream(upstream=upstream):
                    return upstream in drains and upstream not in needed

        for done in await self._journal.settle(wanted):
            _log_order(done)
            until = _now() + self._scaling.join_timeout
            match done:
                case JournalledOrder(StartUpstream(pool=pool), OrderState.DONE):
                    self._tenure.joining[pool] = _Joining(until)
                case JournalledOrder(StopUpstream(upstream=upstream), OrderState.DONE):
                    self._tenure.stopping[upstream] = until
        self._tenure.settled = True

    async def _ask(self, view: PoolView, drains: set[str]) -> list[PoolLoad]:
        pools = self._scaling.pools
        sample = {item.name: item for pool in pools for item in view.sample(pool, drains)}
        self._probe.retain(sample.values())
        loads = await self._probe.ask(sample.values())
        silent = sample.keys() - loads.keys()
        needed = view.needed(silent, drains)
        found = []
        for pool in pools:
            live = view.members(pool)
            members = [
                _member(item, loads.get(item.name), needed, drains)
                for item in live
                if item.name not in silent
            ]
            waits = self._open_orders(pool, live)
            found.append(pool_load(pool, members, loads, view.zones(pool), waits))
        return found

    def _open_orders(self, pool: str, live: Collection[Upstream]) -> int:
        joining = self._tenure.joining.get(pool)
        if joining is not None:
            joined = joining.members is not None and len(live) >= joining.members
            if joined or _now() >= joining.until:
                del self._tenure.joining[pool]
        stopping = sum(_now() < self._tenure.stopping.get(item.name, 0.0) for item in live)
        return (pool in self._tenure.joining) + stopping

    async def _carry_out(self, intent: ScalingIntent) -> None:
        log_event(logger, "scaling_decided", intent=intent, fence=self.lease.fence)
        match intent:
            case StartIntent(pool, zone):
                await self._start(pool, zone)
            case DrainIntent(upstream, draining=True):
                if await self._may_spare(upstream):
                    await self._drains.set_drain(upstream)
            case DrainIntent(upstream):
                await self._drains.clear_drain(upstream)
            case StopIntent(upstream, zone):
                await self._stop(upstream, zone)

    async def _start(self, pool: str, zone: str) -> None:
        view = self._view(self._feed.configuration)
        live = len(view.members(pool))
        free = sum(item.zone == zone for item in view.free(pool))
        joining = self._tenure.joining.get(pool) or _Joining(0.0)
        ordered = joining.ordered.total()
        if joining.ordered[zone] >= free or live + ordered >= self._scaling.most:
            return
        done = await self._send(self._journal.start(zone, pool))
        if done.state is OrderState.DONE:
            joining.ordered[zone] += 1
            joining.until = _now() + self._scaling.join_timeout
            joining.members = live + ordered + 1
            self._tenure.joining[pool] = joining

    async def _stop(self, upstream: str, zone: str) -> None:
        drains = await self._drains.drained_upstreams(await self._store.read())
        if upstream in drains and await self._may_spare(upstream):
            await self._send(self._journal.stop(zone, upstream))
            self._tenure.stopping[upstream] = _now() + self._scaling.join_timeout

    async def _send(self, order: Coroutine[Any, Any, JournalledOrder]) -> JournalledOrder:
        try:
            done = await order
        except PlatformUnavailable:
            self._tenure.settled = False
            raise
        _log_order(done)
        return done

    async def _may_spare(self, upstream: str) -> bool:
        """Returns True where each route of an upstream has another one that answers now.

        The configuration comes from the table, since another drain may be a moment old.
        """
        view = self._view(await self._store.read())
        for others in view.others(upstream):
            loads = await self._probe.ask(others)
            if all(load.leaving for load in loads.values()):
                return False
        return True

    def _view(self, configuration: Configuration) -> PoolView:
        return PoolView(configuration, self._hosts.hosts, self._scaling)


def _member(
    upstream: Upstream, load: Load | None, needed: Collection[str], drains: Collection[str]
) -> PoolMember:
    drain = Drain.POLICY if upstream.name in drains else Drain.OPERATOR
    return PoolMember(
        upstream.name,
        upstream.zone,
        busy(load),
        upstream.cost_per_hour,
        drain if upstream.draining else Drain.NONE,
        upstream.name in needed,
    )


def _log_order(done: JournalledOrder) -> None:
    log_event(logger, "scaling_order", state=done.state.value, order=done.order)


def _now() -> float:
    return asyncio.get_running_loop().time()
