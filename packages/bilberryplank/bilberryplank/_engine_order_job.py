"""The job that sends operators' orders to engines, under the lease `engine-orders`."""

from __future__ import annotations

import asyncio
import random
from dataclasses import asdict, dataclass
from typing import Any

from loguru import logger

from bilberryplank._configuration_feed import ConfigurationFeed
from bilberryplank._engine_orders import FINAL, JOB, EngineOutcome
from bilberryplank._entry_job import EntryJob
from bilberryplank._host_feed import HostFeed
from bilberryplank._link import Identity, Link
from bilberryplank._link_pool import LinkPool
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._platform import Platform
from bilberryplank._seeds import new_epoch
from bilberryplank_core.contracts import Condition, Delete, Put, Row
from bilberryplank_core.errors import (
    BilberryplankError,
    Conflict,
    HandshakeFailed,
    LeaseLost,
    LinkClosed,
)
from bilberryplank_core.fleet import ConfigurationStore, LeaseGuard
from bilberryplank_core.messages import EngineOrdered, Message, OrderEngine
from bilberryplank_core.settings import EntrySettings
from bilberryplank_core.world import Role

TABLE = "engine_orders"
ASKED = "asked/"
DONE = "done/"
ANSWER_TIMEOUT_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class AskedOrder:
    """An order as an operator wrote it.

    Attributes:
        upstream: Name of the upstream whose engine gets it.
        action: As in `EngineOrder`.
        argument: As in `EngineOrder`.
        fence: Fencing number under which it was sent last; 0 before.
    """

    upstream: str
    action: str
    argument: str
    fence: int = 0


class OrderLinks:
    """The holder's links to the sidecars that get orders; closed after use."""

    def __init__(self, settings: EntrySettings) -> None:
        identity = Identity(Role.ENTRY, settings.name, new_epoch())
        self._pool = LinkPool(identity, settings.fleet_key, settings.links, self)
        self._waiting: dict[str, asyncio.Future[EngineOutcome]] = {}

    async def send(self, address: str, message: OrderEngine) -> EngineOutcome:
        """Returns what became of an order; unknown where no answer came."""
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[message.order_id] = waiting
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                link = await self._pool.get(address, ANSWER_TIMEOUT_SECONDS)
                link.send(message)
                return await waiting
        except (LinkClosed, HandshakeFailed, TimeoutError):
            return EngineOutcome.UNKNOWN
        finally:
            del self._waiting[message.order_id]

    def close(self) -> None:
        """Closes the links."""
        self._pool.close()

    def link_ready(self, link: Link) -> None:
        """Nothing to do."""

    def link_message(self, link: Link, message: Message) -> None:
        """Takes an outcome; whatever else a sidecar tells an entry is of no use here."""
        match message:
            case EngineOrdered(order_id, outcome):
                waiting = self._waiting.get(order_id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(_outcome_of(outcome))

    def link_closed(self, link: Link, exc: BilberryplankError) -> None:
        """Nothing to do: the wait for an answer is bounded."""


class EngineOrderJob(EntryJob):
    """Sends operators' orders to engines; on entries only.

    The row of an order is the journal, too: before the order is sent, its number is written there
    on condition that nobody took the lease since. It goes once the outcome is final.
    """

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
        self._table = platform.table
        self._store = ConfigurationStore(platform.table)
        self._feed = feed
        self._links = OrderLinks(settings)

    async def on_stop(self) -> None:
        """Gives the lease up and closes the links."""
        await super().on_stop()
        self._links.close()

    async def work(self) -> None:
        """Sends what is asked for, one order after the other, in the order of the rows."""
        for row in await self._table.scan(TABLE, ASKED):
            await self._carry_out(row)
        self._links.close()

    async def _carry_out(self, row: Row) -> None:
        order_id = row.key.removeprefix(ASKED)
        guard = self.lease.guard()
        asked = AskedOrder(**{**row.value, "fence": guard.fence})
        conditions = [self.lease.fence_condition(), Condition(TABLE, row.key, row.revision)]
        revision = await self._table.commit(conditions, [Put(TABLE, row.key, asdict(asked))])
        outcome = await self._send_under(guard, order_id, asked)
        log_event(logger, "engine_order_sent", order=asked, outcome=outcome.value)
        if outcome in FINAL:
            await self._finish(row.key, revision, {**asdict(asked), "outcome": outcome.value})

    async def _send_under(
        self, guard: LeaseGuard, order_id: str, asked: AskedOrder
    ) -> EngineOutcome:
        outcome = EngineOutcome.UNKNOWN
        call = guard.begin_call()
        try:
            outcome = await self._send(order_id, asked)
        finally:
            call.end(answered=outcome is not EngineOutcome.UNKNOWN)
        return outcome

    async def _send(self, order_id: str, asked: AskedOrder) -> EngineOutcome:
        upstream = self._feed.configuration.upstreams.get(asked.upstream)
        if upstream is None:
            # It may be newer than what this process has.
            upstream = (await self._store.read()).upstreams.get(asked.upstream)
        if upstream is None:
            return EngineOutcome.NO_UPSTREAM
        message = OrderEngine(order_id, asked.fence, asked.action, asked.argument)
        return await self._links.send(upstream.address, message)

    async def _finish(self, key: str, revision: int, value: dict[str, Any]) -> None:
        conditions = [self.lease.fence_condition(), Condition(TABLE, key, revision)]
        done = DONE + key.removeprefix(ASKED)
        try:
            await self._table.commit(conditions, [Delete(TABLE, key), Put(TABLE, done, value)])
        except Conflict as exc:
            raise LeaseLost("another process took the lease or settled the order") from exc


def _outcome_of(value: str) -> EngineOutcome:
    try:
        return EngineOutcome(value)
    except ValueError:
        return EngineOutcome.UNKNOWN
