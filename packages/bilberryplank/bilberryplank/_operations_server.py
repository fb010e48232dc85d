"""HTTP port for operators: health, readiness, metrics, status and decisions.

It only reads, but for signed updates of the configuration, which an entry takes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

from aiohttp import web
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST

from bilberryplank._decisions import DecisionJournal
from bilberryplank._listening_socket import open_listening_socket
from bilberryplank._metrics import ProcessMetrics

SHUTDOWN_TIMEOUT_SECONDS = 1.0

MAX_CONNECTIONS = 64
"""Connections of operators, balancer and scrapers; for one more the oldest idle one is closed."""

UNREAD_BODY_BYTES = 4 * 1024
"""A body that nobody reads is left to the socket once it is this long."""

PUSH_PATH = "/configuration"


class Readiness(Enum):
    """Whether the balancer should send work to this process."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(slots=True)
class UpstreamStatus:
    """What a process knows of one upstream.

    Attributes:
        name: Name of the upstream.
        zone: Availability zone.
        linked: True where a link to its sidecar is open.
        leaving: True where it takes no new work.
        queued: Requests waiting there, as last heard.
        running: Requests running there, as last heard.
    """

    name: str
    zone: str
    linked: bool
    leaving: bool
    queued: int
    running: int


@dataclass(slots=True)
class ProcessStatus:
    """State of one process, as `/status` shows it.

    Attributes:
        name: Name of the process.
        role: `entry` or `sidecar`.
        zone: Availability zone.
        epoch: Random id of this run of the process.
        readiness: Whether it takes new work.
        version: Configuration version in force.
        confirmed_age: Seconds since a store read confirmed that version.
        queued: Requests that wait.
        running: Requests that run.
        usage_waiting: Usage records not yet stored.
        leases: Names of the leases held.
        upstreams: Upstreams that it knows.
    """

    name: str
    role: str
    zone: str
    epoch: str = ""
    readiness: Readiness = Readiness.STARTING
    version: int = 0
    confirmed_age: float = 0.0
    queued: int = 0
    running: int = 0
    usage_waiting: int = 0
    leases: tuple[str, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()


StatusProvider = Callable[[], ProcessStatus]
PushHandler = Callable[[web.Request], Awaitable[web.Response]]


class OperationsServer(Service):
    """Serves the operators' port.

    Args:
        address: `ip:port` to listen on.
        metrics: What `/metrics` shows.
        journal: What `/decisions` shows.
        status: Returns what `/status` shows.
        push: Takes a pushed configuration; None where nobody may push.
        further_addresses: Further addresses to listen on.
        receive_buffer: Bytes that one connection may have received before they are read; None
            leaves it to the kernel.

    Attributes:
        readiness: What `/readyz` tells the balancer; the owner sets it.
    """

    abstract = False

    def __init__(
        self,
        address: str,
        metrics: ProcessMetrics,
        journal: DecisionJournal,
        status: StatusProvider,
        push: PushHandler | None = None,
        further_addresses: tuple[str, ...] = (),
        receive_buffer: int | None = None,
        **kwargs: Any,
    ) -> None:
        self.readiness = Readiness.STARTING
        self._addresses = (address, *further_addresses)
        self._metrics = metrics
        self._journal = journal
        self._status = status
        self._push = push
        self._receive_buffer = receive_buffer
        self._listeners: list[asyncio.Server] = []
        self._runner: web.AppRunner | None = None
        super().__init__(**kwargs)

    @property
    def port(self) -> int:
        """The TCP port, once started."""
        return self._listeners[0].sockets[0].getsockname()[1]

    async def on_start(self) -> None:
        """Binds the port.

        Raises:
            OSError: The address cannot be bound.
        """
        self._runner = web.AppRunner(
            self._application(),
            access_log=None,
            read_bufsize=UNREAD_BODY_BYTES,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        for address in self._addresses:
            host, _, port = address.rpartition(":")
            sock = open_listening_socket(host.strip("[]"), int(port), self._receive_buffer)
            listener = await asyncio.get_running_loop().create_server(
                self._new_connection, sock=sock
            )
            self._listeners.append(listener)

    async def on_stop(self) -> None:
        """Closes the port."""
        for listener in self._listeners:
            listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def _new_connection(self) -> asyncio.Protocol:
        assert self._runner is not None and self._runner.server is not None
        server = self._runner.server
        open_ones = [each for each in server.connections if each.connected]
        if len(open_ones) >= MAX_CONNECTIONS:
            # Idle connections to the port must not keep the balancer's questions out.
            idle = (each for each in open_ones if each._current_request is None)
            next(idle, open_ones[0]).force_close()
        return server()

    def _application(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/healthz", self._get_health)
        application.router.add_get("/readyz", self._get_readiness)
        application.router.add_get("/metrics", self._get_metrics)
        application.router.add_get("/status", self._get_status)
        application.router.add_get("/decisions/{request_id}", self._get_decisions)
        if self._push is not None:
            application.router.add_post(PUSH_PATH, self._push)
        return application

    async def _get_health(self, _: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _get_readiness(self, _: web.Request) -> web.Response:
        ready = self.readiness is Readiness.READY
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=status, text=f"{self.readiness.value}\n")

    async def _get_metrics(self, _: web.Request) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=self._metrics.render(), headers=headers)

    async def _get_status(self, _: web.Request) -> web.Response:
        status = self._status()
        status.readiness = self.readiness
        return _json_response(asdict(status))

    async def _get_decisions(self, request: web.Request) -> web.Response:
        decisions = self._journal.explain(request.match_info["request_id"])
        if not decisions:
            error = {"code": "not_found", "message": "no decision about this request is held"}
            return _json_response({"error": error}, HTTPStatus.NOT_FOUND)
        return _json_response({"decisions": [asdict(decision) for decision in decisions]})


def _json_response(document: Any, status: HTTPStatus = HTTPStatus.OK) -> web.Response:
    return web.json_response(document, status=status, dumps=_dump)


def _dump(document: Any) -> str:
    return json.dumps(document, default=_enum_value)


def _enum_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    raise TypeError(f"no JSON form for {type(value).__name__}")
