"""Load of one upstream as an entry sees it: the last hint and the entry's own requests."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass

from bilberryplank_core._messages import Load
from bilberryplank_core._request_kind import UNKNOWN_KIND, RequestKind

OCCUPANCY_PENALTY_SECONDS = 0.05
MIN_DRAIN_RATE_PER_SECOND = 1.0
RECENT_REQUEST_SECONDS = 1.0
HINT_DELAY_SECONDS = 0.1
NEVER = float("-inf")


@dataclass(slots=True)
class AwaitedFirstToken:
    """A request of this entry whose first token has not arrived yet.

    Attributes:
        kind: Its class and tier.
        sent: When it was sent; monotonic seconds.
        began: When it probably began to run at the upstream; None while it may be queued.
        confirmed: True once a hint has shown that it is not queued.
    """

    kind: RequestKind
    sent: float
    began: float | None
    confirmed: bool = False


@dataclass(slots=True, frozen=True)
class _SentRequest:
    at: float
    cost: float
    rank: int


class UpstreamLoadTracker:
    """Last load hint of an upstream and the entry's own requests there.

    Requests sent within the last `RECENT_REQUEST_SECONDS` are added to a hint even if it may
    include them already: hints lag, and the double counting affects every upstream alike.

    Args:
        initial_order: Decides the order of first use among upstreams, 0 to 1.

    Attributes:
        load: The last hint; None before the first.
        hint_received_at: When the hint arrived; monotonic seconds.
        in_flight: Number of the entry's own requests at the upstream.
        consecutive_losses: Number of times in a row that the link was lost.
        cooldown_until: End of the cool-down after a lost link; until then no new requests are sent,
            unless no other upstream is available.
        probed_at: When the last probe was requested.
        pool: Names of the upstreams from which it was last chosen.
        last_chosen_number: Sequence number of the choice that last selected it; before the first,
            the negative `initial_order`.
    """

    __slots__ = (
        "_in_flight",
        "_awaited",
        "_recent_requests",
        "hint_received_at",
        "in_flight",
        "last_chosen_number",
        "load",
        "consecutive_losses",
        "cooldown_until",
        "pool",
        "probed_at",
    )

    def __init__(self, initial_order: float) -> None:
        self.load: Load | None = None
        self.hint_received_at = NEVER
        self.in_flight = 0
        self.consecutive_losses = 0
        self.cooldown_until = NEVER
        self.probed_at = NEVER
        self.last_chosen_number = -initial_order
        self.pool: tuple[str, ...] = ()
        self._in_flight: Counter[int] = Counter()
        self._recent_requests: deque[_SentRequest] = deque()
        self._awaited: list[AwaitedFirstToken] = []

    @property
    def leaving(self) -> bool:
        """True if the last hint says that the upstream accepts no new work."""
        return self.load is not None and self.load.leaving

    def record_hint(self, load: Load, now: float) -> None:
        """Records a load hint."""
        self.load = load
        self.hint_received_at = now
        for awaited in self._awaited:
            in_hint = awaited.sent <= now - HINT_DELAY_SECONDS
            if in_hint and not awaited.confirmed and not load.may_queue(awaited.kind.rank):
                awaited.began = now if awaited.began is None else awaited.began
                awaited.confirmed = True

    def forget_load(self) -> None:
        """Drops the hint, except for the information that the upstream is leaving."""
        self.load = Load(leaving=True) if self.leaving else None
        self.hint_received_at = NEVER

    def record_chosen(self, number: int, pool: tuple[str, ...]) -> None:
        """Records that the upstream was chosen."""
        self.last_chosen_number = number
        self.pool = pool

    def record_sent(self, cost: float, now: float, kind: RequestKind = UNKNOWN_KIND) -> None:
        """Counts a request that this entry sent."""
        began = now if self._start_is_predictable(now, kind.rank) else None
        self.in_flight += 1
        self._in_flight[kind.rank] += 1
        self._recent_requests.append(_SentRequest(now, cost, kind.rank))
        self._awaited.append(AwaitedFirstToken(kind, now, began))

    def record_first_token(self, rank: int = 0) -> None:
        """Records the first token or failure of the tier's oldest request that awaits one."""
        oldest = next((awaited for awaited in self._awaited if awaited.kind.rank == rank), None)
        if oldest is not None:
            self._awaited.remove(oldest)

    def record_withdrawn(self, rank: int = 0) -> None:
        """Records that the tier's newest request will get no first token."""
        newest = next(
            (awaited for awaited in reversed(self._awaited) if awaited.kind.rank == rank), None
        )
        if newest is not None:
            self._awaited.remove(newest)

    def record_end(self, rank: int = 0) -> None:
        """Removes an ended request, and its awaited first token if none arrived."""
        self.in_flight = max(self.in_flight - 1, 0)
        self._in_flight[rank] = max(self._in_flight[rank] - 1, 0)
        awaited = [item for item in self._awaited if item.kind.rank == rank]
        for item in awaited[: max(len(awaited) - self._in_flight[rank], 0)]:
            self._awaited.remove(item)

    def in_flight_ahead(self, rank: int) -> int:
        """Returns the number of own requests there of this tier and higher ones."""
        return sum(count for other, count in self._in_flight.items() if other <= rank)

    def awaited_first_tokens(self) -> Iterator[AwaitedFirstToken]:
        """Yields the requests that await a first token and have probably begun to run."""
        return (awaited for awaited in self._awaited if awaited.began is not None)

    def awaited_seconds(self, awaited: AwaitedFirstToken, now: float) -> float:
        """Returns the seconds since a request began, less a possible wait in the queue.

        No wait is subtracted if the hint does not tell tiers apart: as hints lag, that would cost a
        pool more than it spares healthy upstreams.
        """
        if awaited.began is None:
            return 0.0
        load = self.load or Load()
        hides = not awaited.confirmed and load.queued_by_rank
        return (
            now
            - awaited.began
            - (self.estimated_wait_seconds(now, awaited.kind.rank) if hides else 0.0)
        )

    def estimated_wait_seconds(self, now: float, rank: int = 0) -> float:
        """Returns the estimated seconds until a new request of the tier would start."""
        load = self.load or Load()
        occupancy = self._requests_ahead(now, rank) / max(load.slots, 1)
        tie_break = occupancy * OCCUPANCY_PENALTY_SECONDS
        if load.queued == 0 and occupancy < 1.0:
            return tie_break
        own = sum(sent.cost for sent in self._recent_requests if sent.rank <= rank)
        waiting = load.queued_ahead(rank) + own
        return tie_break + waiting / max(load.drain_rate, MIN_DRAIN_RATE_PER_SECOND)

    def _requests_ahead(self, now: float, rank: int) -> int:
        """Returns how many requests run, or would run before a new request of the tier."""
        load = self.load or Load()
        self._drop_old_requests(now)
        queued = 0 if load.queued_by_rank else load.queued
        recent = sum(sent.rank <= rank for sent in self._recent_requests)
        return max(queued + load.running + recent, self.in_flight_ahead(rank))

    def _start_is_predictable(self, now: float, rank: int) -> bool:
        """Returns whether a request starts at once or cannot be overtaken in the queue."""
        load = self.load or Load()
        if rank == 0 or not load.queued_by_rank:
            return True
        return load.queued == 0 and self._requests_ahead(now, rank) < load.slots

    def _drop_old_requests(self, now: float) -> None:
        while self._recent_requests and self._recent_requests[0].at < now - RECENT_REQUEST_SECONDS:
            self._recent_requests.popleft()
