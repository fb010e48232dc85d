"""Model of a continuously batching engine, in steps and without a clock.

Each step takes `step_seconds`, longer with more running requests. In a step every request whose
prompt is read yields one token, and those whose prompt is not share the prefill capacity of the
step, the oldest first (chunked prefill, Sarathi-Serve, OSDI 2024). A request is admitted when a
slot is free and its prompt and whole answer fit into the KV memory. The best rank goes first,
and nothing overtakes it while it waits for memory.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryplank_testing._engine_text import Prompt, block_hashes
from bilberryplank_testing._prefix_cache import PrefixCache


@dataclass(slots=True, frozen=True)
class EngineOptions:
    """Size and speed of a fake engine.

    Attributes:
        slots: Requests that run at once.
        kv_tokens: Tokens that fit into the KV memory.
        prefill_rate: Prompt tokens read a second, over all requests.
        step_seconds: Duration of a step with an empty batch.
        batch_slowdown: Share by which a full batch lengthens a step.
        cache_tokens: Tokens that the prefix cache holds.
        block_tokens: Tokens in a block of the prefix cache.
        load_lag: Seconds by which reports of load lag.
        event_lag: Seconds by which cache events lag.
        event_loss: Share of cache events that get lost, 0 to 1.
        seed: Seed of the losses.
        models: Models that it serves; empty for any.
        ignore_fences: True where orders are carried out whatever their fencing number.
    """

    slots: int = 8
    kv_tokens: int = 100_000
    prefill_rate: float = 20_000.0
    step_seconds: float = 0.02
    batch_slowdown: float = 0.5
    cache_tokens: int = 50_000
    block_tokens: int = 16
    load_lag: float = 0.5
    event_lag: float = 0.5
    event_loss: float = 0.05
    seed: int = 1
    models: tuple[str, ...] = ()
    ignore_fences: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """A request inside the engine.

    Attributes:
        prompt: What it generates from.
        rank: Priority; 0 is the highest.
        start: Tokens of the answer that the caller has already.
        notify: Called after each token and at the end.
        number: Order of arrival.
        hashes: Prefix blocks of the prompt.
        cached_tokens: Prompt tokens found in the prefix cache.
        prefill_left: Tokens still to read before the first token.
        generated: Tokens generated in this run.
        started: True once admitted.
        ended: True once it has ended, in whatever way.
        cancelled: True where it was cancelled before its last token.
    """

    prompt: Prompt
    rank: int
    start: int
    notify: Callable[[], None]
    number: int = 0
    hashes: list[int] = field(default_factory=list)
    cached_tokens: int = 0
    prefill_left: float = 0.0
    generated: int = 0
    started: bool = False
    ended: bool = False
    cancelled: bool = False

    @property
    def position(self) -> int:
        """Number of tokens of the answer that exist so far."""
        return self.start + self.generated

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV memory reserved for it."""
        return self.prompt.tokens + self.prompt.output_tokens


class EngineModel:
    """Queue, batch and caches of a fake engine.

    Attributes:
        waiting: Requests that are not admitted yet.
        running: Requests in the batch.
        speed: Factor on all speeds; below 1 for a straggler.
        cache: The prefix cache.
    """

    __slots__ = ("_arrivals", "_opts", "cache", "running", "speed", "waiting")

    def __init__(self, opts: EngineOptions) -> None:
        self._opts = opts
        self._arrivals = 0
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.speed = 1.0
        blocks = opts.cache_tokens // opts.block_tokens
        rng = random.Random(opts.seed)
        self.cache = PrefixCache(blocks, opts.event_lag, opts.event_loss, rng)

    @property
    def kv_used(self) -> float:
        """Share of the KV memory that is reserved."""
        return sum(job.kv_tokens for job in self.running) / self._opts.kv_tokens

    def fits(self, prompt: Prompt) -> bool:
        """Returns whether a request could ever be admitted."""
        return prompt.tokens + prompt.output_tokens <= self._opts.kv_tokens

    def submit(self, job: Job) -> None:
        """Queues a request."""
        self._arrivals += 1
        job.number = self._arrivals
        job.hashes = block_hashes(job.prompt.text, self._opts.block_tokens)
        self.waiting.append(job)

    def cancel(self, job: Job) -> None:
        """Takes a request out of the queue or the batch; no effect once it has ended."""
        if job.ended:
            return
        job.cancelled = True
        self._end(job)

    def step_duration(self) -> float:
        """Returns the seconds that the next step takes."""
        load = len(self.running) / self._opts.slots
        return self._opts.step_seconds * (1 + load * self._opts.batch_slowdown) / self.speed

    def step(self, duration: float, now: float) -> None:
        """Runs one step that took `duration` seconds and ends at `now`, then admits.

        Requests admitted by this call take part from the next step on.
        """
        decoding = [job for job in self.running if job.prefill_left <= 0]
        self._prefill(duration * self._opts.prefill_rate * self.speed, now)
        for job in decoding:
            self._decode(job)
        self.admit()

    def admit(self) -> None:
        """Moves requests from the queue into the batch while they fit."""
        self.waiting.sort(key=lambda job: (job.rank, job.number))
        while self.waiting and self._admissible(self.waiting[0]):
            job = self.waiting.pop(0)
            matched = self.cache.match(job.hashes) * self._opts.block_tokens
            job.cached_tokens = min(matched, job.prompt.tokens - 1)
            job.prefill_left = job.prompt.tokens - job.cached_tokens + job.start
            job.started = True
            self.running.append(job)
            job.notify()

    def clear(self) -> None:
        """Loses every request and cached block, as a crash does."""
        for job in [*self.waiting, *self.running]:
            job.ended = True
        self.waiting.clear()
        self.running.clear()
        self.cache.clear()

    def _admissible(self, job: Job) -> bool:
        reserved = sum(other.kv_tokens for other in self.running)
        fits = reserved + job.kv_tokens <= self._opts.kv_tokens
        return fits and len(self.running) < self._opts.slots

    def _prefill(self, budget: float, now: float) -> None:
        for job in self.running:
            if job.prefill_left <= 0:
                continue
            read = min(budget, job.prefill_left)
            job.prefill_left -= read
            budget -= read
            if job.prefill_left <= 0:
                self.cache.store(job.hashes, now)

    def _decode(self, job: Job) -> None:
        if job.position < job.prompt.output_tokens:
            job.generated += 1
        if job.position >= job.prompt.output_tokens:
            self._end(job)
        else:
            job.notify()

    def _end(self, job: Job) -> None:
        job.ended = True
        for jobs in (self.waiting, self.running):
            if job in jobs:
                jobs.remove(job)
        job.notify()
