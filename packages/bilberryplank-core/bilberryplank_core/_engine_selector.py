"""Choice among the engines of a service, by what each would have to read.

A request goes to an engine that keeps its shared parts, unless the wait there is longer than what
reading them again elsewhere would cost the fleet. A part that nobody keeps has a home: the engine
that rendezvous hashing names for it, the same at every entry.

Load pattern: bursts of long prompts with shared parts, from many entries with stale reports.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from heapq import nlargest, nsmallest
from random import Random

from bilberryplank_core._direct_types import (
    DirectUpstream,
    EngineCapacity,
    RequestHead,
    UpstreamLoad,
)
from bilberryplank_core._engine_backlogs import (
    SentRequest,
    likely_backlogs,
    own_parts,
    told_backlogs,
)
from bilberryplank_core._engine_partition import EnginePartition
from bilberryplank_core._engine_performance import EnginePerformance, LatencyObjective
from bilberryplank_core._fleet_traffic import FleetTrafficRatio
from bilberryplank_core._lateness_cost import LATE_SECONDS, ArrivalRates, late_chance, made_late
from bilberryplank_core._own_work import OwnWork
from bilberryplank_core._peer_work import PeerWork, WorkNotice
from bilberryplank_core._prefix_cache_model import PrefixCacheModel, prefix_keys
from bilberryplank_core._queueing_delays import QueueingDelays, Urgency
from bilberryplank_core._rendezvous import rendezvous_weight
from bilberryplank_core._upstream_health import UpstreamHealth

REPORT_SECONDS = 1.0
"""A reported load counts less with its age and nothing after this long."""

LEAST_ASKED_TOKENS = 4_000
"""Shorter prompts are read within tens of milliseconds; asking would cost more than it saves."""

HOMES, MOST_ASKED = 2, 3
"""Engines of a shared part that are asked, and all that are asked for one request."""

ASKED_AGAIN_SECONDS = 0.1
"""A load that is no older is not asked for again; engines tell it some 200 ms late."""

MOST_WEIGHED, MOST_KEEPERS = 96, 16
"""Engines that are weighed for one request, and those of them that keep most of its prompt."""

STRANGE_SHARES = {0: 0.0, 1: 0.6}
"""Share of the cost of reading a shared part again, by rank among its homes: the second home often
has it, as all entries fall back to the same one."""

GUESSED_SHARE = 0.35
"""Share of that cost where other entries do not tell what they had read: an engine may keep a part
that this entry did not send there."""

READING_WEIGHT = 0.05
"""Weight of one request in the mean reading time of those that wait."""

OTHER_ZONE_SECONDS = 0.01
"""Cost of an engine in another zone: bytes between zones are billed."""

REREAD_WEIGHT = 20.0
"""Wait worth accepting for a shared token that is not read again, in times of its reading: it also
delays all others that wait there, several times over under load."""

CROWD_TOKENS = 0.2
"""Cost of each request that runs at an engine, in times of a token: it slows all others."""

FAILURE_SECONDS = 1.0
"""Cost of an engine that fails every request."""

STAY_WEIGHT = 0.02
"""Weight of one request in the mean time that requests stay in an engine's batch."""

RUNNING_SECONDS = 3.0
"""A reported number of running requests counts less with its age and nothing after this long:
requests stay for seconds, so it changes slower than what waits."""


@dataclass(slots=True, frozen=True)
class _Weighed:
    choice: EngineChoice
    cost: float
    home_rank: int


@dataclass(slots=True, frozen=True)
class EngineChoice:
    """An engine and why it was chosen.

    Attributes:
        upstream: The engine.
        objective: What the request's stream bears.
        urgency: Urgency of the request.
        prefill_tokens: Tokens of the prompt that it has to read.
        delay: Expected seconds for which it waits for others.
        wait: Expected seconds until the first token.
        load_age: Age in seconds of the engine's last report; None without one, and where what other
            entries tell is used in its place.
        at_preferred: True where it is the home of the prompt's shared parts.
    """

    upstream: DirectUpstream
    objective: LatencyObjective
    urgency: Urgency
    prefill_tokens: int
    delay: float
    wait: float
    load_age: float | None
    at_preferred: bool = False


