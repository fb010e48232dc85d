"""What an entry knows of the load of one upstream."""

from __future__ import annotations

from collections import deque

from bilberryplank_core._messages import Load

BUSY_SECONDS = 0.05
MIN_DRAIN_RATE = 1.0
RECENT_SECONDS = 1.0
NEVER = float("-inf")


class UpstreamTrack:
    """The last load hint of an upstream and the entry's own requests there.

    Requests sent within the last `RECENT_SECONDS` are added to a hint even where it may hold them
    already: hints lag, and what is counted twice is so at every upstream.

    Args:
        draw: Decides the order of first use among upstreams, 0 to 1.

    Attributes:
        load: The last hint; None before the first.
        heard_at: When the hint came; monotonic seconds.
        in_flight: The entry's own requests there.
        losses: Times that the link was lost in a row.
        lost_until: The link was lost; no new work until then, as long as others can take it.
        probed_at: When a probe was last wanted.
        pool: Names of the upstreams among which it was last chosen.
        last_use: Number of the choice that last fell on it; the negative draw before the first.
    """

    __slots__ = (
        "_owed",
        "_recent",
        "heard_at",
        "in_flight",
        "last_use",
        "load",
        "losses",
        "lost_until",
        "pool",
        "probed_at",
    )

    def __init__(self, draw: float) -> None:
        self.load: Load | None = None
        self.heard_at = NEVER
        self.in_flight = 0
        self.losses = 0
        self.lost_until = NEVER
        self.probed_at = NEVER
        self.last_use = -draw
        self.pool: tuple[str, ...] = ()
        self._recent: deque[tuple[float, float]] = deque()
        self._owed: deque[float] = deque()

    @property
    def leaving(self) -> bool:
        """True once the upstream said that it takes no new work."""
        return self.load is not None and self.load.leaving

    def hear(self, load: Load, now: float) -> None:
        """Takes in a load hint."""
        self.load = load
        self.heard_at = now

    def forget_load(self) -> None:
        """Drops the hint, but for its word that the upstream is leaving."""
        self.load = Load(leaving=True) if self.leaving else None
        self.heard_at = NEVER

    def use(self, number: int, pool: tuple[str, ...]) -> None:
        """Takes in that a choice fell on it."""
        self.last_use = number
        self.pool = pool

    def send(self, cost: float, now: float) -> None:
        """Counts a request of the entry."""
        self.in_flight += 1
        self._recent.append((now, cost))
        self._owed.append(now)

    def answer(self) -> None:
        """Takes in the first token, or the failure, of the oldest request without one."""
        if self._owed:
            self._owed.popleft()

    def withdraw(self) -> None:
        """Takes in that the newest request will get no token."""
        if self._owed:
            self._owed.pop()

    def end(self) -> None:
        """Takes a request off, and what it still owed where it ended without a token."""
        self.in_flight = max(self.in_flight - 1, 0)
        while len(self._owed) > self.in_flight:
            self._owed.popleft()

    def owed_for(self, now: float) -> float:
        """Returns the seconds for which the oldest request has waited for its first token."""
        return now - self._owed[0] if self._owed else 0.0

    def wait(self, now: float) -> float:
        """Returns the estimated seconds until a new request would start, from the hint."""
        load = self.load or Load()
        self._drop_old(now)
        here = max(load.queued + load.running + len(self._recent), self.in_flight)
        occupancy = here / max(load.slots, 1)
        tie_break = occupancy * BUSY_SECONDS
        if load.queued == 0 and occupancy < 1.0:
            return tie_break
        waiting = load.queued_cost + sum(cost for _, cost in self._recent)
        return tie_break + waiting / max(load.drain_rate, MIN_DRAIN_RATE)

    def _drop_old(self, now: float) -> None:
        while self._recent and self._recent[0][0] < now - RECENT_SECONDS:
            self._recent.popleft()
