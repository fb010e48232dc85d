"""When each of the other entries was last heard.

Load pattern: entries that end without a word, beside others that are cut off from the store alone.
"""

from __future__ import annotations

from collections.abc import Collection

import msgpack

from bilberryplank_core._notice_format import unpack_notice

HEARTBEAT_FORMAT = 5
MAX_HEARTBEAT_BYTES = 16

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""An entry that has nothing else to tell says this often that it is there."""

PEER_SILENCE_SECONDS = 8.0
"""An entry that others are heard without for so long is taken as gone: longer than a process is
usually frozen, or its host cut off."""

ANY_PEER_HEARD_SECONDS = 2.0
"""Where no entry was heard for so long, nothing is known of any of them."""


def heartbeat_notice() -> bytes:
    """Returns the datagram of an entry that has nothing else to tell."""
    return msgpack.packb([HEARTBEAT_FORMAT])


def check_heartbeat(_: str, data: bytes) -> None:
    """Takes a notice of presence, whose sender was noted as heard already.

    Raises:
        NoticeInvalid: It is none.
    """
    unpack_notice(data, HEARTBEAT_FORMAT, MAX_HEARTBEAT_BYTES, fields=0)


class PeerLiveness:
    """What was heard, by the address of the sender.

    Args:
        now: Seconds on the clock that all times here are told by.
    """

    __slots__ = ("_started_at", "_heard_at", "_last_heard_at")

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._last_heard_at = float("-inf")
        self._heard_at: dict[str, float] = {}

    def record_heard(self, address: str, now: float) -> None:
        """Takes in that an entry said something."""
        self._last_heard_at = now
        self._heard_at[address] = now

    def is_silent(self, address: str, now: float) -> bool:
        """Returns True where an entry says nothing while others do."""
        if now - self._last_heard_at > ANY_PEER_HEARD_SECONDS:
            return False
        return now - self._heard_at.get(address, self._started_at) > PEER_SILENCE_SECONDS

    def retain(self, addresses: Collection[str]) -> None:
        """Forgets all other addresses."""
        self._heard_at = {each: at for each, at in self._heard_at.items() if each in addresses}
