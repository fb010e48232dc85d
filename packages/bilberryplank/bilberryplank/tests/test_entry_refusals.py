"""Every refusal of an entry is typed, and no key of a caller is in its log or decisions."""

import asyncio
import base64
import io
import json
import logging
import unittest
from urllib.parse import quote

import aiohttp
from loguru import logger

from bilberryplank._entry import Entry
from bilberryplank.logs import configure_logs
from bilberryplank.platform import Platform
from bilberryplank_core.errors import REFUSAL_STATUS, RefusalReason
from bilberryplank_core.fleet import ConfigurationStore
from bilberryplank_core.keys import digest_secret
from bilberryplank_core.settings import CallerSettings, EntrySettings, LogSettings, PlatformSettings
from bilberryplank_testing.platform import FakePlatform

TIMEOUT = 20.0
MARK = "Rn7xQ2Lp"
"""In the middle of every key, so that a part of a key is found too."""

GENERATED = f"bpk_a1b2c3{MARK}d4e5f6g7h8"
BROUGHT = f"acme/2024+{MARK}=.x"
WITHDRAWN = f"bpk_old{MARK}old"
UNKNOWN = f"sk-other-{MARK}-other"
HASH_SECRET = "hash-secret"
BODY = b'{"model":"m","messages":[{"role":"user","content":"hi"}]}'
PLACES = {
    "bearer": "Authorization: Bearer {key}",
    "bare": "Authorization: {key}",
    "lower case": "authorization: bearer {key}",
    "basic": "Authorization: Basic {basic}",
    "odd scheme": "Authorization: Digest {key}",
    "broken basic": "Authorization: Basic !{key}",
    "proxy": "Proxy-Authorization: Bearer {key}",
    "x-api-key": "X-Api-Key: {key}",
    "cookie": "Cookie: api_key={quoted}; a=b",
    "twice": "X-Api-Key: {key}\r\nAuthorization: Bearer other-{key}",
    "bytes": "X-Api-Key: {key}\udcff",
    "control": "X-Api-Key: {key}\x01",
    "no name": ": {key}",
    "no colon": "{key}",
    "long": "X-Api-Key: {key}" + "a" * 3000,
    "none": "X-None: 1",
}
PATHS = [
    "/v1/chat/completions",
    "/v1/models",
    "/v1/chat/completions?api_key={quoted}",
    "/v1/chat/completions?token={quoted}&x=1",
    "/orders/{quoted}",
    "/{key}",
    "/orders?x={quoted}",
    "/{quoted}" + "a" * 3000,
    "/orders /{key}",
]
DOCUMENT = {
    "organisations": [{"name": "acme"}],
    "tiers": [{"name": "gold", "rank": 0}],
    "classes": [{"name": "desk", "tier": "gold", "deadline": 0.2}],
    "model_routes": [{"name": "m", "model": "m", "upstreams": "kind=engine"}],
    "service_routes": [{"name": "orders", "path_prefix": "/orders", "upstreams": "kind=service"}],
}


def key(name, secret, withdrawn=False):
    digest = digest_secret(secret, HASH_SECRET)
    return {"key_id": name, "organisation": "acme", "digest": digest, "withdrawn": withdrawn}


def forms_of(secret):
    basic = base64.b64encode(f"user:{secret}".encode()).decode()
    return {"key": secret, "quoted": quote(secret, safe=""), "basic": basic}


class EntryRefusalsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = FakePlatform()
        url = await self.platform.start()
        services = PlatformSettings(url, url, url, url, url)
        async with aiohttp.ClientSession() as session:
            keys = [key("k1", GENERATED), key("k2", BROUGHT), key("k3", WITHDRAWN, True)]
            store = ConfigurationStore(Platform.from_settings(services, session).table)
            await store.write(0, {**DOCUMENT, "keys": keys})
        self.log = io.StringIO()
        configure_logs(LogSettings(level="DEBUG"), "entry-a", self.log)
        self.addCleanup(logger.remove)
        self.addCleanup(logging.basicConfig, force=True, handlers=[logging.NullHandler()])
        settings = EntrySettings(
            "entry-a",
            "zone-a",
            "127.0.0.1:0",
            "127.0.0.1:0",
            "fleet-key",
            HASH_SECRET,
            services,
            lame_duck=0.0,
            callers=CallerSettings(max_header_bytes=2048, body_timeout=0.1),
        )
        self.entry = Entry.from_settings(settings)
        await self.entry.start()

    async def asyncTearDown(self):
        await self.entry.stop()
        await self.platform.stop()

    async def exchange(self, sent):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.entry._server.port)
        writer.write(sent)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT)
        first, *lines = head.decode().rstrip().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines)
        body = await asyncio.wait_for(reader.readexactly(int(fields["Content-Length"])), TIMEOUT)
        writer.close()
        status = int(first.split()[1])
        self.check_refusal(status, fields, json.loads(body))
        return status

    def check_refusal(self, status, fields, document):
        error = document["error"]
        self.assertEqual(status, REFUSAL_STATUS[RefusalReason(error["code"])])
        self.assertTrue(error["message"])
        self.assertEqual(fields["Bilberryplank-Outcome"], "not-run")
        self.assertIs(error["not_run"], True)
        self.assertEqual("Retry-After" in fields, status == 503, error)

    def requests(self, secret):
        forms = forms_of(secret)
        for place in PLACES.values():
            for path in PATHS:
                lines = [f"POST {path.format(**forms)} HTTP/1.1", "Host: h", place.format(**forms)]
                head = "\r\n".join(lines).encode(errors="surrogateescape")
                yield head + b"\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
        lines = [b"POST /v1/chat/completions HTTP/1.1", f"X-Api-Key: {secret}".encode()]
        head = b"\r\n".join(lines)
        yield head + b"\r\nContent-Length: 1\r\n\r\n{"
        yield head + b"\r\nContent-Length: 9\r\n\r\n{"
        yield head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + secret.encode() + b"\r\n"
        yield head

    async def test_refusals_are_typed_and_no_key_is_logged(self):
        statuses = set()
        for secret in (GENERATED, BROUGHT, WITHDRAWN, UNKNOWN):
            for sent in self.requests(secret):
                statuses.add(await self.exchange(sent))
        self.assertLessEqual({400, 401, 404, 408, 431, 503}, statuses)
        written = self.log.getvalue()
        self.assertIn("event=request_refused", written)
        self.assertIn("event=request_unreadable", written)
        self.check_clean(written)
        self.check_clean(json.dumps([str(item) for item in self.entry.journal._ring]))
        self.check_clean(self.entry.metrics.render().decode())

    def check_clean(self, text):
        places = [at for at in range(len(text)) if text.startswith(MARK, at)]
        self.assertEqual([text[at - 200 : at + 50] for at in places[:2]], [])
        for secret in (GENERATED, BROUGHT, WITHDRAWN, UNKNOWN):
            self.assertNotIn(forms_of(secret)["basic"], text)


if __name__ == "__main__":
    unittest.main()
