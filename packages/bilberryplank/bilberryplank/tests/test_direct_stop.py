import asyncio
import os
import signal
import time
import unittest

from bilberryplank._clocks import boot_time
from bilberryplank._direct_entry import run_direct_entry


class StoppableEntry:
    """The part of an entry that a run of it uses."""

    crashed = False

    def __init__(self):
        self._crashed = asyncio.Event()
        self.noted, self.stopped_at = [], None

    async def start(self):
        pass

    def reload(self):
        pass

    def note_stop(self):
        self.noted.append(boot_time())

    async def wait_first(self, stopping, crashed):
        await stopping.wait()

    async def stop(self):
        self.stopped_at = boot_time()


def hold_loop(seconds):
    time.sleep(seconds)


class DirectStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_time_of_a_stop_counts_from_its_signal_though_the_loop_is_late(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                entry = StoppableEntry()
                running = asyncio.create_task(run_direct_entry(entry))
                await asyncio.sleep(0.01)
                sent_at = boot_time()
                os.kill(os.getpid(), number)
                hold_loop(0.3)
                self.assertEqual(await running, 0)
                self.assertLess(entry.noted[0] - sent_at, 0.1)
                self.assertGreater(entry.stopped_at - sent_at, 0.25)
