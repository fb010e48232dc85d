"""Choice among the engines of a service, by what each would have to read.

Each shared part of a prompt has a home: the engine that rendezvous hashing names for it, the same
at every entry. There it is read once and kept. Another engine takes the request only where the wait
at home is longer than what reading the part again would cost the fleet.

Load pattern: bursts of long prompts with shared parts, from many entries with stale reports.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from bilberryplank_core._direct_world import (
    CallerCall,
    DirectUpstream,
    EngineShape,
    UpstreamLoad,
)
from bilberryplank_core._engine_split import EngineSplit, pause_kind
from bilberryplank_core._engine_waits import EngineWaits, Urgency
from bilberryplank_core._prompt_cache import PromptCache, prefix_keys
from bilberryplank_core._ranking import weight
from bilberryplank_core._upstream_health import UpstreamHealth

READING_TOKENS_PER_SECOND = 60_000.0
"""Prompt tokens that an engine reads in a second, from the users' sheet of their engines."""

REPORT_SECONDS = 1.0
"""A reported load counts less with its age and nothing after this long."""

OTHER_ZONE_SECONDS = 0.01
"""Cost of an engine in another zone: bytes between zones are billed."""

REREAD_SECONDS_PER_TOKEN = 60e-6
"""Wait worth accepting for a shared token that is not read again: its reading, and the delay of all
others that wait there, several times over under load."""

CROWD_SECONDS = 0.001
"""Cost of each request that runs at an engine: it slows the tokens of all others."""

SHARE_WEIGHT = 0.05
"""Weight of one report in the running share of the traffic."""

MOST_ENTRIES = 16.0
"""Bound on the share, so that a few odd reports do not turn everything away."""

FAILURE_SECONDS = 1.0
"""Cost of an engine that fails every request."""


@dataclass(slots=True)
class _Sent:
    upstream: str
    unread: int
    started: bool = False


@dataclass(slots=True, frozen=True)
class EngineChoice:
    """An engine and why it was chosen.

    Attributes:
        upstream: The engine.
        unread: Tokens of the prompt that it has to read.
        wait: Expected seconds until the first token.
        load_age: Age in seconds of the engine's last report; None without one.
    """

    upstream: DirectUpstream
    unread: int
    wait: float
    load_age: float | None


class TrafficShare:
    """How many requests all entries have at engines for each of this entry's own.

    Load reports count the requests of all entries; compared with its own at that moment, an entry
    learns by how much its own backlog must be scaled.
    """

    __slots__ = ("_all", "_mine")

    def __init__(self) -> None:
        self._mine = 1.0
        self._all = 1.0

    def note(self, mine: int, everybody: int) -> None:
        """Takes in one report, beside the entry's own requests there."""
        self._mine += SHARE_WEIGHT * (mine - self._mine)
        self._all += SHARE_WEIGHT * (max(mine, everybody) - self._all)

    def factor(self) -> float:
        """Returns the requests of all entries for each of this entry's own; at least 1."""
        return min(MOST_ENTRIES, max(1.0, self._all / self._mine))


