"""Outcomes of asking a sidecar what became of an attempt."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bilberryplank_core._messages import Head, Usage


class Reception(Enum):
    """What a sidecar does with a `Dispatch` that arrives."""

    NEW = "new"
    DUPLICATE = "duplicate"
    TOMBSTONE = "tombstone"


@dataclass(slots=True, frozen=True)
class KeptAnswer:
    """The attempt ran; this is its whole answer."""

    head: Head
    parts: tuple[bytes, ...]
    usage: Usage


@dataclass(slots=True, frozen=True)
class Running:
    """The attempt is queued or runs; its answer may be waited for.

    Attributes:
        queued: True while it was not yet dispatched.
    """

    queued: bool


@dataclass(slots=True, frozen=True)
class NeverRan:
    """The attempt never ran and never will."""


@dataclass(slots=True, frozen=True)
class Undecidable:
    """The attempt may have run; its answer is not kept."""


Settlement = KeptAnswer | Running | NeverRan | Undecidable
