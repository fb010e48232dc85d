import unittest

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from bilberryplank._push import SIGNATURE_HEADER, PushReceiver
from bilberryplank.push import PUSH_PATH
from bilberryplank_core.configuration import Configuration
from bilberryplank_core.errors import ConfigurationInvalid
from bilberryplank_core.fleet import ConfigurationDelta, encode_update, update_version
from bilberryplank_core.keys import sign_update

SECRET = "a-secret-of-the-operators"
UPDATE = encode_update(Configuration(8), [ConfigurationDelta(7, 8)])


class Feed:
    """Takes the place of the configuration feed."""

    def __init__(self):
        self.holder = Configuration(7)
        self.taken = []

    def push(self, update):
        if update_version(update) <= self.holder.version:
            raise ConfigurationInvalid([])
        self.taken.append(update)


class PushReceiverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.feed = Feed()
        application = web.Application()
        application.router.add_post(PUSH_PATH, PushReceiver(self.feed, SECRET).handle)
        self.client = TestClient(TestServer(application))
        await self.client.start_server()

    async def asyncTearDown(self):
        await self.client.close()

    async def post(self, update, signature):
        headers = {SIGNATURE_HEADER: signature}
        async with self.client.post(PUSH_PATH, data=update, headers=headers) as resp:
            return resp.status

    async def test_only_what_is_signed_with_the_secret_is_taken(self):
        cases = {
            "right": (UPDATE, sign_update(UPDATE, SECRET), 200),
            "no signature": (UPDATE, "", 403),
            "no text": (UPDATE, "\u00e9", 403),
            "another secret": (UPDATE, sign_update(UPDATE, "another"), 403),
            "another update": (UPDATE + b" ", sign_update(UPDATE, SECRET), 403),
            "no update": (b"{", sign_update(b"{", SECRET), 400),
        }
        for name, (update, signature, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.post(update, signature), expected)
        self.assertEqual(self.feed.taken, [UPDATE])
