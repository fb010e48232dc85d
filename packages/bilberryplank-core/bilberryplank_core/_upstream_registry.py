"""Registry of upstreams, read from rows of a store that may be unavailable for a while.

An upstream that announces that it is leaving, in its row or in a response, gets no new requests
from then on; an older row of the same instance does not revert that. An upstream whose row is
deleted is removed, unless the row may have expired during an outage of the store: then the upstream
is kept for a grace period after the recovery of the store, in which a live upstream writes its row
again.

A store that comes back from an older copy shows rows of upstreams that have left since, and calls
leaving ones ready. So an instance that was known to leave stays leaving, and one that was removed
is held back until it writes its row, or until a row that nobody writes would have expired.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from bilberryplank_core._direct_types import DirectUpstream

OUTAGE_GRACE_SECONDS = 2.0
"""A live upstream writes its row again within about this time after the store's recovery."""


UNWRITTEN_ROW_SECONDS = 6.0
"""The store drops a row that nobody writes within this time: three reports of a live upstream and
some delay."""

MAX_REMEMBERED_LEAVERS = 1024
"""Maximum number of instances that are remembered as leaving, and of those remembered as removed;
the oldest are dropped first."""


NEVER_REMOVED = -1
"""Stands for the start time of an instance that was not removed; equals none."""


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

    __slots__ = (
        "_era_began_at",
        "_grace_until",
        "_held_back",
        "_in_grace",
        "_leaving_starts",
        "_removed_starts",
        "_upstreams",
    )

    def __init__(self) -> None:
        self._upstreams: dict[str, DirectUpstream] = {}
        self._in_grace: set[str] = set()
        self._leaving_starts: dict[str, int | None] = {}
        self._removed_starts: dict[str, int | None] = {}
        self._held_back: dict[str, DirectUpstream] = {}
        self._era_began_at = float("-inf")
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
        _remember(self._leaving_starts, known)
        leaving = replace(known, leaving=True)
        self._upstreams[known.name] = leaving
        return RegistryChange(leaving=(leaving,))

    def record_store_recovery(self, now: float) -> None:
        """Records that the store is available again after an outage."""
        self._grace_until = now + OUTAGE_GRACE_SECONDS

    def begin_era(self, now: float) -> None:
        """Records that the store came back from an older copy, whose rows may be outdated."""
        self._era_began_at = now
        self.record_store_recovery(now)
        for upstream in self._upstreams.values():
            if upstream.leaving:
                _remember(self._leaving_starts, upstream)

    @property
    def held_back(self) -> int:
        """Number of upstreams whose rows are known to be outdated."""
        return len(self._held_back)

    def replace_all(self, rows: Iterable[DirectUpstream], now: float) -> RegistryChange:
        """Replaces all upstreams by the rows of a snapshot."""
        current = {upstream.name: upstream for upstream in rows}
        removed_names = set(self._upstreams) - set(current)
        self._held_back = {
            name: upstream for name, upstream in current.items() if self._is_outdated(upstream, now)
        }
        for name in self._held_back:
            del current[name]
        return self._apply(current, removed_names, now)

    def update(
        self, rows: Iterable[DirectUpstream], removed: Iterable[str], now: float
    ) -> RegistryChange:
        """Applies changed rows and the names of deleted rows."""
        return self._apply({upstream.name: upstream for upstream in rows}, set(removed), now)

    @property
    def expires_at(self) -> float | None:
        """Time at which `expire` is due; None if it has nothing to do."""
        dues = [self._grace_until] if self._in_grace else []
        if self._held_back:
            dues.append(self._era_began_at + UNWRITTEN_ROW_SECONDS)
        return min(dues, default=None)

    def expire(self, now: float) -> RegistryChange:
        """Removes upstreams whose rows were not written again within the grace period.

        Also adds those that were held back and whose rows are still there.
        """
        gone: list[DirectUpstream] = []
        if now >= self._grace_until:
            gone += [self._remove(name) for name in self._in_grace if name in self._upstreams]
            self._in_grace.clear()
        joined: list[DirectUpstream] = []
        if now >= self._era_began_at + UNWRITTEN_ROW_SECONDS:
            joined += [self._with_leaving_mark(each) for each in self._held_back.values()]
            self._upstreams.update({each.name: each for each in joined})
            self._held_back.clear()
        return RegistryChange(joined=tuple(joined), gone=tuple(gone))

    def _apply(
        self, current: dict[str, DirectUpstream], removed_names: set[str], now: float
    ) -> RegistryChange:
        joined, leaving, gone = [], [], []
        for name, upstream in current.items():
            previous = self._upstreams.get(name)
            self._in_grace.discard(name)
            self._held_back.pop(name, None)
            upstream = self._with_leaving_mark(upstream)
            self._upstreams[name] = upstream
            if previous is None or previous.started_at != upstream.started_at:
                joined.append(upstream)
            if upstream.leaving and not (previous and previous.leaving):
                leaving.append(upstream)
        for name in removed_names:
            self._held_back.pop(name, None)
            upstream = self._upstreams.get(name)
            if upstream is None:
                continue
            if now < self._grace_until and not upstream.leaving:
                self._in_grace.add(name)
            else:
                gone.append(self._remove(name))
                self._in_grace.discard(name)
                if upstream.started_at is None:
                    # Without start times, a later instance can't be told from this one.
                    self._leaving_starts.pop(name, None)
        expired = self.expire(now)
        return RegistryChange((*joined, *expired.joined), tuple(leaving), (*gone, *expired.gone))

    def _remove(self, name: str) -> DirectUpstream:
        upstream = self._upstreams.pop(name)
        _remember(self._removed_starts, upstream)
        if upstream.leaving and upstream.started_at is not None:
            _remember(self._leaving_starts, upstream)
        return upstream

    def _is_outdated(self, upstream: DirectUpstream, now: float) -> bool:
        """Returns True for the row of an instance that was removed or replaced before this era."""
        if now >= self._era_began_at + UNWRITTEN_ROW_SECONDS:
            return False
        known = self._upstreams.get(upstream.name)
        if known is None:
            return self._removed_starts.get(upstream.name, NEVER_REMOVED) == upstream.started_at
        return (upstream.started_at or 0) < (known.started_at or 0)

    def _with_leaving_mark(self, upstream: DirectUpstream) -> DirectUpstream:
        """Returns the upstream, marked as leaving if this instance announced it in a response."""
        if upstream.name not in self._leaving_starts:
            return upstream
        if self._leaving_starts[upstream.name] != upstream.started_at:
            del self._leaving_starts[upstream.name]
            return upstream
        return replace(upstream, leaving=True)


def _remember(starts: dict[str, int | None], upstream: DirectUpstream) -> None:
    starts.pop(upstream.name, None)
    starts[upstream.name] = upstream.started_at
    if len(starts) > MAX_REMEMBERED_LEAVERS:
        del starts[next(iter(starts))]
