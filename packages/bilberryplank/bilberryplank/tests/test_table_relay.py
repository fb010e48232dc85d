"""Entries that read for others and those that listen, over sockets."""

import asyncio
import socket
import unittest
from random import Random
from unittest import mock

from bilberryplank._clocks import boot_time
from bilberryplank._table_relay import TableRelay
from bilberryplank._table_watch import TableWatch
from bilberryplank_core.contracts import Row
from bilberryplank_core.direct import (
    EraTracker,
    FleetClock,
    FleetMembers,
    PeerLiveness,
    TableChanges,
    heartbeat_notice,
)
from bilberryplank_core.errors import PlatformUnavailable

ENTRIES = 12


class Table:
    """A table whose revision and rows the test sets."""

    def __init__(self, clock, eras):
        self.clock, self.revision, self.changed_at, self.calls = clock, 1, 1, 0
        self.eras, self.era, self.down = eras, 1, False

    async def snapshot(self, table):
        return self.answer(True, self.eras.current)

    async def changes(self, table, after, wait):
        sent_in = self.eras.current
        for _ in range(max(1, int(wait / 0.02))):
            if self.changed_at > after or not wait:
                break
            await asyncio.sleep(0.02)
        return self.answer(self.changed_at > after, sent_in)

    def answer(self, changed, sent_in):
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("down")
        self.eras.record_answer(sent_in, self.era)
        rows = (Row("t", "k", self.changed_at, self.changed_at),) if changed else ()
        now = self.clock()
        return TableChanges(rows, (), self.revision, now, now)


async def stop_all(parts):
    for part in parts:
        await part.stop()


class Watch(TableWatch):
    abstract = False
    seen, newest, confirmed = 0, 0, float("-inf")

    async def take_all(self, changes):
        await self.take_changes(changes)

    async def take_changes(self, changes):
        self.seen = max([self.seen, *(row.value for row in changes.rows)])
        self.newest = changes.rows[0].value if changes.rows else self.newest
        self.take_quiet(changes.as_of)

    def take_quiet(self, as_of):
        self.confirmed = max(self.confirmed, as_of)


class SlowWatch(Watch):
    """Takes rows in while the loop does other work."""

    async def take_changes(self, changes):
        await asyncio.sleep(0.2)
        await super().take_changes(changes)


class RelayCase(unittest.IsolatedAsyncioTestCase):
    WAIT = 0.3
    CHANGE_LIMIT = 0.45

    async def asyncSetUp(self):
        self.clock = asyncio.get_running_loop().time
        self.relays, self.watches, self.tables = [], [], []
        rows = {}
        for number in range(ENTRIES):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{sock.getsockname()[1]}"
            rows[f"e{number}"] = {"at": 0.0, "address": address}
        for name, value in rows.items():
            members, time = FleetMembers(name), FleetClock(self.clock)
            members.update(rows, 0.0)
            time.record_answer(self.clock(), self.clock(), self.clock())
            eras = EraTracker()
            relay = TableRelay(value["address"], members, time, eras)
            table = self.new_table(eras)
            self.relays.append(relay)
            self.tables.append(table)
            self.watches.append(self.new_watch(table, Random(name), relay, eras, time))
        for part in (*self.relays, *self.watches):
            await part.start()
        self.stalls = []
        self.stall_meter = asyncio.create_task(self.measure_stalls())

    def new_table(self, eras):
        return Table(self.clock, eras)

    def new_watch(self, table, rng, relay, eras, _fleet_clock):
        return Watch(table, "t", rng, self.WAIT, self.CHANGE_LIMIT, 3.0, relay, eras)

    async def measure_stalls(self):
        while True:
            began = self.clock()
            await asyncio.sleep(0.02)
            self.stalls.append(self.clock() - began - 0.02)

    def age_limit(self):
        """Two waits of a read, and what this process itself did not run meanwhile."""
        return 2 * self.WAIT + sum(self.stalls[-int(2 * self.WAIT / 0.02) :])

    async def asyncTearDown(self):
        self.stall_meter.cancel()
        for part in (*self.watches, *self.relays):
            await part.stop()

    def listeners(self):
        return [n for n, relay in enumerate(self.relays) if relay.listens]

    def change(self, revision):
        for table in self.tables:
            table.revision = table.changed_at = revision


