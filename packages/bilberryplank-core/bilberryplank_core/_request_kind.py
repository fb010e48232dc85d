"""The request attributes that the choice of an upstream depends on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RequestKind:
    """The class of a request and the rank of its tier.

    Attributes:
        rank: Rank of the tier; 0 is the highest.
        class_name: Name of the class; times to the first token are compared within a class.
    """

    rank: int = 0
    class_name: str = ""


UNKNOWN_KIND = RequestKind()
"""Default for a request whose class is unknown."""
