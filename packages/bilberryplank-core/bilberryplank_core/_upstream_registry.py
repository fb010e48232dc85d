"""Which upstreams may get new work, from rows of a store that may be away for a while.

An upstream that says it leaves, in its row or in an answer, gets no new work at once; an older row
of the same start does not bring it back. One whose row is gone is taken as gone, unless rows may
have lapsed while the store was away: then it stays for a grace time after the return of the store,
in which a living upstream writes its row again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from bilberryplank_core._direct_types import DirectUpstream

OUTAGE_GRACE_SECONDS = 2.0
"""A living upstream writes its row again within about this long after the store's return."""


MAX_REMEMBERED_LEAVERS = 1024
"""Starts of upstreams that are remembered as leaving; the oldest are forgotten beyond that."""


@dataclass(slots=True, frozen=True)
class RegistryChange:
    """What an update changed."""

    joined: tuple[DirectUpstream, ...] = ()
    leaving: tuple[DirectUpstream, ...] = ()
    gone: tuple[DirectUpstream, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.joined or self.leaving or self.gone)


class UpstreamRegistry:
    """Upstreams by name."""

    __slots__ = ("_grace_until", "_lapsed", "_leaving_starts", "_upstreams")

    def __init__(self) -> None:
        self._upstreams: dict[str, DirectUpstream] = {}
        self._lapsed: set[str] = set()
        self._leaving_starts: dict[str, int | None] = {}
        self._grace_until = float("-inf")

    @property
    def upstreams(self) -> dict[str, DirectUpstream]:
        """All upstreams that are known, also leaving ones."""
        return self._upstreams

    def available(self, service: str) -> list[DirectUpstream]:
        """Returns the upstreams of a service that may get new work."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and not upstream.leaving
        ]

    def mark_leaving(self, upstream: DirectUpstream) -> RegistryChange:
        """Takes in that an upstream said in an answer that it leaves.

        Args:
            upstream: The upstream as it was when it was asked; it may have started anew since.
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
        """Takes in that the store answers again after it was away."""
        self._grace_until = now + OUTAGE_GRACE_SECONDS

    def replace_all(self, rows: Iterable[DirectUpstream], now: float) -> RegistryChange:
        """Takes in all rows as of one moment."""
        current = {upstream.name: upstream for upstream in rows}
        removed_names = set(self._upstreams) - set(current)
        return self._apply(current, removed_names, now)

    def update(
        self, rows: Iterable[DirectUpstream], removed: Iterable[str], now: float
    ) -> RegistryChange:
        """Takes in changed rows and the names of removed ones."""
        return self._apply({upstream.name: upstream for upstream in rows}, set(removed), now)

    @property
    def expires_at(self) -> float | None:
        """When `expire` is due; None where no row may have lapsed."""
        return self._grace_until if self._lapsed else None

    def expire(self, now: float) -> RegistryChange:
        """Drops upstreams whose rows did not come back in time."""
        if now < self._grace_until or not self._lapsed:
            return RegistryChange()
        gone = [self._upstreams.pop(name) for name in self._lapsed if name in self._upstreams]
        self._lapsed.clear()
        return RegistryChange(gone=tuple(gone))

    def _apply(
        self, current: dict[str, DirectUpstream], removed_names: set[str], now: float
    ) -> RegistryChange:
        joined, leaving, gone = [], [], []
        for name, upstream in current.items():
            before = self._upstreams.get(name)
            self._lapsed.discard(name)
            upstream = self._with_leaving_mark(upstream)
            self._upstreams[name] = upstream
            if before is None or before.started_at != upstream.started_at:
                joined.append(upstream)
            if upstream.leaving and not (before and before.leaving):
                leaving.append(upstream)
        for name in removed_names:
            upstream = self._upstreams.get(name)
            if upstream is None:
                continue
            if now < self._grace_until and not upstream.leaving:
                self._lapsed.add(name)
            else:
                gone.append(self._upstreams.pop(name))
                self._lapsed.discard(name)
                if upstream.started_at is None:
                    # Nothing tells a later start under this name from the one that left.
                    self._leaving_starts.pop(name, None)
        expired = self.expire(now)
        return RegistryChange(tuple(joined), tuple(leaving), (*gone, *expired.gone))

    def _with_leaving_mark(self, upstream: DirectUpstream) -> DirectUpstream:
        """Returns an upstream of a row, leaving where this start of it said so itself."""
        if upstream.name not in self._leaving_starts:
            return upstream
        if self._leaving_starts[upstream.name] != upstream.started_at:
            del self._leaving_starts[upstream.name]
            return upstream
        return replace(upstream, leaving=True)