class RelayTest(RelayCase):
    async def test_four_read_and_the_others_know_as_much_for_next_to_no_calls(self):
        await asyncio.sleep(0.6)
        listeners = self.listeners()
        self.assertEqual(len(listeners), ENTRIES - 4)
        before = sum(self.tables[n].calls for n in listeners)
        await asyncio.sleep(2.0)
        after = sum(self.tables[n].calls for n in listeners)
        self.assertLess(after - before, 0.1 * len(listeners) * 2.0 / self.WAIT)
        for watch in self.watches:
            self.assertLess(self.clock() - watch.confirmed, self.age_limit())

    async def test_a_change_reaches_all_at_once(self):
        await asyncio.sleep(0.6)
        self.change(7)
        await asyncio.sleep(0.15)
        self.assertEqual([watch.seen for watch in self.watches], [7] * ENTRIES)

    async def test_changes_after_a_restore_are_seen_though_known_revisions_lie_beyond_them(self):
        await asyncio.sleep(0.6)
        self.change(50)
        await asyncio.sleep(0.2)
        for table in self.tables:
            table.revision, table.changed_at, table.era = 10, 9, 2
        await asyncio.sleep(2 * self.WAIT)
        self.assertEqual([watch.newest for watch in self.watches], [9] * ENTRIES)
        self.change(11)
        await asyncio.sleep(0.2)
        self.assertEqual([watch.newest for watch in self.watches], [11] * ENTRIES)

    async def test_a_restore_while_rows_are_taken_in_has_the_table_read_whole_again(self):
        eras, time = EraTracker(), FleetClock(self.clock)
        table, relay = Table(self.clock, eras), TableRelay("", FleetMembers("e"), time, eras)
        watch = SlowWatch(table, "t", Random(1), 0.1, 1.0, 3.0, relay, eras)
        table.revision = table.changed_at = 50
        await watch.start()
        await asyncio.sleep(0.1)
        table.revision, table.changed_at, table.era = 10, 9, 2
        eras.record_answer(None, 2)
        await asyncio.sleep(1.0)
        await watch.stop()
        self.assertEqual(watch.newest, 9)

    async def test_without_readers_each_reads_for_itself(self):
        await asyncio.sleep(0.6)
        for number in range(ENTRIES):
            self.tables[number].down = number not in self.listeners()
        await asyncio.sleep(1.0)
        for number in self.listeners():
            self.assertLess(self.clock() - self.watches[number].confirmed, self.age_limit())

    async def test_one_cut_off_from_the_store_does_not_confirm_a_change_that_it_lacks(self):
        await asyncio.sleep(0.6)
        cut = self.listeners()[0]
        self.tables[cut].down = True
        await asyncio.sleep(0.5)
        self.assertLess(self.clock() - self.watches[cut].confirmed, self.age_limit())
        self.change(9)
        changed_at = self.clock()
        await asyncio.sleep(0.6)
        self.assertLess(self.watches[cut].seen, 9)
        self.assertLess(self.watches[cut].confirmed, changed_at + 0.05)

    async def test_an_entry_whose_port_is_taken_reads_for_itself(self):
        taken = self.relays[0]
        other = TableRelay(taken._listen, taken._members, taken._fleet_clock, EraTracker())
        await other.start()
        self.assertFalse(other.listens)
        await other.stop()

    async def test_a_notice_to_some_goes_to_those_that_are_heard(self):
        relay = self.relays[0]
        known = sorted(relay._members.addresses)
        now = boot_time()
        relay._liveness = PeerLiveness(now - 60.0)
        for address in known[:3]:
            relay._liveness.record_heard(address, now)
        sent = []
        relay._send = lambda data, addresses: sent.append(set(addresses))
        relay.tell_some(b"", 9, Random(1))
        relay.tell_some(b"", 2, Random(1))
        self.assertEqual(sent[0], set(known[:3]))
        self.assertEqual(len(sent[1] & set(known[:3])), 2)
        strangers = []
        relay.hear_strangers(lambda: strangers.append(1))
        relay.take(b"junk", "127.0.0.9:1")
        self.assertEqual(strangers, [1])

    async def test_strangers_and_garbage_are_refused(self):
        await asyncio.sleep(0.4)
        relay = self.relays[self.listeners()[0]]
        friend = next(iter(relay._members.addresses))
        for data, sender in ((b"\x95\x01\xa1t\x00\x7f\xc0", "127.0.0.9:1"), (b"junk", friend)):
            relay._heard.clear()
            relay.take(data, sender)
            self.assertEqual(relay._heard, {})
        self.assertEqual(relay._odd_senders, {"127.0.0.9:1", friend})


class LostPollersTest(RelayCase):
    """Load pattern: the host of each table poller loses power at the same moment."""

    WAIT = 0.84
    CHANGE_LIMIT = 0.6

    async def lose_pollers(self):
        """Ends the entries that read for others; returns the numbers of those that are left."""
        await asyncio.sleep(1.0)
        left = self.listeners()
        self.assertEqual(len(left), ENTRIES - 4)
        for number in set(range(ENTRIES)) - set(left):
            await stop_all((self.watches[number], self.relays[number]))
        return left

    # Draining upstreams got requests until a silence longer than the limit had passed.
    async def test_after_all_pollers_are_lost_a_change_is_known_within_its_limit(self):
        left = await self.lose_pollers()
        oldest = 0.0
        for _ in range(100):
            await asyncio.sleep(0.02)
            ages = [self.clock() - self.watches[number].confirmed for number in left]
            oldest = max(oldest, *ages)
        self.assertLess(
            oldest, self.CHANGE_LIMIT + sum(stall for stall in self.stalls if stall > 0)
        )

    # Each entry that was left went on reading for itself, for minutes.
    async def test_other_readers_take_the_place_of_pollers_that_fell_silent(self):
        with (
            mock.patch("bilberryplank_core._peer_liveness.PEER_SILENCE_SECONDS", 1.0),
            mock.patch("bilberryplank._table_relay.RANKING_SECONDS", 0.1),
        ):
            left = await self.lose_pollers()
            for _ in range(30):
                for number in left:
                    self.relays[number].tell(heartbeat_notice())
                await asyncio.sleep(0.1)
            self.assertEqual(sum(self.relays[number].listens for number in left), len(left) - 4)
