"""The shared configuration: one versioned document, stored in the table service."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from bilberryplank_core._configuration_checks import check_item, check_parts
from bilberryplank_core._documents import DocumentReader
from bilberryplank_core._errors import ConfigurationInvalid, Fault
from bilberryplank_core._json_text import parse_json
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

DOCUMENT_PATH = "configuration"


@dataclass(slots=True, frozen=True)
class ConfigurationParts:
    """The configuration document as operators write it; names are unique within each list."""

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
    """A validated configuration with look-ups by name.

    Attributes:
        version: Version of the document; each accepted change adds one, 0 before the first.
        parts: The document.
        ignored: Number of members and items of the document that were left out because they are
            unknown here: a newer release wrote them.
    """

    version: int = 0
    parts: ConfigurationParts = field(default_factory=ConfigurationParts)
    ignored: int = 0
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
    def from_document(cls, version: int, document: Any, strict: bool = True) -> Configuration:
        """Returns the validated configuration in a parsed JSON document.

        Args:
            version: Version of the document.
            document: The document.
            strict: False if the document was accepted before, perhaps by a newer release; members
                that are unknown here are then left out.

        Raises:
            ConfigurationInvalid: With every fault of the document.
        """
        reader = DocumentReader(check_item, strict=strict)
        parts = reader.read(ConfigurationParts, document, DOCUMENT_PATH)
        if parts is None:
            raise ConfigurationInvalid(reader.faults)
        if faults := check_parts(parts, DOCUMENT_PATH):
            raise ConfigurationInvalid(faults)
        return cls(version, parts, reader.ignored)

    @classmethod
    def from_bytes(cls, version: int, data: bytes, strict: bool = True) -> Configuration:
        """Returns the validated configuration in JSON bytes, with or without comments.

        Args:
            version: Version of the document.
            data: The document.
            strict: False if the document was accepted before, perhaps by a newer release; members
                that are unknown here are then left out.

        Raises:
            ConfigurationInvalid: With every fault of the document.
        """
        try:
            text = data.decode()
        except UnicodeDecodeError as exc:
            raise ConfigurationInvalid([Fault(DOCUMENT_PATH, "is not UTF-8 text")]) from exc
        document, faults = parse_json(text, DOCUMENT_PATH)
        if faults:
            raise ConfigurationInvalid(faults)
        return cls.from_document(version, document, strict)

    def to_document(self) -> dict[str, Any]:
        """Returns the document as plain JSON values."""
        return _to_json_value(asdict(self.parts))

    def to_bytes(self) -> bytes:
        """Returns the document as JSON bytes."""
        return json.dumps(self.to_document(), separators=(",", ":")).encode()

    def caller_labels(self, key: Key) -> Labels:
        """Returns the labels of a key merged over those of its organisation."""
        organisation = self.organisations[key.organisation]
        return {**organisation.labels, **key.labels, "organisation": organisation.name}

    def rank(self, class_name: str) -> int:
        """Returns the rank of the tier of a class; 0 is the highest priority."""
        return self.tiers[self.classes[class_name].tier].rank


def _to_json_value(value: Any) -> Any:
    match value:
        case dict():
            return {name: _to_json_value(item) for name, item in value.items()}
        case list() | tuple():
            return [_to_json_value(item) for item in value]
        case Enum():
            return value.value
    return value
