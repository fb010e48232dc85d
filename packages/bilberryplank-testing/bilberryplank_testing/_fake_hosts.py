"""Fake of the platform's lagging list of hosts."""

from __future__ import annotations

from typing import Any


class FakeHosts:
    """Answers with the list that was in force `lag` seconds ago."""

    __slots__ = ("_lists", "lag")

    def __init__(self, lag: float) -> None:
        self.lag = lag
        self._lists: list[tuple[float, list[dict[str, Any]]]] = []

    def set(self, hosts: list[dict[str, Any]], now: float) -> None:
        """Puts a list in force."""
        # The first list has no past to lag behind.
        at = now if self._lists else float("-inf")
        self._lists.append((at, hosts))

    def get(self, at: float) -> list[dict[str, Any]]:
        """Returns the list shown at a moment."""
        shown: list[dict[str, Any]] = []
        for since, hosts in self._lists:
            if since <= at - self.lag:
                shown = hosts
        return shown
