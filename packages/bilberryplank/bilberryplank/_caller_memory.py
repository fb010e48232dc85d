"""Room for what callers send and what they leave unread, within the entry's budget."""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Callable
from contextlib import suppress

from loguru import logger

from bilberryplank._logs import log_event
from bilberryplank._metrics import CutCause, ProcessMetrics
from bilberryplank_core.errors import RefusalReason, Refused
from bilberryplank_core.memory import CallerBudget, Holding, Pool
from bilberryplank_core.settings import CallerSettings

POLL_SECONDS = 0.1
"""What stalled is noticed this late: nothing tells of bytes that do not come."""

RETURN_SECONDS = 0.5
"""When to come back without room; stalled bodies have given way by then."""

UNREAD_ANSWER_BYTES = 160 * 1024
"""Buffers of an answer that waits for its caller: the caller's socket's and the upstream's."""


class BodyBuffer(bytearray):
    """A bytearray that can be weakly referenced, so that its deallocation is noticed."""

    __slots__ = ("__weakref__",)


class BodyRoom:
    """Room for one body; it is given back once the request has ended and the bytes are freed.

    Attributes:
        is_evicted: True once the body has to give way.
    """

    __slots__ = ("_bound", "_buffer", "_granted", "_holding", "_is_closed", "_memory")

    def __init__(self, memory: CallerMemory, owner: str) -> None:
        self._bound: asyncio.Timeout | None = None
        self._buffer: weakref.ref[BodyBuffer] | None = None
        self._granted = asyncio.Event()
        self._is_closed = False
        self._memory = memory
        self._holding = Holding(owner, memory.now(), self._give_way, self._granted.set)

    @property
    def is_evicted(self) -> bool:
        """True once the body has to give way."""
        return self._holding.evicted

    def interrupt(self, bound: asyncio.Timeout) -> None:
        """Has `bound` expire when the body has to give way."""
        self._bound = bound

    async def take(self, size: int) -> None:
        """Takes room for `size` bytes in all; waits a bounded time for it.

        Raises:
            Refused: There was no room in that time.
        """
        memory, holding = self._memory, self._holding
        if holding.size >= size:
            return
        if memory.budget.request(holding, size, memory.now()):
            return
        self._granted.clear()
        memory.watch()
        with suppress(TimeoutError):
            async with asyncio.timeout(memory.settings.body_wait):
                await self._granted.wait()
        if holding.size < size:
            self.release()
            message = f"no room for a body of {size} bytes"
            raise Refused(RefusalReason.MEMORY_FULL, message, retry_after=RETURN_SECONDS)

    def open_buffer(self, size: int) -> BodyBuffer:
        """Returns the buffer of the body, of `size` zero bytes."""
        loop = asyncio.get_running_loop()

        def freed(_: weakref.ref[BodyBuffer]) -> None:
            # Runs wherever the last reference is dropped, also after the loop has ended.
            if not loop.is_closed():
                loop.call_soon(self._buffer_freed)

        buffer = BodyBuffer(size)
        self._buffer = weakref.ref(buffer, freed)
        return buffer

    def received(self, count: int) -> None:
        """Records that bytes of the body came."""
        self._holding.record_progress(count, self._memory.now())

    def complete(self) -> None:
        """Records that the body is whole."""
        self._holding.complete()

    def close(self) -> None:
        """Releases the room once the buffer is freed as well; called when the request has ended."""
        self._is_closed = True
        self._bound = None
        if self._buffer is None or self._buffer() is None:
            self.release()
        else:
            self.complete()

    def release(self) -> None:
        """Gives the room back."""
        self._memory.release(self._holding)

    def _buffer_freed(self) -> None:
        if self._is_closed:
            self.release()

    def _give_way(self) -> None:
        self._memory.cut(CutCause.STALLED_BODY, self._holding)
        self._granted.set()
        if self._bound is not None:
            self._bound.reschedule(self._memory.now())


class CallerMemory:
    """What an entry holds for its callers.

    Args:
        settings: Bounds on callers.
        metrics: Shows what is held, and counts who gave way.

    Attributes:
        budget: Decides.
        settings: Bounds on callers.
    """

    __slots__ = ("_metrics", "_timer", "budget", "settings")

    def __init__(self, settings: CallerSettings, metrics: ProcessMetrics) -> None:
        self.settings = settings
        self.budget = CallerBudget(settings.held_bytes)
        self._metrics = metrics
        metrics.watch_held(self.budget.used)
        self._timer: asyncio.TimerHandle | None = None

    @staticmethod
    def now() -> float:
        """Returns the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def watch(self) -> None:
        """Has what stalled give way while a body waits."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(POLL_SECONDS, self._make_room)

    def _make_room(self) -> None:
        self._timer = None
        self.budget.make_room(self.now())
        if self.budget.is_waited_for:
            self.watch()

    def open_body(self, owner: str) -> BodyRoom:
        """Returns room for one body of an organisation, or of an address without one."""
        return BodyRoom(self, owner)

    def open_head(self, address: str, cut: Callable[[], None]) -> Holding:
        """Returns what is held for heads of one connection.

        Args:
            address: Whose connection it is.
            cut: Ends the connection.
        """
        holding = Holding(address, self.now(), lambda: self._evict(holding, cut))
        return holding

    def hold_head(self, holding: Holding, size: int) -> bool:
        """Records the bytes of a head; returns False if it is too much."""
        return self.budget.hold(holding, size, self.now())

    def hold_answer(self, address: str, cut: Callable[[], None]) -> Holding | None:
        """Records an answer that waits for its caller; returns None if it is too much.

        Args:
            address: Whose connection it is.
            cut: Ends the connection.
        """
        holding = Holding(address, self.now(), lambda: self._evict(holding, cut), pool=Pool.ANSWERS)
        if self.budget.hold(holding, UNREAD_ANSWER_BYTES, self.now()):
            return holding
        self.cut(CutCause.UNREAD_ANSWER, holding)
        self.release(holding)
        return None

    def release(self, holding: Holding) -> None:
        """Records that nothing is held any more."""
        self.budget.release(holding, self.now())

    def cut(self, cause: CutCause, holding: Holding) -> None:
        """Counts and logs what gave way."""
        self._metrics.caller_cut(cause)
        log_event(
            logger,
            "caller_cut",
            cause=cause.value,
            owner=holding.owner,
            held=holding.size,
            pool=holding.pool.value,
            idle=round(self.now() - holding.progress_at, 2),
        )

    def cut_idle(self, address: str, idle: float) -> None:
        """Counts and logs an idle connection that gave way to a new one."""
        cause = CutCause.IDLE_CONNECTION
        self._metrics.caller_cut(cause)
        log_event(logger, "caller_cut", cause=cause.value, owner=address, idle=round(idle, 2))

    def _evict(self, holding: Holding, cut: Callable[[], None]) -> None:
        is_answer = holding.pool is Pool.ANSWERS
        self.cut(CutCause.UNREAD_ANSWER if is_answer else CutCause.STALLED_HEAD, holding)
        cut()
