"""The shared configuration: one document with one version, kept in the table service."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import Any

from bilberryplank_core._documents import DocumentReader
from bilberryplank_core._errors import ConfigurationInvalid, SelectorInvalid
from bilberryplank_core._selectors import Selector
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


@dataclass(slots=True, frozen=True)
class ConfigurationParts:
    """The document as operators write it; names are unique within each list."""

    organisations: tuple[Organisation, ...] = ()
    keys: tuple[Key, ...] = ()
    tiers: tuple[ServiceTier, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    limits: tuple[Limit, ...] = ()
    model_routes: tuple[ModelRoute, ...] = ()
    service_routes: tuple[ServiceRoute, ...] = ()
    upstreams: tuple[Upstream, ...] = ()


@dataclass(slots=True)
class Configuration:
    """A checked configuration with look-ups by name.

    Attributes:
        version: Grows with each accepted change; 0 before the first.
        parts: The document.
    """

    version: int = 0
    parts: ConfigurationParts = field(default_factory=ConfigurationParts)
    organisations: dict[str, Organisation] = field(init=False)
    keys: dict[str, Key] = field(init=False)
    keys_by_digest: dict[str, Key] = field(init=False)
    tiers: dict[str, ServiceTier] = field(init=False)
    classes: dict[str, RequestClass] = field(init=False)
    upstreams: dict[str, Upstream] = field(init=False)

    def __post_init__(self) -> None:
        self.organisations = {item.name: item for item in self.parts.organisations}
        self.keys = {item.key_id: item for item in self.parts.keys}
        self.keys_by_digest = {item.digest: item for item in self.parts.keys}
        self.tiers = {item.name: item for item in self.parts.tiers}
        self.classes = {item.name: item for item in self.parts.classes}
        self.upstreams = {item.name: item for item in self.parts.upstreams}

    @classmethod
    def from_document(cls, version: int, document: Any) -> Configuration:
        """Returns the checked configuration in a parsed JSON document.

        Raises:
            ConfigurationInvalid: With every fault of the document.
        """
        reader = DocumentReader()
        parts = reader.read(ConfigurationParts, document, "configuration")
        if parts is not None:
            _check(parts, reader)
        if parts is None or reader.faults:
            raise ConfigurationInvalid(reader.faults)
        return cls(version, parts)

    @classmethod
    def from_bytes(cls, version: int, data: bytes) -> Configuration:
        """Returns the checked configuration in JSON bytes.

        Raises:
            ConfigurationInvalid: With every fault of the document.
        """
        reader = DocumentReader()
        try:
            document = json.loads(data)
        except ValueError as exc:
            reader.fault("configuration", f"is not JSON: {exc}")
            raise ConfigurationInvalid(reader.faults) from exc
        return cls.from_document(version, document)

    def to_document(self) -> dict[str, Any]:
        """Returns the document as plain JSON values."""
        document = asdict(self.parts)
        for upstream in document["upstreams"]:
            upstream["kind"] = upstream["kind"].value
        return document

    def to_bytes(self) -> bytes:
        """Returns the document as JSON bytes."""
        return json.dumps(self.to_document(), separators=(",", ":")).encode()

    def caller_labels(self, key: Key) -> Labels:
        """Returns the labels of a key over those of its organisation."""
        organisation = self.organisations[key.organisation]
        return {**organisation.labels, **key.labels, "organisation": organisation.name}

    def rank(self, class_name: str) -> int:
        """Returns the rank of a class's tier; 0 is the highest."""
        return self.tiers[self.classes[class_name].tier].rank


def _check(parts: ConfigurationParts, reader: DocumentReader) -> None:
    for name in parts.__dataclass_fields__:
        items = getattr(parts, name)
        _check_unique(name, items, reader)
        for index, item in enumerate(items):
            _check_selectors(item, f"configuration.{name}[{index}]", reader)
    _check_references(parts, reader)


def _check_unique(name: str, items: tuple[Any, ...], reader: DocumentReader) -> None:
    seen = set()
    for index, item in enumerate(items):
        identity = item.key_id if isinstance(item, Key) else item.name
        if identity in seen:
            reader.fault(f"configuration.{name}[{index}]", f"second {identity!r}", "unique names")
        seen.add(identity)


def _check_selectors(item: Any, place: str, reader: DocumentReader) -> None:
    for name in ("organisations", "routes", "upstreams"):
        text = getattr(item, name, "")
        try:
            Selector.parse(text)
        except SelectorInvalid as exc:
            reader.fault(f"{place}.{name}", str(exc), "a selector")


def _check_references(parts: ConfigurationParts, reader: DocumentReader) -> None:
    organisations = {item.name for item in parts.organisations}
    tiers = {item.name for item in parts.tiers}
    classes = {item.name for item in parts.classes}
    for index, key in enumerate(parts.keys):
        if key.organisation not in organisations:
            reader.fault(f"configuration.keys[{index}].organisation", "no such organisation")
    for index, request_class in enumerate(parts.classes):
        if request_class.tier not in tiers:
            reader.fault(f"configuration.classes[{index}].tier", "no such tier")
    for index, limit in enumerate(parts.limits):
        for name in limit.classes:
            if name not in classes:
                reader.fault(f"configuration.limits[{index}].classes", f"no class {name!r}")
