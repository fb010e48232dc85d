"""Interfaces of the platform's services and of engines; each has one HTTP client and one fake."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bilberryplank_core._world import Host


@dataclass(slots=True, frozen=True)
class Row:
    """A row of the table service.

    Attributes:
        table: Table name.
        key: Row key.
        value: JSON value.
        revision: Increases with each write to the row; never 0.
    """

    table: str
    key: str
    value: Any
    revision: int


@dataclass(slots=True, frozen=True)
class Condition:
    """Requires a row to have this revision; 0 requires that the row does not exist."""

    table: str
    key: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """Writes a row."""

    table: str
    key: str
    value: Any


@dataclass(slots=True, frozen=True)
class Delete:
    """Deletes a row."""

    table: str
    key: str


Write = Put | Delete


class Table(ABC):
    """The transactional table service. Every method may raise `PlatformUnavailable`."""

    @abstractmethod
    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None if it does not exist."""

    @abstractmethod
    async def scan(self, table: str, prefix: str = "", limit: int = 1000) -> list[Row]:
        """Returns up to `limit` rows whose key begins with `prefix`, in key order."""

    @abstractmethod
    async def commit(self, conditions: list[Condition], writes: list[Write]) -> int:
        """Applies all writes or none, and returns the revision of the rows written.

        Raises:
            Conflict: A condition did not hold; nothing was written.
            PlatformUnavailable: The outcome is unknown.
        """


class ObjectStore(ABC):
    """The object store. Every method may raise `PlatformUnavailable`."""

    @abstractmethod
    async def put(self, name: str, data: bytes) -> None:
        """Stores an object under a name."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None if it does not exist."""

    @abstractmethod
    async def names(self, prefix: str = "") -> list[str]:
        """Returns the sorted names of the objects whose name begins with `prefix`."""

    @abstractmethod
    async def delete(self, name: str) -> None:
        """Deletes an object; does nothing if it does not exist."""


@dataclass(slots=True, frozen=True)
class StartUpstream:
    """Order to start one upstream of a pool in a zone."""

    order_id: str
    fence: int
    zone: str
    pool: str


@dataclass(slots=True, frozen=True)
class StopUpstream:
    """Order to stop one upstream."""

    order_id: str
    fence: int
    zone: str
    upstream: str


UpstreamOrder = StartUpstream | StopUpstream


class UpstreamOrders(ABC):
    """The platform's interface that starts and stops upstreams by availability zone."""

    @abstractmethod
    async def send(self, order: UpstreamOrder, guard: Guard) -> None:
        """Sends an order; `guard` is checked right before the write that completes the request.

        The platform executes an order id once, however often it is sent.

        Raises:
            LeaseLost: `guard` raised it; the platform received no complete order.
            OrderRejected: The platform refused the order.
            PlatformUnavailable: The outcome is unknown.
        """


class SentCall:
    """A call whose last byte was handed to the kernel, under a lease that nobody tracks."""

    __slots__ = ()

    def end(self, answered: bool) -> None:
        """Records that the call was answered, or that nobody waits for its answer any more."""


class Guard(ABC):
    """Checks, right before an order or report is sent, that the sender still holds the lease."""

    @abstractmethod
    def check(self) -> None:
        """Raises `LeaseLost` if the sender no longer holds the lease."""

    @abstractmethod
    def remaining(self) -> float:
        """Returns the remaining time of the lease in seconds."""

    def begin_call(self) -> SentCall:
        """Checks the lease, and records that a whole call may arrive from now on.

        To be called with no await before the write that completes the call.

        Raises:
            LeaseLost: The sender no longer holds the lease.
        """
        self.check()
        return SentCall()


@dataclass(slots=True, frozen=True)
class UsageLine:
    """Usage of one organisation in one class within a window."""

    organisation: str
    class_name: str
    prompt_tokens: int
    completion_tokens: int
    calls: int


@dataclass(slots=True, frozen=True)
class UsageReport:
    """Usage figures of one window, sent exactly as they were finalized.

    Attributes:
        window: Window id: its start in seconds since 1970.
        fence: Fencing token under which the window was finalized.
        lines: Figures, sorted by organisation and class.
    """

    window: int
    fence: int
    lines: tuple[UsageLine, ...]


class UsageReports(ABC):
    """The platform's interface that accepts usage reports, once per window."""

    @abstractmethod
    async def send(self, report: UsageReport, guard: Guard) -> None:
        """Sends a report; a repeated report with the same figures is accepted without effect.

        Raises:
            LeaseLost: `guard` raised it; the platform received no complete report.
            ReportRejected: The window was already reported with different figures.
            PlatformUnavailable: The outcome is unknown.
        """


class HostList(ABC):
    """The platform's list of hosts, which lags behind their actual state."""

    @abstractmethod
    async def hosts(self) -> list[Host]:
        """Returns live and leaving hosts.

        Raises:
            PlatformUnavailable: The list could not be read.
        """


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """Order to an engine, sent by its sidecar only.

    Attributes:
        order_id: Unique id.
        fence: Fencing token of the lease under which it was issued.
        action: `load_model`, `load_adapter`, `set_version` or `set_role`.
        argument: Name of the model, adapter, version or role.
    """

    order_id: str
    fence: int
    action: str
    argument: str


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Load that an engine last reported; may be out of date.

    Attributes:
        running: Running requests.
        waiting: Requests queued in the engine.
        slots: Requests that the engine can run at once.
        kv_used: Share of the KV cache in use, from 0 to 1.
        age: Age of the report in seconds.
    """

    running: int
    waiting: int
    slots: int
    kv_used: float
    age: float


class EngineControl(ABC):
    """Control operations of a sidecar on its engine; each may raise `PlatformUnavailable`."""

    @abstractmethod
    async def load(self) -> EngineLoad:
        """Returns the load that the engine last reported."""

    @abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Cancels a running request; does nothing if it has ended."""

    @abstractmethod
    async def order(self, order: EngineOrder) -> None:
        """Sends the engine an order.

        Raises:
            OrderRejected: The engine rejected it.
        """
