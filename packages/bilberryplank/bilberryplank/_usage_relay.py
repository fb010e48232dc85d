"""Tells other entries what they need of the usage duty where the store fails."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from loguru import logger

from bilberryplank._logs import log_event
from bilberryplank._table_relay import TableRelay
from bilberryplank_core.direct import (
    COUNTS_FORMAT,
    LEASE_FORMAT,
    SEAL_FORMAT,
    CountsNotice,
    LeaseNotice,
    NoticeInvalid,
    SealNotice,
)

HANDOVER_PEERS = 4
"""Entries that each row of counts is handed to: most of them may stop or be cut off as well."""


class UsageRelay:
    """Sends and hears notices of counts and of the lease.

    Args:
        relay: Carries the notices.
        writer: Name and epoch of this process, as in the keys of its rows.
        rng: Chooses the entries that are told.
    """

    __slots__ = ("_relay", "_rng", "_writer")

    def __init__(self, relay: TableRelay, writer: str, rng: Random) -> None:
        self._relay = relay
        self._writer = writer
        self._rng = rng

    def hear(
        self,
        take_counts: Callable[[CountsNotice], bool],
        take_lease: Callable[[str, str], None],
        take_seal: Callable[[SealNotice], None],
    ) -> None:
        """Passes notices on; `take_counts` returns False for a row that it does not keep."""

        def counts(sender: str, data: bytes) -> None:
            notice = CountsNotice.decode(data)
            if take_counts(notice):
                requests = sum(notice.counts.values())
                names = {"window": notice.window, "writer": notice.writer, "requests": requests}
                log_event(logger, "usage_taken_over", sender=sender, **names)

        def lease(_: str, data: bytes) -> None:
            notice = LeaseNotice.decode(data)
            take_lease(notice.lease, notice.grant)

        self._relay.hear(COUNTS_FORMAT, counts)
        self._relay.hear(LEASE_FORMAT, lease)
        self._relay.hear(SEAL_FORMAT, lambda _, data: take_seal(SealNotice.decode(data)))

    def hand_over(self, rows: Mapping[int, Mapping[str, int]]) -> None:
        """Tells some entries the final counts of this process, by window."""
        for window, counts in rows.items():
            told = {"window": window, "requests": sum(counts.values())}
            try:
                data = CountsNotice(window, self._writer, counts).encode()
            except NoticeInvalid as exc:
                log_event(logger, "usage_too_long", level="WARNING", cause=exc, **told)
                continue
            entries = self._relay.tell_some(data, HANDOVER_PEERS, self._rng)
            log_event(logger, "usage_handed_over", entries=entries, **told)

    def tell_seal(self, window: int, counts: Mapping[str, int]) -> None:
        """Tells some entries the counts with which a window is reported."""
        try:
            data = SealNotice(window, counts).encode()
        except NoticeInvalid as exc:
            log_event(logger, "usage_too_long", level="WARNING", cause=exc, window=window)
            return
        self._relay.tell_some(data, HANDOVER_PEERS, self._rng)

    def give_up(self, lease: str, grant: str) -> None:
        """Tells all entries that this one acts on a grant no more."""
        self._relay.tell(LeaseNotice(lease, grant).encode())
