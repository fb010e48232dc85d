"""One line when something that a process depends on is lost, and one when it is regained."""

from __future__ import annotations

from loguru import logger

from bilberryplank._logs import log_event


class Dependency:
    """Whether the last use of something succeeded.

    Args:
        name: What it is, as it stands in the lines.
    """

    __slots__ = ("_name", "failures")

    def __init__(self, name: str) -> None:
        self._name = name
        self.failures = 0

    def failed(self, cause: object) -> None:
        """Takes in a failure; only the first in a row is written."""
        if not self.failures:
            log_event(
                logger, "dependency_lost", level="WARNING", dependency=self._name, cause=cause
            )
        self.failures += 1

    def answered(self) -> bool:
        """Takes in a success; returns True where it ends a row of failures."""
        if not self.failures:
            return False
        log_event(logger, "dependency_regained", dependency=self._name, failures=self.failures)
        self.failures = 0
        return True
