"""Sockets that listen on an address, with a bound on what their connections hold unread."""

from __future__ import annotations

import socket

BACKLOG = 512

RECEIVED_SHARE = 1.5
"""Bytes that a socket takes for each one of its receive buffer as it is set: the kernel doubles
that, and leaves a quarter or more for what packets cost beside their data."""


def open_listening_socket(host: str, port: int, receive_buffer: int | None = None) -> socket.socket:
    """Returns a listening socket.

    Args:
        host: IP number.
        port: TCP port; 0 for any.
        receive_buffer: Bytes that each connection may have received before they are read.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        if receive_buffer is not None:
            # Connections inherit it, as their windows are agreed on before they are accepted.
            size = int(receive_buffer / RECEIVED_SHARE)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock
