"""A fleet of entries and engines in simulated time, for replays of load patterns on the boards."""

import heapq
from dataclasses import dataclass
from random import Random

from bilberryplank_core._prefix_cache_model import PrefixCacheModel, prefix_keys
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

SHAPE = EngineCapacity(64, 600_000, 6)
RATE = 61_200.0
TOKEN_SECONDS = 0.005


@dataclass
class Stream:
    """A kind of request: its rate a second, sizes in tokens, and times in seconds."""

    name: str
    rate: float
    shared: int
    own: int
    answer: int
    objective: float
    limit: float
    gap: float
    rank: int
    parts: int
    least_urgent: bool = False


@dataclass
class Run:
    """One request on its way."""

    stream: Stream
    call: RequestHead
    sent_at: float
    entry: EngineSelector
    started_at: float | None = None


class Engine:
    """Reads prompts one after another, the most urgent first; keeps shared parts."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.cache = PrefixCacheModel(SHAPE.kv_cache_tokens)
        self.waiting = []
        self.reading = None
        self.running = 0
        self.tokens_read = 0


class Fleet:
    """Entries with their boards, and engines that they share.

    Args:
        entries: Number of entries.
        engines: Number of engines.
        streams: Kinds of requests.
        refuses: False to admit all requests.
        seed: Seed of all chances.
        burst: Returns the factor of a kind's rate, by its name and the time.
        asks: False to ask no engine for its load.
        rate: Tokens of a prompt that an engine reads in a second.
    """

    def __init__(self, entries, engines, streams, refuses, seed, burst, asks=True, rate=RATE):
        self.rate = rate
        self.rng = Random(seed)
        self.streams = streams
        self.refuses = refuses
        self.burst = burst
        self.asks = asks
        self.asked_loads = 0
        upstreams = [DirectUpstream(f"e{n}", "s", f"1.1.1.{n}:1", "z", 64) for n in range(engines)]
        self.upstreams = upstreams
        self.engines = {each.name: Engine(each) for each in upstreams}
        self.boards = [
            EngineSelector("z", SHAPE, UpstreamHealth(), Random(f"{seed}/{n}"))
            for n in range(entries)
        ]
        self.events = []
        self.serial = 0
        self.in_time = {each.name: 0 for each in streams}
        self.begun = {each.name: 0 for each in streams}
        self.asked = {each.name: 0 for each in streams}
        self.refused = {each.name: 0 for each in streams}

    def play(self, seconds):
        """Plays so many seconds."""
        for stream in self.streams:
            self._later(self.rng.expovariate(stream.rate), self._arrive, stream)
        while self.events and self.events[0][0] <= seconds:
            now, _, action, subject = heapq.heappop(self.events)
            action(now, subject)
        return self

    def share_in_time(self, name):
        """Returns the share of a kind's requests whose first token came in time."""
        return self.in_time[name] / self.asked[name]

    def tokens_read(self):
        """Returns the tokens that all engines read."""
        return sum(each.tokens_read for each in self.engines.values())

    def _later(self, at, action, subject):
        self.serial += 1
        heapq.heappush(self.events, (at, self.serial, action, subject))

    def _arrive(self, now, stream):
        rate = stream.rate * self.burst(stream.name, now)
        self._later(now + self.rng.expovariate(rate), self._arrive, stream)
        self.asked[stream.name] += 1
        board = self.rng.choice(self.boards)
        call = self._call(stream)
        urgency = (0, stream.rank)
        objective = LatencyObjective(stream.gap, stream.objective)
        if self.asks:
            for each in board.engines_to_query(call, objective, urgency, self.upstreams, now):
                engine = self.engines[each.name]
                load = UpstreamLoad(engine.running, len(engine.waiting), SHAPE.slots)
                board.report(each.name, load, now)
                self.asked_loads += 1
        choice = board.choose(call, objective, urgency, self.upstreams, now)
        if self.refuses and not should_admit(
            choice.delay, choice.wait, stream.objective, stream.limit, stream.least_urgent
        ):
            self.refused[stream.name] += 1
            return
        board.begin(choice, call, now)
        run = Run(stream, call, now, board)
        engine = self.engines[choice.upstream.name]
        self.serial += 1
        heapq.heappush(engine.waiting, (stream.rank, self.serial, run))
        self._read_next(now, engine)

    def _call(self, stream):
        part = f"{stream.name}{self.rng.randrange(stream.parts)}"
        size = self.rng.lognormvariate(-0.4, 0.9)
        own = PromptSegment(f"own{self.serial}", max(50, int(stream.own * size)))
        prompt = (PromptSegment(part, stream.shared), own)
        return RequestHead(
            f"r{self.serial}",
            model="m",
            prompt=prompt,
            prompt_tokens=stream.shared + own.tokens,
            max_output_tokens=2 * stream.answer,
            expected_output_tokens=stream.answer,
        )

    def _read_next(self, now, engine):
        while engine.reading is None and engine.waiting and engine.running < SHAPE.slots:
            run = heapq.heappop(engine.waiting)[2]
            if now - run.sent_at > run.stream.limit:
                run.entry.end(run.call.request_id, now)
                continue
            keys = prefix_keys("m", run.call.prompt)
            prefill_tokens = run.call.prompt_tokens - engine.cache.cached_tokens(keys)
            engine.cache.add(keys)
            engine.tokens_read += prefill_tokens
            engine.reading = run
            engine.running += 1
            self._later(now + prefill_tokens / self.rate, self._started, engine)

    def _started(self, now, engine):
        run, engine.reading = engine.reading, None
        name = run.stream.name
        self.begun[name] += 1
        self.in_time[name] += now - run.sent_at <= run.stream.objective
        load = UpstreamLoad(engine.running, len(engine.waiting), SHAPE.slots)
        run.entry.report(engine.upstream.name, load, now)
        run.entry.record_events(run.call.request_id, 1, now)
        answering = run.stream.answer * TOKEN_SECONDS
        self._later(now + answering, self._ended, (engine, run))
        self._read_next(now, engine)

    def _ended(self, now, subject):
        engine, run = subject
        engine.running -= 1
        run.entry.end(run.call.request_id, now)
        self._read_next(now, engine)
