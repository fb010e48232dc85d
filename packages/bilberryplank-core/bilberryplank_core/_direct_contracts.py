"""What an entry that calls upstreams itself needs of the platform and of its wire format."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from bilberryplank_core._contracts import Guard, Row, Table
from bilberryplank_core._direct_types import (
    DirectConfiguration,
    DirectUpstream,
    RequestHead,
    ResponseHead,
    UpstreamLoad,
)
from bilberryplank_core._errors import PlatformError, Refused
from bilberryplank_core._window_counts import FleetClock

HeaderFields = Iterable[tuple[str, str]]


class HistoryGone(PlatformError):
    """The table no longer holds the changes that were asked for; read the rows again."""

    code = "history_gone"


@dataclass(slots=True, frozen=True)
class TableChanges:
    """Rows as of one moment, or what changed since another.

    Attributes:
        rows: Rows with their values; a value that could not be read is None.
        removed: Keys of rows that are gone; only in changes.
        revision: Revision from which to go on.
        as_of: When the table answered, in seconds on the clock of this process; never later than
            that. Changes made after it may be missing.
        store_time: The same moment in seconds on the store's clock; None where it did not tell.
    """

    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    revision: int
    as_of: float
    store_time: float | None = None


class WatchedTable(Table):
    """A table service that also tells its time and what changed."""

    @abstractmethod
    async def snapshot(self, table: str) -> TableChanges:
        """Returns all rows of a table as of one moment."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait: float) -> TableChanges:
        """Returns what changed after a revision, waiting up to `wait` seconds for the first.

        Raises:
            HistoryGone: The revision is too old.
            PlatformUnavailable: No answer.
        """

    @abstractmethod
    async def forget(self, keys: Iterable[tuple[str, str]]) -> None:
        """Removes rows, named by table and key, whatever their revision."""


class HeaderCodec(ABC):
    """Headers of callers and upstreams in the project's types."""

    @abstractmethod
    def read_request_head(self, fields: Mapping[str, str]) -> RequestHead:
        """Returns what the head of a caller's request says.

        Raises:
            Refused: A field can't be read.
        """

    @abstractmethod
    def upstream_request_fields(
        self,
        fields: HeaderFields,
        upstream: DirectUpstream,
        organisation: str | None,
        rank: int | None,
        time_left: float,
        last_event_id: str | None,
    ) -> list[tuple[str, str]]:
        """Returns the header fields of a request to an upstream.

        Args:
            fields: Header fields of the caller.
            upstream: Whom the request is for.
            organisation: Name of the caller's organisation.
            rank: Urgency for an engine; None for a plain service.
            time_left: Seconds that the caller still waits.
            last_event_id: Id of the last event that the caller has.
        """

    @abstractmethod
    def read_response_head(self, status: int, fields: Mapping[str, str]) -> ResponseHead:
        """Returns what the head of an upstream's answer says."""

    @property
    @abstractmethod
    def load_path(self) -> str:
        """Path under which an engine tells its load without running anything."""

    @abstractmethod
    def read_load(self, body: bytes, slots: int) -> UpstreamLoad:
        """Returns the load in an engine's answer.

        Raises:
            ValueError: The answer is not a load.
        """

    @abstractmethod
    def response_fields(self, fields: HeaderFields) -> list[tuple[str, str]]:
        """Returns the header fields of an upstream's answer that the caller gets."""

    @abstractmethod
    def refusal_fields(self, refused: Refused, request_id: str) -> list[tuple[str, str]]:
        """Returns the header fields of a refusal."""


class UsageReportSink(ABC):
    """The platform's interface that takes the requests of each organisation in a window."""

    @abstractmethod
    async def send(
        self, window: int, counts: dict[str, int], holder: str, fence: int, guard: Guard
    ) -> None:
        """Sends a report; the same counts for a window again are accepted without effect.

        Raises:
            LeaseLost: `guard` raised it; the platform saw no whole report.
            PlatformUnavailable: The outcome is unknown.
            ReportRejected: The platform refused it.
        """


class DirectRowDecoder(ABC):
    """Rows of the platform in the project's types."""

    configuration_table: str
    configuration_key: str
    upstream_table: str

    @abstractmethod
    def read_configuration(self, value: Any) -> DirectConfiguration:
        """Returns the configuration in a row.

        Raises:
            ConfigurationInvalid: It can't be used.
        """

    @abstractmethod
    def read_upstream(self, name: str, value: Any) -> DirectUpstream | None:
        """Returns the upstream in a row; None where the row names none that can be used."""


@dataclass(slots=True)
class DirectPlatform:
    """All that an adapter brings.

    Attributes:
        table: The table service.
        rows: Decoder of its rows.
        reports: Where usage is reported; None where nobody wants it.
        header_codec: Headers of callers and upstreams.
        fleet_clock: True time; the adapter tells it the store's clock.
    """

    table: WatchedTable
    rows: DirectRowDecoder
    reports: UsageReportSink | None
    header_codec: HeaderCodec
    fleet_clock: FleetClock
