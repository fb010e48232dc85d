"""Contracts of the platform's services and of upstreams; each has one HTTP client and one fake."""

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
        revision: Grows with each write to the row; never 0.
    """

    table: str
    key: str
    value: Any
    revision: int


@dataclass(slots=True, frozen=True)
class Condition:
    """A row must have this revision; 0 for a row that must not exist."""

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
    """Removes a row."""

    table: str
    key: str


Write = Put | Delete


class Table(ABC):
    """The transactional table service. Every method may raise `PlatformUnavailable`."""

    @abstractmethod
    async def read(self, table: str, key: str) -> Row | None:
        """Returns a row, or None where there is none."""

    @abstractmethod
    async def scan(self, table: str, prefix: str = "", limit: int = 1000) -> list[Row]:
        """Returns rows whose key begins with `prefix`, in key order."""

    @abstractmethod
    async def commit(self, conditions: list[Condition], writes: list[Write]) -> int:
        """Writes all or nothing, and returns the revision of the rows written.

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
        """Returns an object, or None where there is none."""

    @abstractmethod
    async def names(self, prefix: str = "") -> list[str]:
        """Returns the names that begin with `prefix`, sorted."""

    @abstractmethod
    async def delete(self, name: str) -> None:
        """Removes an object; no failure where there is none."""


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
        """Sends an order; `guard` is called right before the write that makes it whole.

        An order id is carried out once, however often it is sent.

        Raises:
            LeaseLost: `guard` raised it; the platform saw no whole order.
            OrderRejected: The platform refused the order.
            PlatformUnavailable: The outcome is unknown.
        """


class Guard(ABC):
    """Says at the last instant whether an order may still be sent."""

    @abstractmethod
    def check(self) -> None:
        """Raises `LeaseLost` where the sender no longer holds the lease."""

    @abstractmethod
    def remaining(self) -> float:
        """Returns the seconds of the lease that are left."""


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
    """Figures of one window, sent exactly as they were sealed.

    Attributes:
        window: Window id, its start in seconds since 1970.
        fence: Fencing number under which it was sealed.
        lines: Figures, sorted by organisation and class.
    """

    window: int
    fence: int
    lines: tuple[UsageLine, ...]


class UsageReports(ABC):
    """The platform's interface that accepts usage reports, once per window."""

    @abstractmethod
    async def send(self, report: UsageReport, guard: Guard) -> None:
        """Sends a report; the same figures for a window again are accepted without effect.

        Raises:
            LeaseLost: `guard` raised it; the platform saw no whole report.
            ReportRejected: The window was reported with other figures.
            PlatformUnavailable: The outcome is unknown.
        """


class HostList(ABC):
    """The platform's lagging list of hosts."""

    @abstractmethod
    async def hosts(self) -> list[Host]:
        """Returns live and leaving hosts.

        Raises:
            PlatformUnavailable: No answer.
        """


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """Order to an engine, sent by its sidecar only.

    Attributes:
        order_id: Unique id.
        fence: Fencing number of the lease under which it was made.
        action: `load_model`, `load_adapter`, `set_version` or `set_role`.
        argument: Name of the model, adapter, version or role.
    """

    order_id: str
    fence: int
    action: str
    argument: str


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """An engine's own, lagging report of its load."""

    running: int
    waiting: int
    slots: int
    kv_used: float
    age: float


class EngineControl(ABC):
    """What a sidecar asks of its engine besides answers; may raise `PlatformUnavailable`."""

    @abstractmethod
    async def load(self) -> EngineLoad:
        """Returns the engine's load, as it last reported it."""

    @abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Stops a running request; no failure where it has ended."""

    @abstractmethod
    async def order(self, order: EngineOrder) -> None:
        """Gives the engine an order.

        Raises:
            OrderRejected: The engine refused it.
        """
