"""Stand-in of the users' platform: its store of rows, and its interface for usage reports.

Written from the published protocol: rows with one version counter, transactions under conditions, a
feed of changes with a bounded history, refusals, answers that are lost, and returns from an older
copy, of which the era in each answer tells.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from aiohttp import web

from bilberryplank_testing._server import FakeServer

MAX_ROWS = 500
MS_PER_SECOND = 1000
RowKey = tuple[str, str, str]


@dataclass(slots=True)
class StoreFaults:
    """How the stand-in misbehaves.

    Attributes:
        status: Every call is refused with it; None for none.
        lose_answers: Writes are done, and their connections closed without an answer.
        lose_history: The next read of changes finds none of what it asks for.
        era: Written in place of the era; None for none.
        down: The store closes each connection unanswered; usage reports are taken as before.
            Writes that reach it may be done after the next restore, if their conditions hold then.
    """

    status: int | None = None
    lose_answers: bool = False
    lose_history: bool = False
    era: str | None = None
    down: bool = False


@dataclass(slots=True)
class _Change:
    version: int
    key: RowKey
    value: str | None


@dataclass(slots=True)
class _Rows:
    version: int = 0
    rows: dict[RowKey, tuple[str, int]] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)

    def copy(self) -> _Rows:
        return _Rows(self.version, dict(self.rows), list(self.changes))

    def apply(self, puts: list[tuple[RowKey, str]], deletes: list[RowKey]) -> int:
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.changes.append(_Change(self.version, key, value))
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                self.changes.append(_Change(self.version, key, None))
        return self.version


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """A copy of the store's rows and of its version counter."""

    rows: _Rows


