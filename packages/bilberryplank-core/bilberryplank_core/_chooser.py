"""The interface of a policy that chooses upstreams, and the baseline of measurements."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from bilberryplank_core._messages import Load
from bilberryplank_core._request_kind import UNKNOWN_KIND, RequestKind
from bilberryplank_core._world import Upstream


class UpstreamChooser(ABC):
    """Chooses upstreams and takes in what is learned of them; times are monotonic seconds.

    For each attempt sent, `record_sent` is followed by either `record_refused`, or `record_answer`
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
        """Returns the upstream for a request, or None where no candidate takes new work.

        Args:
            candidates: Eligible upstreams.
            now: Current time.
            excluded: Names that must not be chosen.
            affinity: Key of the prompt's prefix; None without affinity.
            may_try_ejected: True where the request may try out whether an ejected upstream is well
                again.
            kind: Class and tier of the request; the same goes with all that is recorded of it.
        """

    @abstractmethod
    def record_sent(
        self, upstream: str, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND
    ) -> None:
        """Takes in that a request was sent; `cost` is in the unit of load hints."""

    @abstractmethod
    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Takes in a load hint."""

    @abstractmethod
    def record_answer(
        self,
        upstream: str,
        first_token_seconds: float | None,
        ok: bool,
        now: float,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> None:
        """Takes in how an attempt went, once.

        Args:
            upstream: Name of the upstream.
            first_token_seconds: Time from its start at the upstream to the first token, without
                the wait in the sidecar; None where no token came.
            ok: False where the attempt failed.
            now: Current time.
            kind: Class and tier of the request.
        """

    @abstractmethod
    def record_refused(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Takes in that a request was refused, or cancelled before its first token."""

    @abstractmethod
    def record_end(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Takes in that a request that was not refused is no longer there."""

    @abstractmethod
    def record_lost(self, upstream: str, now: float) -> None:
        """Takes in that the link was lost or could not be made."""

    @abstractmethod
    def is_suspect(self, upstream: str, now: float) -> bool:
        """Returns True where what waits at the upstream is better taken elsewhere."""

    @abstractmethod
    def wants_probe(self, now: float) -> str | None:
        """Returns an upstream of the last choice to ask for its load, where hints are stale."""

    def is_ejected(self, upstream: str) -> bool:
        """Returns True while the upstream is left out as a straggler."""
        return False

    def forget(self, upstream: str) -> None:
        """Drops what is known of an upstream that is no longer configured."""
        return


class RoundRobinChooser(UpstreamChooser):
    """Takes the candidates in turn; the baseline of measurements."""

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
        """Returns the next candidate that takes new work."""
        for _ in range(len(candidates)):
            upstream = candidates[self._next % len(candidates)]
            self._next += 1
            if takes_work(upstream, excluded) and upstream.name not in self._leaving:
                return upstream
        return None

    def record_load(self, upstream: str, load: Load, now: float) -> None:
        """Takes in whether the upstream is leaving."""
        if load.leaving:
            self._leaving.add(upstream)
        else:
            self._leaving.discard(upstream)

    def record_sent(
        self, upstream: str, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND
    ) -> None:
        """Learns nothing."""

    def record_answer(
        self,
        upstream: str,
        first_token_seconds: float | None,
        ok: bool,
        now: float,
        kind: RequestKind = UNKNOWN_KIND,
    ) -> None:
        """Learns nothing."""

    def record_refused(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Learns nothing."""

    def record_end(self, upstream: str, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Learns nothing."""

    def record_lost(self, upstream: str, now: float) -> None:
        """Learns nothing."""

    def is_suspect(self, upstream: str, now: float) -> bool:
        """Returns False."""
        return False

    def wants_probe(self, now: float) -> str | None:
        """Returns None."""
        return None


def takes_work(upstream: Upstream, excluded: set[str]) -> bool:
    """Returns True where neither the request nor the configuration rules the upstream out."""
    return upstream.name not in excluded and not upstream.draining
