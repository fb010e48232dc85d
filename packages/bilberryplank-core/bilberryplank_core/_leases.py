"""Leases: one process at a time does a job, with fencing numbers.

Rows hold no wall-clock times. A holder counts its lease from before its renewal was sent and stops
a margin earlier; a contender waits until it has seen the row unchanged for the duration plus a
margin on its own clock (Gray and Cheriton, "Leases", 1989). Both rules hold whatever the delays,
stale reads and lost answers, as long as clocks run at the same rate to within the margin.

A grant on which its holder acts no more is free without that wait: its own that has expired, and
one that its holder gave up and said so.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bilberryplank_core._contracts import Condition, Put, Row, Table
from bilberryplank_core._errors import Conflict, PlatformUnavailable
from bilberryplank_core._lease_guard import LeaseGuard
from bilberryplank_core._lease_rows import TABLE, LeaseRow, fence_key, lease_row

RENEWALS_PER_LEASE = 3
JITTER = 0.2


@dataclass(slots=True, frozen=True)
class _Grant:
    row: LeaseRow
    revision: int
    fence_revision: int


class LeaseHolder:
    """One process's part in the contest for a lease, and its holding of it.

    One task calls `try_acquire` and `renew`; `release` may come from another at any moment.

    Besides the lease's row, which every renewal rewrites, an acquisition writes a fence row. Its
    revision changes with the holder only, so writes can be made conditional on it.
    """

    __slots__ = (
        "_clock",
        "_duration",
        "_expires_at",
        "_given_up",
        "_grant",
        "_make_id",
        "_margin",
        "_name",
        "_owner",
        "_pending",
        "_released",
        "_rng",
        "_seen_at",
        "_seen_revision",
        "_table",
    )

    def __init__(
        self,
        name: str,
        owner: str,
        table: Table,
        clock: Callable[[], float],
        duration: float,
        margin: float,
        rng: Random,
        make_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        """Makes a contender.

        Args:
            name: Name of the lease.
            owner: Name of this process.
            table: The platform's table service.
            clock: Seconds that go on while the host is suspended, as CLOCK_BOOTTIME.
            duration: Seconds of the lease.
            margin: Seconds that a holder stops early and a contender waits longer.
            rng: Source of jitter.
            make_id: Source of unique ids.
        """
        self._name = name
        self._owner = owner
        self._table = table
        self._clock = clock
        self._duration = duration
        self._margin = margin
        self._rng = rng
        self._make_id = make_id
        self._grant: _Grant | None = None
        self._expires_at = float("-inf")
        self._pending: dict[str, float] = {}
        self._seen_revision = 0
        self._seen_at = 0.0
        self._given_up = ""
        self._released: _Grant | None = None

    @property
    def name(self) -> str:
        """The name of the lease."""
        return self._name

    @property
    def fence(self) -> int:
        """The fencing number of the newest lease held here; 0 before the first."""
        return self._grant.row.fence if self._grant else 0

    def held(self, now: float) -> bool:
        """Returns True where this process holds the lease at `now` on its clock."""
        return self._grant is not None and now < self._expires_at

    def remaining(self, now: float) -> float:
        """Returns the seconds that are left of the lease; 0 where it is not held."""
        return max(0.0, self._expires_at - now) if self._grant else 0.0

    def take_given_up(self, grant: str) -> None:
        """Takes in that the holder of a grant acts on it no more."""
        self._given_up = grant

    def expects_free(self) -> bool:
        """Returns True where the newest grant known here is one that nobody acts on."""
        expired = self._grant is not None and not self.held(self._clock())
        return expired or bool(self._given_up)

    def guard(self) -> LeaseGuard:
        """Returns the guard of an order that is made under the lease as held now.

        Raises:
            LeaseLost: The lease is not held.
        """
        guard = LeaseGuard(self, self.fence, self._clock)
        guard.check()
        return guard

    def fence_condition(self) -> Condition:
        """Returns the condition under which nobody took the lease since.

        Raises:
            LeaseLost: The lease is not held.
        """
        self.guard()
        assert self._grant is not None
        return Condition(TABLE, fence_key(self._name), self._grant.fence_revision)

    def delay(self) -> float:
        """Returns the seconds to wait before the next `renew` or `try_acquire`."""
        wait = self._duration / RENEWALS_PER_LEASE
        return wait * self._rng.uniform(1 - JITTER, 1 + JITTER)

    def takeover_delay(self) -> float:
        """Returns the seconds to wait before the next `try_acquire` where many contend.

        A read within the time of a lease could not find it ended, and of many contenders one soon
        reads after that. A single contender takes over within twice this time.
        """
        return (self._duration + self._margin) * self._rng.uniform(1, 1 + JITTER)

    async def try_acquire(self) -> bool:
        """Takes the lease where it is free; returns True where this process holds it.

        Raises:
            PlatformUnavailable: The table did not answer; the next call settles the outcome.
        """
        if self.held(self._clock()):
            return True
        row = await self._table.read(TABLE, self._name)
        value = lease_row(row)
        if value is not None and value.grant in self._pending:
            return await self._adopt(row, value)
        if not self._is_free(row, value):
            return False
        return await self._take(row.revision if row else 0, value.fence if value else 0)

    async def renew(self) -> bool:
        """Extends the lease; returns False where it is lost.

        Raises:
            PlatformUnavailable: The table did not answer; the lease goes on to its end.
        """
        if await self._extend():
            return True
        await self._refresh()
        return await self._extend()

    def give_up(self) -> str:
        """Acts on the lease no more; returns the id of the grant, empty where none is known.

        `release` then tells the table.
        """
        self._pending.clear()
        self._released, self._grant = self._grant or self._released, None
        return self._released.row.grant if self._released else ""

    async def release(self) -> None:
        """Gives the lease up, so that others need not wait for its end."""
        self.give_up()
        grant, self._released = self._released, None
        if grant is None or self._clock() >= self._expires_at:
            return
        value = grant.row.to_value(released=True)
        condition = Condition(TABLE, self._name, grant.revision)
        try:
            await self._table.commit([condition], [Put(TABLE, self._name, value)])
        except (Conflict, PlatformUnavailable):
            return

    def _is_free(self, row: Row | None, value: LeaseRow | None) -> bool:
        if row is None or value is None or value.released:
            return True
        if value.grant == self._given_up or self._is_own(value):
            return True
        self._given_up, self._grant = "", None
        now = self._clock()
        if row.revision != self._seen_revision:
            self._seen_revision = row.revision
            self._seen_at = now
        return now - self._seen_at >= value.duration + self._margin

    def _is_own(self, value: LeaseRow) -> bool:
        return self._grant is not None and value.grant == self._grant.row.grant

    async def _take(self, revision: int, last_fence: int) -> bool:
        value = LeaseRow(self._owner, self._make_id(), last_fence + 1, self._duration)
        sent_at = self._clock()
        self._pending[value.grant] = sent_at
        fence_value = {"grant": value.grant, "fence": value.fence}
        writes = [
            Put(TABLE, self._name, value.to_value()),
            Put(TABLE, fence_key(self._name), fence_value),
        ]
        try:
            revision = await self._table.commit(
                [Condition(TABLE, self._name, revision)], list(writes)
            )
        except Conflict:
            self._pending.pop(value.grant, None)
            return False
        if value.grant not in self._pending:
            return False
        self._hold(_Grant(value, revision, revision), sent_at)
        return self.held(self._clock())

    async def _adopt(self, row: Row, value: LeaseRow) -> bool:
        fence_row = await self._table.read(TABLE, fence_key(self._name))
        sent_at = self._pending.get(value.grant)
        if sent_at is None or fence_row is None or fence_row.value["grant"] != value.grant:
            return False
        self._hold(_Grant(value, row.revision, fence_row.revision), sent_at)
        if self.held(self._clock()):
            return True
        return await self._take(row.revision, value.fence)

    async def _extend(self) -> bool:
        sent_at = self._clock()
        grant = self._grant
        if grant is None or not self.held(sent_at):
            return False
        put = Put(TABLE, self._name, grant.row.to_value())
        condition = Condition(TABLE, self._name, grant.revision)
        try:
            revision = await self._table.commit([condition], [put])
        except Conflict:
            return False
        if self._grant is not grant:
            return False
        self._hold(_Grant(grant.row, revision, grant.fence_revision), sent_at)
        return True

    async def _refresh(self) -> None:
        """Learns the revision of a renewal whose answer was lost, or that the lease is lost."""
        if self._grant is None:
            return
        row = await self._table.read(TABLE, self._name)
        value = lease_row(row)
        if row is None or value is None or self._grant is None:
            return
        if value.grant == self._grant.row.grant:
            self._grant = _Grant(value, row.revision, self._grant.fence_revision)
        elif value.fence > self._grant.row.fence:
            self._grant = None

    def _hold(self, grant: _Grant, sent_at: float) -> None:
        self._grant = grant
        self._expires_at = sent_at + self._duration - self._margin
        self._pending = {grant.row.grant: sent_at}
