"""Datagrams by which entries tell each other that a table has not changed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from random import Random
from typing import Any

from loguru import logger
from mode import Service

from bilberryplank._clocks import boot_time
from bilberryplank._logs import log_event
from bilberryplank_core.direct import (
    TABLE_FORMAT,
    EraTracker,
    FleetClock,
    FleetMembers,
    NoticeInvalid,
    PeerLiveness,
    TableChanges,
    TableNotice,
    UnchangedSpan,
)
from bilberryplank_core.errors import BilberryplankError

MAX_TABLES = 16
"""Tables of which notices are kept; entries read two."""

RANKING_SECONDS = 1.0
"""How often the table pollers are chosen again among the entries that are not silent."""

MAX_ODD_SENDERS = 64
"""Senders of datagrams that were refused and logged, each once; the rest are refused in silence."""


Taker = Callable[[str, bytes], None]


class TableRelay(Service):
    """Tells other entries what this one read, and hears what they read.

    Only datagrams from the addresses in the entries' rows count. Notices wait in one slot a table,
    the newest one, so they take no memory whoever sends them.

    Args:
        listen: `ip:port` to hear at; empty to tell and hear nothing.
        members: The entries of the fleet.
        fleet_clock: Turns the store's times into those of this process.
        eras: Eras of the store.
    """

    abstract = False

    def __init__(
        self, listen: str, members: FleetMembers, fleet_clock: FleetClock, eras: EraTracker
    ) -> None:
        super().__init__()
        self._listen = listen
        self._members = members
        self._fleet_clock = fleet_clock
        self._eras = eras
        eras.subscribe(self._forget_revisions)
        self._transport: asyncio.DatagramTransport | None = None
        self._spans: dict[str, UnchangedSpan] = {}
        self._heard: dict[str, TableNotice] = {}
        self._arrivals: dict[str, asyncio.Event] = {}
        self._odd_senders: set[str] = set()
        self._liveness = PeerLiveness(boot_time())
        self._stranger: Callable[[], None] = lambda: None
        self._is_table_poller = False
        self._rank_at = float("-inf")
        self._takers: dict[int, Taker] = {TABLE_FORMAT: self._take_notice}

    async def on_start(self) -> None:
        """Opens the socket; without one this entry reads for itself, as in a small fleet."""
        if not self._listen:
            return
        host, _, port = self._listen.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self), local_addr=(host, int(port))
            )
        except OSError as exc:
            log_event(logger, "relay_closed", level="WARNING", listen=self._listen, cause=exc)

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    @property
    def entries(self) -> int:
        """Number of entries known."""
        return self._members.size or 1

    @property
    def listens(self) -> bool:
        """True where others read the tables for this entry."""
        large = self._transport is not None and self._members.is_large
        return large and not self.is_table_poller

    @property
    def is_table_poller(self) -> bool:
        """True where this entry reads the tables for others, in place of any that fell silent."""
        now = boot_time()
        if now >= self._rank_at:
            self._rank_at = now + RANKING_SECONDS
            self._liveness.retain(self._members.addresses)
            silent = {
                address
                for address in self._members.addresses
                if self._liveness.is_silent(address, now)
            }
            self._is_table_poller = self._members.is_table_poller(silent)
        return self._is_table_poller

    def answered(self, table: str, changes: TableChanges, whole: bool) -> None:
        """Takes in an answer of a table, and tells the others where this entry reads for them."""
        changed = whole or bool(changes.rows or changes.removed)
        span = self._span(table)
        span.record_answer(changes.revision, changed)
        if self._transport is None or changes.store_time is None:
            return
        notice = span.make_notice(table, changes.store_time)
        if notice is None or not self.is_table_poller:
            return
        self.tell(notice.encode())

    def hear(self, number: int, taker: Taker) -> None:
        """Passes notices of one format on.

        Args:
            number: The format: the first element of a notice.
            taker: Takes sender and notice; raises an error of the project where it holds none.
        """
        self._takers[number] = taker

    def hear_strangers(self, taker: Callable[[], None]) -> None:
        """Has `taker` called for each notice from an address that no known entry has."""
        self._stranger = taker

    def tell(self, data: bytes) -> None:
        """Sends a notice to all other entries."""
        self._send(data, self._members.addresses)

    def tell_some(self, data: bytes, most: int, rng: Random) -> int:
        """Sends a notice to some of the entries that are not silent; returns how many."""
        now = boot_time()
        known = sorted(self._members.addresses)
        addresses = [each for each in known if not self._liveness.is_silent(each, now)]
        chosen = rng.sample(addresses, min(most, len(addresses)))
        return self._send(data, chosen)

    def _send(self, data: bytes, addresses: Collection[str]) -> int:
        if self._transport is None:
            return 0
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
        return len(addresses)

    def is_silent(self, name: str) -> bool:
        """Returns True where an entry says nothing while others do."""
        self._liveness.retain(self._members.addresses)
        address = self._members.address_of(name)
        return address is not None and self._liveness.is_silent(address, boot_time())

    def lost(self, table: str) -> None:
        """Takes in that a read of a table failed."""
        self._span(table).record_failure()

    def _span(self, table: str) -> UnchangedSpan:
        return self._spans.setdefault(table, UnchangedSpan(self._eras.current or 0))

    def _forget_revisions(self, _: int) -> None:
        """Forgets what was said of an earlier era, and has the tables read at once."""
        self._spans.clear()
        self._heard.clear()
        for arrival in self._arrivals.values():
            arrival.set()

    async def next(self, table: str, timeout: float) -> TableNotice | None:
        """Returns the newest notice that was not taken yet; None where a read is due."""
        arrival = self._arrivals.setdefault(table, asyncio.Event())
        try:
            async with asyncio.timeout(max(0.0, timeout)):
                await arrival.wait()
        except TimeoutError:
            return None
        arrival.clear()
        return self._heard.get(table)

    def as_of(self, notice: TableNotice) -> float | None:
        """Returns the moment of a notice on this process's clock; None where it tells none."""
        return (
            None
            if notice.store_time is None
            else self._fleet_clock.earliest_local(notice.store_time)
        )

    def take(self, data: bytes, address: str) -> None:
        """Takes in a datagram."""
        try:
            if address not in self._members.addresses:
                self._stranger()
                raise NoticeInvalid("no entry is known at this address")
            self._liveness.record_heard(address, boot_time())
            # The first byte says how many elements follow, the second is the first of them.
            taker = self._takers.get(data[1] if len(data) > 1 else -1)
            if taker is None:
                raise NoticeInvalid("no known format")
            taker(address, data)
        except BilberryplankError as exc:
            self._refuse(address, exc)

    def _take_notice(self, _: str, data: bytes) -> None:
        notice = TableNotice.decode(data)
        before = self._heard.get(notice.table)
        if before is None and len(self._heard) >= MAX_TABLES:
            return
        if before is None or notice.is_newer_than(before):
            self._heard[notice.table] = notice
            self._arrivals.setdefault(notice.table, asyncio.Event()).set()

    def _refuse(self, address: str, exc: BilberryplankError) -> None:
        if address in self._odd_senders or len(self._odd_senders) >= MAX_ODD_SENDERS:
            return
        self._odd_senders.add(address)
        log_event(logger, "notice_refused", level="WARNING", sender=address, cause=exc)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, relay: TableRelay) -> None:
        self._relay = relay

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._relay.take(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        # An entry that stopped: its row goes soon, and notices may be lost anyway.
        log_event(logger, "notice_not_sent", level="DEBUG", cause=exc)
