"""Enumerations of the configuration entities."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """Kind of process that a host runs."""

    ENTRY = "entry"
    SIDECAR = "sidecar"


class UpstreamKind(Enum):
    """Kind of upstream behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class HostState(Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"
