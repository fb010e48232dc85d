"""Divides the memory that an entry has for its callers, and decides who gives way.

Motivating load: hundreds of bodies of the longest legal size at once, whole or one byte short,
heads that never end and answers that nobody reads, beside ordinary callers on a host of 160 MB.

Small bodies and heads, large bodies, and answers that wait for their caller have a share each,
which the others cannot take. A body asks for room before it is read; without room it waits, and
bodies and heads whose bytes have stopped coming give way to it. Among those that wait, the owner
that holds least comes first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

SMALL_BYTES = 128 * 1024
"""Bodies and heads up to this size have the small pool to themselves."""

STALL_SECONDS = 0.5
"""What made no progress for this long gives way to what waits."""

PROGRESS_BYTES = 16 * 1024
"""Bytes that count as progress; a byte now and then holds a place against nobody."""


class Pool(Enum):
    """A part of the budget; the value is the label in metrics."""

    SMALL = "small"
    LARGE = "large"
    ANSWERS = "answers"


POOL_SHARES = {Pool.SMALL: 0.2, Pool.LARGE: 0.4, Pool.ANSWERS: 0.2}
"""The rest is for pieces of answers that wait for what follows them (`HeldBytes`)."""

UNFINISHED_SHARE = 0.2


class Holding:
    """What is held for one body, head or answer.

    Attributes:
        owner: Organisation or address that it counts for.
        pool: The part of the budget from which its bytes come.
        size: Bytes granted.
        wanted: Bytes asked for; more than `size` while it waits.
        progress_at: When it last made progress, in seconds.
        evicted: True once it was told to give way.
    """

    __slots__ = (
        "evicted",
        "owner",
        "pool",
        "progress_at",
        "size",
        "wanted",
        "_is_complete",
        "_on_evicted",
        "_on_granted",
        "_recent",
    )

    def __init__(
        self,
        owner: str,
        now: float,
        on_evicted: Callable[[], None],
        on_granted: Callable[[], None] = lambda: None,
        pool: Pool = Pool.SMALL,
    ) -> None:
        self.evicted = False
        self.owner = owner
        self.pool = pool
        self.progress_at = now
        self.size = self.wanted = 0
        self._is_complete = False
        self._on_evicted = on_evicted
        self._on_granted = on_granted
        self._recent = 0

    def record_progress(self, count: int, now: float) -> None:
        """Records that bytes came, or were taken by their reader."""
        self._recent += count
        if self._recent >= PROGRESS_BYTES:
            self._recent = 0
            self.progress_at = now

    def complete(self) -> None:
        """Records that all bytes are here: from now on it gives way to nobody."""
        self._is_complete = True

    def is_stalled(self, now: float) -> bool:
        """Returns True if it gives way to what waits."""
        if self._is_complete or self.evicted:
            return False
        return now - self.progress_at >= STALL_SECONDS

    def evict(self) -> None:
        """Has it give way."""
        self.evicted = True
        self._on_evicted()

    def grant(self) -> None:
        """Gives it what it wants."""
        self.size = self.wanted
        self._on_granted()


class CallerBudget:
    """Bytes held for callers.

    Args:
        total: Bytes in all.
    """

    __slots__ = ("_holdings", "_limits", "_owned", "_used", "_waiting", "total")

    def __init__(self, total: int) -> None:
        self.total = total
        self._limits = {pool: int(share * total) for pool, share in POOL_SHARES.items()}
        self._used = dict.fromkeys(Pool, 0)
        self._owned: Counter[tuple[str, Pool]] = Counter()
        # In the order in which they came, so that ties have one outcome.
        self._holdings: dict[Pool, dict[Holding, None]] = {pool: {} for pool in Pool}
        self._waiting: dict[Pool, list[Holding]] = {pool: [] for pool in Pool}

    def used(self, pool: Pool) -> int:
        """Returns the bytes that are held from a part of the budget."""
        return self._used[pool]

    @property
    def is_waited_for(self) -> bool:
        """True while a body waits for room."""
        return any(self._waiting.values())

    def request(self, holding: Holding, size: int, now: float) -> bool:
        """Asks for `size` bytes in all; returns False if the holding has to wait for them.

        Args:
            holding: What they are for; its `on_granted` is called if it waited.
            size: Bytes, including those that it has.
            now: The time in seconds.
        """
        self._place(holding, Pool.SMALL if size <= SMALL_BYTES else Pool.LARGE)
        holding.wanted = size
        pool = holding.pool
        if not self._waiting[pool] and self._fits(holding):
            self._take(holding)
            return True
        self._waiting[pool].append(holding)
        self.make_room(now)
        return holding.size >= size

    def hold(self, holding: Holding, size: int, now: float) -> bool:
        """Records bytes that are held already; returns False if that is too much.

        Others that stalled give way first, those of the owner that holds most before others.
        """
        holding.wanted = size
        fits = self._fits(holding) or self._evict_for(holding, now)
        self._take(holding)
        return fits

    def release(self, holding: Holding, now: float) -> None:
        """Gives back all that a holding has, and what it waits for."""
        self._forget(holding)
        holding.size = holding.wanted = 0
        self.make_room(now)

    def make_room(self, now: float) -> None:
        """Grants what fits, and has stalled holdings give way to what does not."""
        for waiting in self._waiting.values():
            while waiting:
                first = min(waiting, key=lambda each: self._owned[each.owner, each.pool])
                if not self._fits(first):
                    self._evict_for(first, now)
                    break
                waiting.remove(first)
                self._count(first, first.wanted - first.size)
                first.grant()

    def _place(self, holding: Holding, pool: Pool) -> None:
        """Moves what a holding has to another part of the budget."""
        if holding.pool is not pool:
            self._forget(holding)
            holding.pool = pool
            self._count(holding, holding.size)
        self._holdings[pool][holding] = None

    def _forget(self, holding: Holding) -> None:
        pool = holding.pool
        self._count(holding, -holding.size)
        self._holdings[pool].pop(holding, None)
        if holding in self._waiting[pool]:
            self._waiting[pool].remove(holding)

    def _take(self, holding: Holding) -> None:
        self._holdings[holding.pool][holding] = None
        self._count(holding, holding.wanted - holding.size)
        holding.size = holding.wanted

    def _fits(self, holding: Holding) -> bool:
        used = self._used[holding.pool]
        # What is alone fits: a body of the longest size must be served on the smallest host.
        is_alone = used == holding.size
        return is_alone or used + holding.wanted - holding.size <= self._limits[holding.pool]

    def _count(self, holding: Holding, size: int) -> None:
        key = (holding.owner, holding.pool)
        self._used[holding.pool] += size
        self._owned[key] += size
        if not self._owned[key]:
            del self._owned[key]

    def _evict_for(self, holding: Holding, now: float) -> bool:
        """Has stalled holdings give way; returns True once what they return is enough."""
        pool = holding.pool
        lacking = self._used[pool] + holding.wanted - holding.size - self._limits[pool]
        lacking -= sum(each.size for each in self._holdings[pool] if each.evicted)
        if lacking <= 0:
            return True
        for each in self._stalled(pool, holding, now):
            lacking -= each.size
            each.evict()
            if lacking <= 0:
                return True
        return False

    def _stalled(self, pool: Pool, but: Holding, now: float) -> list[Holding]:
        stalled = [
            each
            for each in self._holdings[pool]
            if each is not but and each.size and each.is_stalled(now)
        ]
        return sorted(
            stalled, key=lambda each: (-self._owned[each.owner, each.pool], each.progress_at)
        )
