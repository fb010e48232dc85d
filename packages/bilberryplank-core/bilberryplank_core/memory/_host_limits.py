"""Limits that follow from what a host has."""

from __future__ import annotations

MIB = 1024 * 1024

PROCESS_BYTES = 80 * MIB
"""What a process needs beside what it holds for callers: code, tables, a change of a large
configuration, and its connections."""

BUDGET_SHARE = 0.5
"""Share of the rest for callers; buffers of sockets and the allocator's gaps need as much again."""

LEAST_BUDGET_BYTES = 16 * MIB
"""Room for a body of the longest size beside others, whatever the host has."""

MOST_BUDGET_BYTES = 160 * MIB

CONNECTION_SHARE = 0.45
"""Share of the descriptors for callers; a request that runs needs one to its upstream as well."""

ADDRESS_SHARE = 0.75
"""Share of the callers' connections that one address may have."""

MOST_CONNECTIONS = 2000

UNACCEPTED_CONNECTIONS = 512
"""Connections that wait in the backlog or linger once they are refused, beside those that are
taken."""

UNREAD_SHARE = 0.3
"""Share of the memory for bytes that sockets of callers received and the process has not read."""

LEAST_RECEIVE_BUFFER_BYTES = 8 * 1024
MOST_RECEIVE_BUFFER_BYTES = 128 * 1024


def budget_bytes(memory: int | None) -> int:
    """Returns the bytes that an entry may hold for callers.

    Args:
        memory: Memory of the host in bytes; None if unknown.
    """
    if memory is None:
        return MOST_BUDGET_BYTES
    rest = int((memory - PROCESS_BYTES) * BUDGET_SHARE)
    return min(max(rest, LEAST_BUDGET_BYTES), MOST_BUDGET_BYTES)


def connection_limits(descriptors: int | None) -> tuple[int, int]:
    """Returns the most connections of callers: in all, and from one address.

    Args:
        descriptors: Descriptors that the process may open; None if unknown.
    """
    most = MOST_CONNECTIONS
    if descriptors is not None:
        most = max(1, min(most, int(descriptors * CONNECTION_SHARE)))
    return most, max(1, int(most * ADDRESS_SHARE))


def receive_buffer_bytes(memory: int | None, connections: int) -> int | None:
    """Returns the received bytes that the socket of a caller may hold; None for no bound.

    Args:
        memory: Memory of the host in bytes; None if unknown.
        connections: Most connections of callers.
    """
    if memory is None:
        return None
    size = int(UNREAD_SHARE * memory / (connections + UNACCEPTED_CONNECTIONS))
    return min(max(size, LEAST_RECEIVE_BUFFER_BYTES), MOST_RECEIVE_BUFFER_BYTES)
