"""Transports without sockets and scripted peers for tests of links."""

import asyncio

from bilberryplank._handshake import Handshake
from bilberryplank.links import Identity, Link, LinkCounters
from bilberryplank_core.messages import LENGTH_BYTES, decode, encode, payload_length
from bilberryplank_core.settings import LinkSettings
from bilberryplank_core.world import Role

FLEET_KEY = "fleet"
ENTRY = Identity(Role.ENTRY, "entry-a", "epoch-a")
SIDECAR = Identity(Role.SIDECAR, "sidecar-b", "epoch-b", "upstream-b")


class Recorder:
    """Notes the events of links, and the counts of refused peers and unknown messages."""

    def __init__(self):
        self.ready, self.messages, self.closed = [], [], []
        self.refused = self.unknown = 0
        self.counters = LinkCounters(self._count_refused, self._count_unknown)

    def _count_refused(self):
        self.refused += 1

    def _count_unknown(self):
        self.unknown += 1

    def link_ready(self, link):
        self.ready.append(link)

    def link_message(self, link, message):
        self.messages.append(message)

    def link_closed(self, link, exc):
        self.closed.append(exc)


class MemoryTransport(asyncio.Transport):
    """Keeps what is written until a test takes it, as a peer that reads when it is told to."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = bytearray()
        self.gone = asyncio.Event()

    def set_write_buffer_limits(self, high=None, low=None):
        self.high = high

    def get_write_buffer_size(self):
        return len(self.written)

    def write(self, data):
        self.written += data
        if len(self.written) > self.high:
            self.protocol.pause_writing()

    def take(self):
        data = bytes(self.written)
        self.written.clear()
        return data

    def close(self):
        if not self.written:
            self.abort()

    def abort(self):
        if not self.gone.is_set():
            self.gone.set()
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)


def new_link(identity, recorder, settings=None):
    """Returns a connected link and its transport."""
    link = Link(identity, FLEET_KEY, settings or LinkSettings(), recorder, recorder.counters)
    transport = MemoryTransport(link)
    link.connection_made(transport)
    return link, transport


def frames_of(data):
    """Returns the frames in bytes that a link wrote."""
    frames = []
    while data:
        end = LENGTH_BYTES + payload_length(data[:LENGTH_BYTES])
        frames.append(data[:end])
        data = data[end:]
    return frames


def prove(handshake, data):
    """Returns the proof for the hello in `data`, that a link wrote."""
    (frame,) = frames_of(data)
    return encode(handshake.take(decode(frame[LENGTH_BYTES:]), frame))


def open_link(recorder, settings=None):
    """Returns a sidecar's link after the handshake, and its transport."""
    link, transport = new_link(SIDECAR, recorder, settings)
    entry = Handshake(ENTRY, FLEET_KEY)
    proof = prove(entry, transport.take())
    link.data_received(entry.own_frame + proof)
    transport.take()
    return link, transport
