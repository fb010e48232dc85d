"""Selects the engine of a service for each request, by the expected cost of its prefill.

A request goes to an engine that has its shared prefix segments cached, unless the queueing delay
there exceeds what a repeated prefill elsewhere would cost the fleet. A segment that no engine has
cached goes to its preferred engine: the one that rendezvous hashing names, the same at every entry.

Motivating load: bursts of long prompts with shared segments, from many entries with stale reports.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from heapq import nsmallest
from random import Random

from bilberryplank_core._direct_types import (
    DirectUpstream,
    EngineCapacity,
    RequestHead,
    UpstreamLoad,
)
from bilberryplank_core._rendezvous import rendezvous_weight
from bilberryplank_core._upstream_health import UpstreamHealth
from bilberryplank_core.eligibility._cold_upstreams import SendRule, always
from bilberryplank_core.engines._engine_backlogs import (
    SentRequest,
    extrapolated_backlogs,
    local_backlogs,
    reported_backlogs,
)
from bilberryplank_core.engines._engine_choice import (
    EngineCandidate,
    EngineChoice,
    answer_tokens,
    slot_wait,
)
from bilberryplank_core.engines._engine_paces import EnginePaces
from bilberryplank_core.engines._engine_partition import EnginePartition
from bilberryplank_core.engines._engine_performance import EnginePerformance, LatencyObjective
from bilberryplank_core.engines._engine_sampling import (
    LOAD_QUERY_INTERVAL_SECONDS,
    MAX_QUERIED_ENGINES,
    MIN_QUERY_PROMPT_TOKENS,
    PREFERRED_ENGINES,
    sample_engines,
)
from bilberryplank_core.engines._fleet_traffic import FleetTrafficRatio
from bilberryplank_core.engines._lateness_cost import (
    LATE_REQUEST_COST_SECONDS,
    ArrivalRates,
    expected_late_requests,
    late_probability,
)
from bilberryplank_core.engines._own_work import OwnWork
from bilberryplank_core.engines._peer_work import PeerWork, WorkNotice
from bilberryplank_core.engines._placement_cost import placement_cost, repeated_prefill_tokens
from bilberryplank_core.engines._prefix_cache_model import (
    PrefixCacheModel,
    prefix_keys,
    shared_prefix_key,
)
from bilberryplank_core.engines._queueing_delays import QueueingDelays, Urgency

LOAD_REPORT_SECONDS = 1.0
"""The weight of a reported load falls with its age and is zero after this time."""

PREFILL_EWMA_WEIGHT = 0.05
"""Weight of one request in the mean prefill time of waiting requests."""

RUNNING_REQUEST_COST_TOKENS = 0.2
"""Cost of each request that runs at an engine, as a multiple of the time of an output token: it
slows all others."""

SERVICE_TIME_EWMA_WEIGHT = 0.02
"""Weight of one request in the mean time that requests spend in an engine's batch."""

RUNNING_REPORT_SECONDS = 3.0
"""The weight of a reported number of running requests falls with its age and is zero after this
time: requests run for seconds, so it changes more slowly than the queue."""


