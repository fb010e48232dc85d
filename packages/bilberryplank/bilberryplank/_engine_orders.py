"""Orders to an engine at its sidecar: each carried out once, and none with an old fencing number.

The sidecar is the only way to its engine, so it refuses old numbers in the engine's place. What it
had seen before a restart is lost; it learns the number anew from the lease's fence row.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from enum import Enum

from loguru import logger

from bilberryplank._link import Link
from bilberryplank._logs import log_event
from bilberryplank_core.contracts import EngineControl, EngineOrder, Table
from bilberryplank_core.errors import OrderRejected, PlatformError
from bilberryplank_core.messages import EngineOrdered, OrderEngine
from bilberryplank_core.scheduling import FenceRegister, FenceStale

JOB = "engine-orders"
LEASE_TABLE = "leases"
FENCE_KEY = f"{JOB}/fence"
KEPT_OUTCOMES = 1024


class EngineOutcome(Enum):
    """What became of an order to an engine.

    Attributes:
        DONE: The engine took it.
        REJECTED: The engine refused it.
        STALE: Its fencing number is old; the engine never saw it.
        UNKNOWN: It may have reached the engine, or the number could not be checked.
        NO_UPSTREAM: The configuration has no such upstream.
    """

    DONE = "done"
    REJECTED = "rejected"
    STALE = "stale"
    UNKNOWN = "unknown"
    NO_UPSTREAM = "no_upstream"


FINAL = frozenset({EngineOutcome.DONE, EngineOutcome.REJECTED, EngineOutcome.NO_UPSTREAM})


class SidecarOrders:
    """The sidecar's side: gives its engine each order once, and none with an old number.

    Args:
        upstream: Name of the upstream.
        control: The way to the engine; None where the upstream takes no orders.
        table: Where the lease's fence row is.
        checks_fencing: True where the engine refuses old numbers itself; else the fence row is
            read before each order, so that one is refused before the next holder's first.
    """

    def __init__(
        self, upstream: str, control: EngineControl | None, table: Table, checks_fencing: bool
    ) -> None:
        self._upstream = upstream
        self._control = control
        self._table = table
        self._checks_fencing = checks_fencing
        self._fences = FenceRegister()
        self._outcomes: OrderedDict[str, EngineOutcome] = OrderedDict()
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    def receive(self, link: Link, message: OrderEngine) -> None:
        """Carries out an order and answers on its link, without keeping the caller."""
        task = asyncio.get_running_loop().create_task(self._answer(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, link: Link, message: OrderEngine) -> None:
        link.send(await self.carry_out(message))

    async def carry_out(self, message: OrderEngine) -> EngineOrdered:
        """Returns what became of an order; a repeat gets the first outcome."""
        async with self._lock:
            outcome = self._outcomes.get(message.order_id)
            if outcome is None:
                outcome = await self._give(message)
                self._keep(message.order_id, outcome)
        log_event(logger, "engine_order", order=message, outcome=outcome.value)
        return EngineOrdered(message.order_id, outcome.value)

    async def _give(self, message: OrderEngine) -> EngineOutcome:
        if self._control is None:
            return EngineOutcome.REJECTED
        order = EngineOrder(message.order_id, message.fence, message.action, message.argument)
        try:
            await self._learn()
            self._fences.admit(self._upstream, order.fence)
            await self._control.order(order)
        except FenceStale:
            return EngineOutcome.STALE
        except OrderRejected:
            return EngineOutcome.REJECTED
        except PlatformError:
            return EngineOutcome.UNKNOWN
        return EngineOutcome.DONE

    async def _learn(self) -> None:
        if self._checks_fencing and self._fences.highest(self._upstream) is not None:
            return
        row = await self._table.read(LEASE_TABLE, FENCE_KEY)
        self._fences.learn(self._upstream, row.value["fence"] if row is not None else 0)

    def _keep(self, order_id: str, outcome: EngineOutcome) -> None:
        if outcome in FINAL:
            self._outcomes[order_id] = outcome
        while len(self._outcomes) > KEPT_OUTCOMES:
            self._outcomes.popitem(last=False)
