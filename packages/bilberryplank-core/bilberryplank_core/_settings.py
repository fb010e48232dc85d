"""Settings of every process: all defaults in one place, read and checked before any work."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from bilberryplank_core._documents import DocumentReader
from bilberryplank_core._errors import Fault, SettingsInvalid
from bilberryplank_core._json_text import parse_json
from bilberryplank_core._settings_checks import check_field, check_object
from bilberryplank_core._world_kinds import UpstreamKind


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Addresses of the platform's services, as `http://ip:port`; timeouts in seconds."""

    table: str
    object_store: str
    upstream_orders: str
    usage_reports: str
    host_list: str
    timeout: float = 2.0


@dataclass(slots=True, frozen=True)
class LinkSettings:
    """The links between entries and sidecars; durations in seconds.

    Attributes:
        heartbeat_interval: A silent link gets a heartbeat this often.
        silence_limit: A link silent for this long is given up.
        connect_timeout: Bound on connecting and the handshake.
        buffer_bytes: Bytes that may wait in one link before its senders wait.
    """

    heartbeat_interval: float = 5.0
    silence_limit: float = 12.0
    connect_timeout: float = 1.0
    buffer_bytes: int = 4 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class CallerSettings:
    """Bounds on what callers may send; durations in seconds."""

    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 32 * 1024
    body_timeout: float = 10.0
    max_connections: int = 2000


@dataclass(slots=True, frozen=True)
class QueueSettings:
    """The queue of a sidecar.

    Attributes:
        policy: `tiered`, or `fifo` for the baseline of measurements.
        slots: Requests that the upstream runs at once.
        max_queued: Requests that may wait.
        long_prefill_tokens: A prompt of at least this many tokens is long.
        long_prefill_share: Most of the slots that long prompts may hold, each until its first
            token, 0 to 1.
        wasted_work_budget: Most of the generated tokens that preemption may throw away, 0 to 1.
    """

    policy: str = "tiered"
    slots: int = 8
    max_queued: int = 64
    long_prefill_tokens: int = 2000
    long_prefill_share: float = 0.5
    wasted_work_budget: float = 0.05


@dataclass(slots=True, frozen=True)
class RoutingSettings:
    """Choice of upstream and retries at an entry; durations in seconds.

    Attributes:
        policy: `informed`, or `round_robin` for the baseline of measurements.
        subset_size: Upstreams of a route that an entry keeps links to.
        hint_lifetime: A load hint older than this is stale.
        retry_ratio: Retries earned by each success.
        retry_burst: Retries that may be saved up.
        max_attempts: Attempts for one request.
    """

    policy: str = "informed"
    subset_size: int = 12
    hint_lifetime: float = 5.0
    retry_ratio: float = 0.2
    retry_burst: float = 20.0
    max_attempts: int = 4


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """What the processes share; durations in seconds.

    Attributes:
        poll_interval: A configuration poller reads the table this often.
        pollers_per_zone: Processes of a zone that poll the table.
        lease_duration: Length of a lease.
        lease_margin: A holder stops this much earlier, a contender waits this much longer.
        lease_candidates: Processes that contend for a lease.
        leaving_limit: A leaving upstream gets no new work after this long.
        stale_limit: Without a confirmed configuration for this long, a host refuses requests.
        usage_window: Length of a usage window.
        usage_flush_interval: Usage records are stored this often.
        usage_buffer: Usage records kept in memory; older ones go to the object store.
    """

    poll_interval: float = 1.0
    pollers_per_zone: int = 2
    lease_duration: float = 6.0
    lease_margin: float = 1.0
    lease_candidates: int = 3
    stale_limit: float = 3600.0
    usage_window: int = 3600
    usage_flush_interval: float = 2.0
    usage_buffer: int = 20000


