"""Settings of every process, with their defaults and checks."""

from bilberryplank_core._settings import (
    CallerSettings,
    DirectEntrySettings,
    EntrySettings,
    FleetSettings,
    LinkSettings,
    LogSettings,
    OperatorSettings,
    PlatformSettings,
    QueueSettings,
    RetryBudgetSettings,
    RoutingSettings,
    ScalingSettings,
    SidecarSettings,
    check_settings,
    read_settings,
)

__all__ = [
    "CallerSettings",
    "DirectEntrySettings",
    "EntrySettings",
    "FleetSettings",
    "LinkSettings",
    "LogSettings",
    "OperatorSettings",
    "PlatformSettings",
    "QueueSettings",
    "RetryBudgetSettings",
    "RoutingSettings",
    "ScalingSettings",
    "SidecarSettings",
    "check_settings",
    "read_settings",
]
