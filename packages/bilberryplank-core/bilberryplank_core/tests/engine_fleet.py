"""Simulates a fleet of entries and engines in virtual time, to replay loads on engine selectors."""

import heapq
from dataclasses import dataclass
from random import Random

from bilberryplank_core.direct import (
    DirectUpstream,
    EngineCapacity,
    EngineSelector,
    LatencyObjective,
    PromptSegment,
    RequestHead,
    UpstreamHealth,
    UpstreamLoad,
    should_admit,
)
from bilberryplank_core.engines._prefix_cache_model import PrefixCacheModel, prefix_keys

CAPACITY = EngineCapacity(64, 600_000, 6)
PREFILL_TOKENS_PER_SECOND = 61_200.0
TOKEN_SECONDS = 0.005


@dataclass
class Stream:
    """A kind of request: its rate per second, sizes in tokens, and times in seconds."""

    name: str
    rate: float
    shared_tokens: int
    unshared_tokens: int
    answer_tokens: int
    objective: float
    limit: float
    gap: float
    rank: int
    shared_segments: int
    least_urgent: bool = False


@dataclass
class Request:
    """One request of the simulation."""

    stream: Stream
    call: RequestHead
    sent_at: float
    entry: EngineSelector
    started_at: float | None = None


class Engine:
    """Simulated engine: prefills prompts one after another by urgency, with a prefix cache."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.cache = PrefixCacheModel(CAPACITY.kv_cache_tokens)
        self.waiting = []
        self.prefilling = None
        self.running = 0
        self.prefilled_tokens = 0


class Fleet:
    """Entries with their engine selectors, and engines that they share.

    Args:
        entries: Number of entries.
        engines: Number of engines.
        streams: Kinds of requests.
        refuses: False to admit all requests.
        seed: Seed of the random sources.
        burst: Returns the factor on a kind's rate, by its name and the time.
        queries_loads: False to query no engine for its load.
        rate: Prompt tokens that an engine prefills per second.
    """

    def __init__(
        self,
        entries,
        engines,
        streams,
        refuses,
        seed,
        burst,
        queries_loads=True,
        rate=PREFILL_TOKENS_PER_SECOND,
    ):
        self.rate = rate
        self.rng = Random(seed)
        self.streams = streams
        self.refuses = refuses
        self.burst = burst
        self.queries_loads = queries_loads
        self.load_queries = 0
        upstreams = [DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", 64) for n in range(engines)]
        self.upstreams = upstreams
        self.engines = {upstream.name: Engine(upstream) for upstream in upstreams}
        self.selectors = [
            EngineSelector("z", CAPACITY, UpstreamHealth(), Random(f"{seed}/{n}"))
            for n in range(entries)
        ]
        self.events = []
        self.serial = 0
        self.in_time = {stream.name: 0 for stream in streams}
        self.started = {stream.name: 0 for stream in streams}
        self.arrived = {stream.name: 0 for stream in streams}
        self.refused = {stream.name: 0 for stream in streams}

    def play(self, seconds):
        """Runs the simulation for a number of seconds."""
        for stream in self.streams:
            self._schedule(self.rng.expovariate(stream.rate), self._arrive, stream)
        while self.events and self.events[0][0] <= seconds:
            now, _, action, subject = heapq.heappop(self.events)
            action(now, subject)
        return self

    def share_in_time(self, name):
        """Returns the share of a kind's requests whose first token met the objective."""
        return self.in_time[name] / self.arrived[name]

    def prefilled_tokens(self):
        """Returns the tokens that all engines prefilled."""
        return sum(engine.prefilled_tokens for engine in self.engines.values())

    def _schedule(self, at, action, subject):
        self.serial += 1
        heapq.heappush(self.events, (at, self.serial, action, subject))

    def _arrive(self, now, stream):
        rate = stream.rate * self.burst(stream.name, now)
        self._schedule(now + self.rng.expovariate(rate), self._arrive, stream)
        self.arrived[stream.name] += 1
        selector = self.rng.choice(self.selectors)
        call = self._call(stream)
        urgency = (0, stream.rank)
        objective = LatencyObjective(stream.gap, stream.objective)
        if self.queries_loads:
            for upstream in selector.engines_to_query(
                call, objective, urgency, self.upstreams, now
            ):
                engine = self.engines[upstream.name]
                load = UpstreamLoad(engine.running, len(engine.waiting), CAPACITY.slots)
                selector.report(upstream.name, load, now)
                self.load_queries += 1
        choice = selector.choose(call, objective, urgency, self.upstreams, now)
        if self.refuses and not should_admit(
            choice.delay, choice.wait, stream.objective, stream.limit, stream.least_urgent
        ):
            self.refused[stream.name] += 1
            return
        selector.begin(choice, call, now)
        request = Request(stream, call, now, selector)
        engine = self.engines[choice.upstream.name]
        self.serial += 1
        heapq.heappush(engine.waiting, (stream.rank, self.serial, request))
        self._prefill_next(now, engine)

    def _call(self, stream):
        segment_id = f"{stream.name}{self.rng.randrange(stream.shared_segments)}"
        size = self.rng.lognormvariate(-0.4, 0.9)
        unshared_segment = PromptSegment(
            f"own{self.serial}", max(50, int(stream.unshared_tokens * size))
        )
        prompt = (PromptSegment(segment_id, stream.shared_tokens), unshared_segment)
        return RequestHead(
            f"r{self.serial}",
            model="m",
            prompt=prompt,
            prompt_tokens=stream.shared_tokens + unshared_segment.tokens,
            max_output_tokens=2 * stream.answer_tokens,
            expected_output_tokens=stream.answer_tokens,
        )

    def _prefill_next(self, now, engine):
        while engine.prefilling is None and engine.waiting and engine.running < CAPACITY.slots:
            request = heapq.heappop(engine.waiting)[2]
            if now - request.sent_at > request.stream.limit:
                request.entry.end(request.call.request_id, now)
                continue
            keys = prefix_keys("m", request.call.prompt)
            prefill_tokens = request.call.prompt_tokens - engine.cache.cached_tokens(keys)
            engine.cache.add(keys)
            engine.prefilled_tokens += prefill_tokens
            engine.prefilling = request
            engine.running += 1
            self._schedule(now + prefill_tokens / self.rate, self._on_first_token, engine)

    def _on_first_token(self, now, engine):
        request, engine.prefilling = engine.prefilling, None
        name = request.stream.name
        self.started[name] += 1
        self.in_time[name] += now - request.sent_at <= request.stream.objective
        load = UpstreamLoad(engine.running, len(engine.waiting), CAPACITY.slots)
        request.entry.report(engine.upstream.name, load, now)
        request.entry.record_events(request.call.request_id, 1, now)
        decode_seconds = request.stream.answer_tokens * TOKEN_SECONDS
        self._schedule(now + decode_seconds, self._on_end, (engine, request))
        self._prefill_next(now, engine)

    def _on_end(self, now, subject):
        engine, request = subject
        engine.running -= 1
        request.entry.end(request.call.request_id, now)
        self._prefill_next(now, engine)