class StandInStore(FakeServer):
    """The store and the usage interface on one address.

    Attributes:
        misbehaviour: Faults in force.
        reports: Usage reports that were accepted, in order: window, counts, holder, number.
        calls: Calls by path.
        era: Number of the present era.
    """

    def __init__(self) -> None:
        self.misbehaviour = StoreFaults()
        self.reports: list[tuple[int, dict[str, int], str, int]] = []
        self.calls: dict[str, int] = {}
        self.era = 1
        self._rows = _Rows()
        self._own: dict[RowKey, str | None] = {}
        self._late: list[dict[str, Any]] = []
        self._feeds: set[asyncio.BaseTransport] = set()
        self._writing_again: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Condition()
        super().__init__(("store",))
        self.app.on_response_prepare.append(self._tell_era)
        router = self.app.router
        router.add_get("/api/rows-get", self._get)
        router.add_get("/api/rows-feed", self._feed)
        router.add_post("/api/rows-tx", self._transact)
        router.add_post("/usage", self._report)

    async def put(self, table: str, key: str, value: Any) -> int:
        """Writes a row as the operator or an upstream does."""
        text = value if isinstance(value, str) else base64.b64encode(_dump(value)).decode()
        self._own[table, "", key] = text
        return await self._apply([((table, "", key), text)], [])

    async def delete(self, table: str, key: str) -> int:
        """Removes a row as the operator or an upstream does."""
        self._own[table, "", key] = None
        return await self._apply([], [(table, "", key)])

    def value(self, table: str, key: str, part: str = "") -> Any:
        """Returns the value of a row; None where there is none."""
        found = self._rows.rows.get((table, part, key))
        return None if found is None else json.loads(base64.b64decode(found[0]))

    def keys(self, table: str) -> list[str]:
        """Returns the keys of a table's rows in all parts."""
        return sorted(key for name, _, key in self._rows.rows if name == table)

    def copy(self) -> StoreCopy:
        """Returns a copy from which the store may come back later."""
        return StoreCopy(self._rows.copy())

    def restore(self, kept: StoreCopy, write_again_after: float | None = None) -> None:
        """Comes back from a copy: what was written since is gone, and a new era begins.

        Changes that are waited for are cut off; writes that came while the store was down are done.

        Args:
            kept: The copy.
            write_again_after: Seconds until the operator and the upstreams have written again what
                they wrote since; 0 for before the first answer, None for never.
        """
        self._rows = kept.rows.copy()
        self.era += 1
        self.misbehaviour.down = False
        for transport in self._feeds:
            transport.abort()
        if write_again_after == 0:
            self._write_again()
        elif write_again_after is not None:
            task = asyncio.create_task(self._write_again_later(write_again_after))
            self._writing_again.add(task)
            task.add_done_callback(self._writing_again.discard)
        late, self._late = self._late, []
        for body in late:
            self._perform(body)

    async def stop(self) -> None:
        """Closes the listening socket and every connection; nothing is written again."""
        for task in self._writing_again:
            task.cancel()
        await super().stop()

    async def _write_again_later(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._write_again()
        async with self._changed:
            self._changed.notify_all()

    def _write_again(self) -> None:
        for key, value in self._own.items():
            found, _ = self._rows.rows.get(key, (None, 0))
            if value is None and found is not None:
                self._rows.apply([], [key])
            elif value is not None and value != found:
                self._rows.apply([(key, value)], [])

    async def _tell_era(self, request: web.Request, resp: web.StreamResponse) -> None:
        if request.path.startswith("/api/"):
            resp.headers["Store-Era"] = self.misbehaviour.era or str(self.era)

    async def _apply(self, puts: list[tuple[RowKey, str]], deletes: list[RowKey]) -> int:
        version = self._rows.apply(puts, deletes)
        async with self._changed:
            self._changed.notify_all()
        return version

    async def _get(self, request: web.Request) -> web.Response:
        if (refused := self._refusal(request)) is not None:
            return refused
        table, part = request.query["table"], request.query.get("part", "")
        start, end = request.query.get("from", ""), request.query.get("to")
        found = [
            _shown(key, value, version)
            for key, (value, version) in sorted(self._rows.rows.items())
            if key[:2] == (table, part) and key[2] >= start and (end is None or key[2] < end)
        ]
        limit = min(int(request.query.get("limit", MAX_ROWS)), MAX_ROWS)
        return self._answer(rows=found[:limit], has_more=len(found) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        if (refused := self._refusal(request)) is not None:
            return refused
        if self.misbehaviour.lose_history:
            self.misbehaviour.lose_history = False
            return web.json_response({}, status=HTTPStatus.GONE)
        table, after = request.query["table"], int(request.query["after"])
        if after > self._rows.version:
            return web.json_response({}, status=HTTPStatus.GONE)
        wait = int(request.query.get("wait_ms", 0)) / MS_PER_SECOND
        assert request.transport is not None
        self._feeds.add(request.transport)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: bool(self._since(table, after)))
        except TimeoutError:
            pass
        finally:
            self._feeds.discard(request.transport)
        rows = [
            {**_shown(each.key, each.value or "", each.version), "deleted": each.value is None}
            for each in self._since(table, after)
        ]
        return self._answer(rows=rows)

    def _since(self, table: str, after: int) -> list[_Change]:
        return [
            each for each in self._rows.changes if each.version > after and each.key[0] == table
        ]

    async def _transact(self, request: web.Request) -> web.Response:
        if (refused := self._refusal(request)) is not None:
            return refused
        body = await request.json()
        if self.misbehaviour.down:
            self._late.append(body)
            return self._cut_off(request)
        everything = body["expect"] + body["puts"] + body["deletes"]
        if len({each["part"] for each in everything}) > 1:
            return web.json_response({}, status=HTTPStatus.BAD_REQUEST)
        if not self._perform(body):
            return web.json_response({"rows": []}, status=HTTPStatus.PRECONDITION_FAILED)
        async with self._changed:
            self._changed.notify_all()
        return self._cut_off(request) if self.misbehaviour.lose_answers else self._answer()

    def _perform(self, body: dict[str, Any]) -> bool:
        """Does a transaction; returns False where its conditions do not hold."""
        for each in body["expect"]:
            _, version = self._rows.rows.get(_key(each), ("", 0))
            if version != each["ver"]:
                return False
        puts = [(_key(each), each["value"]) for each in body["puts"]]
        self._rows.apply(puts, [_key(each) for each in body["deletes"]])
        return True

    async def _report(self, request: web.Request) -> web.Response:
        if (refused := self._refusal(request)) is not None:
            return refused
        body = await request.json()
        fields = request.headers
        holder = fields["X-Bilberryplank-Duty-Holder"]
        number = int(fields["X-Bilberryplank-Fencing-Token"])
        self.reports.append((body["window"], body["counts"], holder, number))
        return web.Response()

    def _refusal(self, request: web.Request) -> web.Response | None:
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        status = self.misbehaviour.status
        if status is not None:
            return web.json_response({}, status=status)
        down = self.misbehaviour.down and request.method == "GET"
        return self._cut_off(request) if down else None

    @staticmethod
    def _cut_off(request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    def _answer(self, **fields: Any) -> web.Response:
        steady = int(time.monotonic() * MS_PER_SECOND)
        return web.json_response({**fields, "ver": self._rows.version, "now_ms": steady})


def _dump(value: Any) -> bytes:
    return json.dumps(value).encode()


def _key(row: dict[str, Any]) -> RowKey:
    return row["table"], row["part"], row["key"]


def _shown(key: RowKey, value: str, version: int) -> dict[str, Any]:
    return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}
