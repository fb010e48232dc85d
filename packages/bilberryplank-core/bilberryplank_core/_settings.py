"""Settings of every process: defines all defaults; a file is read and checked at startup."""

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
    """Links between entries and sidecars; durations in seconds.

    Attributes:
        heartbeat_interval: Interval between heartbeats on an idle link.
        silence_limit: A link that receives nothing for this long is closed.
        connect_timeout: Timeout for connecting, handshake included.
        buffer_bytes: Send buffer of one link; senders block while it is full.
    """

    heartbeat_interval: float = 5.0
    silence_limit: float = 12.0
    connect_timeout: float = 1.0
    buffer_bytes: int = 4 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class CallerSettings:
    """Limits on requests and connections of callers; durations in seconds.

    Attributes:
        max_body_bytes: Longest body.
        max_header_bytes: Longest request line or header field; a whole head may have twice that.
        body_timeout: A head or body must be whole after this time.
        body_wait: Longest time for which a body waits for room before it is read.
        held_bytes: Memory for bodies, heads and unread responses of all callers together.
        max_connections: Connections in all.
        max_connections_per_address: Connections from one address.
        receive_buffer: Bytes that one connection may have received before they are read; None
            leaves it to the kernel.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 32 * 1024
    body_timeout: float = 10.0
    body_wait: float = 1.0
    held_bytes: int = 160 * 1024 * 1024
    max_connections: int = 2000
    max_connections_per_address: int = 1500
    receive_buffer: int | None = None


@dataclass(slots=True, frozen=True)
class QueueSettings:
    """Request queue of a sidecar.

    Attributes:
        policy: `tiered`, or `fifo` as the baseline for benchmarks.
        slots: Requests that the upstream runs concurrently.
        max_queued: Maximum number of queued requests.
        long_prefill_tokens: Prompts of at least this many tokens count as long.
        long_prefill_share: Maximum share of the slots that long prompts may hold, 0 to 1; a
            prompt counts until its first token.
        wasted_work_budget: Maximum share of the generated tokens that preemption may discard,
            0 to 1.
    """

    policy: str = "tiered"
    slots: int = 8
    max_queued: int = 64
    long_prefill_tokens: int = 2000
    long_prefill_share: float = 0.5
    wasted_work_budget: float = 0.05


@dataclass(slots=True, frozen=True)
class RoutingSettings:
    """Upstream selection and retries at an entry; durations in seconds.

    Attributes:
        policy: `informed`, or `round_robin` as the baseline for benchmarks.
        subset_size: Number of upstreams of a route that an entry keeps links to.
        hint_lifetime: Age at which a load hint becomes stale.
        retry_ratio: Retries that each successful request adds to the retry budget.
        retry_burst: Maximum number of retries in the budget.
        max_attempts: Maximum number of attempts for one request.
    """

    policy: str = "informed"
    subset_size: int = 12
    hint_lifetime: float = 5.0
    retry_ratio: float = 0.2
    retry_burst: float = 20.0
    max_attempts: int = 4


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Settings that processes of the fleet have in common; durations in seconds.

    Attributes:
        poll_interval: Interval at which a poller reads the configuration table.
        pollers_per_zone: Number of processes in a zone that poll the table.
        lease_duration: Duration of a lease.
        lease_margin: Safety margin: a holder stops this long before the lease expires, and a
            contender waits this long after it.
        lease_candidates: Number of processes that contend for a lease.
        leaving_limit: A leaving upstream receives no new requests after this time.
        stale_limit: A host refuses requests once its configuration has not been confirmed for
            this long.
        usage_window: Length of a usage window.
        usage_flush_interval: Interval at which usage records are stored.
        usage_buffer: Maximum number of usage records in memory; older records go to the object
            store.
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
    """Autoscaling of upstream pools; durations in seconds.

    Attributes:
        enabled: True if this entry contends for the scaling lease.
        pools: Values of the upstream label `pool` that are autoscaled.
        zones: Zones in which pools may grow; empty for all.
        sample_interval: Interval at which the lease holder queries sidecars for their load.
        sample_size: Number of upstreams of a pool that it queries each time.
        join_timeout: Time that a started upstream has to join; afterwards it is not expected any
            more.
        most: Maximum number of upstreams in a pool.
        wait_limit: A queue wait above this counts as pressure.
        attainment_target: Share of requests that should meet their latency targets.
        cost_per_miss: Cost of a request that misses its targets, in the operators' currency.
        low_use: Maximum utilisation of the remaining pool after a stop, as a share of its
            capacity.
        hold_up: Time that pressure must last before an upstream is started.
        hold_down: Time that spare capacity must last before an upstream is drained.
        settle: Cool-down of a pool after a scaling change.
        catch_up: Time within which the backlog should be cleared.
        starts_at_once: Maximum number of upstreams started by one decision.
        drain_spread: Time until a drain has reached every entry.
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
    """Logging: each event is one line of key=value pairs on standard error."""

    level: str = "INFO"


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        name: Unique name of the process.
        zone: Availability zone.
        listen: `ip:port` for callers.
        operations_listen: `ip:port` for health, metrics and decisions.
        fleet_key: Secret that all processes of the fleet share.
        key_hash_secret: Secret for the keyed hash of callers' API keys.
        lame_duck: Seconds after SIGTERM in which new connections are still accepted, so that the
            load balancer can stop routing here first.
        drain_timeout: Seconds after the lame-duck period in which running requests may finish.
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
    """Retry budget of a service, for all entries together.

    Attributes:
        retry_ratio: Retries allowed for each request.
        window: Length of the counting window in seconds.
        allowance: Retries allowed in a window in addition to the ratio.
        entries: Number of entries that share the allowance, until the real number is known.
    """

    retry_ratio: float = 0.2
    window: float = 10.0
    allowance: float = 40.0
    entries: int = 64


