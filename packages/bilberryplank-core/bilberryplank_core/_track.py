"""What an entry knows of the load of one upstream."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass

from bilberryplank_core._messages import Load
from bilberryplank_core._request_kind import UNKNOWN_KIND, RequestKind

BUSY_SECONDS = 0.05
MIN_DRAIN_RATE = 1.0
RECENT_SECONDS = 1.0
HINT_DELAY_SECONDS = 0.1
NEVER = float("-inf")


@dataclass(slots=True)
class OwedToken:
    """A request of the entry that has no first token yet.

    Attributes:
        kind: Its class and tier.
        sent: When it was sent; monotonic seconds.
        began: From when on it has probably run at the upstream; None while it may be queued.
        confirmed: True once a hint showed that it is not queued.
    """

    kind: RequestKind
    sent: float
    began: float | None
    confirmed: bool = False


@dataclass(slots=True, frozen=True)
class _Sent:
    at: float
    cost: float
    rank: int


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
        "_in_flight",
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
        self._in_flight: Counter[int] = Counter()
        self._recent: deque[_Sent] = deque()
        self._owed: list[OwedToken] = []

    @property
    def leaving(self) -> bool:
        """True once the upstream said that it takes no new work."""
        return self.load is not None and self.load.leaving

    def hear(self, load: Load, now: float) -> None:
        """Takes in a load hint."""
        self.load = load
        self.heard_at = now
        for owed in self._owed:
            known = owed.sent <= now - HINT_DELAY_SECONDS
            if known and not owed.confirmed and not load.may_queue(owed.kind.rank):
                owed.began = now if owed.began is None else owed.began
                owed.confirmed = True

    def forget_load(self) -> None:
        """Drops the hint, but for its word that the upstream is leaving."""
        self.load = Load(leaving=True) if self.leaving else None
        self.heard_at = NEVER

    def use(self, number: int, pool: tuple[str, ...]) -> None:
        """Takes in that a choice fell on it."""
        self.last_use = number
        self.pool = pool

    def send(self, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Counts a request of the entry."""
        began = now if self._can_foretell(now, kind.rank) else None
        self.in_flight += 1
        self._in_flight[kind.rank] += 1
        self._recent.append(_Sent(now, cost, kind.rank))
        self._owed.append(OwedToken(kind, now, began))

    def answer(self, rank: int = 0) -> None:
        """Takes in the first token, or the failure, of the tier's oldest request without one."""
        oldest = next((owed for owed in self._owed if owed.kind.rank == rank), None)
        if oldest is not None:
            self._owed.remove(oldest)

    def withdraw(self, rank: int = 0) -> None:
        """Takes in that the tier's newest request will get no token."""
        newest = next((owed for owed in reversed(self._owed) if owed.kind.rank == rank), None)
        if newest is not None:
            self._owed.remove(newest)

    def end(self, rank: int = 0) -> None:
        """Takes a request off, and what it still owed where it ended without a token."""
        self.in_flight = max(self.in_flight - 1, 0)
        self._in_flight[rank] = max(self._in_flight[rank] - 1, 0)
        owed = [item for item in self._owed if item.kind.rank == rank]
        for item in owed[: max(len(owed) - self._in_flight[rank], 0)]:
            self._owed.remove(item)

    def in_flight_ahead(self, rank: int) -> int:
        """Returns the entry's own requests there of the tier and higher ones."""
        return sum(count for other, count in self._in_flight.items() if other <= rank)

    def owed_tokens(self) -> Iterator[OwedToken]:
        """Yields the requests that owe a first token and have probably begun to run."""
        return (owed for owed in self._owed if owed.began is not None)

    def owed_for(self, owed: OwedToken, now: float) -> float:
        """Returns the seconds since a request began, less a wait in the queue that may hide.

        A hint that tells no tiers apart excuses none: with hints that lag, that costs a pool more
        than it spares healthy upstreams.
        """
        if owed.began is None:
            return 0.0
        load = self.load or Load()
        hides = not owed.confirmed and load.queued_by_rank
        return now - owed.began - (self.wait(now, owed.kind.rank) if hides else 0.0)

    def wait(self, now: float, rank: int = 0) -> float:
        """Returns the estimated seconds until a new request of a tier would start."""
        load = self.load or Load()
        occupancy = self._ahead(now, rank) / max(load.slots, 1)
        tie_break = occupancy * BUSY_SECONDS
        if load.queued == 0 and occupancy < 1.0:
            return tie_break
        own = sum(sent.cost for sent in self._recent if sent.rank <= rank)
        waiting = load.queued_ahead(rank) + own
        return tie_break + waiting / max(load.drain_rate, MIN_DRAIN_RATE)

    def _ahead(self, now: float, rank: int) -> int:
        """Returns how many requests run, or run before a newcomer of a tier."""
        load = self.load or Load()
        self._drop_old(now)
        queued = 0 if load.queued_by_rank else load.queued
        recent = sum(sent.rank <= rank for sent in self._recent)
        return max(queued + load.running + recent, self.in_flight_ahead(rank))

    def _can_foretell(self, now: float, rank: int) -> bool:
        """Returns whether a request starts at once, or nothing can overtake it in the queue."""
        load = self.load or Load()
        if rank == 0 or not load.queued_by_rank:
            return True
        return load.queued == 0 and self._ahead(now, rank) < load.slots

    def _drop_old(self, now: float) -> None:
        while self._recent and self._recent[0].at < now - RECENT_SECONDS:
            self._recent.popleft()
