"""Edits of the configuration that can be reapplied to any newer version."""

from __future__ import annotations

from dataclasses import replace

from bilberryplank_core._configuration import ConfigurationParts
from bilberryplank_core._errors import ConfigurationInvalid, Fault
from bilberryplank_core._world import Key


def _no_such_name(place: str, name: str) -> ConfigurationInvalid:
    return ConfigurationInvalid([Fault(place, f"no {name!r}", "an existing name")])


def with_key(parts: ConfigurationParts, key: Key) -> ConfigurationParts:
    """Returns parts with one more key; the same parts if the key is already there."""
    if key in parts.keys:
        return parts
    return replace(parts, keys=(*parts.keys, key))


def with_withdrawn(parts: ConfigurationParts, key_id: str) -> ConfigurationParts:
    """Returns parts with a key marked as withdrawn."""
    if all(key.key_id != key_id for key in parts.keys):
        raise _no_such_name("configuration.keys", key_id)
    keys = tuple(
        replace(key, withdrawn=True) if key.key_id == key_id else key for key in parts.keys
    )
    return replace(parts, keys=keys)


def with_draining(parts: ConfigurationParts, name: str, draining: bool) -> ConfigurationParts:
    """Returns parts with the drain flag of an upstream set or cleared."""
    if all(upstream.name != name for upstream in parts.upstreams):
        raise _no_such_name("configuration.upstreams", name)
    upstreams = tuple(
        replace(upstream, draining=draining) if upstream.name == name else upstream
        for upstream in parts.upstreams
    )
    return replace(parts, upstreams=upstreams)