class EngineSelector:
    """What one entry knows of the engines of one service.

    Args:
        zone: Availability zone of the entry.
        shape: Size of the engines.
        health: Which upstreams are held out.
        rng: Breaks ties.
    """

    __slots__ = (
        "_caches",
        "_flows",
        "_health",
        "_least_urgent",
        "_loads",
        "_own",
        "_performance",
        "_peers",
        "_reading",
        "_share",
        "_rng",
        "_sent",
        "_shape",
        "_split",
        "_stay",
        "_waits",
        "_zone",
    )

    def __init__(
        self, zone: str, shape: EngineCapacity, health: UpstreamHealth, rng: Random
    ) -> None:
        self._zone = zone
        self._shape = shape
        self._health = health
        self._rng = rng
        self._caches: dict[str, PrefixCacheModel] = {}
        self._loads: dict[str, tuple[UpstreamLoad, float]] = {}
        self._sent: dict[str, SentRequest] = {}
        self._least_urgent: Urgency = (0, 0)
        self._reading = 0.0
        self._share = FleetTrafficRatio()
        self._performance = EnginePerformance(shape.stride)
        self._split = EnginePartition(shape.slots, self._performance)
        self._waits = QueueingDelays()
        self._stay = 0.0
        self._flows = ArrivalRates()
        self._peers = PeerWork()
        self._own = OwnWork()

    @property
    def performance(self) -> EnginePerformance:
        """Speeds of the engines, as learnt so far."""
        return self._performance

    @property
    def in_flight(self) -> int:
        """Requests of this entry at engines of the service."""
        return len(self._sent)

    def choose(
        self,
        call: RequestHead,
        objective: LatencyObjective,
        urgency: Urgency,
        upstreams: Sequence[DirectUpstream],
        now: float,
    ) -> EngineChoice | None:
        """Returns the engine for a request; None where all are held out.

        Args:
            call: The request.
            objective: What its stream bears.
            urgency: Its urgency, by which engines order what waits.
            upstreams: Engines that may get new work.
            now: Seconds on the boot clock.
        """
        weighed = self._weigh(call, objective, urgency, upstreams, now)
        return min(weighed, key=lambda each: each.cost).choice if weighed else None

    def engines_to_query(
        self,
        call: RequestHead,
        objective: LatencyObjective,
        urgency: Urgency,
        upstreams: Sequence[DirectUpstream],
        now: float,
    ) -> list[DirectUpstream]:
        """Returns the engines whose load should be asked before `choose`, with the same arguments.

        A long prompt that waits for others is worth a few questions: the engines where its shared
        parts are kept, and the one that looks best. Their number follows that of the requests, not
        the product of entries and engines.
        """
        self._least_urgent = max(self._least_urgent, urgency)
        if call.prompt_tokens < LEAST_ASKED_TOKENS or urgency < self._least_urgent:
            return []
        if self.has_peer_reports(now):
            return []
        weighed = self._weigh(call, objective, urgency, upstreams, now)
        homes = nsmallest(HOMES, weighed, key=lambda each: each.home_rank)
        cheapest = sorted(weighed, key=lambda each: each.cost)
        candidates = dict.fromkeys(each.choice.upstream for each in (*homes, *cheapest))
        return [
            each
            for each in list(candidates)[:MOST_ASKED]
            if now - self._loads.get(each.name, (None, -math.inf))[1] > ASKED_AGAIN_SECONDS
        ]

    def _weigh(
        self,
        call: RequestHead,
        objective: LatencyObjective,
        urgency: Urgency,
        upstreams: Sequence[DirectUpstream],
        now: float,
    ) -> list[_Weighed]:
        """Returns the engines that may take a request, with their costs in seconds."""
        usable = [each for each in upstreams if self._health.is_available(each.name, now)]
        if not usable:
            return []
        # Divided before those held out are left out, so that the others keep their kinds.
        part = {each.name for each in self._split.part(objective, upstreams, now)}
        self._rng.shuffle(usable)
        keys = prefix_keys(call.model, call.prompt)
        shared = _shared_key(call, keys)
        homes = nsmallest(
            HOMES,
            usable,
            key=lambda each: (each.name not in part, -rendezvous_weight(shared, each.name)),
        )
        rank = {each.name: place for place, each in enumerate(homes)}
        shared_tokens = sum(tokens for _, tokens in keys[:-1])
        kept = {each.name: self._cache(each.name).cached_tokens(keys) for each in usable}
        unkept = shared_tokens - min(shared_tokens, max(kept.values()))
        usable = _candidates(usable, homes, kept, part)
        names = [each.name for each in usable]
        delays = self._waits.delays(names, urgency, now)
        scale = self._peers.scale(now)
        own, residual = (
            own_parts(names, self._sent.values(), urgency),
            self._performance.turn_tokens,
        )
        if scale is None:
            backlogs = likely_backlogs(own, self._share.ratio(), residual)
        else:
            backlogs = told_backlogs(own, self._peers, scale, urgency, residual)
        reading, crowd = (
            self._performance.prefill_token_seconds,
            CROWD_TOKENS * self._performance.output_token_seconds,
        )
        flows = self._hasty_flows(len(upstreams) - len(part), now)
        found = []
        for each in usable:
            prefill_tokens = max(0, call.prompt_tokens - kept[each.name])
            delay = max(backlogs[each.name].prefill_tokens * reading, delays[each.name])
            running, age = backlogs[each.name].requests, None
            if scale is None:
                delay, running, age = self._told(each.name, delay, running, urgency, now)
            delay += slot_wait(running, each.slots, self._stay)
            wait = self._performance.idle_first_token_seconds + delay + prefill_tokens * reading
            home_rank = rank.get(each.name, HOMES)
            at_preferred = home_rank == 0
            choice = EngineChoice(
                each, objective, urgency, prefill_tokens, delay, wait, age, at_preferred
            )
            missing = shared_tokens - min(shared_tokens, kept[each.name])
            again = self._read_again(missing, unkept, home_rank, scale is not None)
            cost = wait + running * crowd + self._extra(each, again * reading)
            late = late_chance(wait, objective.first_event)
            if each.name not in part:
                late += self._crossing(objective, prefill_tokens * reading, flows)
            cost += LATE_SECONDS * late
            found.append(_Weighed(choice, cost, home_rank))
        return found

    @staticmethod
    def _read_again(missing: int, unkept: int, home_rank: int, has_peer_reports: bool) -> float:
        """Returns the tokens of shared parts that count as read again at an engine.

        Args:
            missing: Tokens of shared parts that the engine is not known to keep.
            unkept: Those of them that no engine is known to keep.
            home_rank: Rank of the engine among the homes of the parts.
            has_peer_reports: True where other entries tell what they had read.
        """
        share = STRANGE_SHARES.get(home_rank, 1.0)
        if not has_peer_reports:
            return missing * share * GUESSED_SHARE
        # What no engine keeps is read once wherever it goes; at home all entries agree on where.
        return missing - unkept + unkept * share

    def _hasty_flows(self, others: int, now: float) -> list[tuple[LatencyObjective, float]]:
        """Returns the streams that bear no reading, and how many a second one engine gets.

        Args:
            others: Engines of the other kind than the request's.
            now: Seconds on the boot clock.
        """
        each_engine = self._share.ratio() / max(1, others)
        return [
            (each, self._flows.per_second(each, now) * each_engine)
            for each in self._flows.known()
            if not self._performance.tolerates_prefill(each)
        ]

    def _crossing(
        self,
        objective: LatencyObjective,
        reading: float,
        flows: Sequence[tuple[LatencyObjective, float]],
    ) -> float:
        """Returns the requests that are late because this one goes to engines of the other kind.

        Args:
            objective: What its stream bears.
            reading: Seconds for which its prompt is read.
            flows: The streams that bear no reading, and how many a second one engine gets.
        """
        if not self._performance.tolerates_prefill(objective):
            return self._performance.late_share_during_prefill(objective)
        paused = sum(
            rate * self._stay * self._performance.late_gap_share(each)
            for each, rate in flows
            if reading > each.event_gap > 0
        )
        return paused + made_late(reading, self._performance.idle_first_token_seconds, flows)

    def begin(self, choice: EngineChoice, call: RequestHead, now: float) -> None:
        """Takes in that a request goes to an engine."""
        name = choice.upstream.name
        keys = prefix_keys(call.model, call.prompt)
        self._cache(name).add(keys)
        self._own.placed(name, keys)
        own = min(choice.prefill_tokens, call.prompt[-1].tokens) if call.prompt else 0
        self._sent[call.request_id] = SentRequest(
            name,
            choice.urgency,
            choice.prefill_tokens,
            own,
            now,
            choice.objective,
            choice.at_preferred,
        )
        self._performance.record_prompt(own if choice.at_preferred else choice.prefill_tokens)
        reading = choice.prefill_tokens * self._performance.prefill_token_seconds
        if choice.urgency >= self._least_urgent:
            share = READING_WEIGHT if self._reading else 1.0
            self._reading += share * (reading - self._reading)
        self._waits.sent(
            name,
            call.request_id,
            reading + self._performance.idle_first_token_seconds,
            choice.urgency,
            now,
        )
        self._flows.sent(choice.objective, now)
        self._split.observe(choice.objective, reading, _answer_tokens(call), now)

    def record_events(self, request_id: str, count: int, now: float) -> None:
        """Takes in that events of a stream came; the first shows that the request began to run."""
        sent = self._sent.get(request_id)
        if sent is None:
            return
        if sent.event_at is not None:
            if count:
                pause = now - sent.event_at
                self._performance.record_gap(pause, count)
                sent.events += count
                sent.longest_pause = max(sent.longest_pause, pause / count)
                sent.event_at = now
            return
        sent.event_at = now
        self._waits.started(sent.upstream, request_id, now)
        seconds = now - sent.sent_at
        self._performance.record_first_token(
            sent.urgency, sent.prefill_tokens, sent.own, sent.at_preferred, seconds, now
        )

    def end(self, request_id: str, now: float) -> None:
        """Takes in that a request left its engine."""
        sent = self._sent.pop(request_id, None)
        if sent is None:
            return
        self._waits.ended(sent.upstream, request_id)
        self._performance.record_stream_end(sent.objective, sent.longest_pause, sent.events)
        if sent.started:
            share = STAY_WEIGHT if self._stay else 1.0
            self._stay += share * (now - sent.sent_at - self._stay)

    def report(self, name: str, load: UpstreamLoad, now: float) -> None:
        """Takes in a load that an engine told."""
        self._loads[name] = (load, now)
        mine = sum(each.upstream == name for each in self._sent.values())
        if mine:
            self._share.record_report(mine, load.running + load.waiting)

    def forget(self, name: str) -> None:
        """Drops an engine that is gone or started anew."""
        for known in (self._caches, self._loads):
            known.pop(name, None)
        self._waits.forget(name)

    def set_peers(self, peers: Collection[str]) -> None:
        """Takes in which other entries there are."""
        self._peers.set_peers(len(peers))
        self._performance.retain_peers(peers)

    def has_peer_reports(self, now: float) -> bool:
        """Returns True where enough other entries were heard to go by what they tell."""
        return self._peers.scale(now) is not None

    def build_notice(self, service: str) -> WorkNotice | None:
        """Returns what is to be told to the other entries; None where nothing changed.

        Args:
            service: Name of the service.
        """
        requests = (
            (each.upstream, each.urgency, 0 if each.started else each.prefill_tokens)
            for each in self._sent.values()
        )
        changes = self._own.changes(requests)
        return WorkNotice(service, *self._performance.own_estimates, *changes) if changes else None

    def apply_notice(
        self, sender: str, notice: WorkNotice, engines: Collection[str], now: float
    ) -> None:
        """Takes in what another entry told.

        Args:
            sender: Which entry.
            notice: What it told.
            engines: Engines of the service that this entry knows; what is told of others is
                dropped.
            now: Seconds on the boot clock.
        """
        self._peers.take(sender, notice.work, now)
        self._performance.record_peer_estimates(sender, notice.reading, notice.pause)
        for number, placed in enumerate(notice.placements):
            if placed.upstream not in engines:
                continue
            # The own part takes memory too, though nobody else will ask for it.
            own = (f"{sender}/{now}/{number}", placed.own_tokens)
            self._cache(placed.upstream).add([*placed.parts, own])

    def _told(
        self, name: str, delay: float, running: float, urgency: Urgency, now: float
    ) -> tuple[float, float, float | None]:
        """Returns delay and running requests, corrected by the last report, and its age."""
        if name not in self._loads:
            return delay, running, None
        load, at = self._loads[name]
        fresh = max(0.0, 1.0 - (now - at) / REPORT_SECONDS)
        known = max(0.0, 1.0 - (now - at) / RUNNING_SECONDS)
        running += known * (load.running + load.waiting - running)
        # Those who are more urgent than others overtake a part of what waits.
        if urgency >= self._least_urgent:
            delay += fresh * (load.waiting * self._reading - delay)
        return delay, running, now - at

    def _extra(self, upstream: DirectUpstream, reading_again: float) -> float:
        away = 0.0 if upstream.zone == self._zone else OTHER_ZONE_SECONDS
        return (
            away
            + REREAD_WEIGHT * reading_again
            + FAILURE_SECONDS * self._health.failure_share(upstream.name)
        )

    def _cache(self, name: str) -> PrefixCacheModel:
        if name not in self._caches:
            self._caches[name] = PrefixCacheModel(self._shape.kv_cache_tokens)
        return self._caches[name]


