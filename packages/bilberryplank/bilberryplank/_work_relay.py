"""Tells the other entries that this one lives and what it has at engines, and hears them."""

from __future__ import annotations

import asyncio

from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._direct_state import DirectState
from bilberryplank._table_relay import TableRelay
from bilberryplank_core.direct import (
    HEARTBEAT_FORMAT,
    HEARTBEAT_INTERVAL_SECONDS,
    WORK_FORMAT,
    WorkNotice,
    check_heartbeat,
    heartbeat_notice,
    notice_interval,
)


class WorkRelay(Service):
    """Sends notices of this entry's work, and of its presence while there is none.

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
        self._relay.hear(HEARTBEAT_FORMAT, check_heartbeat)
        self.add_future(self._tell())

    def _take(self, sender: str, data: bytes) -> None:
        self._state.heard_work(sender, WorkNotice.decode(data))

    async def _tell(self) -> None:
        told_at = float("-inf")
        while not self.should_stop:
            peers = len(self._state.members.addresses)
            await asyncio.sleep(notice_interval(peers))
            if not peers:
                continue
            self._state.note_peers()
            notices = [notice.encode() for notice in self._state.work_notices()]
            now = boot_time()
            if not notices and now - told_at >= HEARTBEAT_INTERVAL_SECONDS:
                notices = [heartbeat_notice()]
            for data in notices:
                self._relay.tell(data)
                told_at = now
