"""An upstream in virtual time, for measurements of routing: queue, slots, prefill, prefix cache."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from bilberryplank_core.messages import Load
from bilberryplank_core.scheduling import QueuedRequest
from bilberryplank_testing._routing_clock import VirtualClock

SLOTS = 8
MAX_QUEUED = 32
PREFILL_RATE = 20_000.0
TOKEN_SECONDS = 0.02
CACHED_PREFIXES = 6
RATE_WEIGHT = 0.1


@dataclass(slots=True, eq=False)
class Work:
    """A request inside the upstream.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        prefix_tokens: Those of them that a cache hit saves.
        prefix: Identity of the prefix.
        output_tokens: Tokens of the answer.
        on_first_token: Called when the first token is there.
        on_end: Called when the answer is whole.
        on_lost: Called when the upstream dies.
        on_refused: Called when the queue drops it later on.
        queued: What a tiered queue knows of it; None at a plain one.
        began: When it began to run; None before.
    """

    prompt_tokens: int
    prefix_tokens: int
    prefix: bytes
    output_tokens: int
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    on_lost: Callable[[], None]
    on_refused: Callable[[], None] = lambda: None
    queued: QueuedRequest | None = None
    began: float | None = None

    @property
    def cost(self) -> int:
        """Tokens of prompt and answer."""
        return self.prompt_tokens + self.output_tokens


class VirtualUpstream:
    """One upstream with its sidecar's queue.

    Attributes:
        speed: Factor on all speeds.
        alive: False once it died.
        started: Requests that began to run.
        cache_hits: Those of them whose prefix was cached.
    """

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._queue: deque[Work] = deque()
        self._running: list[Work] = []
        self._prefill_free = 0.0
        self._cache: OrderedDict[bytes, None] = OrderedDict()
        self._rate = SLOTS * 2000.0
        self._history: deque[tuple[float, Load]] = deque()
        self.speed = 1.0
        self.alive = True
        self.started = 0
        self.cache_hits = 0

    def submit(self, work: Work) -> bool:
        """Takes a request, or returns False where the queue is full."""
        if len(self._running) < SLOTS:
            self._start(work)
        elif len(self._queue) < MAX_QUEUED:
            self._queue.append(work)
        else:
            return False
        self._note_load()
        return True

    def cancel(self, work: Work) -> bool:
        """Takes a request out; returns False where it had begun."""
        if work in self._queue:
            self._queue.remove(work)
            self._note_load()
            return True
        self._running.remove(work)
        if self._queue:
            self._start(self._queue.popleft())
        self._note_load()
        return False

    def load(self, lag: float) -> Load:
        """Returns the load as it was `lag` seconds ago."""
        then = self._clock.now - lag
        while len(self._history) > 1 and self._history[1][0] <= then:
            self._history.popleft()
        return self._history[0][1] if self._history else Load(slots=SLOTS, drain_rate=self._rate)

    def die(self) -> None:
        """Loses every request."""
        self.alive = False
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for work in lost:
            work.on_lost()

    def _start(self, work: Work) -> None:
        self._running.append(work)
        work.began = self._clock.now
        self.started += 1
        hit = work.prefix in self._cache
        self.cache_hits += hit
        tokens = work.prompt_tokens - (work.prefix_tokens if hit else 0)
        began = max(self._clock.now, self._prefill_free)
        first = began + tokens / PREFILL_RATE / self.speed
        self._prefill_free = first
        self._remember(work.prefix)
        end = first + work.output_tokens * TOKEN_SECONDS / self.speed
        self._clock.at(first, lambda: work in self._running and work.on_first_token())
        self._clock.at(end, lambda: self._end(work, end - began))

    def _remember(self, prefix: bytes) -> None:
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > CACHED_PREFIXES:
            self._cache.popitem(last=False)

    def _end(self, work: Work, seconds: float) -> None:
        if work not in self._running:
            return
        self._running.remove(work)
        rate = work.cost / max(seconds, 0.01) * SLOTS
        self._rate += (rate - self._rate) * RATE_WEIGHT
        if self._queue:
            self._start(self._queue.popleft())
        self._note_load()
        work.on_end()

    def _note_load(self) -> None:
        cost = float(sum(work.cost for work in self._queue))
        load = Load(len(self._queue), len(self._running), SLOTS, cost, self._rate)
        self._history.append((self._clock.now, load))
