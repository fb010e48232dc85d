"""Fake of the interface that starts and stops upstreams by availability zone."""

from __future__ import annotations

from typing import Any


class FakeOrders:
    """Carries out each order id once.

    Attributes:
        honours_fences: True where it refuses a fencing number below the highest seen in the zone.
        carried_out: Orders that took effect, in order, each with its zone.
    """

    __slots__ = ("_fences", "_ids", "carried_out", "honours_fences")

    def __init__(self, honours_fences: bool) -> None:
        self.honours_fences = honours_fences
        self.carried_out: list[dict[str, Any]] = []
        self._ids: set[str] = set()
        self._fences: dict[str, int] = {}

    def accept(self, zone: str, order: dict[str, Any]) -> tuple[bool, bool]:
        """Returns whether an order is accepted, and whether it took effect now."""
        highest = self._fences.get(zone, 0)
        if self.honours_fences and order["fence"] < highest:
            return False, False
        self._fences[zone] = max(highest, order["fence"])
        if order["order_id"] in self._ids:
            return True, False
        self._ids.add(order["order_id"])
        self.carried_out.append({"zone": zone} | order)
        return True, True
