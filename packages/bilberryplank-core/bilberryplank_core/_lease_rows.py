"""The rows of a lease in the table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bilberryplank_core._contracts import Row

TABLE = "leases"


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Value of a lease's row.

    Attributes:
        holder: Name of the process that holds it.
        grant: Unique id of the acquisition.
        fence: Fencing number; grows with each acquisition.
        duration: Seconds of the lease.
        released: True once the holder gave it up.
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
    """Returns the key of the row that changes with the holder only."""
    return f"{name}/fence"


def lease_row(row: Row | None) -> LeaseRow | None:
    """Returns the value of a lease's row, or None without a row."""
    return None if row is None else LeaseRow(**row.value)
