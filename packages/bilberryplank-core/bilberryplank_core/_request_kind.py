"""What the choice of an upstream needs to know of a request's class."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RequestKind:
    """Class of a request and the rank of its tier.

    Attributes:
        rank: Rank of the tier; 0 is the highest.
        class_name: Name of the class; first-token times are compared within it.
    """

    rank: int = 0
    class_name: str = ""


UNKNOWN_KIND = RequestKind()
"""Kind of a request of which nothing is known."""
