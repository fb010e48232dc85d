"""The eligible upstreams of one request, and how one of them is chosen."""

from __future__ import annotations

from collections.abc import Sequence

from bilberryplank_core._attempt_rules import RequestTraits
from bilberryplank_core._chooser import UpstreamChooser
from bilberryplank_core._world import Upstream


class Candidates:
    """Asks the entry's chooser on behalf of one request; times are monotonic seconds.

    Args:
        upstreams: Eligible upstreams.
        chooser: Chooses among them.
        traits: What is known of the request.
        spare: Eligible upstreams that are asked only once none of the others is left.
    """

    __slots__ = ("_chooser", "_spare", "_traits", "_upstreams")

    def __init__(
        self,
        upstreams: Sequence[Upstream],
        chooser: UpstreamChooser,
        traits: RequestTraits,
        spare: Sequence[Upstream] = (),
    ) -> None:
        self._upstreams = upstreams
        self._spare = spare
        self._chooser = chooser
        self._traits = traits

    def choose(self, excluded: set[str], now: float) -> Upstream | None:
        """Returns an upstream whose name is not excluded, or None without one."""
        return self._choose(self._upstreams, excluded, now) or (
            self._choose(self._spare, excluded, now) if self._spare else None
        )

    def all_in(self, names: set[str]) -> bool:
        """Returns True where no other upstream is left."""
        return all(item.name in names for item in self._upstreams)

    def is_suspect(self, upstream: Upstream | None, now: float) -> bool:
        """Returns True where what waits at the upstream is better taken elsewhere."""
        return upstream is not None and self._chooser.is_suspect(upstream.name, now)

    def _choose(
        self, upstreams: Sequence[Upstream], excluded: set[str], now: float
    ) -> Upstream | None:
        traits = self._traits
        return self._chooser.choose(
            upstreams, now, excluded, traits.affinity, traits.tries_ejected, traits.kind
        )
