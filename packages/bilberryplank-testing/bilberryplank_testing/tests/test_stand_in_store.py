"""The stand-in of the users' store comes back from an older copy as the platform tells it."""

import asyncio
import unittest

import aiohttp

from bilberryplank_testing.stand_in_store import StandInStore


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stand_in = StandInStore()
        self.url = await self.stand_in.start()
        self.session = aiohttp.ClientSession()
        await self.stand_in.put("op", "config", 1)
        self.kept = self.stand_in.copy()

    async def asyncTearDown(self):
        await self.session.close()
        await self.stand_in.stop()

    async def feed(self, after, wait_ms=0):
        query = {"table": "op", "after": str(after), "wait_ms": str(wait_ms)}
        async with self.session.get(f"{self.url}/api/rows-feed", params=query) as resp:
            return resp.status, resp.headers["Store-Era"], await resp.json()

    async def write(self, key, version):
        row = {"table": "t", "part": "", "key": key}
        body = {"expect": [{**row, "ver": version}], "puts": [{**row, "value": "MQ=="}]}
        async with self.session.post(
            f"{self.url}/api/rows-tx", json={**body, "deletes": []}
        ) as resp:
            return resp.status

    async def test_positions_that_the_copy_lacks_are_gone_and_open_feeds_are_cut_off(self):
        newest = await self.stand_in.put("servers", "p1", {})
        waiting = asyncio.create_task(self.feed(newest, wait_ms=5000))
        await asyncio.sleep(0.05)
        self.stand_in.restore(self.kept)
        # The client asks once more where its connection is closed.
        async with asyncio.timeout(1.0):
            self.assertEqual((await waiting)[:2], (410, "2"))
        self.assertEqual((await self.feed(newest - 1))[0], 200)

    async def test_the_operator_and_upstreams_write_again(self):
        for after in (0.0, 0.1):
            with self.subTest(after=after):
                await self.stand_in.put("op", "config", 2)
                await self.stand_in.put("servers", "p1", {})
                self.assertEqual(await self.write("k", 0), 200)
                self.stand_in.restore(self.kept, write_again_after=after)
                self.assertEqual(self.stand_in.value("op", "config"), 2 if after == 0 else 1)
                await asyncio.sleep(0.2)
                self.assertEqual(self.stand_in.value("op", "config"), 2)
                self.assertEqual(self.stand_in.keys("servers"), ["p1"])
                self.assertEqual(self.stand_in.keys("t"), [])

    async def test_a_write_under_way_is_done_after_the_restore_if_its_condition_holds(self):
        self.assertEqual(await self.write("written since", 0), 200)
        version = await self.stand_in.put("op", "config", 2) - 1
        self.stand_in.misbehaviour.down = True
        for key, expected in (("new", 0), ("written since", version)):
            with self.assertRaises(aiohttp.ClientError):
                await self.write(key, expected)
        self.assertEqual(self.stand_in.keys("t"), ["written since"])
        self.stand_in.restore(self.kept)
        self.assertEqual(self.stand_in.keys("t"), ["new"])


if __name__ == "__main__":
    unittest.main()
