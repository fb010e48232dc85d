"""What counts as a crash, and how evidence travels between entries and outlives them."""

import asyncio
import socket
import time
import unittest
from random import Random

from bilberryplank._clocks import boot_time
from bilberryplank._crash_guard import CrashGuard
from bilberryplank._crash_relay import CRASH_TABLE, LIFT_TABLE, CrashRelay
from bilberryplank._direct_state import DirectState
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._table_relay import TableRelay
from bilberryplank_core.contracts import Delete, Put, Row
from bilberryplank_core.direct import (
    DirectUpstream,
    EraTracker,
    FleetClock,
    FleetMembers,
    PromptSegment,
    RequestHead,
    TableChanges,
)
from bilberryplank_core.errors import PlatformUnavailable
from bilberryplank_core.settings import DirectEntrySettings, RetryBudgetSettings

ENGINES = tuple(f"e{number}" for number in range(6))


def settings():
    return DirectEntrySettings(
        name="x",
        zone="a",
        listen="127.0.0.1:1",
        operations_listen="127.0.0.1:2",
        metrics_listen="127.0.0.1:3",
        retries=RetryBudgetSettings(),
    )


def upstream(name, **changes):
    values = {"service": "s", "address": f"{name}:1", "zone": "a", "slots": 4, "started_at": 1}
    return DirectUpstream(name, **{**values, **changes})


def head(*parts):
    prompt = tuple(PromptSegment(part, 10) for part in (*parts, "own"))
    return RequestHead("r", model="m", prompt=prompt)


class Client:
    """Answers checks: True accepts, False refuses, None does not respond."""

    def __init__(self):
        self.listening = {}
        self.checks = 0

    async def is_listening(self, address):
        self.checks += 1
        return self.listening.get(address, True)


class Table:
    """The rows of all tables; may be down."""

    def __init__(self):
        self.rows, self.down, self.revision = {}, False, 1

    async def snapshot(self, table):
        self.check()
        found = tuple(
            Row(t, key, value, self.revision) for (t, key), value in self.rows.items() if t == table
        )
        return TableChanges(found, (), 1, boot_time(), boot_time())

    async def commit(self, conditions, writes):
        self.check()
        for each in writes:
            match each:
                case Put(table, key, value):
                    self.rows[table, key] = value
                case Delete(table, key):
                    self.rows.pop((table, key), None)

    async def forget(self, keys):
        await self.commit([], [Delete(*key) for key in keys])

    def check(self):
        if self.down:
            raise PlatformUnavailable("down")


class GuardCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = Client()
        self.stopped = []

    def new_guard(self):
        state = DirectState(settings(), Random(1), FleetClock(time.monotonic))
        state.registry.upstreams.update({name: upstream(name) for name in ENGINES})
        return CrashGuard(state, self.client, ProcessMetrics())

    def refuse(self, *names):
        self.client.listening.update(dict.fromkeys((f"{name}:1" for name in names), False))

    async def lose(self, guard, name, *parts, has_head=True, **changes):
        guarded = guard.guard(head(*parts), self.stopped.append)
        await guard.lost(guarded, upstream(name, **changes), has_head, boot_time() - 0.03)
        return guarded

    async def crash(self, guard, name, *parts):
        self.refuse(name)
        await self.lose(guard, name, *parts)
        await asyncio.sleep(0.2)

    def withheld(self, guard, *parts):
        return guard.admit(guard.guard(head(*parts), self.stopped.append))


class CrashGuardTest(GuardCase):
    async def test_two_crashes_withhold_the_part_and_end_who_waits_with_it(self):
        guard = self.new_guard()
        waiting = guard.guard(head("dead", "x"), self.stopped.append)
        sound = guard.guard(head("x"), self.stopped.append)
        for each in (waiting, sound):
            guard.begin(each)
        await self.crash(guard, "e1", "dead")
        self.assertIsNone(self.withheld(guard, "dead"))
        self.assertEqual(self.stopped, [])
        await self.crash(guard, "e2", "dead")
        held = self.withheld(guard, "dead", "y")
        self.assertEqual(held.quarantine.engines, ("e1/1", "e2/1"))
        self.assertGreater(held.retry_after, 100.0)
        self.assertEqual([each.quarantine.segment for each in self.stopped], ["m/dead"])
        self.assertIn(b"bilberryplank_prompt_quarantines 1.0", guard._metrics.render())

    async def test_a_response_lost_by_a_living_engine_blames_nobody(self):
        guard = self.new_guard()
        for _ in range(3):
            for name in ENGINES:
                await self.lose(guard, name, "part")
        self.assertEqual(len(guard.quarantine.evidence), 0)

    async def test_an_engine_that_does_not_respond_has_not_crashed_and_holds_nothing_up(self):
        guard = self.new_guard()
        self.client.listening.update({f"{name}:1": None for name in ENGINES})
        began = boot_time()
        await self.lose(guard, "e1", "part")
        self.assertLess(boot_time() - began, 0.3)
        await asyncio.sleep(0.6)
        self.assertEqual(len(guard.quarantine.evidence), 0)

    async def test_an_engine_that_leaves_or_is_not_known_blames_nobody(self):
        guard = self.new_guard()
        self.refuse(*ENGINES, "gone")
        known = guard._state.registry.upstreams
        known["e1"] = upstream("e1", leaving=True)
        for name in ("e1", "gone"):
            await self.lose(guard, name, "part")
        await self.lose(guard, "e2")
        self.assertEqual(len(guard.quarantine.evidence), 0)
        self.assertEqual(self.client.checks, 0)

    async def test_one_check_serves_all_requests_of_the_batch(self):
        guard = self.new_guard()
        self.refuse("e1")
        await asyncio.gather(*(self.lose(guard, "e1", f"part{number}") for number in range(20)))
        self.assertEqual(self.client.checks, 1)
        (record,) = guard.quarantine.evidence
        self.assertEqual(len(record.begun), 20)

    async def test_a_settled_response_clears_its_parts(self):
        guard = self.new_guard()
        for name in ("e1", "e2"):
            await self.crash(guard, name, "shared", "dead")
        trial = guard.guard(head("shared", "other"), self.stopped.append)
        self.assertIsNone(guard.admit(trial))
        guard.settled(trial, boot_time())
        guard.end(trial)
        for _ in range(3):
            self.assertIsNone(self.withheld(guard, "shared", "new"))
        held = self.withheld(guard, "shared", "dead")
        self.assertEqual(held.quarantine.segment, "m/dead")


