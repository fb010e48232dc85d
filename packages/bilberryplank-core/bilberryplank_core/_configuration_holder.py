"""The configuration that a process has in force, and how its peers' versions move it on."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from bilberryplank_core._configuration import Configuration
from bilberryplank_core._configuration_delta import ConfigurationDelta
from bilberryplank_core._configuration_updates import (
    ChangesUpdate,
    WholeUpdate,
    encode_update,
    read_update,
)

KEPT_ITEMS = 2000
"""Items in the changes that a process keeps for its peers."""

Subscriber = Callable[[Configuration], None]


class ConfigurationHolder:
    """Holds the newest configuration that a process has met; its version never goes down.

    A confirmation is the time, on this process's clock, at which a read of the store showed the
    version in force here as the newest.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_confirmed_at",
        "_deltas",
        "_kept_items",
        "_subscribers",
    )

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._configuration = Configuration()
        self._confirmed_at: float | None = None
        self._deltas: deque[ConfigurationDelta] = deque()
        self._kept_items = 0
        self._subscribers: list[Subscriber] = []

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; version 0 before the first."""
        return self._configuration

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._configuration.version

    def subscribe(self, subscriber: Subscriber) -> None:
        """Has `subscriber` called with the configuration in force, and with each new one."""
        self._subscribers.append(subscriber)
        if self.version:
            subscriber(self._configuration)

    def offer(self, version: int, configuration: Configuration, confirmed_at: float) -> bool:
        """Takes a whole configuration where it is newer; returns True where it did."""
        if version < self.version:
            return False
        if version == self.version:
            self.confirm(version, confirmed_at)
            return False
        self._deltas.clear()
        self._kept_items = 0
        self._take(configuration, confirmed_at)
        return True

    def offer_delta(self, delta: ConfigurationDelta, confirmed_at: float) -> bool:
        """Takes a difference that applies to the version in force; returns True where it did."""
        if delta.from_version != self.version or delta.to_version <= self.version:
            return False
        self._keep(delta)
        self._take(delta.apply(self._configuration), confirmed_at)
        return True

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Notes that a read of the store showed a version; any other than ours tells nothing."""
        if version != self.version:
            return
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def seen(self, version: int, confirmed_age: float) -> bool:
        """Notes what a peer's message says; returns True where a fetch is due.

        Args:
            version: Version in force at the peer.
            confirmed_age: Seconds since a store read confirmed it there.
        """
        self.confirm(version, self._clock() - confirmed_age)
        return version > self.version

    def confirmed_age(self, now: float) -> float:
        """Returns the seconds since the version in force was confirmed; infinite before."""
        if self._confirmed_at is None:
            return float("inf")
        return max(0.0, now - self._confirmed_at)

    def stale(self, now: float, limit: float) -> bool:
        """Returns True where nothing confirmed the configuration for `limit` seconds."""
        return self.confirmed_age(now) > limit

    def update_since(self, version: int) -> bytes:
        """Returns what brings a peer from `version` to the one in force, as lines of JSON."""
        return encode_update(self._configuration, self._deltas_since(version))

    def accept_update(self, update: bytes, confirmed_age: float) -> bool:
        """Takes a peer's `update_since`; returns True where the version went up.

        Raises:
            ConfigurationInvalid: The bytes are no update.
        """
        confirmed_at = self._clock() - confirmed_age
        before = self.version
        match read_update(update, before):
            case WholeUpdate(configuration):
                self.offer(configuration.version, configuration, confirmed_at)
            case ChangesUpdate(version, deltas):
                for delta in deltas:
                    self.offer_delta(delta, float("-inf"))
                self.confirm(version, confirmed_at)
        return self.version > before

    def _deltas_since(self, version: int) -> list[ConfigurationDelta] | None:
        if version == self.version:
            return []
        deltas = [delta for delta in self._deltas if delta.from_version >= version]
        if not deltas or deltas[0].from_version != version:
            return None
        return deltas

    def _keep(self, delta: ConfigurationDelta) -> None:
        self._deltas.append(delta)
        self._kept_items += delta.item_count
        while self._kept_items > KEPT_ITEMS:
            self._kept_items -= self._deltas.popleft().item_count

    def _take(self, configuration: Configuration, confirmed_at: float) -> None:
        self._configuration = configuration
        self._confirmed_at = confirmed_at
        for subscriber in self._subscribers:
            subscriber(configuration)
