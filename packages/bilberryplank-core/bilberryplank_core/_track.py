"""What an entry knows of the load of one upstream."""

from __future__ import annotations

from bilberryplank_core._messages import Load

BUSY_SECONDS = 0.05
MIN_DRAIN_RATE = 1.0


class UpstreamTrack:
    """The last load hint of an upstream and the entry's own requests there.

    Attributes:
        load: The last hint; None before the first.
        heard_at: When the hint came; monotonic seconds.
        in_flight: The entry's own requests there.
        lost_until: The link was lost; no new work until then, as long as others can take it.
        probed_at: When a probe was last wanted.
    """

    __slots__ = (
        "heard_at",
        "in_flight",
        "load",
        "lost_until",
        "losses",
        "probed_at",
        "sent",
        "sent_cost",
    )

    def __init__(self) -> None:
        self.load: Load | None = None
        self.heard_at = float("-inf")
        self.in_flight = 0
        self.sent = 0
        self.sent_cost = 0.0
        self.lost_until = float("-inf")
        self.losses = 0
        self.probed_at = float("-inf")

    @property
    def leaving(self) -> bool:
        """True once the upstream said that it takes no new work."""
        return self.load is not None and self.load.leaving

    def hear(self, load: Load, now: float) -> None:
        """Takes in a load hint; what was sent before it is in it."""
        self.load = load
        self.heard_at = now
        self.sent = 0
        self.sent_cost = 0.0

    def send(self, cost: float) -> None:
        """Counts a request of the entry."""
        self.in_flight += 1
        self.sent += 1
        self.sent_cost += cost

    def occupancy(self) -> float:
        """Returns the requests there as a share of its slots, the entry's own being the least."""
        load = self.load
        if load is None:
            return float(self.in_flight)
        known = load.queued + load.running + self.sent
        return max(known, self.in_flight) / max(load.slots, 1)

    def unknown_wait(self) -> float:
        """Returns the estimate without a fresh hint: idle but for the entry's own requests."""
        return self.in_flight * BUSY_SECONDS

    def wait(self) -> float:
        """Returns the estimated seconds until a new request would start."""
        occupancy = self.occupancy()
        tie_break = occupancy * BUSY_SECONDS
        load = self.load
        if load is None or (load.queued == 0 and occupancy < 1.0):
            return tie_break
        waiting = load.queued_cost + self.sent_cost
        return tie_break + waiting / max(load.drain_rate, MIN_DRAIN_RATE)
