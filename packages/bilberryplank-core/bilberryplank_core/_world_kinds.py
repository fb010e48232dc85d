"""Kinds of things that operators know."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """What a process of the system is."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class UpstreamKind(Enum):
    """What stands behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class HostState(Enum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
