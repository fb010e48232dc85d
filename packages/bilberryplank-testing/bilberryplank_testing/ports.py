"""Free ports on the loopback address."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

FIRST_PORT = 12000
LAST_PORT = 31999
"""Below the range from which the system takes ports for outgoing connections."""

PORTS_PER_BLOCK = 400


def _ports() -> Iterator[int]:
    """Yields ports of a block that hardly any other process of the moment begins with."""
    count = LAST_PORT - FIRST_PORT + 1
    start = os.getpid() * PORTS_PER_BLOCK
    number = 0
    while True:
        yield FIRST_PORT + (start + number) % count
        number += 1


_candidates = _ports()


def free_port() -> int:
    """Returns a port that was free a moment ago, and that this process was not given lately."""
    return next(port for port in _candidates if _is_free(port))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
