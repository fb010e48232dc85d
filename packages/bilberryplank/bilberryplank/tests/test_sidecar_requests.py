"""Places that attempts hold at a sidecar, whatever moment their entry gives them up."""

import asyncio
import unittest
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock

from bilberryplank._metrics import ProcessMetrics
from bilberryplank._sidecar_parts import SidecarParts
from bilberryplank._sidecar_requests import SidecarRequests
from bilberryplank_core.messages import AttemptId, Cancel, Dispatch, NotRun, Usage
from bilberryplank_core.scheduling import AttemptRecords, TieredQueue
from bilberryplank_core.settings import QueueSettings
from bilberryplank_core.world import RequestClass

SLOTS = 2
EPOCH = "e"
SEEDS = range(200)
ATTEMPTS = 12
TURNS = 500


class Upstream:
    """Answers in pieces, each after a turn of the loop or more."""

    def __init__(self, rng):
        self.rng = rng
        self.began = []

    async def run(self, dispatch, rank, sink):
        self.began.append(dispatch.attempt)
        for turn in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
            if turn == 0:
                await sink.head(200, [])
            await sink.part(b"data: x\n\n")
        return Usage(1, 1)


def configuration():
    request_class = RequestClass("c", "t", first_token_target=1.0, deadline=10.0)
    key = SimpleNamespace(withdrawn=False, organisation="org")
    return SimpleNamespace(
        version=1,
        classes={"c": request_class},
        keys={"key": key},
        organisations={},
        parts=SimpleNamespace(keys=()),
        rank=lambda name: 0,
    )


def dispatch(number, idempotent=True):
    attempt = AttemptId(f"r{number}", 1, EPOCH)
    return Dispatch(
        attempt, "org", "key", "c", "r", "POST", "/", [], b"", 10.0, idempotent=idempotent
    )


class SidecarRequestsTest(unittest.IsolatedAsyncioTestCase):
    def build(self, rng):
        cfg = configuration()
        feed = Mock(configuration=cfg)
        feed.is_stale.return_value = False
        feed.shown.return_value = SimpleNamespace(version=1, confirmed_age=0.0)
        self.upstream = Upstream(rng)
        self.queue = TieredQueue.from_settings(QueueSettings(slots=SLOTS))
        parts = SidecarParts(
            "sidecar",
            self.queue,
            AttemptRecords(30.0, 1 << 20),
            self.upstream,
            feed,
            Mock(),
            ProcessMetrics(),
            Mock(),
            1 << 16,
            Mock(),
        )
        self.requests = SidecarRequests(parts)
        self.link = Mock()
        self.link.peer = SimpleNamespace(epoch=EPOCH)
        self.requests.link_ready(self.link)

    async def assert_all_places_return(self):
        for _ in range(TURNS):
            if self.requests.idle:
                break
            await asyncio.sleep(0)
        self.assertTrue(self.requests.idle, "an attempt is still held")
        load = self.requests.load()
        self.assertEqual((load.queued, load.running), (0, 0))

    async def test_a_cancel_that_comes_with_its_dispatch_frees_the_place(self):
        self.build(Random(1))
        self.requests.link_message(self.link, dispatch(1))
        self.requests.link_message(self.link, Cancel(AttemptId("r1", 1, EPOCH)))
        await self.assert_all_places_return()
        self.assertEqual(self.upstream.began, [])
        told = [call.args[0] for call in self.link.send.call_args_list]
        self.assertTrue(any(isinstance(message, NotRun) for message in told))

    async def test_no_interleaving_of_a_cancel_keeps_a_place(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rng = Random(seed)
                self.build(rng)
                for number in range(ATTEMPTS):
                    self.requests.link_message(self.link, dispatch(number, rng.random() < 0.7))
                    for _ in range(rng.randrange(3)):
                        await asyncio.sleep(0)
                    if rng.random() < 0.8:
                        victim = AttemptId(f"r{rng.randint(0, number)}", 1, EPOCH)
                        self.requests.link_message(self.link, Cancel(victim))
                await self.assert_all_places_return()

    async def test_a_lost_link_keeps_no_place(self):
        self.build(Random(2))
        for number in range(ATTEMPTS):
            self.requests.link_message(self.link, dispatch(number))
        self.requests.link_closed(self.link, Mock())
        await self.assert_all_places_return()