@dataclass(slots=True, frozen=True)
class ScalingSettings:
    """Starting and stopping of upstreams; durations in seconds.

    Attributes:
        enabled: True where this entry contends for the scaling lease.
        pools: Values of the upstream label `pool` whose upstreams are started and stopped.
        zones: Zones in which pools may grow; empty for all.
        sample_interval: The holder asks sidecars for their load this often.
        sample_size: Upstreams of a pool that it asks.
        join_timeout: A started upstream that has not joined by then is no longer waited for.
        most: Upstreams of a pool that may run.
        wait_limit: A longer wait in the queue is pressure.
        attainment_target: Share of requests that should meet their targets.
        cost_per_miss: What a request that misses its targets costs, in the operators' currency.
        low_use: The rest of a pool must stay below this share of its capacity after a stop.
        hold_up: Pressure must last this long before a start.
        hold_down: Slack must last this long before a drain.
        settle: After a change a pool rests this long.
        catch_up: What waits should be worked off within this time.
        starts_at_once: Upstreams started by one decision.
        drain_spread: Time after which every entry knows of a drain.
    """

    enabled: bool = False
    pools: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    sample_interval: float = 15.0
    sample_size: int = 12
    join_timeout: float = 300.0
    most: int = 1000
    wait_limit: float = 1.0
    attainment_target: float = 0.95
    cost_per_miss: float = 0.01
    low_use: float = 0.6
    hold_up: float = 15.0
    hold_down: float = 300.0
    settle: float = 60.0
    catch_up: float = 120.0
    starts_at_once: int = 4
    drain_spread: float = 20.0


