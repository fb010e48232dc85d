"""Exhaustive breadth-first exploration of interleavings, for the tests of this package.

Each process is a coroutine that stops at every call of the table. The explorer decides which
process goes on, when time passes, and what becomes of each call; a process that is not chosen is
frozen. Paths are replayed from the start, and states met before are not entered again.
"""

import copy

from bilberryplank_core.contracts import Table
from bilberryplank_core.errors import Conflict, PlatformUnavailable
from bilberryplank_core.tests._memory_platform import MemoryTable


class Call:
    def __init__(self, name, args):
        self.name = name
        self.args = args

    def __await__(self):
        return (yield self)


class StepTable(Table):
    async def read(self, table, key):
        return await Call("read", (table, key))

    async def scan(self, table, prefix="", limit=1000):
        return await Call("scan", (table, prefix, limit))

    async def commit(self, conditions, writes):
        return await Call("commit", (conditions, writes))


class Process:
    """A coroutine and the call at which it stands; None once it has ended.

    Attributes:
        trace: What the calls gave since the program last began anew; a program clears it where
            it keeps nothing of what went before.
    """

    def __init__(self, program):
        self.trace = []
        self.call = None
        self.coroutine = program(self)
        self.go_on(None)

    def go_on(self, result):
        self.trace.append(repr(result))
        try:
            if isinstance(result, Exception):
                self.call = self.coroutine.throw(result)
            else:
                self.call = self.coroutine.send(result)
        except StopIteration:
            self.call = None


class SharingTable(MemoryTable):
    """A table that copies no values; the code under test changes none."""

    @staticmethod
    def _copy(value):
        return value


class World:
    """Processes over one table; subclasses say what they do and what must hold.

    Attributes:
        budget: Faults that may still strike: lost answers, stale reads, late commits.
    """

    tick = 1.0
    budget = 2
    ticks = 12

    def __init__(self):
        self.now = 0.0
        self.table = SharingTable()
        self.history = [{}]
        self.late = []
        self.processes = []

    def choices(self):
        for index, process in enumerate(self.processes):
            if process.call is None:
                continue
            yield ("answer", index)
            if self.budget and process.call.name == "commit":
                yield from (("lose", index), ("fail", index))
                if not self.late:
                    yield ("delay", index)
            elif self.budget and len(self.history) > 1:
                yield ("stale", index)
        if self.late:
            yield ("land", 0)
        if self.ticks:
            yield ("tick", 0)

    def take(self, choice):
        action, index = choice
        if action == "tick":
            self.ticks -= 1
            self.now += self.tick
            return
        if action == "land":
            self.run(self.late.pop())
            return
        process = self.processes[index]
        if action != "answer":
            self.budget -= 1
        if action == "delay":
            self.late.append(process.call)
        result = None if action in ("fail", "delay") else self.run(process.call, action == "stale")
        if action in ("lose", "fail", "delay"):
            result = PlatformUnavailable("answer lost")
        process.go_on(result)

    def run(self, call, stale=False):
        rows = self.table.rows
        if stale:
            self.table.rows = self.history[-2]
        try:
            coroutine = getattr(self.table, call.name)(*call.args)
            coroutine.send(None)
        except StopIteration as exc:
            return exc.value
        except Conflict as exc:
            return exc
        finally:
            if stale:
                self.table.rows = rows
            elif self.table.rows != self.history[-1]:
                self.history.append(copy.copy(self.table.rows))
        raise AssertionError("the table waited")

    def snapshot(self):
        calls = [(repr(vars(p.call)), *p.trace) if p.call else () for p in self.processes]
        late = [repr(vars(call)) for call in self.late]
        rows = repr(sorted(self.table.rows.items()))
        return (rows, repr(self.history[-2:-1]), *calls, *late, self.budget, self.state())

    def state(self):
        raise NotImplementedError

    def check(self):
        raise NotImplementedError


def replay(make_world, path):
    world = make_world()
    for choice in path:
        world.take(choice)
    return world


def explore(make_world, depth):
    """Returns the number of states met; raises what `check` of a world raises, with the path."""
    seen = set()
    frontier = [((), list(make_world().choices()))]
    for _ in range(depth):
        following = []
        for path, choices in frontier:
            for choice in choices:
                world = replay(make_world, (*path, choice))
                try:
                    world.check()
                except AssertionError as exc:
                    raise AssertionError(f"{exc} after {(*path, choice)}") from exc
                mark = hash(world.snapshot())
                if mark not in seen:
                    seen.add(mark)
                    following.append(((*path, choice), list(world.choices())))
        frontier = following
    return len(seen)
