"""Tells the other entries what this one has at engines, and hears what they have."""

from __future__ import annotations

import asyncio

from mode import Service

from bilberryplank._direct_state import DirectState
from bilberryplank._table_relay import TableRelay
from bilberryplank_core.direct import WORK_FORMAT, WorkNotice, notice_interval


class WorkRelay(Service):
    """Sends notices of this entry's work while there is any.

    Args:
        relay: Carries the notices.
        state: What the entry knows.
    """

    abstract = False

    def __init__(self, relay: TableRelay, state: DirectState) -> None:
        super().__init__()
        self._relay = relay
        self._state = state

    async def on_started(self) -> None:
        """Begins to tell and to hear."""
        self._relay.hear(WORK_FORMAT, self._take)
        self.add_future(self._tell())

    def _take(self, sender: str, data: bytes) -> None:
        self._state.heard_work(sender, WorkNotice.decode(data))

    async def _tell(self) -> None:
        while not self.should_stop:
            peers = len(self._state.members.addresses)
            await asyncio.sleep(notice_interval(peers))
            if not peers:
                continue
            self._state.note_peers()
            for notice in self._state.work_notices():
                self._relay.tell(notice.encode())