class EngineBoard:
    """What one entry knows of the engines of one service.

    Args:
        zone: Availability zone of the entry.
        shape: Size of the engines.
        health: Which upstreams are held out.
        rng: Breaks ties.
    """

    __slots__ = (
        "_caches",
        "_health",
        "_loads",
        "_share",
        "_rng",
        "_sent",
        "_shape",
        "_split",
        "_waits",
        "_zone",
    )

    def __init__(self, zone: str, shape: EngineShape, health: UpstreamHealth, rng: Random) -> None:
        self._zone = zone
        self._shape = shape
        self._health = health
        self._rng = rng
        self._caches: dict[str, PromptCache] = {}
        self._loads: dict[str, tuple[UpstreamLoad, float]] = {}
        self._sent: dict[str, _Sent] = {}
        self._share = TrafficShare()
        self._split = EngineSplit(shape.stride)
        self._waits = EngineWaits()

    def pause_kind(self, gap_objective: float) -> float:
        """Returns the kind of a stream, by the pause in seconds that it bears."""
        return pause_kind(gap_objective, self._shape.stride)

    @property
    def in_flight(self) -> int:
        """Requests of this entry at engines of the service."""
        return len(self._sent)

    def choose(
        self,
        call: CallerCall,
        kind: float,
        urgency: Urgency,
        upstreams: Sequence[DirectUpstream],
        now: float,
    ) -> EngineChoice | None:
        """Returns the engine for a request; None where all are held out.

        Args:
            call: The request.
            kind: Kind of its stream, from `pause_kind`.
            urgency: Its urgency, by which engines order what waits.
            upstreams: Engines that may get new work.
            now: Seconds on the boot clock.
        """
        usable = [each for each in upstreams if self._health.may_use(each.name, now)]
        if not usable:
            return None
        # Divided before those held out are left out, so that the others keep their kinds.
        part = self._split.part(kind, upstreams, now)
        usable = [each for each in usable if each in part] or usable
        keys = prefix_keys(call.model, call.prompt)
        home = max(usable, key=lambda each: weight(_shared_key(call, keys), each.name)).name
        shared_tokens = sum(tokens for _, tokens in keys[:-1])
        delays = self._waits.delays([each.name for each in usable], urgency, now)
        best: tuple[float, float, EngineChoice] | None = None
        for each in usable:
            choice = self._estimate(each, call, keys, delays[each.name], now)
            cost = choice.wait + self._extra(each, home, shared_tokens)
            if best is None or (cost, self._rng.random()) < best[:2]:
                best = (cost, self._rng.random(), choice)
        assert best is not None
        choice = best[2]
        # What is refused counts too: it is demand for engines of its kind.
        self._split.observe(kind, choice.unread / READING_TOKENS_PER_SECOND, now)
        return choice

    def begin(self, choice: EngineChoice, call: CallerCall, urgency: Urgency, now: float) -> None:
        """Takes in that a request goes to an engine."""
        name = choice.upstream.name
        self._cache(name).add(prefix_keys(call.model, call.prompt))
        self._sent[call.request_id] = _Sent(name, choice.unread)
        reading = choice.unread / READING_TOKENS_PER_SECOND
        self._waits.sent(name, call.request_id, reading, urgency, now)

    def first_token(self, request_id: str, now: float) -> None:
        """Takes in that a request began to run."""
        sent = self._sent.get(request_id)
        if sent is not None and not sent.started:
            sent.started = True
            self._waits.started(sent.upstream, request_id, now)

    def end(self, request_id: str) -> None:
        """Takes in that a request left its engine."""
        sent = self._sent.pop(request_id, None)
        if sent is not None:
            self._waits.ended(sent.upstream, request_id)

    def report(self, name: str, load: UpstreamLoad, now: float) -> None:
        """Takes in a load that an engine told."""
        self._loads[name] = (load, now)
        mine = sum(each.upstream == name for each in self._sent.values())
        if mine:
            self._share.note(mine, load.running + load.waiting)

    def forget(self, name: str) -> None:
        """Drops an engine that is gone or started anew."""
        for known in (self._caches, self._loads):
            known.pop(name, None)
        self._waits.forget(name)

    def _estimate(
        self,
        upstream: DirectUpstream,
        call: CallerCall,
        keys: Sequence[tuple[str, int]],
        met_delay: float,
        now: float,
    ) -> EngineChoice:
        name = upstream.name
        unread = max(0, call.prompt_tokens - self._cache(name).kept_tokens(keys))
        mine = [each for each in self._sent.values() if each.upstream == name]
        others = self._share.factor()
        backlog = others * sum(each.unread for each in mine if not each.started)
        running = others * len(mine)
        age = None
        if name in self._loads:
            load, at = self._loads[name]
            age = now - at
            fresh = max(0.0, 1.0 - age / REPORT_SECONDS)
            running += fresh * (load.running - running)
        delay = max(backlog / READING_TOKENS_PER_SECOND, met_delay)
        wait = delay + unread / READING_TOKENS_PER_SECOND + running * CROWD_SECONDS
        return EngineChoice(upstream, unread, wait, age)

    def _extra(self, upstream: DirectUpstream, home: str, shared_tokens: int) -> float:
        away = 0.0 if upstream.zone == self._zone else OTHER_ZONE_SECONDS
        strange = 0.0 if upstream.name == home else shared_tokens * REREAD_SECONDS_PER_TOKEN
        return away + strange + FAILURE_SECONDS * self._health.failure_share(upstream.name)

    def _cache(self, name: str) -> PromptCache:
        if name not in self._caches:
            self._caches[name] = PromptCache(self._shape.memory_tokens)
        return self._caches[name]


def _shared_key(call: CallerCall, keys: Sequence[tuple[str, int]]) -> str:
    """Returns the key of the parts of a prompt that other requests share."""
    return keys[-2][0] if len(keys) > 1 else call.request_id
