"""Leases with fencing tokens in the table service: at most one process at a time does a job.

Rows hold no wall-clock times. A holder counts the duration from just before it sends a renewal and
stops acting one margin before the end. A contender acquires the lease once it has observed the row
unchanged, on its own clock, for the duration plus one margin (Gray and Cheriton, "Leases", 1989).
Together the two rules exclude a second holder in spite of delays, stale reads and lost responses,
as long as the clocks run at the same rate to within the margin.

No wait is needed for a grant that its holder no longer uses: the contender's own expired grant, or
one whose holder announced that it relinquished it. A grant is not given up early, nor followed by
another one of the same holder, while a call under it may still arrive.

A store may come back from an older copy, which begins a new era. Then a lease row of an earlier
era, or none, does not tell who holds the lease: the grant in force may be gone. Contenders wait
until every grant of an earlier era has expired: for the same time from when they first knew of the
new era.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bilberryplank_core._contracts import Condition, Put, Row, Table
from bilberryplank_core._errors import Conflict, PlatformUnavailable
from bilberryplank_core._lease_calls import LeaseCall, LeaseCalls
from bilberryplank_core._lease_guard import LeaseGuard
from bilberryplank_core._lease_rows import (
    TABLE,
    LeaseRow,
    fence_key,
    granted_in_fence_row,
    lease_row,
)
from bilberryplank_core._store_era import EraTracker, era_of_fence, next_fence

RENEWALS_PER_LEASE = 3
JITTER_SHARE = 0.2

LAST_HOLDER_MARGIN_SHARE = 0.8
"""Share of the margin within which the last holder of an era still knows that nobody followed it;
the rest is for clocks that run at different rates."""


@dataclass(slots=True, frozen=True)
class _Grant:
    row: LeaseRow
    revision: int
    fence_revision: int


class LeaseHolder:
    """Acquires, renews and releases one lease for one process.

    One task calls `try_acquire` and `renew`; another task may call `release` at any time.

    Every renewal rewrites the lease row. An acquisition also writes a fence row, whose revision
    changes only when the holder changes, so other writes can be made conditional on it.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_duration",
        "_era",
        "_era_known_at",
        "_eras",
        "_expires_at",
        "_is_last_holder",
        "_relinquished_grant",
        "_grant",
        "_make_id",
        "_margin",
        "_name",
        "_owner",
        "_pending_grants",
        "_unreleased_grant",
        "_rng",
        "_observed_at",
        "_observed_revision",
        "_sole_since",
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
        eras: EraTracker | None = None,
    ) -> None:
        """Initialises a contender that does not hold the lease yet.

        Args:
            name: Name of the lease.
            owner: Name of this process.
            table: The platform's table service.
            clock: Clock in seconds that also advances while the host is suspended, as
                CLOCK_BOOTTIME does.
            duration: Seconds from acquisition or renewal to expiry.
            margin: Seconds by which a holder stops early and a contender waits longer.
            rng: Random number generator for the jitter.
            make_id: Returns a unique id for each grant.
            eras: Eras of the table service; None if it has none.
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
        self._pending_grants: dict[str, float] = {}
        self._observed_revision = 0
        self._observed_at = 0.0
        self._relinquished_grant = ""
        self._unreleased_grant: _Grant | None = None
        self._sole_since = float("inf")
        self._is_last_holder = False
        self._calls = LeaseCalls()
        self._eras = eras or EraTracker()
        self._era: int | None = None
        self._era_known_at = float("-inf")
        self._eras.subscribe(self._begin_era)

    @property
    def name(self) -> str:
        """The name of the lease."""
        return self._name

    @property
    def fence(self) -> int:
        """The fencing token of the latest grant held here; 0 without one."""
        return self._grant.row.fence if self._grant else 0

    @property
    def has_eras(self) -> bool:
        """True if the table service tells its era."""
        return self._era is not None

    @property
    def era_known_at(self) -> float:
        """Time on this process's clock when it first knew of the present era; -inf without one."""
        return self._era_known_at

    @property
    def sole_since(self) -> float:
        """Time on this process's clock since which no other has held the lease; inf if unknown."""
        return self._sole_since

    def held(self, now: float) -> bool:
        """Returns whether this process holds the lease at `now` on its clock."""
        return self._grant is not None and now < self._expires_at

    def remaining(self, now: float) -> float:
        """Returns the seconds until this process must stop acting; 0 if the lease is not held."""
        return max(0.0, self._expires_at - now) if self._grant else 0.0

    def record_relinquished(self, grant: str) -> None:
        """Records that the holder of `grant` no longer acts under it."""
        self._relinquished_grant = grant

    def may_be_free(self) -> bool:
        """Returns whether a look at the lease may find it free before `takeover_delay`."""
        expired = self._grant is not None and not self.held(self._clock())
        return expired or self._is_last_holder or bool(self._relinquished_grant)

    def guard(self) -> LeaseGuard:
        """Returns a guard that lets an order pass only under the present grant.

        Raises:
            LeaseLost: The lease is not held.
        """
        guard = LeaseGuard(self, self.fence, self._clock)
        guard.check()
        return guard

    def begin_call(self) -> LeaseCall:
        """Records that a whole call under the present grant may arrive from now on."""
        return self._calls.begin(self._expires_at + 2 * self._margin)

    def awaits_answer(self) -> bool:
        """Returns whether a call waits for its answer and may still arrive."""
        return self._calls.await_answer(self._clock())

    def fence_condition(self) -> Condition:
        """Returns a write condition that fails once another process has acquired the lease.

        Raises:
            LeaseLost: The lease is not held.
        """
        self.guard()
        assert self._grant is not None
        return Condition(TABLE, fence_key(self._name), self._grant.fence_revision)

    def delay(self) -> float:
        """Returns the seconds to wait before the next `renew` or `try_acquire`."""
        wait = self._duration / RENEWALS_PER_LEASE
        return wait * self._rng.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)

    def takeover_delay(self) -> float:
        """Returns the seconds to wait before the next `try_acquire` if there are many contenders.

        An earlier read could not find the lease expired, and with many contenders one of them
        reads soon after expiry. A single contender takes over within twice this time.
        """
        return (self._duration + self._margin) * self._rng.uniform(1, 1 + JITTER_SHARE)

    async def try_acquire(self) -> bool:
        """Acquires the lease if it is free; returns whether this process then holds it.

        Raises:
            PlatformUnavailable: The table did not answer; the next call finds out whether the
                lease was acquired.
        """
        if self.held(self._clock()):
            return True
        row = await self._table.read(TABLE, self._name)
        if self._eras.current != self._era:
            self._begin_era(self._eras.current)
        current = lease_row(row)
        if row is not None and current is not None and current.grant in self._pending_grants:
            return await self._adopt_pending_grant(row, current)
        if not self._is_free(row, current):
            return False
        return await self._write_grant(row.revision if row else 0, current)

    async def renew(self) -> bool:
        """Extends the lease; returns False if it is lost.

        Raises:
            PlatformUnavailable: The table did not answer; the lease stays valid until it expires.
        """
        if await self._extend():
            return True
        await self._refresh_revision()
        return await self._extend()

    def relinquish(self) -> str:
        """Stops acting under the lease at once, without a call to the table.

        `release` then marks the row as released.

        Returns:
            The id of the relinquished grant, for others; empty if there is none, or while a call
            under it may still arrive.
        """
        self._pending_grants.clear()
        self._is_last_holder = False
        self._unreleased_grant, self._grant = self._grant or self._unreleased_grant, None
        if self._unreleased_grant is None or self._calls.may_arrive(self._clock()):
            return ""
        return self._unreleased_grant.row.grant

    async def release(self) -> None:
        """Relinquishes the lease and marks its row, so that others need not wait for expiry.

        The row is left to expire while a call may still arrive.
        """
        self.relinquish()
        if self._calls.may_arrive(self._clock()):
            return
        grant, self._unreleased_grant = self._unreleased_grant, None
        if grant is None or self._clock() >= self._expires_at:
            return
        value = grant.row.to_value(released=True)
        condition = Condition(TABLE, self._name, grant.revision)
        try:
            await self._table.commit([condition], [Put(TABLE, self._name, value)])
        except (Conflict, PlatformUnavailable):
            return

    def _begin_era(self, era: int | None) -> None:
        """Drops all that was granted, seen or announced in an earlier era."""
        now = self._clock()
        self._is_last_holder = self._is_last_holder or self._grant is not None
        # A contender would have waited longer than this for the last renewal sent here.
        renewed_at = self._expires_at - self._duration + self._margin
        if now - renewed_at >= self._duration + self._margin * LAST_HOLDER_MARGIN_SHARE:
            self._is_last_holder = False
        if not self._is_last_holder:
            self._sole_since = float("inf")
        self._grant = self._unreleased_grant = None
        self._pending_grants.clear()
        self._relinquished_grant = ""
        self._observed_revision = 0
        self._era, self._era_known_at = era, now

    def _is_free(self, row: Row | None, current: LeaseRow | None) -> bool:
        if row is None or current is None:
            return self._is_last_holder or self._is_settled()
        if self._era is not None and era_of_fence(current.fence) != self._era:
            # Released, relinquished or not: a later grant of that era may be lost.
            return self._is_last_holder or (self._is_unchanged(row, current) and self._is_settled())
        self._is_last_holder = False
        if current.released:
            return True
        if current.grant == self._relinquished_grant or self._is_own_grant(current):
            return True
        self._relinquished_grant, self._grant = "", None
        return self._is_unchanged(row, current)

    def _is_settled(self) -> bool:
        """Returns whether all grants of earlier eras have expired."""
        return self._era is None or (
            self._clock() - self._era_known_at >= self._duration + self._margin
        )

    def _is_unchanged(self, row: Row, current: LeaseRow) -> bool:
        """Returns whether the row was seen unchanged for so long that its grant has expired."""
        now = self._clock()
        if row.revision != self._observed_revision:
            self._observed_revision = row.revision
            self._observed_at = now
        return now - self._observed_at >= current.duration + self._margin

    def _is_own_grant(self, current: LeaseRow) -> bool:
        return self._grant is not None and current.grant == self._grant.row.grant

    async def _write_grant(self, revision: int, last: LeaseRow | None) -> bool:
        if self._calls.may_arrive(self._clock()):
            # A call with the next fencing token could overtake it.
            return False
        fence = next_fence(self._era, last.fence if last else 0)
        new = LeaseRow(self._owner, self._make_id(), fence, self._duration)
        is_own = self._is_last_holder or (last is not None and self._is_own_grant(last))
        sent_at = self._clock()
        self._pending_grants[new.grant] = sent_at
        fence_value = {"grant": new.grant, "fence": new.fence}
        writes = [
            Put(TABLE, self._name, new.to_value()),
            Put(TABLE, fence_key(self._name), fence_value),
        ]
        try:
            revision = await self._table.commit(
                [Condition(TABLE, self._name, revision)], list(writes)
            )
        except Conflict:
            self._pending_grants.pop(new.grant, None)
            return False
        if new.grant not in self._pending_grants:
            return False
        if not is_own:
            self._sole_since = self._clock()
        self._set_grant(_Grant(new, revision, revision), sent_at)
        return self.held(self._clock())

    async def _adopt_pending_grant(self, row: Row, current: LeaseRow) -> bool:
        fence_row = await self._table.read(TABLE, fence_key(self._name))
        sent_at = self._pending_grants.get(current.grant)
        if sent_at is None or fence_row is None or granted_in_fence_row(fence_row) != current.grant:
            return False
        self._sole_since = self._clock()
        self._set_grant(_Grant(current, row.revision, fence_row.revision), sent_at)
        if self.held(self._clock()):
            return True
        return await self._write_grant(row.revision, current)

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
        self._set_grant(_Grant(grant.row, revision, grant.fence_revision), sent_at)
        return True

    async def _refresh_revision(self) -> None:
        """Reads the revision after a renewal whose response was lost, or that the lease is lost."""
        if self._grant is None:
            return
        row = await self._table.read(TABLE, self._name)
        current = lease_row(row)
        if row is None or current is None or self._grant is None:
            return
        if current.grant == self._grant.row.grant:
            self._grant = _Grant(current, row.revision, self._grant.fence_revision)
        elif current.fence > self._grant.row.fence:
            self._grant = None

    def _set_grant(self, grant: _Grant, sent_at: float) -> None:
        self._grant = grant
        self._expires_at = sent_at + self._duration - self._margin
        self._pending_grants = {grant.row.grant: sent_at}
        self._is_last_holder = False
