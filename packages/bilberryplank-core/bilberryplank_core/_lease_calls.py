"""Calls under a lease that may still arrive at the platform.

What was handed to the kernel may arrive after anything that is done to its connection later: a
packet is sent again, a link is slow, or the platform has not read yet what its kernel has. So a
call is over once it is answered, or once its grant would have been taken over by its expiry.

Motivating load: a holder is stopped while a packet of its report is sent again.
"""

from __future__ import annotations

from bilberryplank_core._contracts import SentCall


class LeaseCalls:
    """The calls of one holder that may still arrive."""

    __slots__ = ("_in_flight", "_unanswered_until")

    def __init__(self) -> None:
        self._in_flight: set[LeaseCall] = set()
        self._unanswered_until = float("-inf")

    def begin(self, until: float) -> LeaseCall:
        """Records that a call is handed over as a whole.

        Args:
            until: Time from which another process may hold the lease by expiry.
        """
        call = LeaseCall(self, until)
        self._in_flight.add(call)
        return call

    def end(self, call: LeaseCall, answered: bool) -> None:
        """Records the end of a call; the first one counts."""
        if call not in self._in_flight:
            return
        self._in_flight.discard(call)
        if not answered:
            self._unanswered_until = max(self._unanswered_until, call.until)

    def await_answer(self, now: float) -> bool:
        """Returns True while a call waits for its answer and may still arrive."""
        return any(now < call.until for call in self._in_flight)

    def may_arrive(self, now: float) -> bool:
        """Returns True while a call may still arrive, whether it is waited for or not."""
        return now < self._unanswered_until or self.await_answer(now)


class LeaseCall(SentCall):
    """One call.

    Attributes:
        until: Time from which it can no longer arrive.
    """

    __slots__ = ("_calls", "until")

    def __init__(self, calls: LeaseCalls, until: float) -> None:
        self._calls = calls
        self.until = until

    def end(self, answered: bool) -> None:
        """Records the end of the call."""
        self._calls.end(self, answered)