class EngineSelector:
    """Selects among the engines of one service, and keeps what one entry knows of them.

    Args:
        zone: Availability zone of the entry.
        capacity: Capacity of each engine.
        health: Tells which upstreams are ejected.
        rng: Breaks ties.
        may_send: Returns False for an engine that this entry must send nothing to now.
    """

    __slots__ = (
        "_engine_caches",
        "_arrival_rates",
        "_health",
        "_least_urgent",
        "_loads",
        "_may_send",
        "_own_work",
        "_paces",
        "_performance",
        "_peer_work",
        "_mean_prefill_seconds",
        "_fleet_traffic_ratio",
        "_rng",
        "_in_flight_requests",
        "_capacity",
        "_partition",
        "_mean_service_seconds",
        "_queueing_delays",
        "_zone",
    )

    def __init__(
        self,
        zone: str,
        capacity: EngineCapacity,
        health: UpstreamHealth,
        rng: Random,
        may_send: SendRule = always,
    ) -> None:
        self._may_send = may_send
        self._zone = zone
        self._capacity = capacity
        self._health = health
        self._rng = rng
        self._engine_caches: dict[str, PrefixCacheModel] = {}
        self._loads: dict[str, tuple[UpstreamLoad, float]] = {}
        self._in_flight_requests: dict[str, SentRequest] = {}
        self._least_urgent: Urgency = (0, 0)
        self._mean_prefill_seconds = 0.0
        self._fleet_traffic_ratio = FleetTrafficRatio()
        self._performance = EnginePerformance(capacity.stride)
        self._partition = EnginePartition(capacity.slots, self._performance)
        self._queueing_delays = QueueingDelays()
        self._mean_service_seconds = 0.0
        self._arrival_rates = ArrivalRates()
        self._peer_work = PeerWork()
        self._own_work = OwnWork()
        self._paces = EnginePaces()

    @property
    def performance(self) -> EnginePerformance:
        """Performance estimates of the engines."""
        return self._performance

    @property
    def in_flight(self) -> int:
        """Number of this entry's requests at engines of the service."""
        return len(self._in_flight_requests)

    def choose(
        self,
        call: RequestHead,
        objective: LatencyObjective,
        urgency: Urgency,
        upstreams: Sequence[DirectUpstream],
        now: float,
    ) -> EngineChoice | None:
        """Returns the engine for a request; None where all are ejected.

        Args:
            call: The request.
            objective: Latency objective of its stream.
            urgency: Its urgency, by which engines order their queues.
            upstreams: Engines that may get new work.
            now: Seconds on the boot clock.
        """
        candidates = self._candidates_for(call, objective, urgency, upstreams, now)
        return min(candidates, key=lambda candidate: candidate.cost).choice if candidates else None

    def engines_to_query(
        self,
        call: RequestHead,
        objective: LatencyObjective,
        urgency: Urgency,
        upstreams: Sequence[DirectUpstream],
        now: float,
    ) -> list[DirectUpstream]:
        """Returns the engines to query for their load before `choose`, with the same arguments.

        A long prompt that may have to queue is worth a few load queries: the engines that probably
        have its shared segments cached, and the one of lowest cost. The number of queries grows
        with the requests, not with the product of entries and engines.
        """
        self._least_urgent = max(self._least_urgent, urgency)
        if call.prompt_tokens < MIN_QUERY_PROMPT_TOKENS or urgency < self._least_urgent:
            return []
        if self.has_peer_reports(now):
            return []
        candidates = self._candidates_for(call, objective, urgency, upstreams, now)
        preferred = nsmallest(
            PREFERRED_ENGINES, candidates, key=lambda candidate: candidate.preference_rank
        )
        cheapest = sorted(candidates, key=lambda candidate: candidate.cost)
        queried = dict.fromkeys(candidate.choice.upstream for candidate in (*preferred, *cheapest))
        return [
            engine
            for engine in list(queried)[:MAX_QUERIED_ENGINES]
            if now - self._loads.get(engine.name, (None, -math.inf))[1]
            > LOAD_QUERY_INTERVAL_SECONDS
        ]

    def _candidates_for(
        self,
        call: RequestHead,
        objective: LatencyObjective,
        urgency: Urgency,
        upstreams: Sequence[DirectUpstream],
        now: float,
    ) -> list[EngineCandidate]:
        """Returns the engines that may get a request, with their expected cost in seconds."""
        engines = [
            engine
            for engine in upstreams
            if self._health.is_available(engine.name, now) and self._may_send(engine, now)
        ]
        if not engines:
            return []
        # Partitioned with the ejected engines, so that the others do not change sides.
        partition = {
            engine.name for engine in self._partition.engines_for(objective, upstreams, now)
        }
        self._rng.shuffle(engines)
        prefix_segments = prefix_keys(call.model, call.prompt)
        shared_key = shared_prefix_key(call, prefix_segments)
        preferred = nsmallest(
            PREFERRED_ENGINES,
            engines,
            key=lambda engine: (
                engine.name not in partition,
                -rendezvous_weight(shared_key, engine.name),
            ),
        )
        preference_ranks = {engine.name: rank for rank, engine in enumerate(preferred)}
        shared_tokens = sum(tokens for _, tokens in prefix_segments[:-1])
        cached = {
            engine.name: self._engine_cache(engine.name).cached_tokens(prefix_segments)
            for engine in engines
        }
        uncached = shared_tokens - min(shared_tokens, max(cached.values()))
        engines = sample_engines(engines, preferred, cached, partition)
        names = [engine.name for engine in engines]
        delays = self._queueing_delays.estimate(names, urgency, now)
        scale = self._peer_work.refresh_scale(now)
        own_backlogs = local_backlogs(names, self._in_flight_requests.values(), urgency)
        residual_tokens = self._performance.turn_tokens
        if scale is None:
            backlogs = extrapolated_backlogs(
                own_backlogs, self._fleet_traffic_ratio.ratio(), residual_tokens
            )
        else:
            backlogs = reported_backlogs(
                own_backlogs, self._peer_work, scale, urgency, residual_tokens
            )
        token_seconds = self._performance.prefill_token_seconds
        running_request_cost = RUNNING_REQUEST_COST_TOKENS * self._performance.output_token_seconds
        rates = self._latency_sensitive_rates(len(upstreams) - len(partition), now)
        paces = self._paces.ratios(names, now)
        candidates = []
        for engine in engines:
            pace = paces[engine.name]
            engine_token_seconds = token_seconds * pace
            prefill_tokens = max(0, call.prompt_tokens - cached[engine.name])
            delay = max(
                backlogs[engine.name].prefill_tokens * engine_token_seconds, delays[engine.name]
            )
            running, load_age = backlogs[engine.name].requests, None
            if scale is None:
                delay, running, load_age = self._apply_load_report(
                    engine.name, delay, running, urgency, now
                )
            delay += slot_wait(running, engine.slots, self._mean_service_seconds * pace)
            wait = (
                self._performance.idle_first_token_seconds * pace
                + delay
                + prefill_tokens * engine_token_seconds
            )
            preference_rank = preference_ranks.get(engine.name, PREFERRED_ENGINES)
            at_preferred = preference_rank == 0
            choice = EngineChoice(
                engine, objective, urgency, prefill_tokens, delay, wait, load_age, at_preferred
            )
            missing = shared_tokens - min(shared_tokens, cached[engine.name])
            repeated_tokens = repeated_prefill_tokens(
                missing, uncached, preference_rank, scale is not None
            )
            cost = (
                wait
                + running * running_request_cost * pace
                + placement_cost(
                    engine.zone == self._zone,
                    repeated_tokens * engine_token_seconds,
                    self._health.failure_share(engine.name),
                )
            )
            late_requests = late_probability(wait, objective.first_event)
            if engine.name not in partition:
                late_requests += expected_late_requests(
                    self._performance,
                    objective,
                    prefill_tokens * engine_token_seconds,
                    rates,
                    self._mean_service_seconds,
                )
            cost += LATE_REQUEST_COST_SECONDS * late_requests
            candidates.append(EngineCandidate(choice, cost, preference_rank))
        return candidates

    def _latency_sensitive_rates(
        self, others: int, now: float
    ) -> list[tuple[LatencyObjective, float]]:
        """Returns latency-sensitive objectives with their arrivals per second at one engine.

        Args:
            others: Number of engines on the other side of the partition than the request.
            now: Seconds on the boot clock.
        """
        engine_factor = self._fleet_traffic_ratio.ratio() / max(1, others)
        return [
            (objective, self._arrival_rates.per_second(objective, now) * engine_factor)
            for objective in self._arrival_rates.objectives()
            if not self._performance.tolerates_prefill(objective)
        ]

    def begin(self, choice: EngineChoice, call: RequestHead, now: float) -> None:
        """Records that a request was sent to an engine."""
        name = choice.upstream.name
        prefix_segments = prefix_keys(call.model, call.prompt)
        self._engine_cache(name).add(prefix_segments)
        self._own_work.record_placement(name, prefix_segments)
        unshared_tokens = min(choice.prefill_tokens, call.prompt[-1].tokens) if call.prompt else 0
        self._in_flight_requests[call.request_id] = SentRequest(
            name,
            choice.urgency,
            choice.prefill_tokens,
            unshared_tokens,
            now,
            choice.objective,
            choice.at_preferred,
        )
        self._performance.record_prompt(
            unshared_tokens if choice.at_preferred else choice.prefill_tokens
        )
        prefill_seconds = choice.prefill_tokens * self._performance.prefill_token_seconds
        if choice.urgency >= self._least_urgent:
            weight = PREFILL_EWMA_WEIGHT if self._mean_prefill_seconds else 1.0
            self._mean_prefill_seconds += weight * (prefill_seconds - self._mean_prefill_seconds)
        self._queueing_delays.record_sent(
            name,
            call.request_id,
            prefill_seconds + self._performance.idle_first_token_seconds,
            choice.urgency,
            now,
        )
        self._arrival_rates.record_sent(choice.objective, now)
        self._partition.record_request(choice.objective, prefill_seconds, answer_tokens(call), now)

    def record_events(self, request_id: str, count: int, now: float) -> None:
        """Records events of a stream; the first event shows that the request runs."""
        request = self._in_flight_requests.get(request_id)
        if request is None:
            return
        if request.event_at is not None:
            if count:
                gap = now - request.event_at
                self._performance.record_gap(gap, count)
                request.events += count
                request.longest_gap = max(request.longest_gap, gap / count)
                request.event_at = now
            return
        request.event_at = now
        self._queueing_delays.record_first_token(request.upstream, request_id, now)
        seconds = now - request.sent_at
        self._performance.record_first_token(
            request.urgency,
            request.prefill_tokens,
            request.unshared_tokens,
            request.at_preferred,
            seconds,
            now,
        )

    def end(self, request_id: str, now: float) -> None:
        """Records that a request left its engine."""
        request = self._in_flight_requests.pop(request_id, None)
        if request is None:
            return
        self._queueing_delays.record_end(request.upstream, request_id)
        self._performance.record_stream_end(request.objective, request.longest_gap, request.events)
        if request.started:
            weight = SERVICE_TIME_EWMA_WEIGHT if self._mean_service_seconds else 1.0
            self._mean_service_seconds += weight * (
                now - request.sent_at - self._mean_service_seconds
            )

    def report(self, name: str, load: UpstreamLoad, now: float) -> None:
        """Records a load that an engine reported."""
        self._loads[name] = (load, now)
        if load.pace is not None:
            self._paces.record(name, load.pace, now)
        own_requests = sum(
            request.upstream == name for request in self._in_flight_requests.values()
        )
        if own_requests:
            self._fleet_traffic_ratio.record_report(own_requests, load.running + load.waiting)

    def forget(self, name: str) -> None:
        """Drops the state of an engine that is gone or was restarted."""
        for states in (self._engine_caches, self._loads):
            states.pop(name, None)
        self._paces.forget(name)
        self._queueing_delays.forget(name)

    def retain(self, names: Collection[str]) -> None:
        """Drops the states of all other engines; a late answer may have left some."""
        known = {
            *self._engine_caches,
            *self._loads,
            *self._paces.engines(),
            *self._queueing_delays.engines(),
        }
        for name in known - set(names):
            self.forget(name)

    def set_peers(self, peers: Collection[str]) -> None:
        """Sets the other entries of the fleet."""
        self._peer_work.set_peers(len(peers))
        self._performance.retain_peers(peers)

    def has_peer_reports(self, now: float) -> bool:
        """Returns True where notices of enough peers are fresh to rely on them."""
        return self._peer_work.refresh_scale(now) is not None

    def build_notice(self, service: str) -> WorkNotice | None:
        """Returns the peer notice about this entry's work; None where nothing changed.

        Args:
            service: Name of the service.
        """
        requests = (
            (
                request.upstream,
                request.urgency,
                0 if request.started else request.prefill_tokens,
            )
            for request in self._in_flight_requests.values()
        )
        changes = self._own_work.take_changes(requests)
        return WorkNotice(service, *self._performance.own_estimates, *changes) if changes else None

    def apply_notice(
        self, sender: str, notice: WorkNotice, engines: Collection[str], now: float
    ) -> None:
        """Records the notice of another entry.

        Args:
            sender: The other entry.
            notice: Its notice.
            engines: Engines of the service that this entry knows; placements at others are
                dropped.
            now: Seconds on the boot clock.
        """
        self._peer_work.record_notice(sender, notice.work, now)
        self._performance.record_peer_estimates(
            sender, notice.prefill_token_seconds, notice.prefill_gap_seconds
        )
        for index, placement in enumerate(notice.placements):
            if placement.upstream not in engines:
                continue
            # The unshared segment takes cache memory too, though no other request reuses it.
            unshared_segment = (f"{sender}/{now}/{index}", placement.unshared_tokens)
            self._engine_cache(placement.upstream).add(
                [*placement.shared_segments, unshared_segment]
            )

    def _apply_load_report(
        self, name: str, delay: float, running: float, urgency: Urgency, now: float
    ) -> tuple[float, float, float | None]:
        """Returns delay and running requests, corrected by the last load report, and its age."""
        if name not in self._loads:
            return delay, running, None
        load, reported_at = self._loads[name]
        queue_weight = max(0.0, 1.0 - (now - reported_at) / LOAD_REPORT_SECONDS)
        running_weight = max(0.0, 1.0 - (now - reported_at) / RUNNING_REPORT_SECONDS)
        running += running_weight * (load.running + load.waiting - running)
        # More urgent requests overtake part of the queue: its length does not tell their delay.
        if urgency >= self._least_urgent:
            delay += queue_weight * (load.waiting * self._mean_prefill_seconds - delay)
        return delay, running, now - reported_at

    def _engine_cache(self, name: str) -> PrefixCacheModel:
        if name not in self._engine_caches:
            self._engine_caches[name] = PrefixCacheModel(self._capacity.kv_cache_tokens)
        return self._engine_caches[name]
