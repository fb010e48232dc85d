"""Leases where the store comes back from an older copy of itself."""

import unittest
from random import Random

from bilberryplank_core._lease_rows import LeaseRowInvalid
from bilberryplank_core.contracts import Put
from bilberryplank_core.direct import LeaseHolder
from bilberryplank_core.errors import Conflict, PlatformError
from bilberryplank_core.tests._explore import Call, Process, SystemModel, explore
from bilberryplank_core.tests._memory_platform import RestorableTable, RestoredTable
from bilberryplank_core.tests.test_lease_interleavings import LeaseModel

DURATION = 6.0
MARGIN = 1.0
WAIT = DURATION + MARGIN


class RestoredLeaseTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 50.0
        self.store = RestorableTable()
        self.first = self.make_holder("first")
        self.second = self.make_holder("second")
        self.empty = self.store.keep_copy()

    def make_holder(self, owner):
        table = RestoredTable(self.store)
        return LeaseHolder(
            "job", owner, table, lambda: self.now, DURATION, MARGIN, Random(1), eras=table.eras
        )

    async def acquire(self, holder):
        """Takes the lease in the first era, whose beginning contenders wait out too."""
        await self.attempt(holder)
        self.now += WAIT
        self.assertTrue(await self.attempt(holder))

    async def attempt(self, holder):
        try:
            return (
                await (holder.renew() if holder.held(self.now) else holder.try_acquire())
                or await holder.try_acquire()
            )
        except PlatformError:
            return await holder.try_acquire()

    async def test_no_fence_is_given_out_twice_by_two_copies(self):
        await self.acquire(self.first)
        fences = [self.first.fence]
        for holder in (self.second, self.first, self.second):
            self.store.restore(self.empty)
            await self.attempt(holder)
            self.now += 2 * WAIT
            self.assertTrue(await self.attempt(holder))
            fences.append(holder.fence)
        self.assertEqual(fences, sorted(set(fences)))

    async def test_no_row_of_an_older_copy_gives_the_lease_to_a_second_holder(self):
        for row in ("none", "released", "own"):
            with self.subTest(row=row):
                self.setUp()
                await self.acquire(self.second)
                if row == "released":
                    await self.second.release()
                kept = self.empty if row == "none" else self.store.keep_copy()
                if row == "own":
                    self.now += WAIT
                    await self.first.try_acquire()
                    self.now += WAIT
                else:
                    await self.second.release()
                self.assertTrue(await self.attempt(self.first))
                self.store.restore(kept)
                self.assertTrue(self.first.held(self.now))
                self.assertFalse(await self.attempt(self.second))
                self.now += WAIT - 0.1
                self.assertFalse(await self.second.try_acquire())
                self.assertFalse(self.first.held(self.now))
                self.now += 0.1
                self.assertTrue(await self.second.try_acquire())

    async def test_a_process_that_starts_in_the_new_era_waits_for_the_grant_that_it_cannot_see(
        self,
    ):
        await self.acquire(self.first)
        self.store.restore(self.empty)
        third = self.make_holder("third")
        self.assertFalse(await third.try_acquire())
        self.now += DURATION
        self.assertFalse(await third.try_acquire())
        self.now += MARGIN
        self.assertTrue(await third.try_acquire())

    async def test_the_last_holder_goes_on_at_once_and_keeps_its_tenure(self):
        await self.acquire(self.first)
        since = self.first.sole_since
        self.now += 3.0
        self.store.restore(self.empty)
        self.assertTrue(await self.attempt(self.first))
        self.assertEqual(self.first.sole_since, since)
        self.assertFalse(await self.attempt(self.second))

    # A call under its fencing token of the new era could overtake one of the era before.
    async def test_the_last_holder_waits_for_its_own_call_of_the_era_before(self):
        await self.acquire(self.first)
        call = self.first.guard().begin_call()
        self.store.restore(self.empty)
        self.assertFalse(await self.attempt(self.first))
        call.end(answered=True)
        self.assertTrue(await self.attempt(self.first))

    async def test_a_holder_that_was_away_for_a_lease_waits_like_any_other(self):
        await self.acquire(self.first)
        self.now += WAIT
        self.store.restore(self.empty)
        self.assertFalse(await self.attempt(self.first))
        self.assertEqual(self.first.sole_since, float("inf"))
        self.now += WAIT
        self.assertTrue(await self.first.try_acquire())
        self.assertEqual(self.first.sole_since, self.now)

    async def test_one_that_relinquished_the_lease_does_not_go_on_after_a_restore(self):
        await self.acquire(self.first)
        self.second.record_relinquished(self.first.relinquish())
        self.store.restore(self.store.keep_copy())
        self.assertFalse(await self.attempt(self.first))
        self.assertFalse(await self.attempt(self.second))

    async def test_a_grant_that_is_written_late_in_the_next_era_is_held_by_nobody(self):
        await self.acquire(self.first)
        await self.first.release()

        async def restore():
            self.store.restore(self.store.keep_copy())

        self.store.on_commit = restore
        with self.assertRaises(PlatformError):
            await self.second.try_acquire()
        self.assertFalse(self.second.held(self.now))
        self.assertFalse(await self.second.try_acquire())

    async def test_a_spoiled_row_is_a_typed_error_and_an_unknown_field_is_none(self):
        good = {"holder": "x", "grant": "g", "fence": 1, "duration": 6.0, "released": False}
        await self.store.commit([], [Put("leases", "job", {**good, "later": 1})])
        self.assertFalse(await self.first.try_acquire())
        spoiled = [None, [], {}, {**good, "fence": "1"}, {**good, "duration": 10**400}]
        for value in [*spoiled, {**good, "fence": 10**400}, {**good, "duration": float("nan")}]:
            with self.subTest(value=str(value)[:80]), self.assertRaises(LeaseRowInvalid):
                await self.store.commit([], [Put("leases", "job", value)])
                await self.first.try_acquire()


