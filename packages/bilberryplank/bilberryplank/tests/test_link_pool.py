import asyncio
import random
import unittest

from bilberryplank._link_pool import (
    JITTER_SHARE,
    MAX_BACKOFF_SECONDS,
    MIN_BACKOFF_SECONDS,
    backoff_after,
)
from bilberryplank.links import LinkListener, LinkPool, VersionShown
from bilberryplank.tests._link_peers import ENTRY, FLEET_KEY, SIDECAR, Recorder
from bilberryplank_core.errors import HandshakeFailed, LinkClosed
from bilberryplank_core.messages import Heartbeat
from bilberryplank_core.settings import LinkSettings

TIMEOUT = 10.0
SETTINGS = LinkSettings(connect_timeout=TIMEOUT)


class Waiting(Recorder):
    """A recorder whose events can be waited for."""

    def __init__(self):
        super().__init__()
        self.moved = asyncio.Event()

    def link_message(self, link, message):
        super().link_message(link, message)
        self.moved.set()

    def link_closed(self, link, exc):
        super().link_closed(link, exc)
        self.moved.set()

    async def next(self):
        await asyncio.wait_for(self.moved.wait(), TIMEOUT)
        self.moved.clear()


class LinkPoolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.near, self.far = Waiting(), Waiting()
        self.listeners = []
        self.address = await self.listen()
        self.pool = self.new_pool()

    async def asyncTearDown(self):
        self.pool.close()
        for listener in self.listeners:
            await listener.stop()

    async def listen(self, settings=SETTINGS, address="127.0.0.1:0"):
        listener = LinkListener(address, SIDECAR, FLEET_KEY, settings, self.far, self.far.counters)
        await listener.start()
        self.listeners.append(listener)
        return f"127.0.0.1:{listener.port}"

    def new_pool(self, fleet_key=FLEET_KEY, settings=SETTINGS):
        return LinkPool(ENTRY, fleet_key, settings, self.near, self.near.counters)

    async def test_callers_share_one_link(self):
        links = await asyncio.gather(*(self.pool.get(self.address, TIMEOUT) for _ in range(5)))
        self.assertEqual(len(set(links)), 1)
        self.assertEqual(links[0].peer.upstream, "upstream-b")
        self.assertEqual(self.pool.open_links(), links[:1])

    async def test_another_fleet_key_is_refused_and_not_tried_again_at_once(self):
        pool = self.new_pool("another")
        for expected in (HandshakeFailed, LinkClosed):
            with self.assertRaises((HandshakeFailed, LinkClosed)) as caught:
                await pool.get(self.address, TIMEOUT, patient=True)
            if expected is LinkClosed:
                self.assertIn("failed a moment ago", str(caught.exception))
        # Each side counts the other, where it reads the other's proof before the connection ends.
        self.assertIn((self.near.refused, self.far.refused), [(1, 0), (0, 1), (1, 1)])
        self.assertEqual((self.near.ready, self.far.ready), ([], []))

    async def test_a_request_does_not_wait_for_the_backoff(self):
        address = await self.listen()
        await self.listeners.pop().stop()
        with self.assertRaises(LinkClosed):
            await self.pool.get(address, TIMEOUT)
        await self.listen(address=address)
        with self.assertRaises(LinkClosed):
            await self.pool.get(address, TIMEOUT, patient=True)
        link = await self.pool.get(address, TIMEOUT)
        self.assertTrue(link.is_open)

    async def test_a_peer_that_says_nothing_is_given_up(self):
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = self.new_pool(settings=LinkSettings(connect_timeout=0.05))
        with self.assertRaises((HandshakeFailed, LinkClosed)):
            await pool.get(address, TIMEOUT)
        self.assertEqual(pool.open_links(), [])
        server.close()

    async def test_retain_closes_links_that_are_or_come_up(self):
        others = [await self.listen() for _ in range(2)]
        kept = await self.pool.get(self.address, TIMEOUT)
        await self.pool.get(others[0], TIMEOUT)
        coming = asyncio.ensure_future(self.pool.get(others[1], TIMEOUT))
        await asyncio.sleep(0)
        self.pool.retain({self.address})
        with self.assertRaises(LinkClosed):
            await coming
        while len(self.near.closed) < 2:
            await self.near.next()
        self.assertEqual(self.pool.open_links(), [kept])

    async def test_a_silent_link_gets_heartbeats_and_then_ends(self):
        link = await self.pool.get(self.address, TIMEOUT)
        self.pool.send_heartbeats(link.last_received + 4.9, VersionShown(7, 0.5))
        self.pool.send_heartbeats(link.last_received + 5.1, VersionShown(8, 0.5))
        await self.far.next()
        self.assertEqual(self.far.messages, [Heartbeat(8, 0.5)])
        self.pool.send_heartbeats(link.last_received + 12.1, VersionShown(9, 0.5))
        self.assertFalse(link.is_open)
        await self.near.next()
        self.assertIn("silent for 12.1 s", str(self.near.closed[0]))
        self.assertIsNot(await self.pool.get(self.address, TIMEOUT), link)

    async def test_a_sidecar_gives_up_an_entry_that_vanished(self):
        address = await self.listen(LinkSettings(connect_timeout=TIMEOUT, silence_limit=0.01))
        await self.pool.get(address, TIMEOUT)
        await self.far.next()
        self.assertIn("silent for", str(self.far.closed[0]))


class BackoffTest(unittest.TestCase):
    def test_backoffs_double_up_to_a_bound_and_are_spread(self):
        waits = {seed: waits_of(random.Random(seed)) for seed in range(20)}
        for series in waits.values():
            for attempt, wait in enumerate(series):
                full = min(MIN_BACKOFF_SECONDS * 2**attempt, MAX_BACKOFF_SECONDS)
                self.assertLessEqual(wait, full)
                self.assertGreaterEqual(wait, full * (1 - JITTER_SHARE))
        self.assertEqual(len({series[0] for series in waits.values()}), len(waits))


def waits_of(rng):
    backoff, waits = 0.0, []
    for _ in range(8):
        backoff, wait = backoff_after(backoff, rng)
        waits.append(wait)
    return waits


if __name__ == "__main__":
    unittest.main()
