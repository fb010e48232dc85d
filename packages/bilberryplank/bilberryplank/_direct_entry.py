"""The process that takes callers' requests and calls upstreams itself."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from loguru import logger
from mode import Service

from bilberryplank._caller_memory import CallerMemory
from bilberryplank._caller_server import CallerServer
from bilberryplank._clocks import boot_time
from bilberryplank._crash_guard import CrashGuard
from bilberryplank._crash_relay import CrashRelay
from bilberryplank._decisions import DecisionJournal
from bilberryplank._direct_client import DirectClient
from bilberryplank._direct_feeds import ConfigurationWatch, UpstreamRegistryWatch
from bilberryplank._direct_members import MembersKeeper
from bilberryplank._direct_requests import DirectRequests
from bilberryplank._direct_state import DirectState
from bilberryplank._direct_usage import UsageReporter
from bilberryplank._era_table import EraTable
from bilberryplank._logs import log_event
from bilberryplank._metrics import ProcessMetrics
from bilberryplank._operations_server import OperationsServer, ProcessStatus, Readiness
from bilberryplank._platform_metrics import meter_direct_platform
from bilberryplank._seeds import new_epoch, process_rng
from bilberryplank._store_restorer import StoreRestorer
from bilberryplank._table_relay import TableRelay
from bilberryplank._true_time_keeper import TrueTimeKeeper
from bilberryplank._usage_relay import UsageRelay
from bilberryplank._usage_store import UsageStore
from bilberryplank._work_relay import WorkRelay
from bilberryplank_core.direct import (
    DirectPlatform,
    Freshness,
    LinkPacer,
    RouteIndex,
    SealNotice,
    StopSchedule,
    WindowCounts,
)
from bilberryplank_core.errors import RefusalReason, SettingsInvalid
from bilberryplank_core.settings import DirectEntrySettings

POLL_SECONDS = 0.1
SETTINGS_POLL_SECONDS = 2.0
"""The settings file may change without a signal."""

LAST_FLUSH_SECONDS = 0.5
"""Time that the store has at a stop to take the counts, before other entries get them."""

CLOSING_SECONDS = 0.4
"""Time before answers are due at which the listening socket closes."""

LAST_ANSWERS_SECONDS = 0.1
"""Time in which the answers go out that a stop gives to what still runs."""

JOURNAL_DECISIONS = 1024
"""Refusals kept for `explain`, some 600 bytes each."""

SettingsReader = Callable[[], DirectEntrySettings]


class DirectEntry(Service):
    """Wires the parts of a direct entry.

    Args:
        settings: Settings at the start.
        platform: What the adapter brings.
        reread: Reads the settings again.
    """

    abstract = False

    def __init__(
        self, settings: DirectEntrySettings, platform: DirectPlatform, reread: SettingsReader
    ) -> None:
        super().__init__()
        self.epoch = new_epoch()
        self.metrics = ProcessMetrics()
        self._settings = settings
        self._platform = platform
        self._reread = reread
        self._reload = asyncio.Event()
        self._stop_schedule = StopSchedule()
        self._rng = process_rng(settings.name)
        self._client: DirectClient | None = None
        self._reporter: UsageReporter | None = None

    async def on_start(self) -> None:
        """Starts the parts, the one that takes work last."""
        cfg = self._settings
        platform = meter_direct_platform(self._platform, self.metrics)
        fleet_clock, eras = platform.fleet_clock, platform.eras
        self._state = DirectState(cfg, self._rng, fleet_clock)
        table = EraTable(platform.table, eras, fleet_clock)
        self._relay = TableRelay(cfg.peer_listen, self._state.members, fleet_clock, eras)
        self._registry_watch = UpstreamRegistryWatch(
            table,
            platform.rows,
            self._state.registry,
            self._state.apply_roster,
            self._state.take_rows,
            self._rng,
            cfg.leaving_limit,
            cfg.contact_limit,
            self._relay,
            eras,
        )
        self._watch = ConfigurationWatch(
            table,
            platform.rows,
            self._state.freshness_tracker,
            self._configured,
            self._state.evacuations,
            self._evacuated,
            self._rng,
            cfg.stale_limit,
            cfg.change_limit,
            cfg.contact_limit,
            self._relay,
            eras,
            fleet_clock,
        )
        self._client = DirectClient(LinkPacer(cfg.link_rate))
        guard = CrashGuard(self._state, self._client, self.metrics)
        self._crash_relay = CrashRelay(
            self._relay, table, fleet_clock, self._state.members, guard, self._rng
        )
        counts = WindowCounts(cfg.usage_window)
        writer = f"{cfg.name}/{self.epoch}"
        usage_relay = UsageRelay(self._relay, writer, self._rng)
        self._usage = UsageStore(
            writer,
            table,
            counts,
            fleet_clock,
            self._flush_interval,
            self._rng,
            usage_relay.hand_over,
            eras,
        )
        self._members = MembersKeeper(
            cfg.name,
            cfg.peer_listen,
            table,
            fleet_clock,
            self._state.members,
            self._state.members_changed,
            self._rng,
        )
        self._relay.hear_strangers(self._members.hear_stranger)
        memory = CallerMemory(cfg.callers, self.metrics)
        journal = DecisionJournal(JOURNAL_DECISIONS, cfg.name)
        self._requests = DirectRequests(
            self._state,
            self._client,
            guard,
            platform.header_codec,
            counts,
            fleet_clock,
            self.metrics,
            memory,
            journal,
            self._stop_schedule,
        )
        self._server = CallerServer(
            cfg.listen, cfg.callers, self._requests.handle, self._refused_early, memory
        )
        self._operations = OperationsServer(
            cfg.operations_listen,
            self.metrics,
            journal,
            self.status,
            further_addresses=(cfg.metrics_listen,),
            receive_buffer=cfg.callers.receive_buffer,
        )
        keeper = TrueTimeKeeper(table, fleet_clock)
        restorer = StoreRestorer(eras, table, self._state.members, self.metrics, self._rng)
        restorer.add(self._watch.mark, keeper, self._members, self._crash_relay, self._usage)
        for part in (
            self._operations,
            self._relay,
            restorer,
            self._watch,
            self._registry_watch,
            keeper,
            self._members,
            WorkRelay(self._relay, self._state),
            self._crash_relay,
            self._usage,
        ):
            await self._start_part(part)
        if platform.reports is not None:
            self._reporter = UsageReporter(
                cfg,
                cfg.name,
                table,
                platform.reports,
                fleet_clock,
                self._state.members,
                self._rng,
                usage_relay.give_up,
                self._relay.is_silent,
                self._usage.flush,
                usage_relay.tell_seal,
                eras,
            )
            restorer.add(self._reporter)
            await self._start_part(self._reporter)
        usage_relay.hear(self._usage.take, self._take_given_up, self._take_seal)
        await self._start_part(self._server)
        self.add_future(self._keep_readiness())
        self.add_future(self._keep_settings())
        log_event(logger, "started", zone=cfg.zone, epoch=self.epoch, listen=cfg.listen)

    async def on_stop(self) -> None:
        """Ends the work; every caller has its answer before the end."""
        schedule = self._stop_schedule
        self.note_stop()
        noticed_after = round(schedule.age(boot_time()) or 0.0, 3)
        log_event(
            logger, "stopping", in_flight=self._requests.in_flight, noticed_after=noticed_after
        )
        self._operations.readiness = Readiness.DRAINING
        self._requests.begin_stop()
        if self._reporter is not None:
            self.add_future(self._reporter.retire())
        self.add_future(self._members.withdraw())
        # Whoever still comes is told to go elsewhere: a closed port would cut those just accepted.
        await asyncio.sleep(schedule.strict_from - boot_time())
        await self._requests.wait_idle(schedule.answers_due - CLOSING_SECONDS - boot_time())
        await self._server.stop_listening()
        answers_out = schedule.answers_due + LAST_ANSWERS_SECONDS
        await self._requests.wait_idle(answers_out - boot_time())
        await asyncio.gather(
            self._server.wait_sent(max(answers_out - boot_time(), LAST_ANSWERS_SECONDS)),
            self._usage.finish(LAST_FLUSH_SECONDS),
        )
        await self._server.close(LAST_ANSWERS_SECONDS)
        log_event(logger, "stopped", in_flight=self._requests.in_flight)

    async def on_shutdown(self) -> None:
        """Closes the connections to upstreams."""
        if self._client is not None:
            await self._client.close()

    def note_stop(self) -> None:
        """Takes in that the process is to stop; its time to do so counts from here."""
        cfg = self._settings
        self._stop_schedule.begin(boot_time(), cfg.lame_duck, cfg.drain_timeout)

    def reload(self) -> None:
        """Asks for the settings to be read again."""
        self._reload.set()

    def status(self) -> ProcessStatus:
        """Returns the state that operators see."""
        cfg, watch = self._settings, self._watch
        return ProcessStatus(
            cfg.name,
            "direct-entry",
            cfg.zone,
            self.epoch,
            version=watch.configuration.version if watch.configuration else 0,
            confirmed_age=self._state.freshness_tracker.age(boot_time()),
            running=self._requests.in_flight,
        )

    def _take_given_up(self, lease: str, grant: str) -> None:
        if self._reporter is not None:
            self._reporter.take_given_up(lease, grant)

    def _take_seal(self, notice: SealNotice) -> None:
        if self._reporter is not None:
            self._reporter.take_seal(notice)

    def _flush_interval(self) -> float:
        cfg = self._settings
        return self._state.members.flush_interval(
            cfg.usage_flush_interval, cfg.usage_window, cfg.usage_tolerance
        )

    async def _keep_readiness(self) -> None:
        while not self.should_stop:
            now = boot_time()
            self.metrics.set_cold_upstreams(self._state.cold.count(now))
            known = (
                self._state.routes is not None
                and bool(self._registry_watch.registry.upstreams)
                and self._crash_relay.is_loaded
            )
            usable = self._state.freshness_tracker.freshness(now) is not Freshness.STALE
            before = self._operations.readiness
            after = Readiness.READY if known and usable else Readiness.STARTING
            if before is not Readiness.DRAINING and before is not after:
                self._operations.readiness = after
                age = round(self._state.freshness_tracker.age(now), 2)
                log_event(logger, "readiness_changed", readiness=after.value, config_age=age)
            await asyncio.sleep(POLL_SECONDS)

    async def _keep_settings(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                    await self._reload.wait()
            except TimeoutError:
                pass
            self._reload.clear()
            self._read_settings()

    def _read_settings(self) -> None:
        try:
            settings = self._reread()
        except SettingsInvalid as exc:
            log_event(logger, "settings_rejected", level="ERROR", cause=exc)
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._state.apply_settings(settings)
        log_event(logger, "settings_reloaded")

    def _configured(self, routes: RouteIndex) -> None:
        self._state.apply_configuration(routes)
        self.metrics.declare_classes(each.name for each in routes.configuration.routes)

    def _evacuated(self, before: set[str]) -> None:
        self._state.evacuations_changed(before)
        self.metrics.set_evacuated_zones(len(self._state.evacuations.zones(boot_time())))

    def _refused_early(self, reason: RefusalReason) -> None:
        self.metrics.refused(reason)

    async def _start_part(self, part: Service) -> None:
        self.add_dependency(part)
        await part.maybe_start()


async def run_direct_entry(entry: DirectEntry) -> int:
    """Runs a direct entry until SIGTERM or SIGINT; returns the exit code."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
        # Runs at once, where the loop may be late. The loop still learns of the signal.
        signal.signal(number, lambda *_: entry.note_stop())
    loop.add_signal_handler(signal.SIGHUP, entry.reload)
    try:
        await entry.start()
        await entry.wait_first(stopping, entry._crashed)
    finally:
        await entry.stop()
    return 1 if entry.crashed else 0
