"""Write-ahead journal of the orders that start and stop upstreams.

An open-order row is written before the order is sent, on condition that the lease has not changed
hands. The next lease holder finds the rows that are still open. It sends such an order again with
its own fencing token, which is safe because an order id is carried out only once, or abandons it,
which is safe because the sender's lease ended before its own began and the sender's guard lets no
complete order out after that.
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
MAX_WRITE_ATTEMPTS = 3
KEPT_FINISHED_ORDERS = 256


class OrderState(Enum):
    """Outcome of an order."""

    OPEN = "open"
    DONE = "done"
    REJECTED = "rejected"
    ABANDONED = "abandoned"


@dataclass(slots=True, frozen=True)
class JournalledOrder:
    """An order and its outcome."""

    order: UpstreamOrder
    state: OrderState

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> JournalledOrder:
        """Returns the journalled order in a JSON value."""
        kind = StartUpstream if value["kind"] == "start" else StopUpstream
        return cls(kind(**value["order"]), OrderState(value["state"]))

    def to_value(self) -> dict[str, Any]:
        """Returns the journalled order as a JSON value."""
        match self.order:
            case StartUpstream():
                kind = "start"
            case StopUpstream():
                kind = "stop"
        return {"kind": kind, "order": asdict(self.order), "state": self.state.value}


class OrderJournal:
    """Journals and sends orders, and settles those that an earlier holder left open."""

    __slots__ = ("_lease", "_make_id", "_orders", "_table")

    def __init__(
        self,
        table: Table,
        orders: UpstreamOrders,
        lease: LeaseHolder,
        make_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        """Initialises the journal of the orders that are made under one lease.

        Args:
            table: The platform's table service.
            orders: Sends orders to the platform.
            lease: The lease that permits orders.
            make_id: Returns a unique id for each order.
        """
        self._table = table
        self._orders = orders
        self._lease = lease
        self._make_id = make_id

    async def start(self, zone: str, pool: str) -> JournalledOrder:
        """Orders the start of one upstream of a pool; raises as `send`."""
        order = StartUpstream(self._make_id(), self._lease.guard().fence, zone, pool)
        return await self.send(order)

    async def stop(self, zone: str, upstream: str) -> JournalledOrder:
        """Orders the stop of an upstream; raises as `send`."""
        order = StopUpstream(self._make_id(), self._lease.guard().fence, zone, upstream)
        return await self.send(order)

    async def send(self, order: UpstreamOrder) -> JournalledOrder:
        """Journals an order, sends it and journals its outcome.

        Raises:
            LeaseLost: The lease was lost; the platform received no complete order.
            PlatformUnavailable: The outcome is unknown; `settle` resolves it.
        """
        guard = self._lease.guard()
        revision = await self._write_open_order(order, 0)
        return await self._deliver(order, revision, guard)

    async def open_orders(self) -> list[JournalledOrder]:
        """Returns the orders whose outcome is unknown."""
        rows = await self._table.scan(TABLE, self._open_key(""))
        return [JournalledOrder.from_value(row.value) for row in rows]

    async def settle(
        self, is_still_wanted: Callable[[UpstreamOrder], bool]
    ) -> list[JournalledOrder]:
        """Sends the open orders that are still wanted again and abandons the others.

        To be called after the lease was acquired, before any new order, and after an order whose
        outcome is unknown.

        Raises:
            LeaseLost: The lease was lost; nothing more was sent.
            PlatformUnavailable: An outcome is still unknown.
        """
        settled = []
        for row in await self._table.scan(TABLE, self._open_key("")):
            order = JournalledOrder.from_value(row.value).order
            if is_still_wanted(order):
                settled.append(await self._send_again(order, row))
            else:
                abandoned = JournalledOrder(order, OrderState.ABANDONED)
                await self._write_outcome(abandoned, row.revision)
                settled.append(abandoned)
        await self._delete_old_outcomes()
        return settled

    async def _send_again(self, order: UpstreamOrder, row: Row) -> JournalledOrder:
        guard = self._lease.guard()
        order = replace(order, fence=guard.fence)
        revision = await self._write_open_order(order, row.revision)
        return await self._deliver(order, revision, guard)

    async def _deliver(self, order: UpstreamOrder, revision: int, guard: Any) -> JournalledOrder:
        guard.check()
        try:
            await self._orders.send(order, guard)
            outcome = JournalledOrder(order, OrderState.DONE)
        except OrderRejected:
            outcome = JournalledOrder(order, OrderState.REJECTED)
        await self._write_outcome(outcome, revision)
        return outcome

    async def _write_open_order(self, order: UpstreamOrder, revision: int) -> int:
        key = self._open_key(order.order_id)
        value = JournalledOrder(order, OrderState.OPEN).to_value()
        for attempt in range(MAX_WRITE_ATTEMPTS):
            conditions = [self._lease.fence_condition(), Condition(TABLE, key, revision)]
            try:
                return await self._table.commit(conditions, [Put(TABLE, key, value)])
            except PlatformUnavailable:
                if attempt == MAX_WRITE_ATTEMPTS - 1:
                    raise
            except Conflict:
                return await self._find_written_order(key, value)
        raise AssertionError("unreachable")

    async def _find_written_order(self, key: str, value: dict[str, Any]) -> int:
        row = await self._table.read(TABLE, key)
        if row is None or row.value != value:
            raise LeaseLost("another process acquired the lease or settled the order")
        return row.revision

    async def _write_outcome(self, outcome: JournalledOrder, revision: int) -> None:
        key = self._open_key(outcome.order.order_id)
        conditions = [self._lease.fence_condition(), Condition(TABLE, key, revision)]
        writes: list[Write] = [
            Delete(TABLE, key),
            Put(TABLE, self._done_key(outcome.order), outcome.to_value()),
        ]
        try:
            await self._table.commit(conditions, writes)
        except Conflict as exc:
            raise LeaseLost("another process acquired the lease or settled the order") from exc

    async def _delete_old_outcomes(self) -> None:
        rows = await self._table.scan(TABLE, f"done/{self._lease.name}/")
        expired = rows[:-KEPT_FINISHED_ORDERS]
        if expired:
            await self._table.commit([], [Delete(TABLE, row.key) for row in expired])

    def _open_key(self, order_id: str) -> str:
        return f"open/{self._lease.name}/{order_id}"

    def _done_key(self, order: UpstreamOrder) -> str:
        return f"done/{self._lease.name}/{order.fence:012d}/{order.order_id}"
