"""Fake of a model engine: OpenAI's interface in front of a model of continuous batching."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import Any

from aiohttp import web

from bilberryplank_testing._engine_driver import EngineDriver, Generation
from bilberryplank_testing._engine_model import EngineOptions
from bilberryplank_testing._engine_orders import EngineOrders
from bilberryplank_testing._engine_shapes import Shape, error
from bilberryplank_testing._engine_text import BadPrompt, Prompt
from bilberryplank_testing._faults import answer_is_lost
from bilberryplank_testing._run_log import RunEnd
from bilberryplank_testing._server import LOOPBACK, FakeServer

DEFAULT_RANK = 0


class FakeEngine(FakeServer):
    """A fake engine; a closed connection cancels its request.

    Attributes:
        driver: What runs the requests.
        orders: What orders have set.
        draining: True while new requests are refused.
    """

    cancels_on_disconnect = True

    def __init__(self, opts: EngineOptions | None = None) -> None:
        self._opts = opts or EngineOptions()
        self.driver = EngineDriver(self._opts)
        self.orders = EngineOrders(self._opts.ignore_fences, list(self._opts.models))
        self.draining = False
        super().__init__(("engine",))
        self._add_routes(self.app.router)

    async def start(self, port: int = 0, host: str = LOOPBACK) -> str:
        """Listens, begins to step and returns the base URL."""
        self.driver.start()
        return await super().start(port, host)

    async def stop(self) -> None:
        """Closes every connection and ends stepping."""
        await super().stop()
        await self.driver.stop()

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/chat/completions", self._generate)
        router.add_post("/v1/completions", self._generate)
        router.add_get("/v1/models", self._list_models)
        router.add_post("/v1/cancel/{request_id}", self._cancel)
        router.add_get("/load", self._get_load)
        router.add_get("/cache-events", self._get_cache_events)
        router.add_post("/orders", self._accept_order)
        router.add_post("/_control", self._control)
        router.add_post("/_drain", self._drain)

    async def _generate(self, req: web.Request) -> web.StreamResponse:
        try:
            generation = self._read_generation(req, await req.read())
        except (BadPrompt, ValueError) as exc:
            return _refuse(HTTPStatus.BAD_REQUEST, str(exc), "invalid_request_error")
        prompt = generation.job.prompt
        refusal = self._refusal(prompt)
        if refusal is not None:
            return refusal
        chat = req.path == "/v1/chat/completions"
        shape = Shape(chat, f"fake-{generation.entry.number}", prompt.model)
        self.driver.add(generation)
        try:
            return await self._answer(req, generation, shape)
        finally:
            self.driver.remove(generation)

    def _read_generation(self, req: web.Request, body: bytes) -> Generation:
        prompt = Prompt.from_document(json.loads(body))
        rank = int(req.headers.get("X-Priority", DEFAULT_RANK))
        start = int(req.headers.get("X-Resume-Tokens", 0))
        if not 0 <= start <= prompt.output_tokens:
            raise BadPrompt(f"answer has no token {start}")
        return Generation(req, prompt, rank, start)

    def _refusal(self, prompt: Prompt) -> web.Response | None:
        if self.draining:
            return _refuse(HTTPStatus.SERVICE_UNAVAILABLE, "draining", "draining")
        if self.orders.models and prompt.model not in self.orders.models:
            return _refuse(HTTPStatus.NOT_FOUND, "no such model", "model_not_found")
        if not self.driver.model.fits(prompt):
            return _refuse(HTTPStatus.BAD_REQUEST, "too long", "context_length_exceeded")
        return None

    async def _answer(
        self, req: web.Request, generation: Generation, shape: Shape
    ) -> web.StreamResponse:
        if generation.job.prompt.stream and not answer_is_lost(req):
            return await _stream(req, generation, shape)
        while not generation.job.ended:
            await generation.progress()
        if generation.job.cancelled:
            generation.entry.finish(RunEnd.CANCELLED)
        return web.json_response(shape.whole(generation.job))

    async def _list_models(self, req: web.Request) -> web.Response:
        data = [{"id": name, "object": "model"} for name in self.orders.models]
        return web.json_response({"object": "list", "data": data})

    async def _cancel(self, req: web.Request) -> web.Response:
        found = self.driver.cancel(req.match_info["request_id"])
        if found:
            req["entry"].begin()
        return web.json_response({"cancelled": found})

    async def _get_load(self, req: web.Request) -> web.Response:
        sample, age = self.driver.load()
        document = {
            "running": sample.running,
            "waiting": sample.waiting,
            "slots": self._opts.slots,
            "kv_used": sample.kv_used,
            "age": age,
            "draining": self.draining,
        }
        return web.json_response(document)

    async def _get_cache_events(self, req: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        events = self.driver.model.cache.events(int(req.query.get("after", 0)), now)
        return web.json_response({"events": [event.to_document() for event in events]})

    async def _accept_order(self, req: web.Request) -> web.Response:
        try:
            accepted, effect = self.orders.accept(await req.json())
        except (KeyError, TypeError, ValueError) as exc:
            return _refuse(HTTPStatus.BAD_REQUEST, repr(exc), "invalid_request_error")
        if not accepted:
            return _refuse(HTTPStatus.CONFLICT, "old fencing number", "old_fence")
        if effect:
            req["entry"].begin()
        return web.json_response({"fence": self.orders.fence})

    async def _control(self, req: web.Request) -> web.Response:
        document: dict[str, Any] = await req.json()
        if "speed" in document:
            self.driver.model.speed = float(document["speed"])
        if "hang" in document:
            self.driver.hung = bool(document["hang"])
        if "crash_after_tokens" in document:
            self.driver.crash_after_tokens = int(document["crash_after_tokens"])
        self.driver.wake()
        return web.json_response({})

    async def _drain(self, req: web.Request) -> web.Response:
        document = await req.json() if req.can_read_body else {}
        self.draining = bool(document.get("draining", True))
        return web.json_response({"draining": self.draining})


async def _stream(req: web.Request, generation: Generation, shape: Shape) -> web.StreamResponse:
    job = generation.job
    resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await resp.prepare(req)
    sent = job.start
    while not job.ended or sent < job.position:
        if sent == job.position:
            await generation.progress()
        while sent < job.position:
            await resp.write(shape.token_event(job, sent))
            sent += 1
    if job.cancelled:
        generation.entry.finish(RunEnd.CANCELLED)
    await resp.write(shape.end_events(job))
    await resp.write_eof()
    return resp


def _refuse(status: HTTPStatus, message: str, kind: str) -> web.Response:
    return web.json_response(error(message, kind), status=status)
