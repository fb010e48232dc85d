"""Start and stop of a fake, in a test's own loop or as a process of its own."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from aiohttp import web

from bilberryplank_testing._faults import (
    FaultBoard,
    Handler,
    abort,
    answer_is_lost,
    fault_middleware,
)
from bilberryplank_testing._run_log import LogEntry, RunEnd, RunLog, read_body

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024 * 1024
SHUTDOWN_TIMEOUT = 0.2


class FakeServer:
    """A fake on a loopback socket, with faults and a log.

    Attributes:
        app: The aiohttp application.
        faults: Faults in force.
        log: Everything received.
    """

    cancels_on_disconnect = False
    fail_status = 503

    def __init__(self, services: tuple[str, ...]) -> None:
        self.faults = FaultBoard(services)
        self.log = RunLog()
        self.app = self._build_app()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0, host: str = LOOPBACK) -> str:
        """Listens and returns the base URL; port 0 takes a free one."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            handler_cancellation=self.cancels_on_disconnect,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f"http://{host}:{port}"

    async def stop(self) -> None:
        """Closes the listening socket and every connection."""
        self.faults.release()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def service_of(self, path: str) -> str:
        """Returns the service to which a path belongs."""
        return self.faults.services[0]

    def _build_app(self) -> web.Application:
        middlewares = [
            self._log_middleware(),
            fault_middleware(self.faults, self.service_of, fail_status=self.fail_status),
        ]
        app = web.Application(middlewares=middlewares, client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/_faults", self._set_fault)
        app.router.add_get("/_log", self._get_log)
        return app

    def _log_middleware(self) -> Callable[..., Any]:
        @web.middleware
        async def log_request(req: web.Request, handler: Handler) -> web.StreamResponse:
            if req.path.startswith("/_"):
                return await handler(req)
            entry = self.log.open(self.service_of(req.path), req)
            req["entry"] = entry
            if not await read_body(req, entry):
                return abort(req)
            return await _handle_logged(req, handler, entry)

        return log_request

    async def _set_fault(self, req: web.Request) -> web.Response:
        try:
            self.faults.set_from_document(await req.json())
        except (KeyError, TypeError, ValueError) as exc:
            return web.json_response({"error": repr(exc)}, status=400)
        return web.json_response({})

    async def _get_log(self, req: web.Request) -> web.Response:
        return web.json_response(self.log.to_document(int(req.query.get("after", 0))))


async def _handle_logged(req: web.Request, handler: Handler, entry: LogEntry) -> web.StreamResponse:
    try:
        resp = await handler(req)
    except asyncio.CancelledError:
        entry.finish(RunEnd.CANCELLED)
        raise
    except ConnectionError:
        entry.finish(RunEnd.CANCELLED)
        return abort(req)
    except web.HTTPException as exc:
        entry.status = exc.status
        entry.finish(RunEnd.REFUSED)
        raise
    except Exception:
        entry.finish(RunEnd.FAILED)
        raise
    entry.status = resp.status
    if answer_is_lost(req):
        entry.finish(RunEnd.ANSWER_LOST)
    entry.finish(RunEnd.WHOLE if resp.status < HTTPStatus.BAD_REQUEST else RunEnd.REFUSED)
    return resp


def run_fake(fake: FakeServer, listen: str) -> None:
    """Serves a fake on `ip:port` until SIGTERM or SIGINT."""
    asyncio.run(_serve(fake, listen))


async def _serve(fake: FakeServer, listen: str) -> None:
    host, _, port = listen.rpartition(":")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    url = await fake.start(int(port), host)
    print(f"event=listening url={url}", flush=True)
    await stopped.wait()
    await fake.stop()
