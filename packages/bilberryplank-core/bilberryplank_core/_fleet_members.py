"""Membership of the fleet, from rows that each entry writes about itself.

The number of entries determines what they do without coordination: how often each stores its
counts, its share of a common allowance, and which few of them contend for a lease. A membership
that is off by a few entries for a minute only changes these rates slightly, so the rows are read
rarely.

Motivating load: from three to a thousand entries on one store, whose calls are billed.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from bilberryplank_core._checked_values import (
    ValueInvalid,
    check_endpoint,
    check_number,
    check_text,
)
from bilberryplank_core._rendezvous import is_ranked, rank_of
from bilberryplank_core._table_notices import (
    MIN_ENTRIES_FOR_POLLERS,
    TABLE_POLLERS,
    is_table_poller,
)

SLOW_LINK = "slow_link"
"""Member of a row; true where it would take the entry seconds to read a long table."""

SLOW_LINK_BYTES_PER_SECOND = 4.0e6
"""The longest row of the operator, of 4 MB, takes more than a second over a slower link."""

MEMBER_LIFETIME_SECONDS = 200.0
"""An entry whose row is older is considered gone: it missed three writes."""

LEASE_CONTENDERS = 6
"""Entries that contend for a lease all the time. At least one of them is alive and reaches the
store, unless most of the fleet is gone; for that case the others try at longer intervals."""

STANDBY_WAIT_FACTOR = 8.0
"""Factor by which other entries wait longer than contenders between two attempts at a lease."""


class FleetMembers:
    """Entries whose rows were written recently.

    Args:
        name: Name of this entry, which is always a member.
        slow_link: True if long rows take seconds over the link of this entry's host.
    """

    __slots__ = ("_address_by_name", "_addresses", "_name", "_names", "_slow_names", "slow_link")

    def __init__(self, name: str, slow_link: bool = False) -> None:
        self._name = name
        self.slow_link = slow_link
        self._slow_names: frozenset[str] = frozenset()
        self._names: frozenset[str] = frozenset()
        self._addresses: frozenset[str] = frozenset()
        self._address_by_name: dict[str, str] = {}

    @property
    def size(self) -> int | None:
        """Number of entries; None before the first read of the rows."""
        return len(self._names) or None

    def update(self, rows: Mapping[str, Any], now: float) -> list[str]:
        """Applies all rows; returns the keys of the expired or invalid ones.

        Args:
            rows: Values by the name of the entry that wrote them.
            now: Seconds on the store's clock.
        """
        alive = {name for name, value in rows.items() if _is_valid(name, value, now)}
        self._names = frozenset({*alive, self._name})
        others = {name: _address(rows[name]) for name in alive if name != self._name}
        self._address_by_name = {name: address for name, address in others.items() if address}
        self._addresses = frozenset(self._address_by_name.values())
        slow = {name for name in others if rows[name].get(SLOW_LINK) is True}
        self._slow_names = frozenset(slow | ({self._name} if self.slow_link else set()))
        return sorted(set(rows) - self._names)

    def address_of(self, name: str) -> str | None:
        """Returns the address at which another entry receives notices; None if unknown."""
        return self._address_by_name.get(name)

    def contends(self, lease: str) -> bool:
        """Returns True if this entry contends for a lease all the time."""
        return is_ranked(lease, self._name, self._names, LEASE_CONTENDERS)

    def rank(self, job: str) -> int:
        """Returns the number of entries that rank before this one for a job."""
        return rank_of(job, self._name, self._names)

    @property
    def addresses(self) -> frozenset[str]:
        """Addresses (`ip:port`) at which the other entries receive notices."""
        return self._addresses

    @property
    def is_large(self) -> bool:
        """True if the fleet is large enough for table pollers that read for all entries."""
        return len(self._names) >= MIN_ENTRIES_FOR_POLLERS

    def is_table_poller(self, silent: Collection[str]) -> bool:
        """Returns True if this entry is a table poller: not on a slow link, if enough are not.

        Args:
            silent: Addresses of entries that cannot be one, as nothing is heard from them.
        """
        names = {name for name in self._names if self._address_by_name.get(name) not in silent}
        fast_names = names - self._slow_names
        candidates = fast_names if len(fast_names) >= TABLE_POLLERS else names
        is_candidate = self.is_large and self._name in candidates
        return is_candidate and is_table_poller(self._name, candidates)

    def flush_interval(self, least: float, window: float, tolerance: float) -> float:
        """Returns the seconds between two flushes of usage counts.

        An entry that is killed loses its counts since the last flush: the interval divided by the
        window and by the number of entries, as a share of the window's counts. That must stay
        within the tolerance of a report.

        Args:
            least: Shortest interval in seconds; used while the size of the fleet is unknown.
            window: Length of a window in seconds.
            tolerance: Relative error that a report may have.
        """
        if self.size is None:
            return least
        return min(window, max(least, tolerance * self.size * window))


def _is_valid(name: str, value: Any, now: float) -> bool:
    """Returns True for a row that was written recently and that holds nothing malformed."""
    if not isinstance(value, dict):
        return False
    try:
        check_text(name, "the name")
        written = check_number(value.get("at"), "the time")
        if _address(value) != "":
            check_endpoint(_address(value), "the address")
    except ValueInvalid:
        return False
    return abs(now - written) < MEMBER_LIFETIME_SECONDS


def _address(value: dict[str, Any]) -> Any:
    """Returns the address in a row; empty if it has none."""
    return value.get("address", "")
