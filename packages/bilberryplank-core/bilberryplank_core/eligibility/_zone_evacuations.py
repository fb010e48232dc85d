"""Availability zones whose upstreams must get no new work, by request of the operator.

Motivating load: a zone is evacuated while the store comes back from an older copy, which lacks the
request until the operator writes it again.
"""

from __future__ import annotations

from collections.abc import Iterable

DOUBT_SECONDS = 2.0
"""Time after a restore of the store within which the operator writes again what is missing."""


class ZoneEvacuations:
    """Zones that are evacuated, as the store's rows say."""

    __slots__ = ("_doubt_until", "_kept", "_zones")

    def __init__(self) -> None:
        self._doubt_until = float("-inf")
        self._kept: set[str] = set()
        self._zones: set[str] = set()

    def replace_all(self, zones: Iterable[str], now: float) -> None:
        """Takes in all rows."""
        found = set(zones)
        if now < self._doubt_until:
            self._kept |= self._zones - found
        self._kept -= found
        self._zones = found

    def update(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Takes in changed rows; what the operator removes is not evacuated, whatever the doubt."""
        self._zones.update(added)
        removed = set(removed)
        self._zones -= removed
        self._kept -= removed | self._zones

    def restored(self, now: float) -> None:
        """Takes in that rows may be missing."""
        self._kept = self.zones(now)
        self._doubt_until = now + DOUBT_SECONDS

    @property
    def doubt_until(self) -> float:
        """Time until which missing rows are kept, in seconds."""
        return self._doubt_until

    def zones(self, now: float) -> set[str]:
        """Returns the zones that are evacuated."""
        return self._zones | self._kept if now < self._doubt_until else set(self._zones)
