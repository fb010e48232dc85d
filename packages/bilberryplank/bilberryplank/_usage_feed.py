"""Usage records of a process on their way to the table."""

from __future__ import annotations

from mode import Service

from bilberryplank_core.messages import Usage


class UsageFeed(Service):
    """Keeps usage records until the store has them."""

    def record(self, request_id: str, organisation: str, class_name: str, usage: Usage) -> None:
        """Adds what a request used."""

    def peer_stored(self, record_ids: list[str]) -> None:
        """Drops the copies of records that a peer says are stored."""
