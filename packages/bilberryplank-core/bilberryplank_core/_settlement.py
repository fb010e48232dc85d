"""Answers of a sidecar about the outcome of an attempt."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bilberryplank_core._messages import Head, Usage


class DispatchStatus(Enum):
    """Whether a `Dispatch` that arrives may run."""

    NEW = "new"
    DUPLICATE = "duplicate"
    TOMBSTONE = "tombstone"


@dataclass(slots=True, frozen=True)
class KeptAnswer:
    """The attempt ran; this is its complete answer."""

    head: Head
    parts: tuple[bytes, ...]
    usage: Usage


@dataclass(slots=True, frozen=True)
class Running:
    """The attempt is queued or running; its answer can be awaited.

    Attributes:
        queued: True if it has not been dispatched yet.
    """

    queued: bool


@dataclass(slots=True, frozen=True)
class NeverRan:
    """The attempt has not run and never will."""


@dataclass(slots=True, frozen=True)
class Undecidable:
    """The attempt may have run; its answer is not available."""


Settlement = KeptAnswer | Running | NeverRan | Undecidable