@dataclass(slots=True, frozen=True)
class LogSettings:
    """Logs: one line of key=value pairs for each event on standard error."""

    level: str = "INFO"


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        name: Unique name of the process.
        zone: Availability zone.
        listen: `ip:port` for callers.
        operations_listen: `ip:port` for health, metrics and decisions.
        fleet_key: Shared secret of the system's processes.
        key_hash_secret: Secret under which callers' keys are hashed.
        lame_duck: Seconds after SIGTERM in which new connections are still taken, so that the
            balancer can look elsewhere first.
        drain_timeout: Seconds that running requests get after that.
    """

    name: str
    zone: str
    listen: str
    operations_listen: str
    fleet_key: str = field(repr=False)
    key_hash_secret: str = field(repr=False)
    platform: PlatformSettings = field(repr=False)
    lame_duck: float = 2.0
    drain_timeout: float = 120.0
    callers: CallerSettings = CallerSettings()
    links: LinkSettings = LinkSettings()
    routing: RoutingSettings = RoutingSettings()
    scaling: ScalingSettings = ScalingSettings()
    fleet: FleetSettings = FleetSettings()
    logs: LogSettings = LogSettings()


@dataclass(slots=True, frozen=True)
class RetryBudgetSettings:
    """Further attempts that all entries together may make for a service.

    Attributes:
        retry_ratio: Further attempts for each request.
        window: Length in seconds of the window in which they are counted.
        allowance: Attempts in a window beside those.
        entries: Entries among which the allowance is divided until their number is known.
    """

    retry_ratio: float = 0.2
    window: float = 10.0
    allowance: float = 40.0
    entries: int = 64


@dataclass(slots=True, frozen=True)
class DirectEntrySettings:
    """Settings of an entry that calls its upstreams itself; durations in seconds.

    Attributes:
        name: Unique name of the process.
        zone: Availability zone.
        listen: `ip:port` for callers.
        operations_listen: `ip:port` for health, readiness and decisions.
        metrics_listen: `ip:port` for metrics, where they are read at another address too.
        peer_listen: `ip:port` at which other entries tell of the tables; empty for none.
        lame_duck: Seconds after SIGTERM in which new connections are still taken.
        drain_timeout: Seconds that running requests get after that.
        sure_limit: With a configuration confirmed within this long, refusals are for good.
        leaving_limit: A leaving upstream gets no new work after this long.
        stale_limit: Without a confirmed configuration for this long, requests are refused.
        usage_window: Length of a usage window.
        usage_flush_interval: Counts of a small fleet are stored this often; a process that dies
            loses no more.
        usage_tolerance: Share by which the figures of a window may be off, 0 to 1.
        usage_deadline: A window is reported within this long after its end.
        lease_duration: Length of the reporter's lease.
        lease_margin: A holder stops this much earlier, a contender waits this much longer.
        link_rate: Bytes a second of the host's network link; None where it is not known.
    """

    name: str
    zone: str
    listen: str
    operations_listen: str
    metrics_listen: str
    lame_duck: float = 3.0
    drain_timeout: float = 4.0
    sure_limit: float = 2.5
    stale_limit: float = 4.5
    leaving_limit: float = 2.0
    usage_window: float = 5.0
    usage_flush_interval: float = 1.25
    usage_tolerance: float = 0.05
    peer_listen: str = ""
    usage_deadline: float = 10.0
    lease_duration: float = 6.0
    lease_margin: float = 1.0
    link_rate: float | None = None
    retries: RetryBudgetSettings = RetryBudgetSettings()
    callers: CallerSettings = CallerSettings()
    logs: LogSettings = LogSettings()


@dataclass(slots=True, frozen=True)
class SidecarSettings:
    """Settings of a sidecar.

    Attributes:
        name: Unique name of the process.
        zone: Availability zone.
        listen: `ip:port` for entries.
        operations_listen: `ip:port` for health, metrics and decisions.
        upstream: Name of the upstream.
        upstream_kind: Engine or plain service.
        upstream_url: `http://ip:port` of the upstream.
        checks_fencing: True only where the upstream refuses orders with old fencing numbers.
        fleet_key: Shared secret of the system's processes.
        drain_timeout: Seconds that running requests get after SIGTERM.
        answer_lifetime: Seconds that an answer is kept for an entry whose link was lost.
        answer_bytes: Bytes of kept answers.
    """

    name: str
    zone: str
    listen: str
    operations_listen: str
    upstream: str
    upstream_kind: UpstreamKind
    upstream_url: str
    fleet_key: str = field(repr=False)
    platform: PlatformSettings = field(repr=False)
    checks_fencing: bool = False
    drain_timeout: float = 120.0
    answer_lifetime: float = 30.0
    answer_bytes: int = 16 * 1024 * 1024
    queue: QueueSettings = QueueSettings()
    links: LinkSettings = LinkSettings()
    fleet: FleetSettings = FleetSettings()
    logs: LogSettings = LogSettings()


@dataclass(slots=True, frozen=True)
class OperatorSettings:
    """Settings of the operators' command.

    Attributes:
        key_hash_secret: Secret under which callers' keys are hashed.
        platform: Addresses of the platform's services.
        operations: `ip:port` of processes whose status and decisions it reads.
    """

    key_hash_secret: str = field(repr=False)
    platform: PlatformSettings = field(repr=False)
    operations: tuple[str, ...] = ()


S = TypeVar("S", EntrySettings, SidecarSettings, OperatorSettings, DirectEntrySettings)


def read_settings(kind: type[S], path: Path) -> S:
    """Returns the checked settings in a file of JSON with comments.

    Raises:
        SettingsInvalid: With every fault of the file.
    """
    place = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsInvalid([Fault(place, f"cannot be read: {exc.strerror}")]) from exc
    except UnicodeDecodeError as exc:
        raise SettingsInvalid([Fault(place, "is not UTF-8 text")]) from exc
    document, faults = parse_json(text, place)
    if faults:
        raise SettingsInvalid(faults)
    reader = DocumentReader(check_object, check_field)
    settings = reader.read(kind, document, place)
    if settings is None:
        raise SettingsInvalid(reader.faults)
    return settings


def check_settings(settings: object, place: str) -> list[Fault]:
    """Returns the faults of settings that were built without a file."""
    faults = check_object(settings, place)
    for name in settings.__dataclass_fields__:
        value = getattr(settings, name)
        path = f"{place}.{name}"
        if hasattr(value, "__dataclass_fields__"):
            faults.extend(check_settings(value, path))
        else:
            faults.extend(check_field(name, value, path))
    return faults
