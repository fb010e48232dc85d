"""In-memory platform services with fault injection, for the tests of this package."""

import copy
from collections import deque
from enum import Enum

from bilberryplank_core.contracts import ObjectStore, Put, Row, Table
from bilberryplank_core.direct import EraTracker
from bilberryplank_core.errors import Conflict, PlatformUnavailable


class TableFault(Enum):
    DOWN = "down"
    LOST_ANSWER = "lost_answer"


class MemoryTable(Table):
    """An in-memory table service.

    `faults` are applied to the next commits in order; `down` makes every call fail. Between
    `freeze_reads` and `thaw_reads`, reads and scans return the rows as they were at the freeze.
    """

    def __init__(self):
        self.rows = {}
        self.down = False
        self.faults = deque()
        self.reads = self.writes = 0
        self.on_commit = self.after_commit = None
        self._revision = 0
        self._stale_rows = None

    _copy = staticmethod(copy.deepcopy)

    def freeze_reads(self):
        self._stale_rows = dict(self.rows)

    def thaw_reads(self):
        self._stale_rows = None

    def _readable_rows(self):
        if self.down:
            raise PlatformUnavailable("table is down")
        return self.rows if self._stale_rows is None else self._stale_rows

    async def read(self, table, key):
        self.reads += 1
        row = self._readable_rows().get((table, key))
        return self._copy(row)

    async def scan(self, table, prefix="", limit=1000):
        self.reads += 1
        keys = sorted(k for k in self._readable_rows() if k[0] == table and k[1].startswith(prefix))
        return [self._copy(self._readable_rows()[k]) for k in keys[:limit]]

    async def commit(self, conditions, writes):
        fault = self.faults.popleft() if self.faults else None
        if self.down or fault is TableFault.DOWN:
            raise PlatformUnavailable("table is down")
        if self.on_commit is not None:
            hook, self.on_commit = self.on_commit, None
            await hook()
        revision = self._apply(conditions, writes)
        if self.after_commit is not None:
            hook, self.after_commit = self.after_commit, None
            await hook()
        if fault is TableFault.LOST_ANSWER:
            raise PlatformUnavailable("answer lost")
        return revision

    def _apply(self, conditions, writes):
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if (row.revision if row else 0) != condition.revision:
                raise Conflict(f"{condition.key} has another revision")
        self._revision += 1
        self.writes += 1
        for write in writes:
            row_key = (write.table, write.key)
            if isinstance(write, Put):
                value = self._copy(write.value)
                self.rows[row_key] = Row(write.table, write.key, value, self._revision)
            else:
                self.rows.pop(row_key, None)
        return self._revision


class RestoredTable(Table):
    """A process's view of a table service that comes back from older copies of itself.

    Attributes:
        eras: Eras as this process knows them.
    """

    def __init__(self, store, eras=None):
        self.store = store
        self.eras = eras or EraTracker()

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def _answered(self, call):
        sent_in = self.eras.current
        try:
            result = await call
        except Conflict:
            self.eras.record_answer(sent_in, self.store.era)
            raise
        self.eras.record_answer(sent_in, self.store.era)
        return result

    async def read(self, table, key):
        return await self._answered(self.store.read(table, key))

    async def scan(self, table, prefix="", limit=1000):
        return await self._answered(self.store.scan(table, prefix, limit))

    async def commit(self, conditions, writes):
        era = self.eras.current if conditions else 0
        return await self._answered(self.store.commit_in(era, conditions, writes))


class RestorableTable(MemoryTable):
    """A table service that can come back from a copy: its revisions are given out again.

    Attributes:
        era: Number of the present era.
        opened: The latest era in which a conditional write was made; those of others fail.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.opened = 0

    async def commit_in(self, era, conditions, writes):
        """Writes as a process does that knows an era; 0 for a write on no conditions."""
        if era == self.era:
            self.opened = era
        if era and self.opened and era != self.opened:
            raise Conflict("the row of the era has another revision")
        return await self.commit(conditions, writes)

    def keep_copy(self):
        return dict(self.rows), self._revision

    def restore(self, kept):
        rows, self._revision = kept
        self.rows = dict(rows)
        self.era += 1


class MemoryObjectStore(ObjectStore):
    def __init__(self):
        self.objects = {}
        self.down = False

    def _check(self):
        if self.down:
            raise PlatformUnavailable("object store is down")

    async def put(self, name, data):
        self._check()
        self.objects[name] = data

    async def get(self, name):
        self._check()
        return self.objects.get(name)

    async def names(self, prefix=""):
        self._check()
        return sorted(name for name in self.objects if name.startswith(prefix))

    async def delete(self, name):
        self._check()
        self.objects.pop(name, None)
