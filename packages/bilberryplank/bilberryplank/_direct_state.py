"""What the parts of a direct entry share: routes, upstreams, and what is known of them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from loguru import logger

from bilberryplank._clocks import boot_time
from bilberryplank._logs import log_event
from bilberryplank_core.direct import (
    SLOW_LINK_BYTES_PER_SECOND,
    DirectUpstream,
    EngineSelector,
    FleetClock,
    FleetMembers,
    FreshnessTracker,
    Outcome,
    RegistryChange,
    ResponseHead,
    RouteIndex,
    UpstreamHealth,
    UpstreamLoad,
    UpstreamRegistry,
    UpstreamSelector,
    WindowRetryBudget,
    WorkNotice,
    is_significant_change,
)
from bilberryplank_core.eligibility import (
    ColdLimits,
    ColdUpstreams,
    ZoneEvacuations,
    is_at_home,
)
from bilberryplank_core.settings import DirectEntrySettings

MS_PER_SECOND = 1000

Board = EngineSelector | UpstreamSelector


class DirectState:
    """State of a direct entry.

    Attributes:
        freshness_tracker: Age of the configuration.
        cold: Which upstreams are cold, and may be sent little.
        evacuations: Zones whose upstreams get no new work.
        health: Which upstreams are held out.
        members: The entries of the fleet.
        rng: Random source of the process.
        registry: The upstreams.
        routes: Index of the configuration in force; None before the first.
    """

    def __init__(self, settings: DirectEntrySettings, rng: Random, fleet_clock: FleetClock) -> None:
        self._fleet_clock = fleet_clock
        factor = settings.cold_rate_factor
        limits = None if factor is None else ColdLimits(factor, settings.cold_allowance)
        self.cold = ColdUpstreams(limits, boot_time(), self._rank)
        self.evacuations = ZoneEvacuations()
        self.freshness_tracker = FreshnessTracker(settings.sure_limit, settings.stale_limit)
        self.health = UpstreamHealth()
        link_rate = settings.link_rate or math.inf
        self.members = FleetMembers(settings.name, link_rate < SLOW_LINK_BYTES_PER_SECOND)
        self.rng = rng
        self.routes: RouteIndex | None = None
        self._boards: dict[str, Board] = {}
        self._told_paces: dict[str, tuple[float, ...]] = {}
        self._hears_peers: dict[str, bool] = {}
        self._budgets: dict[str, WindowRetryBudget] = {}
        self.registry = UpstreamRegistry()
        self._settings = settings

    def apply_settings(self, settings: DirectEntrySettings) -> None:
        """Takes in changed settings."""
        self._settings = settings
        self.freshness_tracker.set_limits(settings.sure_limit, settings.stale_limit)

    def apply_configuration(self, routes: RouteIndex) -> None:
        """Takes in a newer configuration, and forgets services that it drops."""
        cfg, self.routes = routes.configuration, routes
        self.cold.apply_services(cfg.services.values())
        for service in self._boards.keys() - cfg.services.keys():
            if not self._boards[service].in_flight:
                del self._boards[service]
        for records in (self._budgets, self._hears_peers, self._told_paces):
            for service in records.keys() - cfg.services.keys():
                del records[service]

    def apply_roster(self, change: RegistryChange) -> None:
        """Forgets what was known of upstreams that are gone or started anew."""
        for upstream in change.gone:
            self.cold.forget(upstream.name)
        for upstream in change.joined:
            self._take_start(upstream)
        for upstream in (*change.joined, *change.gone):
            self.health.forget(upstream.name)
            board = self._boards.get(upstream.service)
            if board is not None:
                board.forget(upstream.name)
        known = self.registry.upstreams
        self.cold.retain(known)
        self.health.retain(known)
        for board in self._boards.values():
            board.retain(known)

    def upstreams(self, service: str) -> list[DirectUpstream]:
        """Returns the upstreams of a service that may get new work."""
        available = self.registry.available(service)
        evacuated = self.evacuations.zones(boot_time())
        if not evacuated:
            return available
        return [each for each in available if each.zone not in evacuated]

    def eligible(self, service: str, regions: frozenset[str] | None) -> list[DirectUpstream]:
        """Returns those of them that are at home for a request.

        Args:
            service: Name of the service.
            regions: Regions in which the request may be served; None for any.
        """
        upstreams = self.upstreams(service)
        if regions is None:
            return upstreams
        known = self._settings.region_by_zone
        return [each for each in upstreams if is_at_home(each.zone, regions, known)]

    def take_rows(self, upstreams: Iterable[DirectUpstream]) -> None:
        """Takes in what upstreams say of themselves in rows that were just read."""
        now = boot_time()
        for upstream in upstreams:
            if self.cold.record_row(upstream, now):
                self._turned_cold(upstream, "row")

    def note_sent(self, upstream: DirectUpstream, now: float) -> None:
        """Takes in that a request goes to an upstream."""
        self.health.record_sent(upstream.name, now)
        self.cold.record_sent(upstream, now)

    def evacuations_changed(self, before: set[str]) -> None:
        """Takes in that other zones are evacuated than before."""
        now = boot_time()
        after = self.evacuations.zones(now)
        for zone in after - before:
            log_event(logger, "zone_evacuated", level="WARNING", zone=zone)
        for zone in before - after:
            returned = [each for each in self.registry.upstreams.values() if each.zone == zone]
            self.cold.record_taken_back(returned, now)
            log_event(logger, "zone_taken_back", zone=zone, upstreams=len(returned))

    def describe_barred(self, service: str) -> str:
        """Returns how many upstreams of a service are barred, and by what, for messages."""
        now = boot_time()
        known = self.registry.available(service)
        zones = self.evacuations.zones(now)
        evacuated = sum(each.zone in zones for each in known)
        cold = sum(self.cold.is_cold(each.name, now) for each in known)
        return f"of {len(known)} known {evacuated} are in evacuated zones and {cold} are cold"

    def _rank(self, job: str) -> int | None:
        return None if self.members.size is None else self.members.rank(job)

    def _take_start(self, upstream: DirectUpstream) -> None:
        true_time = self._fleet_clock.now()
        age = None
        if true_time is not None and upstream.started_at is not None:
            age = true_time - upstream.started_at / MS_PER_SECOND
        if self.cold.record_start(upstream, age, boot_time()):
            self._turned_cold(upstream, "start")

    def _turned_cold(self, upstream: DirectUpstream, told_by: str) -> None:
        """What a cold upstream had in its prefix cache is taken for gone."""
        board = self._boards.get(upstream.service)
        if board is not None:
            board.forget(upstream.name)
        log_event(
            logger,
            "upstream_cold",
            upstream=upstream.name,
            service=upstream.service,
            zone=upstream.zone,
            told_by=told_by,
            remaining=round(upstream.cold_remaining, 2),
        )

    def board(self, service: str) -> Board:
        """Returns what is known of the upstreams of a service."""
        if service not in self._boards:
            self._boards[service] = self._new_board(service)
        return self._boards[service]

    def budget(self, service: str) -> WindowRetryBudget:
        """Returns the budget of further attempts for a service."""
        if service not in self._budgets:
            cfg = self._settings.retries
            budget = WindowRetryBudget(cfg.retry_ratio, cfg.window, self._allowance())
            self._budgets[service] = budget
        return self._budgets[service]

    def work_notices(self) -> list[WorkNotice]:
        """Returns what is to be told to the other entries of the work at engines."""
        told = [
            board.build_notice(service)
            for service, board in self._boards.items()
            if isinstance(board, EngineSelector)
        ]
        return [each for each in told if each is not None]

    def heard_work(self, sender: str, notice: WorkNotice) -> None:
        """Takes in what another entry told of its work at engines."""
        known = self.routes.configuration.services.get(notice.service) if self.routes else None
        if known is None:
            return
        board = self.board(notice.service)
        if isinstance(board, EngineSelector):
            engines = {each.name for each in self.upstreams(notice.service)}
            board.apply_notice(sender, notice, engines, boot_time())

    def note_peers(self) -> None:
        """Logs where the other entries begin or cease to tell enough of their work."""
        for service, board in self._boards.items():
            if not isinstance(board, EngineSelector):
                continue
            hears = board.has_peer_reports(boot_time())
            if hears is not self._hears_peers.get(service, False):
                self._hears_peers[service] = hears
                log_event(
                    logger,
                    "peers_heard" if hears else "peers_silent",
                    service=service,
                    entries=len(self.members.addresses),
                )

    def members_changed(self) -> None:
        """Divides among another number of entries what all share."""
        self.cold.members_changed()
        for board in self._boards.values():
            if isinstance(board, EngineSelector):
                board.set_peers(self.members.addresses)
        for budget in self._budgets.values():
            budget.set_allowance(self._allowance())

    def _allowance(self) -> float:
        cfg = self._settings.retries
        return cfg.allowance / (self.members.size or cfg.entries)

    def record(self, upstream: DirectUpstream, outcome: Outcome, request_id: str) -> None:
        """Takes in how an attempt ended."""
        if outcome in (Outcome.NOT_REACHED, Outcome.UNKNOWN):
            self.cold.record_failure(upstream)
        if self.health.record(upstream.name, outcome, boot_time()):
            log_event(
                logger,
                "upstream_held_out",
                level="WARNING",
                upstream=upstream.name,
                outcome=outcome.value,
                request=request_id,
            )

    def heard(self, upstream: DirectUpstream, head: ResponseHead, request_id: str) -> None:
        """Takes in what the head of an upstream's answer says of the upstream itself."""
        if self.cold.record_answer(upstream, boot_time()):
            self._turned_cold(upstream, "answer")
        self.report(upstream, head.load)
        if head.leaving and self.registry.mark_leaving(upstream):
            log_event(
                logger,
                "upstream_leaving",
                upstream=upstream.name,
                service=upstream.service,
                started_at=upstream.started_at,
                request=request_id,
                told_by="answer",
            )
        if head.backoff_seconds is None:
            return
        granted = self.health.record_back_off(upstream.name, head.backoff_seconds, boot_time())
        log_event(
            logger,
            "upstream_rests",
            level="INFO" if granted == head.backoff_seconds else "WARNING",
            upstream=upstream.name,
            asked=head.backoff_seconds,
            seconds=granted,
            request=request_id,
        )

    def note_pace(self, service: str) -> None:
        """Logs the speeds of a service's engines where they are news."""
        board = self.board(service)
        if not isinstance(board, EngineSelector):
            return
        figures = board.performance.estimates()
        before = self._told_paces.get(service)
        if before is not None and not is_significant_change(before, figures):
            return
        self._told_paces[service] = figures
        reading, token, pause = figures
        log_event(
            logger,
            "engine_pace",
            service=service,
            tokens_read_a_second=round(1 / reading),
            token_seconds=round(token, 4),
            reading_pause_seconds=round(pause, 4),
            turn_tokens=round(board.performance.turn_tokens),
        )

    def backoff_left(self, service: str) -> float | None:
        """Returns the seconds until an upstream may be used, where all of a service rest."""
        names = [each.name for each in self.upstreams(service)]
        return self.health.backoff_left(names, boot_time())

    def report(self, upstream: DirectUpstream, load: UpstreamLoad | None) -> None:
        """Takes in a load that an upstream told; one that cannot be true changes nothing."""
        if load is None:
            return
        if not load.is_plausible(self._most_requests(upstream.service)):
            log_event(
                logger,
                "load_implausible",
                level="WARNING",
                upstream=upstream.name,
                running=load.running,
                waiting=load.waiting,
            )
            return
        self.board(upstream.service).report(upstream.name, load, boot_time())

    def _most_requests(self, service: str) -> int | None:
        """Returns the requests that an upstream can hold, as each has a connection of its own."""
        known = self.routes.configuration.services.get(service) if self.routes else None
        return known.max_connections if known else None

    def in_flight(self) -> int:
        """Returns the requests of this entry that hold a place at an upstream."""
        return sum(board.in_flight for board in self._boards.values())

    def _new_board(self, service: str) -> Board:
        zone = self._settings.zone
        known = self.routes.configuration.services.get(service) if self.routes else None
        shape = known.engine if known else None
        if shape is None:
            return UpstreamSelector(zone, self.health, self.rng, self.cold.may_send)
        board = EngineSelector(zone, shape, self.health, self.rng, self.cold.may_send)
        board.set_peers(self.members.addresses)
        return board
