"""Metrics of a process."""

from bilberryplank._metrics import (
    NO_CLASS,
    FrameDropCause,
    PlatformOutcome,
    PlatformService,
    ProcessMetrics,
    RequestOutcome,
    TokenUse,
    UsageEvent,
)

__all__ = [
    "NO_CLASS",
    "FrameDropCause",
    "PlatformOutcome",
    "PlatformService",
    "ProcessMetrics",
    "RequestOutcome",
    "TokenUse",
    "UsageEvent",
]
