"""Settings of every process, with their defaults and checks."""

from bilberryplank_core._settings import (
    CallerSettings,
    EntrySettings,
    FleetSettings,
    LinkSettings,
    LogSettings,
    OperatorSettings,
    PlatformSettings,
    QueueSettings,
    RoutingSettings,
    ScalingSettings,
    SidecarSettings,
    check_settings,
    read_settings,
)

__all__ = [
    "CallerSettings",
    "EntrySettings",
    "FleetSettings",
    "LinkSettings",
    "LogSettings",
    "OperatorSettings",
    "PlatformSettings",
    "QueueSettings",
    "RoutingSettings",
    "ScalingSettings",
    "SidecarSettings",
    "check_settings",
    "read_settings",
]
