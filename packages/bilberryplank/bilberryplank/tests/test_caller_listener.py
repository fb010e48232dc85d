import asyncio
import errno
import unittest
from unittest import mock

from bilberryplank import _caller_listener
from bilberryplank._caller_listener import CallerListener, open_listening_socket


class Echo(asyncio.Protocol):
    def connection_made(self, transport):
        transport.write(b"hello")


class CallerListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.places = 1000
        self.callers = []
        self.sock = open_listening_socket("127.0.0.1", 0)
        self.listener = CallerListener(self.sock, self.new_protocol)
        self.addCleanup(self.listener.close)

    def new_protocol(self, address):
        self.assertEqual(address, "127.0.0.1")
        if not self.places:
            return None
        self.places -= 1
        return Echo()

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.listener.port)
        self.addCleanup(writer.close)
        self.callers.append(reader)

    async def hears(self, reader):
        try:
            async with asyncio.timeout(0.3):
                return await reader.readexactly(5) == b"hello"
        except TimeoutError:
            return False

    async def test_connections_without_a_place_wait_and_are_taken_in_order(self):
        self.places = 1
        for _ in range(4):
            await self.connect()
        self.assertEqual([await self.hears(each) for each in self.callers], [True] + 3 * [False])
        self.places = 2
        heard = [await self.hears(each) for each in self.callers[1:]]
        self.assertEqual(heard, [True, True, False])

    async def test_it_goes_on_after_the_process_ran_out_of_descriptors(self):
        exhausted = OSError(errno.EMFILE, "too many open files")
        sock = mock.Mock(wraps=self.sock)
        sock.accept.side_effect = exhausted
        with mock.patch.object(_caller_listener, "EXHAUSTED_SECONDS", 0.1):
            self.listener._sock = sock
            await self.connect()
            await asyncio.sleep(0.05)
            self.assertEqual(sock.accept.call_count, 1)
        self.listener._sock = self.sock
        self.assertTrue(await self.hears(self.callers[0]))

    async def test_a_drained_listener_has_given_all_that_waited_a_protocol(self):
        for _ in range(100):
            await self.connect()
        await self.listener.drain()
        self.assertEqual(self.sock.fileno(), -1)
        self.assertTrue(all([await self.hears(each) for each in self.callers]))
