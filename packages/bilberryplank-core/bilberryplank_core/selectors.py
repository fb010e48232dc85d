"""Label selectors."""

from bilberryplank_core._selectors import (
    Exists,
    In,
    LabelProjection,
    Missing,
    NotIn,
    Requirement,
    Selector,
    could_match_both,
)

__all__ = [
    "Exists",
    "In",
    "LabelProjection",
    "Missing",
    "NotIn",
    "Requirement",
    "Selector",
    "could_match_both",
]
