"""Liveness of the other entries, by when each last sent a notice.

Motivating load: entries that end without a notice, beside others that are only cut off from the
store.
"""

from __future__ import annotations

from collections.abc import Collection

import msgpack

from bilberryplank_core._notice_format import unpack_notice

HEARTBEAT_FORMAT = 5
MAX_HEARTBEAT_BYTES = 16

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Interval of the heartbeats of an entry that has no other notice to send."""

PEER_SILENCE_SECONDS = 8.0
"""An entry that sent nothing for this long, while others did, is considered gone. A process is
usually paused, or its host cut off, for a shorter time."""

ANY_PEER_HEARD_SECONDS = 2.0
"""If no entry sent anything for this long, the state of all of them is unknown."""


def heartbeat_notice() -> bytes:
    """Returns the datagram of a heartbeat."""
    return msgpack.packb([HEARTBEAT_FORMAT])


def check_heartbeat(_: str, data: bytes) -> None:
    """Checks a heartbeat, whose sender was already recorded.

    Raises:
        NoticeInvalid: The datagram is not a heartbeat.
    """
    unpack_notice(data, HEARTBEAT_FORMAT, MAX_HEARTBEAT_BYTES, fields=0)


class PeerLiveness:
    """Times of the last notices by the address of the sender.

    Args:
        now: Seconds on the clock that is used for all times here.
    """

    __slots__ = ("_started_at", "_heard_at", "_last_heard_at")

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._last_heard_at = float("-inf")
        self._heard_at: dict[str, float] = {}

    def record_heard(self, address: str, now: float) -> None:
        """Records that an entry sent a notice."""
        self._last_heard_at = now
        self._heard_at[address] = now

    def is_silent(self, address: str, now: float) -> bool:
        """Returns True if an entry sends nothing while others do."""
        if now - self._last_heard_at > ANY_PEER_HEARD_SECONDS:
            return False
        return now - self._heard_at.get(address, self._started_at) > PEER_SILENCE_SECONDS

    def retain(self, addresses: Collection[str]) -> None:
        """Drops all other addresses."""
        self._heard_at = {
            address: at for address, at in self._heard_at.items() if address in addresses
        }
