"""Runs the engine model in real time and keeps the running answers."""

from __future__ import annotations

import asyncio

from aiohttp import web

from bilberryplank_testing._engine_model import EngineModel, EngineOptions, Job
from bilberryplank_testing._engine_text import Prompt
from bilberryplank_testing._lagging_load import LaggingLoad, LoadSample
from bilberryplank_testing._run_log import LogEntry, RunEnd


class Generation:
    """One request on its way through the engine.

    Attributes:
        job: The request in the model.
        entry: Its entry in the run log.
    """

    __slots__ = ("_changed", "_req", "entry", "job")

    def __init__(self, req: web.Request, prompt: Prompt, rank: int, start: int) -> None:
        self._req = req
        self._changed = asyncio.Event()
        self.entry: LogEntry = req["entry"]
        self.entry.resumed_from = start
        self.job = Job(prompt, rank, start, self._note_change)

    async def progress(self) -> None:
        """Waits until the request gained a token or ended."""
        await self._changed.wait()
        self._changed.clear()

    def abort(self) -> None:
        """Cuts its connection, as a crash does."""
        self.entry.finish(RunEnd.FAILED)
        if self._req.transport is not None:
            self._req.transport.abort()

    def _note_change(self) -> None:
        if self.job.started and self.entry.began_at is None:
            self.entry.begin()
        self.entry.tokens = self.job.generated
        self._changed.set()


class EngineDriver:
    """Steps the model for as long as there is work.

    Attributes:
        hung: True while no step is made.
        crash_after_tokens: Tokens until a crash, over all requests; None for no crash.
    """

    __slots__ = ("_live", "_load", "_model", "_task", "_wake", "crash_after_tokens", "hung")

    def __init__(self, opts: EngineOptions) -> None:
        self._model = EngineModel(opts)
        self._load = LaggingLoad(opts.load_lag)
        self._live: list[Generation] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.hung = False
        self.crash_after_tokens: int | None = None

    @property
    def model(self) -> EngineModel:
        """The engine's model."""
        return self._model

    def start(self) -> None:
        """Begins to step."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Ends stepping."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def wake(self) -> None:
        """Looks for work again, after a change from outside."""
        self._wake.set()

    def add(self, generation: Generation) -> None:
        """Queues a request."""
        self._live.append(generation)
        self._model.submit(generation.job)
        self._note_load()
        self.wake()

    def remove(self, generation: Generation) -> None:
        """Cancels a request where it still runs, and forgets it."""
        if generation in self._live:
            self._live.remove(generation)
        self._model.cancel(generation.job)
        self._note_load()

    def cancel(self, request_id: str) -> bool:
        """Cancels the requests of an id; returns whether there was one."""
        found = [item for item in self._live if item.entry.request_id == request_id]
        for generation in found:
            self._model.cancel(generation.job)
        self._note_load()
        return bool(found)

    def load(self) -> tuple[LoadSample, float]:
        """Returns the load that the engine reports, and its age in seconds."""
        return self._load.shown(_now())

    def crash(self) -> None:
        """Loses every request and connection, then goes on as if restarted."""
        self.crash_after_tokens = None
        self._model.clear()
        for generation in self._live:
            generation.abort()
        self._live.clear()
        self._note_load()

    async def _run(self) -> None:
        due = _now()
        while True:
            if not self._has_work():
                self._wake.clear()
                await self._wake.wait()
                due = _now()
                continue
            duration = self._model.step_duration()
            # Steps that came late are caught up with, so that speed does not hang on the timer.
            due = max(due + duration, _now())
            await asyncio.sleep(due - _now())
            self._step(duration)

    def _has_work(self) -> bool:
        if self.hung:
            return False
        self._model.admit()
        self._note_load()
        return bool(self._model.running)

    def _step(self, duration: float) -> None:
        if self.hung:
            return
        before = [(item.job, item.job.generated) for item in self._live]
        self._model.step(duration, _now())
        self._note_load()
        self._count_down(sum(job.generated - count for job, count in before))

    def _count_down(self, tokens: int) -> None:
        if self.crash_after_tokens is None:
            return
        self.crash_after_tokens -= tokens
        if self.crash_after_tokens <= 0:
            self.crash()

    def _note_load(self) -> None:
        running, waiting = len(self._model.running), len(self._model.waiting)
        self._load.note(LoadSample(_now(), running, waiting, self._model.kv_used))


def _now() -> float:
    return asyncio.get_running_loop().time()
