"""Log of everything that a fake received, usable as the proof of what ran."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from aiohttp import web

MAX_ENTRIES = 200_000


class RunEnd(str, Enum):
    """How the handling of a request ended.

    Attributes:
        OPEN: It has not.
        WHOLE: Handled and answered.
        CANCELLED: Stopped by its client, or by its id.
        FAILED: The fake crashed under it.
        REFUSED: Answered with an error status; see `effect`.
        CUT_SHORT: Its body never arrived whole.
        ANSWER_LOST: Handled whole, but a fault kept the answer back.
    """

    OPEN = "open"
    WHOLE = "whole"
    CANCELLED = "cancelled"
    FAILED = "failed"
    REFUSED = "refused"
    CUT_SHORT = "cut_short"
    ANSWER_LOST = "answer_lost"


@dataclass(slots=True)
class LogEntry:
    """One received request.

    Attributes:
        number: Position in the log, from 1.
        service: Service that received it.
        request_id: Its `X-Request-Id` header.
        method: HTTP method.
        path: Raw path with its query string.
        headers: Name and value pairs as received.
        body: Body as text, with undecodable bytes as surrogates.
        received_at: Monotonic seconds when its head was read.
        began_at: Monotonic seconds when it began to run; None where it never did.
        ended_at: Monotonic seconds when it ended.
        end: How it ended.
        effect: True once it took effect.
        resumed_from: Tokens that a resumed answer began after.
        tokens: Tokens generated for it.
        status: Status of the answer.
    """

    number: int
    service: str
    request_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    received_at: float
    body: str = ""
    began_at: float | None = None
    ended_at: float | None = None
    end: RunEnd = RunEnd.OPEN
    effect: bool = False
    resumed_from: int = 0
    tokens: int = 0
    status: int = 0

    def begin(self) -> None:
        """Notes that the request began to run and so took effect."""
        self.began_at = _now()
        self.effect = True

    def finish(self, end: RunEnd) -> None:
        """Notes how the request ended; the first call counts."""
        if self.end is RunEnd.OPEN:
            self.end = end
            self.ended_at = _now()


class RunLog:
    """Entries in order of arrival, the oldest dropped above `MAX_ENTRIES`."""

    __slots__ = ("_count", "entries")

    def __init__(self) -> None:
        self.entries: deque[LogEntry] = deque(maxlen=MAX_ENTRIES)
        self._count = 0

    def open(self, service: str, req: web.Request) -> LogEntry:
        """Adds and returns an entry for a request whose head was read."""
        self._count += 1
        entry = LogEntry(
            number=self._count,
            service=service,
            request_id=req.headers.get("X-Request-Id", ""),
            method=req.method,
            path=req.raw_path,
            headers=[_header(pair) for pair in req.raw_headers],
            received_at=_now(),
        )
        self.entries.append(entry)
        return entry

    def of(self, service: str, *, effect: bool | None = None) -> list[LogEntry]:
        """Returns the entries of a service, if asked only those with or without effect."""
        found = [entry for entry in self.entries if entry.service == service]
        return found if effect is None else [entry for entry in found if entry.effect is effect]

    def to_document(self, after: int = 0) -> dict[str, Any]:
        """Returns the entries above a number as JSON values."""
        entries = [asdict(entry) for entry in self.entries if entry.number > after]
        return {"entries": entries, "dropped": self._count - len(self.entries)}


async def read_body(req: web.Request, entry: LogEntry) -> bool:
    """Reads and logs a request's body; returns False where the client cut it short."""
    try:
        body = await req.read()
    except ConnectionError:
        entry.finish(RunEnd.CUT_SHORT)
        return False
    except BaseException:
        entry.finish(RunEnd.CUT_SHORT)
        raise
    entry.body = body.decode(errors="surrogateescape")
    return True


def _header(pair: tuple[bytes, bytes]) -> tuple[str, str]:
    name, value = pair
    return name.decode("latin-1"), value.decode("latin-1")


def _now() -> float:
    return asyncio.get_running_loop().time()
