"""Faults that a fake can be told to show, and the middleware that shows them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

from aiohttp import web

CONTROL_PREFIX = "/_"
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FaultKind(Enum):
    """How a fake misbehaves.

    Attributes:
        NONE: Clears the fault of a service.
        SLOW: Waits, then handles the call, also where its client has gone.
        FAIL: Answers 5xx without effect.
        FAIL_AFTER_EFFECT: Answers 5xx after the effect.
        DROP_ANSWER: Closes the connection after the effect, without an answer.
        STALE: Answers reads as of some seconds ago; table and host list only.
        REFUSE_CONNECTION: Closes the connection without effect.
        HANG: Never answers after the effect.
    """

    NONE = "none"
    SLOW = "slow"
    FAIL = "fail"
    FAIL_AFTER_EFFECT = "fail_after_effect"
    DROP_ANSWER = "drop_answer"
    STALE = "stale"
    REFUSE_CONNECTION = "refuse_connection"
    HANG = "hang"


@dataclass(slots=True)
class Fault:
    """A fault in force at one service.

    Attributes:
        kind: What happens.
        seconds: Delay of `slow`, age of `stale`.
        left: Calls that it still meets; None until it is cleared.
    """

    kind: FaultKind
    seconds: float = 0.0
    left: int | None = None


class FaultBoard:
    """The faults in force, at most one per service."""

    __slots__ = ("_faults", "_released", "services")

    def __init__(self, services: tuple[str, ...]) -> None:
        self.services = services
        self._faults: dict[str, Fault] = {}
        self._released = asyncio.Event()

    def release(self) -> None:
        """Ends every wait of calls that are slow or hang; for the fake's own stop."""
        self._released.set()

    async def wait(self, seconds: float | None) -> None:
        """Holds a call back for some seconds, or until the fake stops."""
        try:
            await asyncio.wait_for(self._released.wait(), seconds)
        except TimeoutError:
            pass

    def set(self, service: str, fault: Fault) -> None:
        """Puts a fault in force, in place of the service's last one."""
        if service not in self.services:
            raise ValueError(f"service must be one of {', '.join(self.services)}")
        if fault.kind is FaultKind.NONE:
            self._faults.pop(service, None)
        else:
            self._faults[service] = fault

    def take(self, service: str) -> Fault | None:
        """Returns the fault that the next call of a service meets, and counts that call."""
        fault = self._faults.get(service)
        if fault is None or fault.left is None:
            return fault
        fault.left -= 1
        if fault.left <= 0:
            del self._faults[service]
        return fault

    def set_from_document(self, document: dict[str, Any]) -> None:
        """Puts the fault of a control call in force; raises `ValueError` on a wrong one."""
        count = int(document.get("count", 0))
        kind = FaultKind(document["kind"])
        fault = Fault(kind, float(document.get("seconds", 0.0)), count or None)
        self.set(document["service"], fault)


def fault_middleware(
    board: FaultBoard, service_of: Callable[[str], str], *, fail_status: int = 503
) -> Callable[[web.Request, Handler], Awaitable[web.StreamResponse]]:
    """Returns a middleware that shows the faults of `board` on all but control calls.

    Args:
        board: The faults.
        service_of: Name of the service to which a path belongs.
        fail_status: Status of the `fail` fault.
    """

    @web.middleware
    async def show_faults(req: web.Request, handler: Handler) -> web.StreamResponse:
        if req.path.startswith(CONTROL_PREFIX):
            return await handler(req)
        fault = board.take(service_of(req.path))
        req["fault"] = fault
        return await _show(board, req, handler, fault, fail_status)

    return show_faults


async def _show(
    board: FaultBoard, req: web.Request, handler: Handler, fault: Fault | None, fail_status: int
) -> web.StreamResponse:
    match fault:
        case Fault(kind=FaultKind.SLOW, seconds=seconds):
            await board.wait(seconds)
        case Fault(kind=FaultKind.FAIL):
            return web.json_response({"error": "fault"}, status=fail_status)
        case Fault(kind=FaultKind.FAIL_AFTER_EFFECT):
            await handler(req)
            return web.json_response({"error": "fault"}, status=fail_status)
        case Fault(kind=FaultKind.REFUSE_CONNECTION):
            return abort(req)
        case Fault(kind=FaultKind.DROP_ANSWER):
            await handler(req)
            return abort(req)
        case Fault(kind=FaultKind.HANG):
            await handler(req)
            await board.wait(None)
            return abort(req)
    return await handler(req)


def answer_is_lost(req: web.Request) -> bool:
    """Returns whether the answer of a request will not reach its client."""
    match req.get("fault"):
        case Fault(kind=FaultKind.DROP_ANSWER | FaultKind.HANG | FaultKind.FAIL_AFTER_EFFECT):
            return True
    return False


def abort(req: web.Request) -> web.Response:
    """Cuts the connection of a request; the returned response reaches nobody."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
