"""Reads of the store's tables in virtual time, as all open connections to it fall silent."""

import asyncio
import selectors
import unittest
from contextlib import suppress
from random import Random
from unittest import mock

from bilberryplank._platform_http import Answer, ServiceClient
from bilberryplank._table_watch import TableWatch
from bilberryplank_core.direct import EraTracker, TableChanges
from bilberryplank_core.errors import PlatformUnavailable

SEEDS = 60
CALL_SECONDS = 1.2
CHANGED = 2
USED_SHARE = 0.8
"""A fifth of the limit must be left, for hosts that are short of processor time."""

LIMITS = ((2.0, 3.0), (3.0, 4.0))
"""Change and contact limits of the deployments."""


class JumpingSelector(selectors.DefaultSelector):
    """Lets time pass at once where the loop would wait."""

    now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self):
        return self.jumping.now


class Wire:
    """Connections to a store: the open ones fall silent once, new ones work."""

    def __init__(self, rng, loop):
        self.rng, self.loop = rng, loop
        self.silent_at = float("inf")
        self.retired_at = float("-inf")
        self.idle = []
        self.fell_silent = asyncio.Event()
        self.changed = asyncio.Event()
        self.revision = 1

    def retire(self):
        self.retired_at = self.loop.time()

    def report_silence(self):
        self.fell_silent.set()
        self.fell_silent = asyncio.Event()

    async def take(self):
        """Returns when the connection of a call was opened."""
        self.idle = [each for each in self.idle if each >= self.retired_at]
        if self.idle:
            return self.idle.pop()
        await asyncio.sleep(0.01)
        return self.loop.time()


class Client(ServiceClient):
    """Calls whose connections are those of a `Wire`."""

    def __init__(self, wire):
        self._base_url, self._timeout, self._patience = "store", CALL_SECONDS, 0.4
        self._connector = self.wire = wire

    async def call(self, method, path, body=None, fields=None, waits=0.0, begun=None):
        wire, waits = self.wire, 0.0 if path == "now" else waits
        began_at, opened_at = wire.loop.time(), await wire.take()
        # Late enough for the patience to grow, as on a host short of processor time.
        await asyncio.sleep(wire.rng.uniform(0.02, 0.28))
        if path == "feed" and waits:
            with suppress(TimeoutError):
                await asyncio.wait_for(wire.changed.wait(), waits)
        if opened_at < wire.silent_at <= wire.loop.time():
            await asyncio.sleep(began_at + waits + CALL_SECONDS - wire.loop.time())
            wire.retire()
            raise PlatformUnavailable("silent")
        if begun is not None:
            begun.set()
        wire.idle.append(opened_at)
        return Answer(200, str(wire.revision).encode())


class Table:
    """A table that is read over a wire."""

    def __init__(self, client):
        self.client = client

    async def snapshot(self, _):
        return self._read(await self.client.read("rows"))

    async def changes(self, _, after, wait):
        return self._read(await self.client.read("feed", wait, "now"))

    def _read(self, answer):
        return TableChanges((), (), int(answer.body), self.client.wire.loop.time())


class Relay:
    """Other entries that say nothing."""

    entries = 1

    def __init__(self, listens, is_table_poller):
        self.listens, self.is_table_poller = listens, is_table_poller

    async def next(self, _, timeout):
        await asyncio.sleep(max(0.0, timeout))

    def answered(self, *_):
        pass

    lost = answered


class Watch(TableWatch):
    abstract = False

    def __init__(self, *args):
        super().__init__(*args)
        self.knows = asyncio.Event()

    async def take_all(self, changes):
        if changes.revision == CHANGED:
            self.knows.set()

    take_changes = take_all


async def seconds_until_known(rng, loop, wait, limits, relay):
    """Returns the seconds from the silence until a change right after it is known."""
    wire = Wire(rng, loop)
    watch = Watch(Table(Client(wire)), "t", rng, wait, *limits, relay, EraTracker())
    watching = asyncio.create_task(watch._watch())
    await asyncio.sleep(rng.uniform(4.0, 8.0))
    wire.silent_at = loop.time()
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    wire.revision = CHANGED
    wire.changed.set()
    await watch.knows.wait()
    seconds = loop.time() - wire.silent_at
    watching.cancel()
    await asyncio.wait({watching})
    return seconds


class SilentConnectionsInTimeTest(unittest.TestCase):
    """Load pattern: every connection falls silent right after a read began, on a slow host."""

    # Wait, patience and the repeat of a read added up to more than the contact limit.
    def test_a_change_is_known_well_within_the_contact_limit_in_every_role(self):
        for limits in LIMITS:
            for role in ((False, False), (False, True), (True, False)):
                for wait in (1.8, 1.4 * limits[0]):
                    with self.subTest(limits=limits, role=role, wait=wait):
                        longest = max(self.play(seed, wait, limits, role) for seed in range(SEEDS))
                        self.assertLess(longest, USED_SHARE * limits[1])

    def play(self, seed, wait, limits, role):
        loop = VirtualLoop()
        with (
            mock.patch("bilberryplank._table_watch.boot_time", loop.time),
            mock.patch("bilberryplank._platform_http.boot_time", loop.time),
            mock.patch("bilberryplank._platform_http.log_event"),
        ):
            try:
                rng = Random(seed)
                return loop.run_until_complete(
                    seconds_until_known(rng, loop, wait, limits, Relay(*role))
                )
            finally:
                loop.close()
