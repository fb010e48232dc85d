"""Free ports on the loopback address, each given to one process at a time."""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import IO

FIRST_PORT = 12000
LAST_PORT = 31999
"""Below the range from which the system takes ports for outgoing connections."""

PORTS_PER_BLOCK = 400

LOCKS = Path(tempfile.gettempdir()) / "bilberryplank-ports"
"""Lock files by port: processes that draw ports at the same time take different ones."""


def _ports() -> Iterator[int]:
    """Yields ports of a block that hardly any other process of the moment begins with."""
    count = LAST_PORT - FIRST_PORT + 1
    start = os.getpid() * PORTS_PER_BLOCK
    number = 0
    while True:
        yield FIRST_PORT + (start + number) % count
        number += 1


_candidates = _ports()
_locks: list[IO[str]] = []


def free_port() -> int:
    """Returns a port that nobody listens at, kept from other callers until this process ends."""
    return next(port for port in _candidates if _is_free(port) and _locks_port(port))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _locks_port(port: int) -> bool:
    LOCKS.mkdir(exist_ok=True)
    lock = (LOCKS / str(port)).open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return False
    _locks.append(lock)
    return True
