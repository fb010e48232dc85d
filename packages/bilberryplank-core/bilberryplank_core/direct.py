"""Decisions of an entry that calls its upstreams directly, without sidecars."""

from bilberryplank_core._configuration_freshness import Freshness, FreshnessTracker
from bilberryplank_core._configuration_mark import (
    MARK_KEY,
    MARK_TABLE,
    MarkChecks,
    mark_value,
    read_mark,
)
from bilberryplank_core._crash_evidence import CrashRecord
from bilberryplank_core._crash_notices import (
    CRASH_FORMAT,
    crash_row,
    decode_crashes,
    encode_crashes,
    read_crash_row,
)
from bilberryplank_core._direct_attempts import (
    NextAction,
    Outcome,
    RequestAttempts,
    classify_response,
)
from bilberryplank_core._direct_contracts import (
    DirectPlatform,
    DirectRowDecoder,
    HeaderCodec,
    HistoryGone,
    TableChanges,
    UsageReportSink,
    WatchedTable,
)
from bilberryplank_core._direct_routes import (
    ClassifiedRequest,
    RouteIndex,
    choose_service,
    engine_rank,
)
from bilberryplank_core._direct_types import (
    DirectConfiguration,
    DirectRoute,
    DirectService,
    DirectUpstream,
    EngineCapacity,
    Organisation,
    PromptSegment,
    RequestHead,
    ResponseHead,
    RetryRule,
    UpstreamLoad,
)
from bilberryplank_core._fleet_members import (
    SLOW_LINK,
    SLOW_LINK_BYTES_PER_SECOND,
    STANDBY_WAIT_FACTOR,
    FleetMembers,
)
from bilberryplank_core._leases import LeaseHolder
from bilberryplank_core._link_pacer import LinkPacer
from bilberryplank_core._notice_format import NoticeInvalid
from bilberryplank_core._peer_liveness import (
    HEARTBEAT_FORMAT,
    HEARTBEAT_INTERVAL_SECONDS,
    PeerLiveness,
    check_heartbeat,
    heartbeat_notice,
)
from bilberryplank_core._prompt_quarantine import (
    SETTLED_SECONDS,
    PromptQuarantine,
    Quarantine,
    Withheld,
    shared_segments,
)
from bilberryplank_core._read_pacer import ReadPacer, excess_pieces
from bilberryplank_core._read_times import MAX_PATIENCE_SECONDS, PATIENCE_SECONDS, ReadTimes
from bilberryplank_core._restored_windows import (
    SealMemory,
    WindowGivenUp,
    seal_may_be_forgotten,
)
from bilberryplank_core._row_edits import EDIT_FORMAT, RowEdit, compare_values, pack_exactly
from bilberryplank_core._stop_schedule import StopSchedule
from bilberryplank_core._store_era import (
    ERA_TABLE,
    EraChanged,
    EraOpening,
    EraTracker,
    era_key,
    era_of_fence,
    next_fence,
)
from bilberryplank_core._table_notices import TABLE_FORMAT, TableNotice, UnchangedSpan
from bilberryplank_core._upstream_health import UpstreamHealth
from bilberryplank_core._upstream_registry import RegistryChange, UpstreamRegistry
from bilberryplank_core._upstream_selector import UpstreamSelector
from bilberryplank_core._usage_notices import (
    COUNTS_FORMAT,
    LEASE_FORMAT,
    SEAL_FORMAT,
    CountsNotice,
    HandedOverCounts,
    LeaseNotice,
    SealNotice,
)
from bilberryplank_core._window_counts import (
    REPORT_MARGIN_SECONDS,
    SEAL_DELAY_SECONDS,
    FleetClock,
    SealInvalid,
    WindowCounts,
    WindowSeal,
    may_seal,
    read_seal,
    sum_counts,
    window_of_key,
)
from bilberryplank_core._window_retry_budget import WindowRetryBudget
from bilberryplank_core.engines._engine_admission import retry_delay, should_admit
from bilberryplank_core.engines._engine_performance import (
    EnginePerformance,
    LatencyObjective,
    is_significant_change,
)
from bilberryplank_core.engines._engine_selector import EngineChoice, EngineSelector
from bilberryplank_core.engines._peer_work import (
    WORK_FORMAT,
    WorkNotice,
    notice_interval,
)

__all__ = [
    "SLOW_LINK",
    "SLOW_LINK_BYTES_PER_SECOND",
    "EDIT_FORMAT",
    "RowEdit",
    "compare_values",
    "pack_exactly",
    "REPORT_MARGIN_SECONDS",
    "SEAL_FORMAT",
    "SealInvalid",
    "SealMemory",
    "SealNotice",
    "WindowGivenUp",
    "seal_may_be_forgotten",
    "window_of_key",
    "ERA_TABLE",
    "EraChanged",
    "EraOpening",
    "EraTracker",
    "era_key",
    "era_of_fence",
    "next_fence",
    "CRASH_FORMAT",
    "CrashRecord",
    "PromptQuarantine",
    "Quarantine",
    "SETTLED_SECONDS",
    "crash_row",
    "decode_crashes",
    "encode_crashes",
    "read_crash_row",
    "Withheld",
    "shared_segments",
    "LinkPacer",
    "ReadPacer",
    "ReadTimes",
    "PATIENCE_SECONDS",
    "MARK_KEY",
    "MARK_TABLE",
    "MAX_PATIENCE_SECONDS",
    "MarkChecks",
    "excess_pieces",
    "heartbeat_notice",
    "check_heartbeat",
    "HEARTBEAT_INTERVAL_SECONDS",
    "HEARTBEAT_FORMAT",
    "PeerLiveness",
    "HandedOverCounts",
    "LeaseNotice",
    "CountsNotice",
    "LEASE_FORMAT",
    "COUNTS_FORMAT",
    "TABLE_FORMAT",
    "WORK_FORMAT",
    "ResponseHead",
    "RequestAttempts",
    "RequestHead",
    "TableChanges",
    "ClassifiedRequest",
    "FreshnessTracker",
    "DirectConfiguration",
    "DirectPlatform",
    "DirectRoute",
    "DirectRowDecoder",
    "DirectService",
    "DirectUpstream",
    "EngineSelector",
    "EngineChoice",
    "EnginePerformance",
    "EngineCapacity",
    "FleetMembers",
    "HistoryGone",
    "LeaseHolder",
    "NoticeInvalid",
    "Organisation",
    "Outcome",
    "LatencyObjective",
    "PromptSegment",
    "UnchangedSpan",
    "STANDBY_WAIT_FACTOR",
    "RetryRule",
    "UpstreamRegistry",
    "RegistryChange",
    "RouteIndex",
    "SEAL_DELAY_SECONDS",
    "UpstreamSelector",
    "NextAction",
    "StopSchedule",
    "TableNotice",
    "FleetClock",
    "Freshness",
    "HeaderCodec",
    "UpstreamHealth",
    "UpstreamLoad",
    "WatchedTable",
    "WindowCounts",
    "UsageReportSink",
    "WindowRetryBudget",
    "WindowSeal",
    "WorkNotice",
    "choose_service",
    "engine_rank",
    "is_significant_change",
    "classify_response",
    "should_admit",
    "mark_value",
    "may_seal",
    "read_mark",
    "notice_interval",
    "read_seal",
    "retry_delay",
    "sum_counts",
]
