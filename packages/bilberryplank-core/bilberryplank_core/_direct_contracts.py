"""Interfaces to the platform and its wire format for an entry that calls upstreams directly."""

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
from bilberryplank_core._stepwise import Steps
from bilberryplank_core._store_era import EraOpening, EraTracker
from bilberryplank_core._window_counts import FleetClock

HeaderFields = Iterable[tuple[str, str]]


class HistoryGone(PlatformError):
    """The table no longer has the requested changes; all rows must be read again."""

    code = "history_gone"


@dataclass(slots=True, frozen=True)
class TableChanges:
    """A snapshot of a table, or its changes since a revision.

    Attributes:
        rows: Rows with their values; None for a value that could not be decoded.
        removed: Keys of deleted rows; empty in a snapshot.
        revision: Revision to pass to the next call of `changes`.
        as_of: Lower bound for the time at which the table read the rows, in seconds on the clock of
            this process. Later changes may be missing.
        store_time: The same time in seconds on the store's clock; None if not reported.
    """

    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    revision: int
    as_of: float
    store_time: float | None = None


class WatchedTable(Table):
    """A table service that also reports its time and its changes."""

    @abstractmethod
    async def snapshot(self, table: str) -> TableChanges:
        """Returns all rows of a table at one point in time."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait: float) -> TableChanges:
        """Returns the changes after a revision, waiting up to `wait` seconds for the first.

        Raises:
            HistoryGone: The table no longer has the changes after the revision.
            PlatformUnavailable: The table did not respond.
        """

    async def opening(self) -> EraOpening | None:
        """Returns when the present era of the store began; None for a store without eras.

        Raises:
            PlatformUnavailable: The table did not respond.
        """
        return None

    @abstractmethod
    async def forget(self, keys: Iterable[tuple[str, str]]) -> None:
        """Deletes rows, given as pairs of table and key, regardless of their revision."""


class HeaderCodec(ABC):
    """Converts headers of callers and upstreams from and to the types of this package."""

    @abstractmethod
    def read_request_head(self, fields: Mapping[str, str]) -> RequestHead:
        """Returns the values from the header of a caller's request.

        Raises:
            Refused: A header field can't be parsed.
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
            fields: Header fields of the caller's request.
            upstream: Upstream that receives the request.
            organisation: Name of the caller's organisation.
            rank: Priority for an engine; None for a plain service.
            time_left: Seconds until the caller's deadline.
            last_event_id: Id of the last event that the caller received.
        """

    @abstractmethod
    def read_response_head(self, status: int, fields: Mapping[str, str]) -> ResponseHead:
        """Returns the values from the header of an upstream's response."""

    @property
    @abstractmethod
    def load_path(self) -> str:
        """Path of the engines' load endpoint, which executes no request."""

    @abstractmethod
    def read_load(self, body: bytes, slots: int) -> UpstreamLoad:
        """Returns the load in a response of an engine's load endpoint.

        Raises:
            ValueError: The body is not a load report.
        """

    @abstractmethod
    def response_fields(self, fields: HeaderFields) -> list[tuple[str, str]]:
        """Returns the header fields of an upstream's response that are sent to the caller."""

    @abstractmethod
    def refusal_fields(self, refused: Refused, request_id: str) -> list[tuple[str, str]]:
        """Returns the header fields of a refusal."""


class UsageReportSink(ABC):
    """The platform's interface for reports of request counts by organisation and window."""

    @abstractmethod
    async def send(
        self, window: int, counts: dict[str, int], holder: str, fence: int, guard: Guard
    ) -> None:
        """Sends a report; sending the same counts for a window again has no effect.

        Raises:
            LeaseLost: Raised by `guard`; the platform received no complete report.
            PlatformUnavailable: The outcome is unknown.
            ReportRejected: The platform rejected the report.
        """


class DirectRowDecoder(ABC):
    """Decodes rows of the platform into the types of this package."""

    configuration_table: str
    configuration_key: str
    upstream_table: str

    @abstractmethod
    def read_configuration(self, value: Any) -> Steps[DirectConfiguration]:
        """Returns the configuration stored in a row, in steps.

        Raises:
            ConfigurationInvalid: The row holds no valid configuration.
        """

    def read_evacuated_zone(self, key: str) -> str | None:
        """Returns the zone whose evacuation a row of the configuration's table asks for.

        Args:
            key: The row's key; None is returned for any other row.
        """
        return None

    @abstractmethod
    def read_upstream(self, name: str, value: Any) -> DirectUpstream:
        """Returns the upstream stored in a row.

        Raises:
            ValueInvalid: The row holds no usable upstream.
        """


@dataclass(slots=True)
class DirectPlatform:
    """Everything that a platform adapter provides.

    Attributes:
        table: The table service.
        rows: Decoder of the table's rows.
        reports: Receiver of usage reports; None if usage is not reported.
        header_codec: Converts headers of callers and upstreams.
        fleet_clock: Time of day shared by all entries; the adapter feeds it the store's clock.
        eras: Eras of the store; the adapter tells it the era of each answer.
    """

    table: WatchedTable
    rows: DirectRowDecoder
    reports: UsageReportSink | None
    header_codec: HeaderCodec
    fleet_clock: FleetClock
    eras: EraTracker
