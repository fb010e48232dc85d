"""Decides which processes poll the configuration's head row, and when.

A few processes of each availability zone poll; all others learn of versions from their peers'
messages. A process that has received no confirmation for a while polls by itself. Its waits grow
with the size of the fleet, so that a whole fleet cut off from its pollers stays within one budget
of reads.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from bilberryplank_core._configuration_holder import ConfigurationHolder
from bilberryplank_core._configuration_store import ConfigurationStore
from bilberryplank_core._rendezvous import is_ranked
from bilberryplank_core._world import Host

POLL_JITTER = 0.2
"""Largest random deviation from the poll interval, as a fraction of it."""
SELF_POLL_AFTER_SECONDS = 6.0
"""Seconds without a confirmation after which a process polls by itself."""
SELF_POLL_READS_PER_SECOND = 50.0
"""Reads per second of all processes together that poll by themselves."""


def is_poller(name: str, zone: str, members: Iterable[Host], pollers_per_zone: int) -> bool:
    """Returns True if the process `name` is a poller of its zone."""
    neighbours = (member.name for member in members if member.zone == zone)
    return is_ranked(f"poll/{zone}", name, neighbours, pollers_per_zone)


async def poll_configuration(
    store: ConfigurationStore, holder: ConfigurationHolder, clock: Callable[[], float]
) -> bool:
    """Reads the head row and applies new versions; returns True if the version increased.

    An answer with an older version than the active one is stale and confirms nothing.

    Raises:
        PlatformUnavailable: The table did not respond, or its reads lag behind its writes.
    """
    asked_at = clock()
    head = await store.read_head()
    before = holder.version
    if head.version <= before:
        holder.confirm(head.version, asked_at)
        return False
    changes = await store.read_since(before, head) if before else None
    if changes is None:
        configuration = await store.read()
        return holder.accept(configuration.version, configuration, asked_at)
    for delta in changes:
        holder.accept_delta(delta, asked_at)
    return holder.version > before


class PollSchedule:
    """Schedules the reads of the configuration's head row by one process."""

    __slots__ = ("_interval", "_next_poll", "_rng")

    def __init__(self, interval: float, rng: Random) -> None:
        self._interval = interval
        self._rng = rng
        self._next_poll: float | None = None

    def due(self, now: float, elected: bool, fleet_size: int, confirmed_age: float) -> bool:
        """Returns True if a read is due now, and then schedules the next one.

        Args:
            now: Seconds on a monotonic clock.
            elected: True if this process is a poller of its zone.
            fleet_size: Number of live processes.
            confirmed_age: Seconds since the active version was confirmed.
        """
        if elected:
            return self._due_after(now, self._jittered(self._interval))
        if confirmed_age < SELF_POLL_AFTER_SECONDS:
            self._next_poll = None
            return False
        spread = 2 * fleet_size / SELF_POLL_READS_PER_SECOND
        wait = self._rng.uniform(0, max(spread, 2 * self._interval))
        if self._next_poll is None:
            self._next_poll = now + wait
        return self._due_after(now, wait)

    def _due_after(self, now: float, wait: float) -> bool:
        if self._next_poll is not None and now < self._next_poll:
            return False
        self._next_poll = now + wait
        return True

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
