"""Rows of leases in the table service: the lease row and the fence row."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bilberryplank_core._contracts import Row
from bilberryplank_core._errors import PlatformUnavailable

TABLE = "leases"

MAX_FENCE = 2**53
MAX_DURATION_SECONDS = 3600.0


class LeaseRowInvalid(PlatformUnavailable):
    """Raised for a spoiled lease row; the lease is granted to nobody until the row is gone."""

    code = "lease_row_invalid"


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


def granted_in_fence_row(row: Row) -> str | None:
    """Returns the id of the grant that a fence row tells; None if it tells none."""
    match row.value:
        case {"grant": str(grant)}:
            return grant
    return None


def lease_row(row: Row | None) -> LeaseRow | None:
    """Returns the value of a lease row, or None if there is no row.

    Raises:
        LeaseRowInvalid: The row holds something else.
    """
    if row is None:
        return None
    match row.value:
        case {
            "holder": str(holder),
            "grant": str(grant),
            "fence": int(fence),
            "duration": int(duration) | float(duration),
        } if (
            0 <= fence <= MAX_FENCE and 0 < duration <= MAX_DURATION_SECONDS
        ):
            released = row.value.get("released") is True
            return LeaseRow(holder, grant, fence, float(duration), released)
    raise LeaseRowInvalid(f"the row of the lease {row.key} cannot be read")
