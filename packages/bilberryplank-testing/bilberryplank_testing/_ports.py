"""Free ports on the loopback address."""

from __future__ import annotations

import random
import socket

FIRST_PORT = 15000
LAST_PORT = 31999
"""Below the range from which the system takes ports for outgoing connections."""

_handed_out: set[int] = set()
_rng = random.SystemRandom()


def free_port() -> int:
    """Returns a port that was free a moment ago, and that this process was not given before."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        if port not in _handed_out and _is_free(port):
            _handed_out.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
