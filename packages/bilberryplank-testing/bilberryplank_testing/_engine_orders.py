"""Orders that a fake engine takes: models, adapters, versions and role."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class EngineOrders:
    """State that orders change; each order id takes effect once.

    Attributes:
        ignore_fences: True where an old fencing number is not refused.
        models: Models loaded.
        adapters: Adapters loaded.
        version: Version set last.
        role: Role set last.
        fence: Highest fencing number seen.
        carried_out: Orders that took effect, in order.
    """

    ignore_fences: bool = False
    models: list[str] = field(default_factory=list)
    adapters: list[str] = field(default_factory=list)
    version: str = ""
    role: str = "mixed"
    fence: int = 0
    carried_out: list[dict[str, Any]] = field(default_factory=list)

    def accept(self, order: dict[str, Any]) -> tuple[bool, bool]:
        """Returns whether an order is accepted, and whether it took effect now.

        Raises:
            ValueError: The action is unknown.
        """
        if order["fence"] < self.fence and not self.ignore_fences:
            return False, False
        self.fence = max(self.fence, order["fence"])
        if any(done["order_id"] == order["order_id"] for done in self.carried_out):
            return True, False
        self._apply(order["action"], order["argument"])
        self.carried_out.append(order)
        return True, True

    def _apply(self, action: str, argument: str) -> None:
        match action:
            case "load_model":
                self.models.append(argument)
            case "load_adapter":
                self.adapters.append(argument)
            case "set_version":
                self.version = argument
            case "set_role":
                self.role = argument
            case _:
                raise ValueError(f"unknown action {action!r}")