def _candidates(
    shuffled: Sequence[DirectUpstream],
    homes: Sequence[DirectUpstream],
    kept: Mapping[str, int],
    part: Collection[str],
) -> Sequence[DirectUpstream]:
    """Returns the engines that are weighed: all of a small fleet, a few of a large one.

    Of a large fleet these are homes, engines that keep most of the prompt, and a random sample of
    either side of the border. The best of a few dozen is hardly worse than the best of all (Azar,
    Broder, Karlin and Upfal, 1994), and the cost of a choice does not follow the fleet's size.

    Load pattern: hundreds of engines of one service, ten long prompts a second at an entry.

    Args:
        shuffled: Engines in random order.
        homes: Homes of the prompt's shared parts.
        kept: Tokens of the prompt that each engine keeps.
        part: Names of the engines on the request's side of the border.
    """
    if len(shuffled) <= MOST_WEIGHED:
        return shuffled
    keepers = nlargest(MOST_KEEPERS, shuffled, key=lambda each: kept[each.name])
    inside = [each for each in shuffled if each.name in part]
    outside = [each for each in shuffled if each.name not in part]
    half = (MOST_WEIGHED - MOST_KEEPERS - HOMES) // 2
    chosen = [*homes, *keepers, *inside[:half], *outside[:half]]
    return list({each.name: each for each in chosen}.values())


def slot_wait(requests: float, slots: int, stay: float) -> float:
    """Returns the seconds until an engine's batch has room for one more request.

    Load pattern: a burst of long answers; engines with idle slots stand beside full ones.

    Args:
        requests: Requests that the engine has, running or waiting.
        slots: Requests in one batch.
        stay: Mean seconds that a request stays.
    """
    return max(0.0, requests + 1 - slots) * stay / max(1, slots)


def _answer_tokens(call: RequestHead) -> int:
    """Returns the tokens that an answer is likely to have."""
    if call.expected_output_tokens is None:
        return call.max_output_tokens
    return min(call.expected_output_tokens, call.max_output_tokens)


def _shared_key(call: RequestHead, keys: Sequence[tuple[str, int]]) -> str:
    """Returns the key of the parts of a prompt that other requests share."""
    return keys[-2][0] if len(keys) > 1 else call.request_id
