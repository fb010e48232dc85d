"""Which entries there are, from rows that each writes of itself, and what their number decides.

The number bounds what entries do without speaking to each other: how often each stores its counts,
which share of a common allowance it takes, and which few of them contend for a lease. A name too
many or too few for a minute changes rates a little and nothing else, so the rows are read seldom.

Load pattern: from three to a thousand entries on one store, whose calls are billed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from bilberryplank_core._ranking import is_ranked
from bilberryplank_core._table_notices import MIN_ENTRIES_FOR_POLLERS, is_table_poller

MEMBER_LIFETIME_SECONDS = 200.0
"""An entry whose row is older is taken as gone: three writes of it were missed."""

LEASE_CONTENDERS = 6
"""Entries that contend for a lease all the time. Of so many one lives and reaches the store, unless
most of the fleet is gone; the others look now and then for that."""

STANDBY_WAIT_FACTOR = 8.0
"""How much longer than contenders the other entries wait between two looks at a lease."""


class FleetMembers:
    """Names of the entries that wrote of themselves lately.

    Args:
        name: Name of this entry, always one of them.
    """

    __slots__ = ("_by_name", "_addresses", "_name", "_names", "_is_table_poller")

    def __init__(self, name: str) -> None:
        self._name = name
        self._names: frozenset[str] = frozenset()
        self._addresses: frozenset[str] = frozenset()
        self._by_name: dict[str, str] = {}
        self._is_table_poller = False

    @property
    def size(self) -> int | None:
        """Number of entries; None before the rows were read."""
        return len(self._names) or None

    def update(self, rows: Mapping[str, Any], now: float) -> list[str]:
        """Takes in all rows and returns the keys of those that nobody writes any more.

        Args:
            rows: Values by the name of the entry that wrote them.
            now: Seconds on the store's clock.
        """
        alive = {name for name, value in rows.items() if _is_fresh(value, now)}
        self._names = frozenset({*alive, self._name})
        others = {name: _address(rows[name]) for name in alive if name != self._name}
        self._by_name = {name: address for name, address in others.items() if address}
        self._addresses = frozenset(self._by_name.values())
        # Asked for at each notice, so it is not ranked anew each time.
        self._is_table_poller = self.is_large and is_table_poller(self._name, self._names)
        return sorted(set(rows) - self._names)

    def address_of(self, name: str) -> str | None:
        """Returns where another entry hears notices; None where nothing is known of it."""
        return self._by_name.get(name)

    def contends(self, lease: str) -> bool:
        """Returns True where this entry is one of the few that contend for a lease."""
        return is_ranked(lease, self._name, self._names, LEASE_CONTENDERS)

    @property
    def addresses(self) -> frozenset[str]:
        """`ip:port` at which the other entries hear notices."""
        return self._addresses

    @property
    def is_large(self) -> bool:
        """True where a few entries read the tables for all."""
        return len(self._names) >= MIN_ENTRIES_FOR_POLLERS

    @property
    def is_table_poller(self) -> bool:
        """True where this entry is one of those few."""
        return self._is_table_poller

    def flush_interval(self, least: float, window: float, tolerance: float) -> float:
        """Returns the seconds between two flushes of usage counts.

        A killed entry loses its counts since the last flush. That is a share of the interval in the
        window, divided by the entries, and must stay within what a report may be off.

        Args:
            least: Shortest interval; used while the fleet's size is not known.
            window: Length of a window in seconds.
            tolerance: Share by which a report may be off.
        """
        if self.size is None:
            return least
        return min(window, max(least, tolerance * self.size * window))


def _is_fresh(value: Any, now: float) -> bool:
    written = value.get("at") if isinstance(value, dict) else None
    return isinstance(written, (int, float)) and now - written < MEMBER_LIFETIME_SECONDS


def _address(value: dict[str, Any]) -> str:
    """Returns the address in a row; empty where it tells none."""
    address = value.get("address")
    return address if isinstance(address, str) else ""
