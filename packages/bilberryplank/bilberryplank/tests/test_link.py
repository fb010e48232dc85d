import asyncio
import unittest
from dataclasses import astuple, replace

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryplank._handshake import Handshake
from bilberryplank.tests._link_peers import (
    ENTRY,
    FLEET_KEY,
    SIDECAR,
    Recorder,
    frames_of,
    new_link,
    open_link,
    prove,
)
from bilberryplank_core.errors import FrameInvalid, HandshakeFailed, LinkClosed
from bilberryplank_core.messages import (
    MESSAGE_TYPES,
    AttemptId,
    Body,
    Cancel,
    Goodbye,
    Heartbeat,
    encode,
)
from bilberryplank_core.settings import LinkSettings

ATTEMPT = AttemptId("r1", 1, "epoch-a")
MESSAGES = [Heartbeat(3, 0.5), Body(ATTEMPT, 0, b"x" * 70), Cancel(ATTEMPT), Goodbye("done")]
STREAM = b"".join(encode(message) for message in MESSAGES)


def frame(values):
    payload = msgpack.packb(values)
    return len(payload).to_bytes(4, "big") + payload


UNKNOWN = frame([len(MESSAGE_TYPES) + 3, "something newer"])


def hello(**changes):
    return encode(replace(ENTRY.hello(), **changes))


def another_key(data):
    entry = Handshake(ENTRY, "another fleet")
    return entry.own_frame + prove(entry, data)


def reflected(link, transport):
    link.data_received(hello())
    _, proof = frames_of(transport.take())
    return proof


def replayed(link, transport):
    """Plays back what an entry said to another link of the same sidecar."""
    _, other = new_link(SIDECAR, Recorder())
    entry = Handshake(ENTRY, FLEET_KEY)
    return entry.own_frame + prove(entry, other.take())


# What a peer without the fleet key sends to a sidecar's link.
INTRUDERS = {
    "another fleet key": lambda link, transport: another_key(transport.take()),
    "own hello back": lambda link, transport: transport.take(),
    "own proof back": reflected,
    "replay": replayed,
    "another protocol": lambda link, transport: hello(protocol=2),
    "same role": lambda link, transport: encode(SIDECAR.hello()),
    "no such role": lambda link, transport: hello(role="operator"),
    "short nonce": lambda link, transport: hello(nonce=b"1234"),
    "proof first": lambda link, transport: frame([1, b"mac"]),
    "two hellos": lambda link, transport: hello() + hello(),
    "message first": lambda link, transport: encode(Cancel(ATTEMPT)),
    "message after hello": lambda link, transport: hello() + encode(Cancel(ATTEMPT)),
    "unknown message": lambda link, transport: UNKNOWN,
    "oversized frame": lambda link, transport: (5000).to_bytes(4, "big"),
    "no frame": lambda link, transport: b"GET / HTTP/1.1\r\n\r\n",
    "empty frame": lambda link, transport: bytes(4),
}


class LinkTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.recorder = Recorder()

    async def test_an_intruder_is_turned_away_and_counted(self):
        for name, sent in INTRUDERS.items():
            with self.subTest(name):
                recorder = Recorder()
                link, transport = new_link(SIDECAR, recorder)
                link.data_received(sent(link, transport))
                self.assertTrue(transport.gone.is_set())
                link.data_received(encode(Cancel(ATTEMPT)))
                with self.assertRaises((HandshakeFailed, FrameInvalid)):
                    await link.ready()
                self.assertEqual(recorder.refused, 1)
                self.assertEqual((recorder.ready, recorder.messages, recorder.closed), ([], [], []))

    async def test_a_late_handshake_is_turned_away(self):
        link, _ = new_link(SIDECAR, self.recorder, LinkSettings(connect_timeout=0.01))
        with self.assertRaises(HandshakeFailed):
            await asyncio.wait_for(link.ready(), 5.0)
        self.assertEqual(self.recorder.refused, 1)

    async def test_a_peer_that_leaves_early_is_no_intruder(self):
        link, transport = new_link(SIDECAR, self.recorder)
        transport.abort()
        with self.assertRaises(LinkClosed):
            await link.ready()
        self.assertEqual(self.recorder.refused, 0)

    async def test_two_links_prove_themselves_to_each_other(self):
        one, its = new_link(ENTRY, self.recorder)
        two, others = new_link(SIDECAR, self.recorder)
        for _ in range(2):
            one.data_received(others.take())
            two.data_received(its.take())
        one.data_received(others.take())
        await asyncio.gather(one.ready(), two.ready())
        self.assertEqual((one.peer.upstream, two.peer.process), ("upstream-b", "entry-a"))

    async def test_frames_may_be_split_and_joined_anywhere(self):
        for size in [*range(1, 12), len(STREAM) - 1, len(STREAM)]:
            with self.subTest(size=size):
                recorder = Recorder()
                link, _ = open_link(recorder)
                for start in range(0, len(STREAM), size):
                    link.data_received(STREAM[start : start + size])
                self.assertEqual(recorder.messages, MESSAGES)

    async def test_a_newer_peer_is_understood(self):
        link, transport = new_link(SIDECAR, self.recorder)
        entry = Handshake(ENTRY, FLEET_KEY)
        entry.own_frame = frame([0, *astuple(ENTRY.hello()), "a further field"])
        link.data_received(entry.own_frame + prove(entry, transport.take()))
        link.data_received(UNKNOWN + frame([2, 7, 0.5, "a further field"]))
        self.assertTrue(link.is_open)
        self.assertEqual(self.recorder.messages, [Heartbeat(7, 0.5)])
        self.assertEqual(self.recorder.unknown, 1)

    async def test_a_handler_that_fails_ends_its_link_only(self):
        other, _ = open_link(self.recorder)
        broken = Recorder()
        broken.link_message = lambda link, message: 1 / 0
        link, _ = open_link(broken)
        link.data_received(encode(Cancel(ATTEMPT)))
        await asyncio.sleep(0)
        self.assertIsInstance(broken.closed[0], LinkClosed)
        other.data_received(STREAM)
        self.assertEqual(self.recorder.messages, MESSAGES)

    async def test_a_peer_that_does_not_read_is_given_up(self):
        link, transport = open_link(self.recorder, LinkSettings(buffer_bytes=1000))
        part = Body(ATTEMPT, 0, b"x" * 500)
        sent = 0
        while link.is_open and sent < 100:
            link.send(part)
            sent += 1
        self.assertLess(len(transport.written), 4 * 1000 + 2 * len(encode(part)))
        await asyncio.wait_for(link.drained(), 1.0)
        await asyncio.sleep(0)
        self.assertEqual([str(exc) for exc in self.recorder.closed], ["the peer does not read"])

    async def test_senders_wait_until_the_peer_reads(self):
        link, transport = open_link(self.recorder, LinkSettings(buffer_bytes=1000))
        link.send(Body(ATTEMPT, 0, b"x" * 1500))
        waiting = asyncio.ensure_future(link.drained())
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        link.resume_writing()
        await asyncio.wait_for(waiting, 1.0)

    async def test_a_gentle_end_is_bounded_where_the_peer_does_not_read(self):
        link, transport = open_link(self.recorder, LinkSettings(connect_timeout=0.01))
        link.close_gently("stopped")
        self.assertEqual(transport.written, encode(Goodbye("stopped")))
        await asyncio.wait_for(transport.gone.wait(), 5.0)


class LinkFuzzTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.binary(max_size=60), st.integers(0, len(STREAM)), st.integers(1, 40))
    def test_any_bytes_leave_an_open_or_a_typed_closed_link(self, noise, place, size):
        asyncio.run(self.feed(STREAM[:place] + noise + STREAM[place:], size))

    async def feed(self, data, size):
        recorder, others = Recorder(), Recorder()
        link, _ = open_link(recorder)
        other, _ = open_link(others)
        for start in range(0, len(data), size):
            link.data_received(data[start : start + size])
        await asyncio.sleep(0)
        self.assertEqual([type(exc) for exc in recorder.closed], [FrameInvalid][link.is_open :])
        other.data_received(STREAM)
        self.assertEqual(others.messages, MESSAGES)


if __name__ == "__main__":
    unittest.main()