class CrashRelayTest(GuardCase):
    """Load pattern: any entry may see any crash, while the store is silent or entries restart."""

    ENTRIES = 4

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.table = Table()
        self.parts = []
        self.rows = {}
        for number in range(self.ENTRIES):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", 0))
                self.rows[f"x{number}"] = {
                    "at": 0.0,
                    "address": f"127.0.0.1:{sock.getsockname()[1]}",
                }

    async def asyncTearDown(self):
        for part in reversed(self.parts):
            await part.stop()

    async def start(self, name):
        guard, members, clock = self.new_guard(), FleetMembers(name), FleetClock(boot_time)
        members.update(self.rows, 0.0)
        clock.record_answer(boot_time(), boot_time(), boot_time())
        relay = TableRelay(self.rows[name]["address"], members, clock, EraTracker())
        crashes = CrashRelay(relay, self.table, clock, members, guard, Random(name))
        for part in (relay, crashes):
            await part.start()
        self.parts += [relay, crashes]
        return guard, (crashes, relay)

    async def test_crashes_seen_by_different_entries_add_up_while_the_store_is_silent(self):
        self.table.down = True
        guards = [(await self.start(name))[0] for name in self.rows]
        for number in range(2):
            await self.crash(guards[number], f"e{number}", "dead")
        for guard in guards:
            self.assertIsNotNone(self.withheld(guard, "dead"))

    async def test_an_entry_that_starts_anew_hears_of_it_from_the_others(self):
        self.table.down = True
        guards = [(await self.start(name))[0] for name in list(self.rows)[:-1]]
        for number in range(2):
            await self.crash(guards[0], f"e{number}", "dead")
        late, _ = await self.start(list(self.rows)[-1])
        await asyncio.sleep(2.5)
        self.assertIsNotNone(self.withheld(late, "dead"))

    async def test_the_table_keeps_it_where_all_start_anew(self):
        guard, parts = await self.start("x0")
        for number in range(2):
            await self.crash(guard, f"e{number}", "dead")
        await asyncio.sleep(0.2)
        self.assertEqual({table for table, _ in self.table.rows}, {CRASH_TABLE})
        for part in parts:
            await part.stop()
        again, _ = await self.start("x1")
        await asyncio.sleep(0.2)
        self.assertIsNotNone(self.withheld(again, "dead"))

    async def test_what_one_entry_cleared_is_cleared_at_all(self):
        guards = [(await self.start(name))[0] for name in self.rows]
        for number in range(2):
            await self.crash(guards[0], f"e{number}", "shared", "dead")
        # An entry can clear a part only of the crashes that it has heard of.
        async with asyncio.timeout(5.0):
            while len(guards[1].quarantine.evidence.crashes_of("m/dead")) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        trial = guards[1].guard(head("shared", "other"), self.stopped.append)
        guards[1].settled(trial, boot_time())
        await asyncio.sleep(2.5)
        for guard in guards:
            evidence = guard.quarantine.evidence
            self.assertEqual(evidence.crashes_of("m/shared"), [])
            self.assertEqual(len(evidence.crashes_of("m/dead")), 2)

    async def test_evidence_that_expired_leaves_nothing_behind(self):
        guard, _ = await self.start("x0")
        for number in range(2):
            await self.crash(guard, f"e{number}", "dead")
        for record in guard.quarantine.evidence:
            record.at -= 2000.0
        await asyncio.sleep(1.5)
        self.assertEqual((len(guard.quarantine.evidence), guard.confirmed), (0, set()))
        self.assertIn(b"bilberryplank_prompt_quarantines 0.0", guard._metrics.render())

    async def test_an_operator_lifts_a_quarantine_by_a_row(self):
        guards = [(await self.start(name))[0] for name in list(self.rows)[:2]]
        for number in range(2):
            await self.crash(guards[0], f"e{number}", "dead")
        self.table.rows[LIFT_TABLE, "m/dead"] = {}
        self.parts[1]._unsaved.set()
        await asyncio.sleep(0.6)
        for guard in guards:
            self.assertIsNone(self.withheld(guard, "dead"))
        self.assertNotIn((LIFT_TABLE, "m/dead"), self.table.rows)

    async def test_a_lift_that_a_restored_store_brings_back_is_removed_and_a_new_one_is_kept(self):
        _, (crashes, _) = await self.start("x0")
        self.table.rows[LIFT_TABLE, "m/dead"] = {}
        await crashes._load()
        for revision, kept in ((1, False), (7, True)):
            self.table.rows[LIFT_TABLE, "m/dead"] = {}
            self.table.revision = revision
            await crashes.restore()
            self.assertIs((LIFT_TABLE, "m/dead") in self.table.rows, kept)
