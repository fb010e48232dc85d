"""Validation of a configuration beyond its types: each item, then relations between items."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from bilberryplank_core._documents import short_repr
from bilberryplank_core._errors import Fault, SelectorInvalid
from bilberryplank_core._keys import KEY_PREFIX
from bilberryplank_core._selectors import Selector
from bilberryplank_core._settings_checks import check_address
from bilberryplank_core._world import (
    Key,
    Labels,
    Limit,
    ModelRoute,
    Organisation,
    RequestClass,
    ServiceRoute,
    ServiceTier,
    Upstream,
)

if TYPE_CHECKING:
    from bilberryplank_core._configuration import ConfigurationParts

MAX_NAME_CHARS = 128
RESERVED_PATH_PREFIX = "/v1/"

_LABEL_WORD = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?")
_METHOD = re.compile(r"[A-Z]+")
_NAMED_ITEMS = (
    Organisation,
    ServiceTier,
    RequestClass,
    Limit,
    ModelRoute,
    ServiceRoute,
    Upstream,
)
_RESERVED_CALLER_LABELS = frozenset({"organisation"})
_RESERVED_ROUTE_LABELS = frozenset({"route"})
_RESERVED_UPSTREAM_LABELS = frozenset({"upstream", "zone", "kind"})
_LABEL_WORD_DESCRIPTION = "a word that selectors can name: A-Z a-z 0-9 . _ - /"
_SELECTOR_FIELDS = ("organisations", "routes", "upstreams")


def check_item(item: Any, place: str) -> list[Fault]:
    """Returns the faults of one item of a configuration."""
    faults = []
    if isinstance(item, _NAMED_ITEMS):
        faults.extend(_check_name(item.name, f"{place}.name"))
        faults.extend(_check_selectors(item, place))
    match item:
        case Organisation(labels=labels) | Key(labels=labels):
            faults.extend(_check_labels(labels, _RESERVED_CALLER_LABELS, f"{place}.labels"))
        case ModelRoute(labels=labels) | ServiceRoute(labels=labels):
            faults.extend(_check_labels(labels, _RESERVED_ROUTE_LABELS, f"{place}.labels"))
        case Upstream(labels=labels):
            faults.extend(_check_labels(labels, _RESERVED_UPSTREAM_LABELS, f"{place}.labels"))
    faults.extend(_check_values(item, place))
    return faults


def check_parts(parts: ConfigurationParts, place: str) -> list[Fault]:
    """Returns the faults in the relations between items, such as duplicates and bad references."""
    faults = []
    for name in parts.__dataclass_fields__:
        identities = [_identity(item) for item in getattr(parts, name)]
        faults.extend(_check_unique(identities, f"{place}.{name}", "unique names"))
    digests = [key.digest for key in parts.keys]
    faults.extend(_check_unique(digests, f"{place}.keys", "a digest of its own"))
    faults.extend(_check_references(parts, place))
    faults.extend(_check_floors(parts, f"{place}.classes"))
    return faults


def _identity(item: Any) -> str:
    return item.key_id if isinstance(item, Key) else item.name


def _check_name(name: str, place: str) -> list[Fault]:
    if name and name == name.strip() and name.isprintable() and len(name) <= MAX_NAME_CHARS:
        return []
    return [Fault(place, f"is {short_repr(name)}", f"1 to {MAX_NAME_CHARS} printable characters")]


def _check_selectors(item: Any, place: str) -> list[Fault]:
    faults = []
    for name in _SELECTOR_FIELDS:
        try:
            Selector.parse(getattr(item, name, ""))
        except SelectorInvalid as exc:
            faults.append(Fault(f"{place}.{name}", str(exc), "a selector"))
    return faults


def _check_labels(labels: Labels, reserved: frozenset[str], place: str) -> list[Fault]:
    faults = []
    for name, value in labels.items():
        if not _LABEL_WORD.fullmatch(name) or not _LABEL_WORD.fullmatch(value):
            description = f"{short_repr(name)} is {short_repr(value)}"
            faults.append(Fault(place, description, _LABEL_WORD_DESCRIPTION))
        if name in reserved:
            faults.append(Fault(place, f"{name!r} is set by the router", "another label"))
    return faults


def _check_values(item: Any, place: str) -> list[Fault]:
    match item:
        case Organisation():
            return _check_organisation(item, place)
        case Key():
            return _check_key(item, place)
        case ServiceTier(rank=rank) if rank < 0:
            return [Fault(f"{place}.rank", f"is {rank}", "0 or more")]
        case RequestClass():
            return _check_class(item, place)
        case Limit():
            return _check_positive(
                item, place, "requests_per_second", "tokens_per_second", "in_flight"
            )
        case ModelRoute(model=""):
            return [Fault(f"{place}.model", "is empty", "a model's name")]
        case ServiceRoute():
            return _check_service_route(item, place)
        case Upstream():
            return _check_upstream(item, place)
    return []


def _check_organisation(item: Organisation, place: str) -> list[Fault]:
    faults = _check_positive(item, place, "weight")
    if not _LABEL_WORD.fullmatch(item.name):
        faults.append(
            Fault(f"{place}.name", f"is {short_repr(item.name)}", _LABEL_WORD_DESCRIPTION)
        )
    return faults


def _check_positive(item: Any, place: str, *names: str) -> list[Fault]:
    values = [(name, getattr(item, name)) for name in names]
    return [
        Fault(f"{place}.{name}", f"is {value}", "more than 0")
        for name, value in values
        if value is not None and not value > 0
    ]


def _check_key(key: Key, place: str) -> list[Fault]:
    faults = _check_name(key.key_id, f"{place}.key_id")
    if not key.digest:
        faults.append(Fault(f"{place}.digest", "is empty", "the key's digest"))
    if key.digest.startswith(KEY_PREFIX):
        faults.append(Fault(f"{place}.digest", "is a key itself", "the key's digest"))
    return faults


def _check_class(item: RequestClass, place: str) -> list[Fault]:
    faults = _check_positive(item, place, "first_token_target", "token_gap_target", "deadline")
    if not 0 <= item.floor_share <= 1:
        faults.append(Fault(f"{place}.floor_share", f"is {item.floor_share}", "0 to 1"))
    return faults


def _check_service_route(route: ServiceRoute, place: str) -> list[Fault]:
    faults = []
    prefix = route.path_prefix
    if not prefix.startswith("/"):
        faults.append(Fault(f"{place}.path_prefix", f"is {short_repr(prefix)}", "a path from /"))
    if prefix.startswith(RESERVED_PATH_PREFIX):
        faults.append(Fault(f"{place}.path_prefix", "belongs to the models", "another path"))
    if not all(_METHOD.fullmatch(method) for method in route.methods):
        faults.append(Fault(f"{place}.methods", f"is {short_repr(route.methods)}", "as GET, POST"))
    pointer = route.idempotency_pointer
    if pointer and not pointer.startswith("/"):
        expected = "a JSON pointer, as /order/id"
        faults.append(Fault(f"{place}.idempotency_pointer", f"is {short_repr(pointer)}", expected))
    return faults


def _check_upstream(upstream: Upstream, place: str) -> list[Fault]:
    faults = check_address(upstream.address, f"{place}.address")
    faults.extend(_check_name(upstream.zone, f"{place}.zone"))
    if upstream.cost_per_hour < 0:
        faults.append(Fault(f"{place}.cost_per_hour", f"is {upstream.cost_per_hour}", "0 or more"))
    return faults


def _check_unique(values: list[str], place: str, expected: str) -> list[Fault]:
    if len(set(values)) == len(values):
        return []
    seen: set[str] = set()
    faults = []
    for index, value in enumerate(values):
        if value in seen:
            faults.append(Fault(f"{place}[{index}]", f"second {short_repr(value)}", expected))
        seen.add(value)
    return faults


def _check_references(parts: ConfigurationParts, place: str) -> list[Fault]:
    owners = [(f"keys[{i}].organisation", key.organisation) for i, key in enumerate(parts.keys)]
    tiers = [(f"classes[{i}].tier", item.tier) for i, item in enumerate(parts.classes)]
    classes = [
        (f"limits[{i}].classes", name)
        for i, item in enumerate(parts.limits)
        for name in item.classes
    ]
    return [
        *_check_known(owners, parts.organisations, "organisation", place),
        *_check_known(tiers, parts.tiers, "tier", place),
        *_check_known(classes, parts.classes, "class", place),
    ]


def _check_known(
    uses: list[tuple[str, str]], items: Iterable[Any], item_kind: str, place: str
) -> list[Fault]:
    names = {item.name for item in items}
    return [
        Fault(
            f"{place}.{path}",
            f"no {item_kind} {short_repr(name)}",
            f"a {item_kind} of this document",
        )
        for path, name in uses
        if name not in names
    ]


def _check_floors(parts: ConfigurationParts, place: str) -> list[Fault]:
    total = sum(item.floor_share for item in parts.classes)
    if total <= 1:
        return []
    return [Fault(place, f"floor_share adds up to {total:g}", "1 at the most")]
