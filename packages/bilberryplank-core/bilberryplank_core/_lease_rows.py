"""Rows of leases in the table service: the lease row and the fence row."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bilberryplank_core._contracts import Row

TABLE = "leases"


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Value of a lease row.

    Attributes:
        holder: Name of the process that holds the lease.
        grant: Unique id of the acquisition.
        fence: Fencing token; grows by one with each acquisition.
        duration: Seconds from acquisition or renewal to expiry.
        released: True once the holder has relinquished the lease.
    """

    holder: str
    grant: str
    fence: int
    duration: float
    released: bool = False

    def to_value(self, released: bool = False) -> dict[str, Any]:
        """Returns the row's JSON value."""
        return {
            "holder": self.holder,
            "grant": self.grant,
            "fence": self.fence,
            "duration": self.duration,
            "released": released,
        }


def fence_key(name: str) -> str:
    """Returns the key of the fence row, which changes only when the holder changes."""
    return f"{name}/fence"


def lease_row(row: Row | None) -> LeaseRow | None:
    """Returns the value of a lease row, or None if there is no row."""
    return None if row is None else LeaseRow(**row.value)
