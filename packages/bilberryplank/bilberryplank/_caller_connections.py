"""Bounds on callers' connections: in all, and from one address."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from bilberryplank._caller_memory import CallerMemory
from bilberryplank_core.settings import CallerSettings

if TYPE_CHECKING:
    from bilberryplank._caller_protocol import CallerProtocol

LEAST_IDLE_SECONDS = 1.0
"""A connection without a request gives way to a new one after this long."""


class ConnectionBounds:
    """Counts connections, and has idle ones give way to new ones.

    Args:
        settings: Bounds on callers.
        memory: Tells the time, and counts what gives way.
    """

    __slots__ = ("_by_address", "_connections", "_memory", "_settings")

    def __init__(self, settings: CallerSettings, memory: CallerMemory) -> None:
        self._by_address: Counter[str] = Counter()
        self._connections: set[CallerProtocol] = set()
        self._memory = memory
        self._settings = settings

    def admits_another(self, address: str) -> bool:
        """Returns True if there is room for a connection, or idle ones were closed for it."""
        if self._by_address[address] >= self._settings.max_connections_per_address:
            connections = [each for each in self._connections if each.address == address]
            return self._close_idle(connections)
        if len(self._connections) < self._settings.max_connections:
            return True
        return self._close_idle(self._connections)

    def add(self, conn: CallerProtocol) -> None:
        """Takes in a connection."""
        self._by_address[conn.address] += 1
        self._connections.add(conn)

    def remove(self, conn: CallerProtocol) -> None:
        """Takes in the end of a connection."""
        if conn not in self._connections:
            return
        self._connections.discard(conn)
        self._by_address[conn.address] -= 1
        if not self._by_address[conn.address]:
            del self._by_address[conn.address]

    def _close_idle(self, connections: Iterable[CallerProtocol]) -> bool:
        """Closes the connection that is idle longest, of the address that has most."""
        now = self._memory.now()
        idle = [
            each
            for each in connections
            if now - each.idle_since >= LEAST_IDLE_SECONDS and each.is_idle
        ]
        if not idle:
            return False
        conn = min(idle, key=lambda each: (-self._by_address[each.address], each.idle_since))
        self._memory.cut_idle(conn.address, now - conn.idle_since)
        self.remove(conn)
        conn.cut()
        return True
