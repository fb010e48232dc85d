"""The eligible upstreams of one request, and the choice among them."""

from __future__ import annotations

from collections.abc import Sequence

from bilberryplank_core._attempt_rules import RequestTraits
from bilberryplank_core._upstream_chooser import UpstreamChooser
from bilberryplank_core._world import Upstream


class Candidates:
    """Chooses among the eligible upstreams of one request; times are monotonic seconds.

    Args:
        upstreams: Eligible upstreams.
        chooser: Load-balancing policy of the entry.
        traits: Properties of the request.
        fallbacks: Eligible upstreams that are tried only after all others.
    """

    __slots__ = ("_chooser", "_fallbacks", "_traits", "_upstreams")

    def __init__(
        self,
        upstreams: Sequence[Upstream],
        chooser: UpstreamChooser,
        traits: RequestTraits,
        fallbacks: Sequence[Upstream] = (),
    ) -> None:
        self._upstreams = upstreams
        self._fallbacks = fallbacks
        self._chooser = chooser
        self._traits = traits

    def choose(self, excluded: set[str], now: float) -> Upstream | None:
        """Returns an upstream whose name is not excluded, or None if there is none."""
        return self._choose(self._upstreams, excluded, now) or (
            self._choose(self._fallbacks, excluded, now) if self._fallbacks else None
        )

    def all_tried(self, names: set[str]) -> bool:
        """Returns True if the names include every upstream, fallbacks aside."""
        return all(item.name in names for item in self._upstreams)

    def is_suspect(self, upstream: Upstream | None, now: float) -> bool:
        """Returns True if a request that waits at the upstream should be sent elsewhere."""
        return upstream is not None and self._chooser.is_suspect(upstream.name, now)

    def _choose(
        self, upstreams: Sequence[Upstream], excluded: set[str], now: float
    ) -> Upstream | None:
        traits = self._traits
        return self._chooser.choose(
            upstreams, now, excluded, traits.affinity, traits.may_try_ejected, traits.kind
        )
