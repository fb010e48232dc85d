"""Interface of the load-balancing policies, and round robin as the benchmark baseline."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from bilberryplank_core._messages import Load
from bilberryplank_core._request_kind import UNKNOWN_KIND, RequestKind
from bilberryplank_core._world import Upstream


class UpstreamChooser(ABC):
    """Load-balancing policy; times are monotonic seconds.

    For each attempt sent, `record_sent` is followed by either `record_refused`, or `record_outcome`
    at its first token or failure and `record_end` at its end.
    """

    __slots__ = ()

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[Upstream],
        now: float,
        excluded: set[str],
        affinity: bytes | None = None,
        may_try_ejected: bool = True,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> Upstream | None:
        """Returns the upstream for a request, or None if no candidate accepts new work.

        Args:
            candidates: Eligible upstreams.
            now: Current time.
            excluded: Names that must not be chosen.
            affinity: Key of the prompt's prefix; None without affinity.
            may_try_ejected: True if the request may be the trial of an ejected upstream.
            kind: Class and tier of the request; the same is passed to all of its records.
        """

    @abstractmethod
    def record_sent(
        self, upstream: str, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND
    ) -> None:
        """Records that a request was sent; `cost` is in the unit of load hints."""

    @abstractmethod
    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Records a load hint."""

    @abstractmethod
    def record_outcome(
        self,
        upstream: str,
        first_token_seconds: float | None,
        ok: bool,
        now: float,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> None:
        """Records an attempt's first token or failure, once per attempt.

        Args:
            upstream: Name of the upstream.
            first_token_seconds: Time from its start at the upstream to the first token, without
                the wait in the sidecar; None if no token arrived.
            ok: False if the attempt failed.
            now: Current time.
            kind: Class and tier of the request.
        """

    @abstractmethod
    def record_refused(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Records that a request was refused, or cancelled before its first token."""

    @abstractmethod
    def record_end(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Records that a request that was not refused has ended."""

    @abstractmethod
    def record_link_lost(self, upstream: str, now: float) -> None:
        """Records that the link was lost or could not be opened."""

    @abstractmethod
    def is_suspect(self, upstream: str, now: float) -> bool:
        """Returns True if a request that waits at the upstream should be sent elsewhere."""

    @abstractmethod
    def upstream_to_probe(self, now: float) -> str | None:
        """Returns an upstream of the last pool to probe, or None if its hints are fresh."""

    def is_ejected(self, upstream: str) -> bool:
        """Returns True while the upstream is ejected as a straggler."""
        return False

    def forget(self, upstream: str) -> None:
        """Drops the state of an upstream that is no longer configured."""
        return


class RoundRobinChooser(UpstreamChooser):
    """Round robin over the candidates; the baseline of the benchmarks."""

    __slots__ = ("_leaving", "_next")

    def __init__(self) -> None:
        self._next = 0
        self._leaving: set[str] = set()

    def choose(
        self,
        candidates: Sequence[Upstream],
        now: float,
        excluded: set[str],
        affinity: bytes | None = None,
        may_try_ejected: bool = True,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> Upstream | None:
        """Returns the next candidate that accepts new work."""
        for _ in range(len(candidates)):
            upstream = candidates[self._next % len(candidates)]
            self._next += 1
            if accepts_new_work(upstream, excluded) and upstream.name not in self._leaving:
                return upstream
        return None

    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Records whether the upstream is leaving."""
        if load.leaving:
            self._leaving.add(upstream)
        else:
            self._leaving.discard(upstream)

    def record_sent(
        self, upstream: str, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND
    ) -> None:
        """Does nothing: round robin ignores load and outcomes."""

    def record_outcome(
        self,
        upstream: str,
        first_token_seconds: float | None,
        ok: bool,
        now: float,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> None:
        """Does nothing: round robin ignores load and outcomes."""

    def record_refused(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Does nothing: round robin ignores load and outcomes."""

    def record_end(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Does nothing: round robin ignores load and outcomes."""

    def record_link_lost(self, upstream: str, now: float) -> None:
        """Does nothing: round robin ignores load and outcomes."""

    def is_suspect(self, upstream: str, now: float) -> bool:
        """Returns False."""
        return False

    def upstream_to_probe(self, now: float) -> str | None:
        """Returns None."""
        return None


def accepts_new_work(upstream: Upstream, excluded: set[str]) -> bool:
    """Returns True if neither the request nor the configuration rules the upstream out."""
    return upstream.name not in excluded and not upstream.draining
