"""Bounds the requests that the whole fleet sends to an upstream that is cold.

Motivating load: a zone's upstreams come back together while every entry has requests that wait for
them; an upstream tolerates a few requests a second until it is warm, and crashes beyond.

No entry relies on a message for this: for each upstream a few entries may send to it, each at its
own small rate, so that even two sets of senders that know nothing of each other keep the bound.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from bilberryplank_core._direct_types import DirectService, DirectUpstream

SendRule = Callable[[DirectUpstream, float], bool]
"""Returns whether a request may be sent to an upstream at a time in seconds."""

SENDERS = 3
"""Entries that may send to one cold upstream."""

VIEWS = 2
"""Sets of senders that may exist while entries disagree about the members of the fleet."""

WINDOW_SECONDS = 1.05
"""The bound holds in any second; entries' clocks may run at slightly different rates."""

FIRST_SECONDS = 2.0
"""An entry that has just started does not know what it sent before."""

MARGIN_SECONDS = 0.3
"""What a row says of the time left is as old as its way here."""


def always(upstream: DirectUpstream, now: float) -> bool:
    """Returns True: nothing bars any upstream."""
    return True


@dataclass(slots=True, frozen=True)
class ColdLimits:
    """How far the fleet may exceed the rate that a cold upstream tolerates.

    Attributes:
        rate_factor: Multiple of the rate.
        allowance: Requests in any second beside that.
    """

    rate_factor: float
    allowance: float


@dataclass(slots=True, frozen=True)
class _Share:
    senders: int
    requests: int

    @classmethod
    def of(cls, limits: ColdLimits, service: DirectService) -> _Share:
        """Returns who may send to a cold upstream of a service, and how much in a second."""
        bound = int(service.cold_per_second * limits.rate_factor + limits.allowance)
        senders = max(1, min(SENDERS, bound // VIEWS))
        return cls(senders, max(1, bound // (VIEWS * senders)))


class ColdUpstreams:
    """Which upstreams are cold, and whether this entry may send to one of them now.

    Args:
        limits: Limits of the platform; None if it has none, and nothing is ever cold.
        started_at: When this entry started, in seconds.
        rank: Returns how many entries rank before this one for a job; None if they are unknown.
    """

    __slots__ = (
        "_cold_until",
        "_limits",
        "_may_send",
        "_rank",
        "_sent",
        "_services",
        "_shares",
        "_started_at",
        "_suspects",
    )

    def __init__(
        self, limits: ColdLimits | None, started_at: float, rank: Callable[[str], int | None]
    ) -> None:
        self._cold_until: dict[str, float] = {}
        self._limits = limits
        self._may_send: dict[str, bool] = {}
        self._rank = rank
        self._sent: dict[str, deque[float]] = {}
        self._services: dict[str, DirectService] = {}
        self._shares: dict[str, _Share] = {}
        self._started_at = started_at
        self._suspects: set[str] = set()

    def apply_services(self, services: Iterable[DirectService]) -> None:
        """Takes in the services of a configuration."""
        limits = self._limits
        if limits is None:
            return
        self._services = {each.name: each for each in services if each.cold_seconds > 0}
        self._shares = {name: _Share.of(limits, each) for name, each in self._services.items()}

    def members_changed(self) -> None:
        """Takes in that the entries of the fleet may be others."""
        self._may_send.clear()

    def record_row(self, upstream: DirectUpstream, now: float) -> bool:
        """Takes in an upstream's row; returns True if the upstream is cold and was not."""
        if upstream.service not in self._services or upstream.cold_remaining <= 0:
            return False
        return self._chill(upstream.name, now + upstream.cold_remaining + MARGIN_SECONDS, now)

    def record_start(self, upstream: DirectUpstream, age: float | None, now: float) -> bool:
        """Takes in a new lifetime of an upstream; returns True if it is cold and was not.

        Args:
            upstream: The upstream.
            age: Seconds since its start; None if unknown.
            now: The time in seconds.
        """
        service = self._services.get(upstream.service)
        self._suspects.discard(upstream.name)
        if service is None:
            return False
        left = service.cold_seconds - max(0.0, age or 0.0)
        return left > 0 and self._chill(upstream.name, now + left + MARGIN_SECONDS, now)

    def record_failure(self, upstream: DirectUpstream) -> None:
        """Takes in that an upstream may have crashed: its next lifetime begins unnoticed."""
        if upstream.service in self._services:
            self._suspects.add(upstream.name)

    def record_answer(self, upstream: DirectUpstream, now: float) -> bool:
        """Takes in that an upstream answers; returns True if it may just have come back."""
        if upstream.name not in self._suspects:
            return False
        self._suspects.discard(upstream.name)
        service = self._services.get(upstream.service)
        until = now + service.cold_seconds if service else now
        return service is not None and self._chill(upstream.name, until, now)

    def record_taken_back(self, upstreams: Iterable[DirectUpstream], now: float) -> None:
        """Takes in that an evacuation was taken back: its upstreams may have become cold."""
        for upstream in upstreams:
            service = self._services.get(upstream.service)
            if service is not None:
                self._chill(upstream.name, now + service.cold_seconds + MARGIN_SECONDS, now)

    def record_sent(self, upstream: DirectUpstream, now: float) -> None:
        """Records that a request was sent; an upstream may turn out to have been cold then."""
        share = self._shares.get(upstream.service)
        if share is not None:
            self._sent.setdefault(upstream.name, deque(maxlen=share.requests)).append(now)

    def is_cold(self, name: str, now: float) -> bool:
        """Returns True if an upstream is cold, or may be."""
        return name in self._suspects or now < self._cold_until.get(name, float("-inf"))

    def count(self, now: float) -> int:
        """Returns the number of upstreams that are cold, or may be."""
        return len(self._suspects | {name for name in self._cold_until if self.is_cold(name, now)})

    def may_send(self, upstream: DirectUpstream, now: float) -> bool:
        """Returns True if this entry may send a request to an upstream now."""
        if not self.is_cold(upstream.name, now):
            return True
        share = self._shares.get(upstream.service)
        if share is None:
            return True
        if now < self._started_at + FIRST_SECONDS or not self._is_sender(upstream.name, share):
            return False
        sent = self._sent.get(upstream.name, ())
        return len(sent) < share.requests or now - sent[0] >= WINDOW_SECONDS

    def forget(self, name: str) -> None:
        """Removes what is known of an upstream that is gone."""
        self._cold_until.pop(name, None)
        self._may_send.pop(name, None)
        self._sent.pop(name, None)
        self._suspects.discard(name)

    def retain(self, names: Collection[str]) -> None:
        """Removes what is known of all other upstreams."""
        known = {*self._cold_until, *self._may_send, *self._sent, *self._suspects}
        for name in known - set(names):
            self.forget(name)

    def _is_sender(self, name: str, share: _Share) -> bool:
        known = self._may_send.get(name)
        if known is None:
            rank = self._rank(f"cold upstream {name}")
            if rank is None:
                return False
            known = self._may_send[name] = rank < share.senders
        return known

    def _chill(self, name: str, until: float, now: float) -> bool:
        was_cold = self.is_cold(name, now)
        self._cold_until[name] = max(until, self._cold_until.get(name, until))
        return not was_cold
