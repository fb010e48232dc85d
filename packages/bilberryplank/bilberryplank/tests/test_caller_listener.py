import asyncio
import errno
import fcntl
import socket
import struct
import termios
import unittest
from contextlib import suppress
from unittest import mock

from bilberryplank import _caller_listener
from bilberryplank._caller_listener import CallerListener
from bilberryplank._listening_socket import open_listening_socket


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


class ReceiveBufferTest(unittest.TestCase):
    """Each connection that nobody read held some 128 KB in the kernel."""

    def unread_bytes(self, limit):
        """Returns what a connection takes before it is read, also before it is accepted."""
        listener = open_listening_socket("127.0.0.1", 0, limit)
        with listener, socket.create_connection(listener.getsockname()) as caller:
            caller.settimeout(0.3)
            with suppress(TimeoutError):
                for _ in range(64):
                    caller.sendall(bytes(64 * 1024))
            accepted, _ = listener.accept()
            with accepted:
                unread = fcntl.ioctl(accepted, termios.FIONREAD, bytes(4))
        return struct.unpack("i", unread)[0]

    def test_unread_bytes_of_a_connection_are_bounded(self):
        for limit in (8 * 1024, 24 * 1024, 64 * 1024):
            with self.subTest(limit):
                self.assertGreater(self.unread_bytes(limit), limit // 4)
                self.assertLessEqual(self.unread_bytes(limit), limit)
