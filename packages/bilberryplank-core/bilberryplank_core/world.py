"""Entities that the configuration describes."""

from bilberryplank_core._world import (
    Host,
    HostState,
    Key,
    Labels,
    Limit,
    ModelRoute,
    Organisation,
    RequestClass,
    Role,
    Route,
    ServiceRoute,
    ServiceTier,
    Upstream,
    UpstreamKind,
)

__all__ = [
    "Host",
    "HostState",
    "Key",
    "Labels",
    "Limit",
    "ModelRoute",
    "Organisation",
    "RequestClass",
    "Role",
    "Route",
    "ServiceRoute",
    "ServiceTier",
    "Upstream",
    "UpstreamKind",
]
