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
        "_mean_unread",
        "_rng",
        "_sent",
        "_shape",
        "_split",
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
        self._mean_unread = 2000.0
        self._split = EngineSplit(shape.stride)

    def pause_kind(self, gap_objective: float) -> float:
        """Returns the kind of a stream, by the pause in seconds that it bears."""
        return pause_kind(gap_objective, self._shape.stride)

    @property
    def in_flight(self) -> int:
        """Requests of this entry at engines of the service."""
        return len(self._sent)

    def choose(
        self, call: CallerCall, kind: float, upstreams: Sequence[DirectUpstream], now: float
    ) -> EngineChoice | None:
        """Returns the engine for a request; None where all are held out.

        Args:
            call: The request.
            kind: Kind of its stream, from `pause_kind`.
            upstreams: Engines that may get new work.
            now: Seconds on the boot clock.
        """
        usable = [each for each in upstreams if self._health.may_use(each.name, now)]
        if not usable:
            return None
        usable = self._split.part(kind, usable, now)
        keys = prefix_keys(call.model, call.prompt)
        home = max(usable, key=lambda each: weight(_shared_key(call, keys), each.name)).name
        shared_tokens = sum(tokens for _, tokens in keys[:-1])
        best: tuple[float, float, EngineChoice] | None = None
        for each in usable:
            choice = self._estimate(each, call, keys, now)
            cost = choice.wait + self._extra(each, home, shared_tokens)
            if best is None or (cost, self._rng.random()) < best[:2]:
                best = (cost, self._rng.random(), choice)
        assert best is not None
        return best[2]

    def begin(self, choice: EngineChoice, call: CallerCall, kind: float, now: float) -> None:
        """Takes in that a request goes to an engine."""
        self._split.observe(kind, choice.unread / READING_TOKENS_PER_SECOND, now)
        name = choice.upstream.name
        self._cache(name).add(prefix_keys(call.model, call.prompt))
        self._sent[call.request_id] = _Sent(name, choice.unread)
        self._mean_unread += 0.05 * (choice.unread - self._mean_unread)

    def first_token(self, request_id: str) -> None:
        """Takes in that a request began to run."""
        if request_id in self._sent:
            self._sent[request_id].started = True

    def end(self, request_id: str) -> None:
        """Takes in that a request left its engine."""
        self._sent.pop(request_id, None)

    def report(self, name: str, load: UpstreamLoad, now: float) -> None:
        """Takes in a load that an engine told."""
        self._loads[name] = (load, now)

    def forget(self, name: str) -> None:
        """Drops an engine that is gone or started anew."""
        for known in (self._caches, self._loads):
            known.pop(name, None)

    def _estimate(
        self,
        upstream: DirectUpstream,
        call: CallerCall,
        keys: Sequence[tuple[str, int]],
        now: float,
    ) -> EngineChoice:
        name = upstream.name
        unread = max(0, call.prompt_tokens - self._cache(name).kept_tokens(keys))
        mine = [each for each in self._sent.values() if each.upstream == name]
        backlog = float(sum(each.unread for each in mine if not each.started))
        running = float(len(mine))
        age = None
        if name in self._loads:
            load, at = self._loads[name]
            age = now - at
            fresh = max(0.0, 1.0 - age / REPORT_SECONDS)
            backlog = max(backlog, fresh * load.waiting * self._mean_unread)
            running = max(running, fresh * load.running)
        wait = (backlog + unread) / READING_TOKENS_PER_SECOND + running * CROWD_SECONDS
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