@dataclass(slots=True, frozen=True)
class DirectEntrySettings:
    """Settings of an entry that calls its upstreams directly; durations in seconds.

    Attributes:
        name: Unique name of the process.
        zone: Availability zone.
        listen: `ip:port` for callers.
        operations_listen: `ip:port` for health, readiness and decisions.
        metrics_listen: `ip:port` of a separate listener for metrics.
        peer_listen: `ip:port` for notices from other entries about the tables; empty for none.
        lame_duck: Seconds after SIGTERM in which new connections are still accepted.
        drain_timeout: Seconds after the lame-duck period in which running requests may finish.
        sure_limit: Maximum age of the confirmation of the configuration at which requests may be
            refused permanently.
        change_limit: A new configuration is in force after this time.
        contact_limit: A cut off entry must know the state of the tables this long after the cut.
        leaving_limit: A leaving upstream receives no new requests after this time.
        stale_limit: Requests are refused once the configuration has not been confirmed for this
            long.
        usage_window: Length of a usage window.
        usage_flush_interval: Interval at which the counts of a small fleet are stored; a crash
            loses at most the counts of one interval.
        usage_tolerance: Tolerated relative error of the figures of a window, 0 to 1.
        usage_deadline: Time after the end of a window by which it must be reported.
        lease_duration: Duration of the lease of the usage reporter.
        lease_margin: Safety margin: a holder stops this long before the lease expires, and a
            contender waits this long after it.
        link_rate: Bandwidth of the host's network link in bytes per second; None if unknown.
        cold_rate_factor: Multiple of the rate that a cold upstream tolerates, up to which all
            entries together may send to it; None if the platform sets no limit.
        cold_allowance: Requests in any second beside that.
        region_by_zone: Regions of the availability zones; None if unknown.
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
    change_limit: float = 2.0
    contact_limit: float = 3.0
    leaving_limit: float = 2.0
    usage_window: float = 5.0
    usage_flush_interval: float = 1.25
    usage_tolerance: float = 0.05
    peer_listen: str = ""
    usage_deadline: float = 10.0
    lease_duration: float = 6.0
    lease_margin: float = 1.0
    link_rate: float | None = None
    cold_rate_factor: float | None = None
    cold_allowance: float = 5.0
    region_by_zone: dict[str, str] | None = None
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
        upstream_kind: Whether the upstream is an engine or a plain service.
        upstream_url: `http://ip:port` of the upstream.
        checks_fencing: True only if the upstream rejects orders with outdated fencing tokens.
        fleet_key: Secret that all processes of the fleet share.
        drain_timeout: Seconds after SIGTERM in which running requests may finish.
        answer_lifetime: Seconds for which a response is kept for an entry whose link was lost.
        answer_bytes: Maximum size of the kept responses.
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
    """Settings of the command-line tool for operators.

    Attributes:
        key_hash_secret: Secret for the keyed hash of callers' API keys.
        platform: Addresses of the platform's services.
        operations: `ip:port` of each process whose status and decisions the tool reads.
    """

    key_hash_secret: str = field(repr=False)
    platform: PlatformSettings = field(repr=False)
    operations: tuple[str, ...] = ()


S = TypeVar("S", EntrySettings, SidecarSettings, OperatorSettings, DirectEntrySettings)


def read_settings(kind: type[S], path: Path) -> S:
    """Returns the validated settings from a file of JSON with comments.

    Raises:
        SettingsInvalid: The file has faults; the exception lists all of them.
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
    """Returns the faults of settings that were built in code instead of read from a file."""
    faults = check_object(settings, place)
    for name in settings.__dataclass_fields__:
        value = getattr(settings, name)
        path = f"{place}.{name}"
        if hasattr(value, "__dataclass_fields__"):
            faults.extend(check_settings(value, path))
        else:
            faults.extend(check_field(name, value, path))
    return faults
