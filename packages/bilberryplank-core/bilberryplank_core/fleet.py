"""State shared by the processes: configuration, membership, leases, orders, usage, scaling."""

from bilberryplank_core._configuration_chunks import ChunkReader, iter_chunks
from bilberryplank_core._configuration_delta import ConfigurationDelta
from bilberryplank_core._configuration_holder import ConfigurationHolder
from bilberryplank_core._configuration_rows import ConfigurationHead
from bilberryplank_core._configuration_store import ConfigurationStore
from bilberryplank_core._configuration_updates import encode_update, update_version
from bilberryplank_core._lease_guard import LeaseGuard
from bilberryplank_core._lease_rows import LeaseRow
from bilberryplank_core._leases import LeaseHolder
from bilberryplank_core._membership import Membership, MemberState
from bilberryplank_core._orders import JournalledOrder, OrderJournal, OrderState
from bilberryplank_core._policy_drains import PolicyDrains
from bilberryplank_core._pollers import PollSchedule, is_poller, poll_configuration
from bilberryplank_core._rendezvous import is_ranked, ranked, rendezvous_weight
from bilberryplank_core._scaling import ScalingPolicy
from bilberryplank_core._scaling_needs import needed_upstreams
from bilberryplank_core._scaling_types import (
    Drain,
    DrainIntent,
    PoolLoad,
    PoolMember,
    ScalingIntent,
    StartIntent,
    StopIntent,
)
from bilberryplank_core._settings import ScalingSettings
from bilberryplank_core._usage_records import USAGE_SHARDS, RequestIds, UsageRecord
from bilberryplank_core._usage_reports import (
    ReportState,
    SealedWindow,
    UsageReporter,
    recover_spilled,
)
from bilberryplank_core._usage_spool import UsageSpool, UsageSpoolCounters
from bilberryplank_core._usage_windows import UsagePass, UsageWindows

__all__ = [
    "ChunkReader",
    "ConfigurationDelta",
    "ConfigurationHead",
    "ConfigurationHolder",
    "ConfigurationStore",
    "Drain",
    "DrainIntent",
    "JournalledOrder",
    "LeaseGuard",
    "LeaseHolder",
    "LeaseRow",
    "MemberState",
    "Membership",
    "OrderJournal",
    "OrderState",
    "PolicyDrains",
    "PollSchedule",
    "PoolLoad",
    "PoolMember",
    "ReportState",
    "RequestIds",
    "ScalingIntent",
    "ScalingPolicy",
    "ScalingSettings",
    "SealedWindow",
    "StartIntent",
    "StopIntent",
    "USAGE_SHARDS",
    "UsagePass",
    "UsageRecord",
    "UsageReporter",
    "UsageSpool",
    "UsageSpoolCounters",
    "UsageWindows",
    "iter_chunks",
    "encode_update",
    "is_ranked",
    "needed_upstreams",
    "poll_configuration",
    "is_poller",
    "ranked",
    "recover_spilled",
    "update_version",
    "rendezvous_weight",
]
