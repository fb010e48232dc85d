"""What a process used, as the kernel counts it."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_NANOSECONDS = 1e9


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """Usage of one process so far.

    Attributes:
        processor_seconds: Processor time, user and system.
        resident_bytes: Memory resident now.
    """

    processor_seconds: float
    resident_bytes: int

    @classmethod
    def read(cls, pid: int) -> ProcessUsage:
        """Returns the usage of a running process.

        Raises:
            FileNotFoundError: It has ended.
        """
        return cls(_processor_seconds(pid), _resident_bytes(pid))


def _processor_seconds(pid: int) -> float:
    """Returns the time on a processor; in nanoseconds where the kernel keeps them."""
    threads = Path(f"/proc/{pid}/task")
    try:
        nanoseconds = sum(
            int((thread / "schedstat").read_text().split()[0]) for thread in threads.iterdir()
        )
    except OSError:
        nanoseconds = 0
    return nanoseconds / _NANOSECONDS if nanoseconds else _ticks(pid)


def _ticks(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def _resident_bytes(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
