"""Registry of upstreams, read from rows of a store that may be unavailable for a while.

An upstream that announces that it is leaving, in its row or in a response, gets no new requests
from then on; an older row of the same instance does not revert that. An upstream whose row is
deleted is removed, unless the row may have expired during an outage of the store: then the upstream
is kept for a grace period after the recovery of the store, in which a live upstream writes its row
again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from bilberryplank_core._direct_types import DirectUpstream

OUTAGE_GRACE_SECONDS = 2.0
"""A live upstream writes its row again within about this time after the store's recovery."""


MAX_REMEMBERED_LEAVERS = 1024
"""Maximum number of instances that are remembered as leaving; the oldest are dropped first."""


@dataclass(slots=True, frozen=True)
class RegistryChange:
    """Upstreams that an update changed."""

    joined: tuple[DirectUpstream, ...] = ()
    leaving: tuple[DirectUpstream, ...] = ()
    gone: tuple[DirectUpstream, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.joined or self.leaving or self.gone)


class UpstreamRegistry:
    """Known upstreams by name."""

    __slots__ = ("_grace_until", "_in_grace", "_leaving_starts", "_upstreams")

    def __init__(self) -> None:
        self._upstreams: dict[str, DirectUpstream] = {}
        self._in_grace: set[str] = set()
        self._leaving_starts: dict[str, int | None] = {}
        self._grace_until = float("-inf")

    @property
    def upstreams(self) -> dict[str, DirectUpstream]:
        """All known upstreams, including leaving ones."""
        return self._upstreams

    def available(self, service: str) -> list[DirectUpstream]:
        """Returns the upstreams of a service that may get new requests."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and not upstream.leaving
        ]

    def mark_leaving(self, upstream: DirectUpstream) -> RegistryChange:
        """Records that an upstream announced in a response that it is leaving.

        Args:
            upstream: The upstream as known when the request was sent; it may have restarted since.
        """
        known = self._upstreams.get(upstream.name)
        if known is None or known.leaving or known.started_at != upstream.started_at:
            return RegistryChange()
        self._leaving_starts[known.name] = known.started_at
        if len(self._leaving_starts) > MAX_REMEMBERED_LEAVERS:
            del self._leaving_starts[next(iter(self._leaving_starts))]
        leaving = replace(known, leaving=True)
        self._upstreams[known.name] = leaving
        return RegistryChange(leaving=(leaving,))

    def record_store_recovery(self, now: float) -> None:
        """Records that the store is available again after an outage."""
        self._grace_until = now + OUTAGE_GRACE_SECONDS

    def replace_all(self, rows: Iterable[DirectUpstream], now: float) -> RegistryChange:
        """Replaces all upstreams by the rows of a snapshot."""
        current = {upstream.name: upstream for upstream in rows}
        removed_names = set(self._upstreams) - set(current)
        return self._apply(current, removed_names, now)

    def update(
        self, rows: Iterable[DirectUpstream], removed: Iterable[str], now: float
    ) -> RegistryChange:
        """Applies changed rows and the names of deleted rows."""
        return self._apply({upstream.name: upstream for upstream in rows}, set(removed), now)

    @property
    def expires_at(self) -> float | None:
        """Time at which `expire` is due; None if no row may have expired during an outage."""
        return self._grace_until if self._in_grace else None

    def expire(self, now: float) -> RegistryChange:
        """Removes upstreams whose rows were not written again within the grace period."""
        if now < self._grace_until or not self._in_grace:
            return RegistryChange()
        gone = [self._upstreams.pop(name) for name in self._in_grace if name in self._upstreams]
        self._in_grace.clear()
        return RegistryChange(gone=tuple(gone))

    def _apply(
        self, current: dict[str, DirectUpstream], removed_names: set[str], now: float
    ) -> RegistryChange:
        joined, leaving, gone = [], [], []
        for name, upstream in current.items():
            previous = self._upstreams.get(name)
            self._in_grace.discard(name)
            upstream = self._with_leaving_mark(upstream)
            self._upstreams[name] = upstream
            if previous is None or previous.started_at != upstream.started_at:
                joined.append(upstream)
            if upstream.leaving and not (previous and previous.leaving):
                leaving.append(upstream)
        for name in removed_names:
            upstream = self._upstreams.get(name)
            if upstream is None:
                continue
            if now < self._grace_until and not upstream.leaving:
                self._in_grace.add(name)
            else:
                gone.append(self._upstreams.pop(name))
                self._in_grace.discard(name)
                if upstream.started_at is None:
                    # Without start times, a later instance can't be told from this one.
                    self._leaving_starts.pop(name, None)
        expired = self.expire(now)
        return RegistryChange(tuple(joined), tuple(leaving), (*gone, *expired.gone))

    def _with_leaving_mark(self, upstream: DirectUpstream) -> DirectUpstream:
        """Returns the upstream, marked as leaving if this instance announced it in a response."""
        if upstream.name not in self._leaving_starts:
            return upstream
        if self._leaving_starts[upstream.name] != upstream.started_at:
            del self._leaving_starts[upstream.name]
            return upstream
        return replace(upstream, leaving=True)
