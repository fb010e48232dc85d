"""Fake of the interface that accepts usage reports, once per window."""

from __future__ import annotations

from enum import Enum
from typing import Any


class ReportOutcome(Enum):
    """What became of a report."""

    STORED = 201
    SAME = 200
    OTHER_FIGURES = 409


class FakeReports:
    """Keeps the first figures of each window.

    Attributes:
        windows: Lines by window, as first reported.
    """

    __slots__ = ("windows",)

    def __init__(self) -> None:
        self.windows: dict[str, list[dict[str, Any]]] = {}

    def accept(self, window: str, lines: list[dict[str, Any]]) -> ReportOutcome:
        """Stores the first report of a window, and compares later ones with it."""
        if window not in self.windows:
            self.windows[window] = lines
            return ReportOutcome.STORED
        same = self.windows[window] == lines
        return ReportOutcome.SAME if same else ReportOutcome.OTHER_FIGURES
