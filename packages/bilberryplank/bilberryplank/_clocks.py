"""Clocks of a process."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Returns seconds that go on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
