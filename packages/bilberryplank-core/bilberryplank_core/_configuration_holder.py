"""The configuration in force in a process, and its updates from the table and from peers."""

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

MAX_KEPT_DELTA_ITEMS = 2000
"""Most items in the recent changes that a process keeps in order to update its peers."""

Subscriber = Callable[[Configuration], None]


class ConfigurationHolder:
    """Holds the newest configuration known to a process; its version never decreases.

    The configuration is confirmed when a read of the store, here or at a peer, shows the version
    in force here as the newest. The time of that read is kept on this process's clock.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_confirmed_at",
        "_deltas",
        "_kept_item_count",
        "_subscribers",
    )

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._configuration = Configuration()
        self._confirmed_at: float | None = None
        self._deltas: deque[ConfigurationDelta] = deque()
        self._kept_item_count = 0
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
        """Registers a callback for the configuration in force and each later one."""
        self._subscribers.append(subscriber)
        if self.version:
            subscriber(self._configuration)

    def accept(self, version: int, configuration: Configuration, confirmed_at: float) -> bool:
        """Puts a whole configuration in force if it is newer; returns whether it did."""
        if version < self.version:
            return False
        if version == self.version:
            self.confirm(version, confirmed_at)
            return False
        self._deltas.clear()
        self._kept_item_count = 0
        self._put_in_force(configuration, confirmed_at)
        return True

    def accept_delta(self, delta: ConfigurationDelta, confirmed_at: float) -> bool:
        """Applies a delta if it starts from the version in force; returns whether it did."""
        if delta.from_version != self.version or delta.to_version <= self.version:
            return False
        self._keep_delta(delta)
        self._put_in_force(delta.apply(self._configuration), confirmed_at)
        return True

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Records that a store read showed `version`; ignored unless that is in force here."""
        if version != self.version:
            return
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def record_peer_version(self, version: int, confirmed_age: float) -> bool:
        """Records the version in a peer's message; returns whether to fetch from that peer.

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

    def is_stale(self, now: float, limit: float) -> bool:
        """Returns whether the configuration was not confirmed for more than `limit` seconds."""
        return self.confirmed_age(now) > limit

    def update_since(self, version: int) -> bytes:
        """Returns the update from `version` to the version in force, as lines of JSON."""
        return encode_update(self._configuration, self._deltas_since(version))

    def accept_update(self, update: bytes, confirmed_age: float) -> bool:
        """Applies a peer's `update_since`; returns whether the version increased.

        Raises:
            ConfigurationInvalid: The bytes are not a valid update.
        """
        confirmed_at = self._clock() - confirmed_age
        before = self.version
        match read_update(update, before):
            case WholeUpdate(configuration):
                self.accept(configuration.version, configuration, confirmed_at)
            case ChangesUpdate(version, deltas):
                for delta in deltas:
                    self.accept_delta(delta, float("-inf"))
                self.confirm(version, confirmed_at)
        return self.version > before

    def _deltas_since(self, version: int) -> list[ConfigurationDelta] | None:
        if version == self.version:
            return []
        deltas = [delta for delta in self._deltas if delta.from_version >= version]
        if not deltas or deltas[0].from_version != version:
            return None
        return deltas

    def _keep_delta(self, delta: ConfigurationDelta) -> None:
        self._deltas.append(delta)
        self._kept_item_count += delta.item_count
        while self._kept_item_count > MAX_KEPT_DELTA_ITEMS:
            self._kept_item_count -= self._deltas.popleft().item_count

    def _put_in_force(self, configuration: Configuration, confirmed_at: float) -> None:
        self._configuration = configuration
        self._confirmed_at = confirmed_at
        for subscriber in self._subscribers:
            subscriber(configuration)
