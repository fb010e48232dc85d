"""Selectors over labels."""

from bilberryplank_core._selectors import Exists, In, Missing, NotIn, Requirement, Selector

__all__ = ["Exists", "In", "Missing", "NotIn", "Requirement", "Selector"]
