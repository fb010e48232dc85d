"""Orders that start and stop upstreams: written down before they are sent, then settled.

An intent row is written on condition that the lease changed hands with nobody. The next holder
finds the rows that were left open. An order id is carried out once, so it sends such an order
again under its own fencing number, or abandons it: the sender's lease ended before the new
holder's began, and its guard lets no whole order out after that.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any

from bilberryplank_core._contracts import (
    Condition,
    Delete,
    Put,
    Row,
    StartUpstream,
    StopUpstream,
    Table,
    UpstreamOrder,
    UpstreamOrders,
    Write,
)
from bilberryplank_core._errors import (
    Conflict,
    LeaseLost,
    OrderRejected,
    PlatformUnavailable,
)
from bilberryplank_core._leases import LeaseHolder

TABLE = "orders"
MAX_RECORD_ATTEMPTS = 3
KEPT_ORDERS = 256


class OrderState(Enum):
    """What became of an order."""

    OPEN = "open"
    DONE = "done"
    REJECTED = "rejected"
    ABANDONED = "abandoned"


@dataclass(slots=True, frozen=True)
class JournalledOrder:
    """An order and what became of it."""

    order: UpstreamOrder
    state: OrderState

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> JournalledOrder:
        """Returns the order in a JSON value."""
        kind = StartUpstream if value["kind"] == "start" else StopUpstream
        return cls(kind(**value["order"]), OrderState(value["state"]))

    def to_value(self) -> dict[str, Any]:
        """Returns the order as a JSON value."""
        match self.order:
            case StartUpstream():
                kind = "start"
            case StopUpstream():
                kind = "stop"
        return {"kind": kind, "order": asdict(self.order), "state": self.state.value}


class OrderJournal:
    """Writes orders down, sends them and settles what an earlier holder left open."""

    __slots__ = ("_lease", "_make_id", "_orders", "_table")

    def __init__(
        self,
        table: Table,
        orders: UpstreamOrders,
        lease: LeaseHolder,
        make_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        """Makes the journal of the orders under one lease."""
        self._table = table
        self._orders = orders
        self._lease = lease
        self._make_id = make_id

    async def start(self, zone: str, pool: str) -> JournalledOrder:
        """Orders one upstream of a pool; for exceptions see `send`."""
        order = StartUpstream(self._make_id(), self._lease.guard().fence, zone, pool)
        return await self.send(order)

    async def stop(self, zone: str, upstream: str) -> JournalledOrder:
        """Orders the end of an upstream; for exceptions see `send`."""
        order = StopUpstream(self._make_id(), self._lease.guard().fence, zone, upstream)
        return await self.send(order)

    async def send(self, order: UpstreamOrder) -> JournalledOrder:
        """Writes an order down, sends it and writes down what became of it.

        Raises:
            LeaseLost: The lease ended; the platform saw no whole order.
            PlatformUnavailable: The outcome is unknown; `settle` sends the order again.
        """
        guard = self._lease.guard()
        revision = await self._record(order, 0)
        return await self._deliver(order, revision, guard)

    async def open_orders(self) -> list[JournalledOrder]:
        """Returns the orders whose outcome is not known."""
        rows = await self._table.scan(TABLE, self._open_key(""))
        return [JournalledOrder.from_value(row.value) for row in rows]

    async def settle(self, wanted: Callable[[UpstreamOrder], bool]) -> list[JournalledOrder]:
        """Sends open orders again that are still wanted and abandons the others.

        To be called after the lease was taken, before any new order, and after an order whose
        outcome is unknown.

        Raises:
            LeaseLost: The lease ended; no more was sent.
            PlatformUnavailable: An outcome is still unknown.
        """
        settled = []
        for row in await self._table.scan(TABLE, self._open_key("")):
            order = JournalledOrder.from_value(row.value).order
            if wanted(order):
                settled.append(await self._send_again(order, row))
            else:
                state = JournalledOrder(order, OrderState.ABANDONED)
                await self._finish(state, row.revision)
                settled.append(state)
        await self._prune()
        return settled

    async def _send_again(self, order: UpstreamOrder, row: Row) -> JournalledOrder:
        guard = self._lease.guard()
        order = replace(order, fence=guard.fence)
        revision = await self._record(order, row.revision)
        return await self._deliver(order, revision, guard)

    async def _deliver(self, order: UpstreamOrder, revision: int, guard: Any) -> JournalledOrder:
        guard.check()
        try:
            await self._orders.send(order, guard)
            done = JournalledOrder(order, OrderState.DONE)
        except OrderRejected:
            done = JournalledOrder(order, OrderState.REJECTED)
        await self._finish(done, revision)
        return done

    async def _record(self, order: UpstreamOrder, revision: int) -> int:
        key = self._open_key(order.order_id)
        value = JournalledOrder(order, OrderState.OPEN).to_value()
        for attempt in range(MAX_RECORD_ATTEMPTS):
            conditions = [self._lease.fence_condition(), Condition(TABLE, key, revision)]
            try:
                return await self._table.commit(conditions, [Put(TABLE, key, value)])
            except PlatformUnavailable:
                if attempt == MAX_RECORD_ATTEMPTS - 1:
                    raise
            except Conflict:
                return await self._recorded(key, value)
        raise AssertionError("unreachable")

    async def _recorded(self, key: str, value: dict[str, Any]) -> int:
        row = await self._table.read(TABLE, key)
        if row is None or row.value != value:
            raise LeaseLost("another process took the lease or settled the order")
        return row.revision

    async def _finish(self, done: JournalledOrder, revision: int) -> None:
        key = self._open_key(done.order.order_id)
        conditions = [self._lease.fence_condition(), Condition(TABLE, key, revision)]
        writes: list[Write] = [
            Delete(TABLE, key),
            Put(TABLE, self._done_key(done.order), done.to_value()),
        ]
        try:
            await self._table.commit(conditions, writes)
        except Conflict as exc:
            raise LeaseLost("another process took the lease or settled the order") from exc

    async def _prune(self) -> None:
        rows = await self._table.scan(TABLE, f"done/{self._lease.name}/")
        old = rows[:-KEPT_ORDERS]
        if old:
            await self._table.commit([], [Delete(TABLE, row.key) for row in old])

    def _open_key(self, order_id: str) -> str:
        return f"open/{self._lease.name}/{order_id}"

    def _done_key(self, order: UpstreamOrder) -> str:
        return f"done/{self._lease.name}/{order.fence:012d}/{order.order_id}"
