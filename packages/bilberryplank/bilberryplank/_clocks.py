"""Clocks of a process."""

from __future__ import annotations

import asyncio
import time


def boot_time() -> float:
    """Returns seconds that go on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def loop_time() -> float:
    """Returns seconds on the clock of the running loop."""
    return asyncio.get_running_loop().time()
