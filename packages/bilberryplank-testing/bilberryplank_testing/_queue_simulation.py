"""One upstream and its queue in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace

from bilberryplank_core.messages import AttemptId
from bilberryplank_core.scheduling import QueuedRequest, Rejection, RequestQueue
from bilberryplank_testing._queue_workloads import Arrival

PREFILL_RATE = 8000.0
"""Prompt tokens a second, shared evenly by the requests in prefill."""

DECODE_RATE = 40.0
"""Tokens a second of each running request after its prefill."""

RETRY_DELAY = 0.05
"""Seconds until a preempted request is offered again."""


@dataclass(slots=True)
class Outcome:
    """What became of a request; times in seconds, None where it did not happen.

    Attributes:
        arrival: The request.
        dispatched: When it first got a slot.
        first_token: When its first token came.
        ended: When its answer was whole.
        refused: Code of the refusal.
        refused_after: Seconds from arrival to the refusal.
        wasted_tokens: Tokens computed and thrown away.
    """

    arrival: Arrival
    dispatched: float | None = None
    first_token: float | None = None
    ended: float | None = None
    refused: str | None = None
    refused_after: float | None = None
    wasted_tokens: float = 0.0

    @property
    def attained(self) -> bool:
        """True where the whole answer came in time and its first token within the target."""
        req = self.arrival.req
        if self.ended is None or self.ended > req.deadline:
            return False
        return self.first_token - req.arrived <= req.first_token_target

    @property
    def tokens(self) -> int:
        """Tokens of the whole answer, prompt included."""
        return self.arrival.req.prompt_tokens + self.arrival.output_tokens


class _Run:
    """A request in a slot of the engine."""

    __slots__ = ("decode_start", "outcome", "prefill_left", "req")

    def __init__(self, req: QueuedRequest, outcome: Outcome) -> None:
        self.req = req
        self.outcome = outcome
        self.prefill_left = float(req.prompt_tokens)
        self.decode_start: float | None = None


class _Engine:
    """Reads prompts side by side or one by one; decodes each request at a constant rate."""

    __slots__ = ("_now", "_serial", "runs")

    def __init__(self, serial: bool) -> None:
        self._serial = serial
        self._now = 0.0
        self.runs: dict[AttemptId, _Run] = {}

    def advance(self, now: float) -> list[_Run]:
        """Moves prefills on, up to the next event at most; returns runs whose prefill ended."""
        ended = []
        filling = self._filling()
        for run in filling:
            run.prefill_left -= (now - self._now) * PREFILL_RATE / len(filling)
            if run.prefill_left <= 1e-6:
                run.decode_start = now
                ended.append(run)
        self._now = now
        return ended

    def _filling(self) -> list[_Run]:
        filling = [run for run in self.runs.values() if run.decode_start is None]
        return filling[:1] if self._serial else filling

    def next_event(self) -> tuple[float, _Run | None]:
        """Returns when the next prefill or answer ends, and the run whose answer ends, if any."""
        time, ending = float("inf"), None
        filling = self._filling()
        for run in filling:
            end = self._now + max(0.0, run.prefill_left) * len(filling) / PREFILL_RATE
            time = min(time, end)
        for run in self.runs.values():
            if run.decode_start is not None:
                end = run.decode_start + run.outcome.arrival.output_tokens / DECODE_RATE
                if end < time:
                    time, ending = end, run
        return max(time, self._now), ending


class Simulation:
    """Drives one queue with arrivals until all are settled."""

    def __init__(
        self, queue: RequestQueue, arrivals: Iterable[Arrival], serial_prefill: bool = False
    ) -> None:
        self._queue = queue
        self._engine = _Engine(serial_prefill)
        self._offers: list[tuple[float, int, QueuedRequest, Outcome]] = []
        self._outcomes: dict[AttemptId, Outcome] = {}
        self.outcomes: list[Outcome] = []
        for arrival in arrivals:
            outcome = Outcome(arrival)
            self.outcomes.append(outcome)
            self._schedule(arrival.req.arrived, replace(arrival.req), outcome)

    def run(self, until: float = float("inf")) -> list[Outcome]:
        """Returns the outcomes of all requests once nothing is left to happen."""
        while True:
            offer_time = self._offers[0][0] if self._offers else float("inf")
            expiry = self._queue.next_expiry()
            engine_time, ending = self._engine.next_event()
            now = min(offer_time, engine_time, float("inf") if expiry is None else expiry)
            if now == float("inf") or now > until:
                return self.outcomes
            for run in self._engine.advance(now):
                self._first_token(run, now)
            if now == engine_time and ending is not None:
                self._end(ending, now)
            elif now == offer_time:
                self._offer(now)
            self._reject(self._queue.expire(now), now)
            self._preempt(now)
            self._dispatch(now)

    def _schedule(self, time: float, req: QueuedRequest, outcome: Outcome) -> None:
        heapq.heappush(self._offers, (time, len(self._outcomes), req, outcome))
        self._outcomes[req.attempt] = outcome

    def _offer(self, now: float) -> None:
        _, _, req, _ = heapq.heappop(self._offers)
        self._reject(self._queue.offer(req, now), now)

    def _reject(self, rejections: list[Rejection], now: float) -> None:
        for rejection in rejections:
            outcome = self._outcomes[rejection.attempt]
            outcome.refused = rejection.reason.value
            outcome.refused_after = now - outcome.arrival.req.arrived

    def _dispatch(self, now: float) -> None:
        while (req := self._queue.dequeue(now)) is not None:
            outcome = self._outcomes[req.attempt]
            if outcome.dispatched is None:
                outcome.dispatched = now
            self._queue.record_sent(req.attempt, now)
            self._engine.runs[req.attempt] = _Run(req, outcome)

    def _first_token(self, run: _Run, now: float) -> None:
        if run.outcome.first_token is None:
            run.outcome.first_token = now
        self._queue.record_first_token(run.req.attempt, now)

    def _end(self, run: _Run, now: float) -> None:
        outcome = run.outcome
        del self._engine.runs[run.req.attempt]
        outcome.ended = now
        self._queue.release(
            run.req.attempt, now, run.req.prompt_tokens, outcome.arrival.output_tokens
        )
        if now > run.req.deadline:
            outcome.wasted_tokens += outcome.tokens

    def _preempt(self, now: float) -> None:
        while (attempt := self._queue.preempt(now)) is not None:
            run = self._engine.runs.pop(attempt)
            prompt = run.req.prompt_tokens - max(0.0, run.prefill_left)
            start = run.decode_start if run.decode_start is not None else now
            generated = (now - start) * DECODE_RATE
            run.outcome.wasted_tokens += prompt + generated
            self._queue.release(attempt, now, int(prompt), int(generated), completed=False)
            again = AttemptId(attempt.request, attempt.number + 1, attempt.epoch)
            self._schedule(now + RETRY_DELAY, replace(run.req, attempt=again), run.outcome)
