"""Guard that stops an order once the lease it was made under is lost."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from bilberryplank_core._contracts import Guard, SentCall
from bilberryplank_core._errors import LeaseLost

if TYPE_CHECKING:
    from bilberryplank_core._leases import LeaseHolder


class LeaseGuard(Guard):
    """Lets an order pass only while the grant under which it was made is held."""

    __slots__ = ("_clock", "_fence", "_lease")

    def __init__(self, lease: LeaseHolder, fence: int, clock: Callable[[], float]) -> None:
        self._lease = lease
        self._fence = fence
        self._clock = clock

    @property
    def fence(self) -> int:
        """The fencing token that the order carries."""
        return self._fence

    def check(self) -> None:
        """Raises `LeaseLost` if the lease expired or was acquired anew since the order was made."""
        if not self._lease.held(self._clock()) or self._lease.fence != self._fence:
            raise LeaseLost(f"lease {self._lease.name} with fence {self._fence} is not held")

    def remaining(self) -> float:
        """Returns the seconds until the order must no longer be sent; 0 after a new grant."""
        if self._lease.fence != self._fence:
            return 0.0
        return self._lease.remaining(self._clock())

    def begin_call(self) -> SentCall:
        """Records that a whole call may arrive, until it is answered or the lease has expired."""
        self.check()
        return self._lease.begin_call()
