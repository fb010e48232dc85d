"""Validation of settings beyond types: ranges, addresses, and constraints between values."""

from __future__ import annotations

import re
from typing import Any

from bilberryplank_core._checked_values import is_endpoint
from bilberryplank_core._documents import short_repr
from bilberryplank_core._errors import Fault

MIN_SECRET_CHARS = 16

_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_POLICIES_BY_CLASS = {
    "QueueSettings": ("tiered", "fifo"),
    "RoutingSettings": ("informed", "round_robin"),
}
_URL_FIELDS = frozenset(
    {
        "table",
        "object_store",
        "upstream_orders",
        "usage_reports",
        "host_list",
        "upstream_url",
    }
)
_RATIO_FIELDS = frozenset(
    {
        "long_prefill_share",
        "wasted_work_budget",
        "retry_ratio",
        "attainment_target",
        "low_use",
        "usage_tolerance",
    }
)
_IDENTIFIER_FIELDS = frozenset({"name", "zone", "upstream"})
_IDENTIFIER_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?")


def check_field(name: str, value: Any, place: str) -> list[Fault]:
    """Returns the faults of one value; the name of the field decides which checks apply."""
    if isinstance(value, str):
        return _check_text(name, value, place)
    if name == "operations":
        return [
            fault
            for index, address in enumerate(value)
            for fault in check_address(address, f"{place}[{index}]")
        ]
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return _check_number(name, value, place)
    return []


def check_object(settings: Any, place: str) -> list[Fault]:
    """Returns the faults of one object whose values contradict each other."""
    faults = []
    kind = type(settings).__name__
    policies = _POLICIES_BY_CLASS.get(kind)
    if policies is not None and settings.policy not in policies:
        faults.append(_choice_fault(settings.policy, policies, f"{place}.policy"))
    if (
        kind in ("FleetSettings", "DirectEntrySettings")
        and settings.lease_margin * 2 >= settings.lease_duration
    ):
        faults.append(Fault(f"{place}.lease_margin", "too long", "under half of lease_duration"))
    if kind == "LinkSettings" and settings.silence_limit <= settings.heartbeat_interval:
        faults.append(Fault(f"{place}.silence_limit", "too short", "more than heartbeat_interval"))
    listen = getattr(settings, "listen", None)
    if listen is not None and listen == settings.operations_listen:
        faults.append(Fault(f"{place}.operations_listen", "is also listen", "a port of its own"))
    return faults


def check_address(value: str, place: str) -> list[Fault]:
    """Returns a fault if the value is not `ip:port`, or `[ip]:port` for IPv6."""
    return [] if is_endpoint(value) else [_address_fault(value, place)]


def _check_text(name: str, value: str, place: str) -> list[Fault]:
    if name in ("listen", "operations_listen", "metrics_listen"):
        return check_address(value, place)
    if name == "peer_listen":
        return check_address(value, place) if value else []
    if name in _URL_FIELDS:
        return _check_url(value, place)
    if name in ("fleet_key", "key_hash_secret") and len(value) < MIN_SECRET_CHARS:
        return [Fault(place, "too short", f"at least {MIN_SECRET_CHARS} characters")]
    if name == "level" and value not in _LOG_LEVELS:
        return [_choice_fault(value, _LOG_LEVELS, place)]
    if name in _IDENTIFIER_FIELDS and not _IDENTIFIER_PATTERN.fullmatch(value):
        return [Fault(place, f"is {short_repr(value)}", "1 to 63 of A-Z a-z 0-9 . _ -")]
    return []


def _check_number(name: str, value: float, place: str) -> list[Fault]:
    if name in _RATIO_FIELDS and not 0 <= value <= 1:
        return [Fault(place, f"is {value}", "0 to 1")]
    if name not in _RATIO_FIELDS and not value > 0:
        return [Fault(place, f"is {value}", "more than 0")]
    return []


def _check_url(value: str, place: str) -> list[Fault]:
    address = value.removeprefix("http://").removesuffix("/")
    if value.startswith("http://") and is_endpoint(address):
        return []
    return [Fault(place, f"is {short_repr(value)}", "http://ip:port")]


def _address_fault(value: str, place: str) -> Fault:
    return Fault(place, f"is {short_repr(value)}", "an IP number and port, as ip:port")


def _choice_fault(value: str, allowed: tuple[str, ...], place: str) -> Fault:
    return Fault(place, f"is {short_repr(value)}", "one of " + ", ".join(allowed))
