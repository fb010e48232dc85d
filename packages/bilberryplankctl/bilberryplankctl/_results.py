"""What each command returns; `_rendering` turns it into text or JSON."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from bilberryplankctl._differences import Change


@dataclass(slots=True, frozen=True)
class Checked:
    """A file without faults."""

    path: str
    kind: str


@dataclass(slots=True, frozen=True)
class Applied:
    """The configuration in force after a command.

    Attributes:
        version: Version in force.
        changes: What the command changed; empty where it found everything as wished.
    """

    version: int
    changes: tuple[Change, ...]


@dataclass(slots=True, frozen=True)
class Document:
    """The configuration in force."""

    version: int
    document: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Differences:
    """What applying a file would change."""

    version: int
    changes: tuple[Change, ...]


@dataclass(slots=True, frozen=True)
class KeyCreated:
    """A new key; its secret is shown this once."""

    version: int
    key_id: str
    organisation: str
    secret: str = field(repr=False)


@dataclass(slots=True, frozen=True)
class EngineOrderAsked:
    """An order to an engine that was written down and not yet sent."""

    order_id: str
    upstream: str
    action: str
    argument: str


@dataclass(slots=True, frozen=True)
class KeyWithdrawn:
    """A withdrawn key."""

    version: int
    key_id: str


@dataclass(slots=True, frozen=True)
class KeyLine:
    """A key without its digest."""

    key_id: str
    organisation: str
    withdrawn: bool
    labels: dict[str, str]


@dataclass(slots=True, frozen=True)
class KeyList:
    """Keys of the configuration in force."""

    version: int
    keys: tuple[KeyLine, ...]


@dataclass(slots=True, frozen=True)
class UpstreamDrained:
    """An upstream whose drain flag was set or cleared."""

    version: int
    upstream: str
    draining: bool


@dataclass(slots=True, frozen=True)
class ProcessAnswer:
    """What one process said.

    Attributes:
        address: `ip:port` of its operators' port.
        answer: Parsed answer; None where it has none.
        error: Why it was not reached; empty where it was.
    """

    address: str
    answer: Any = None
    error: str = ""


@dataclass(slots=True, frozen=True)
class FleetStatus:
    """Status of the processes."""

    processes: tuple[ProcessAnswer, ...]


@dataclass(slots=True, frozen=True)
class Explanation:
    """Decisions about one request, by time.

    Attributes:
        request: Request id.
        decisions: Decisions as the processes tell them.
        unreached: Processes that did not answer.
    """

    request: str
    decisions: tuple[dict[str, Any], ...]
    unreached: tuple[ProcessAnswer, ...]


@dataclass(slots=True, frozen=True)
class LogExplanation:
    """Log lines about a request, with those that may explain them, by time."""

    request_id: str
    lines: tuple[str, ...]


Result = (
    Checked
    | Applied
    | Document
    | Differences
    | KeyCreated
    | KeyWithdrawn
    | KeyList
    | UpstreamDrained
    | EngineOrderAsked
    | FleetStatus
    | Explanation
    | LogExplanation
)