class EraStepTable(RestoredTable):
    """A process's view of the explored table; each call is a step."""

    async def read(self, table, key):
        return await self._answered(self._step("read", (table, key)))

    async def commit(self, conditions, writes):
        return await self._answered(self._step("commit", (conditions, writes)))

    async def _step(self, name, args):
        call = Call(name, args)
        call.era = self.eras.current
        return await call


class RestoredLeaseModel(LeaseModel):
    """The store comes back from a copy once; the first era began long ago."""

    remaining_faults = 0
    remaining_restores = 1
    remaining_ticks = 3

    def __init__(self):
        SystemModel.__init__(self)
        self.era, self.opened = 1, 1
        self.orders, self.leases = [], []
        for index, offset in enumerate((0.0, 1000.0)):
            lease = self.make_lease(f"p{index}", offset)
            lease._table = EraStepTable(self, lease._eras)
            lease._eras.current = lease._era = 1
            self.leases.append((lease, offset))
            self.processes.append(Process(self.program(lease, f"p{index}")))

    def program(self, lease, owner):
        return lambda process: self.send_orders(lease, owner, process)

    def choices(self):
        yield from super().choices()
        if self.remaining_restores:
            yield from (("restore", index) for index in {0, max(0, len(self.history) - 2)})

    def apply_choice(self, choice):
        action, index = choice
        if action != "restore":
            super().apply_choice(choice)
            return
        self.remaining_restores -= 1
        self.table.rows = dict(self.history[index])
        self.table._revision = max([0, *(row.revision for row in self.table.rows.values())])
        self.history = [dict(self.table.rows)]
        self.era += 1

    def run_call(self, call, stale=False):
        if call.name == "commit":
            if call.era == self.era:
                self.opened = self.era
            if call.era != self.opened:
                # Its condition on the era's row is violated.
                return Conflict("the row of the era has another revision")
        return super().run_call(call, stale)

    def state(self):
        eras = [(lease._era, lease._is_last_holder) for lease, _ in self.leases]
        known = [self.now + offset - lease._era_known_at for lease, offset in self.leases]
        return repr((super().state(), self.era, self.opened, eras, known, self.remaining_restores))


class TwiceRestoredLeaseModel(RestoredLeaseModel):
    """The store comes back twice; writes may be lost, or land in the next era."""

    remaining_faults = 1
    remaining_restores = 2
    remaining_ticks = 4


class LeaseErasInterleavingsTest(unittest.TestCase):
    def test_no_interleaving_with_a_restore_gives_the_lease_two_holders(self):
        self.assertGreater(explore(RestoredLeaseModel, 11), 10000)

    def test_no_interleaving_with_two_restores_and_a_late_write_gives_it_two_holders(self):
        self.assertGreater(explore(TwiceRestoredLeaseModel, 7), 10000)
