"""Exhaustive breadth-first exploration of interleavings (a small model checker for tests).

Each process is a coroutine that suspends at every table call. The explorer chooses which process
to resume, when time advances and how each call ends: answered, lost, failed, delayed or stale.
Paths are replayed from the initial state; a state that was visited before is not expanded again.
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
    """A coroutine and the call it is waiting for; None once it has finished.

    Attributes:
        trace: Results of the calls so far. A program that loops clears it at the point where it
            keeps no state from earlier calls, so that equal states compare equal.
    """

    def __init__(self, program):
        self.trace = []
        self.call = None
        self.coroutine = program(self)
        self.resume(None)

    def resume(self, result):
        self.trace.append(repr(result))
        try:
            if isinstance(result, Exception):
                self.call = self.coroutine.throw(result)
            else:
                self.call = self.coroutine.send(result)
        except StopIteration:
            self.call = None


class UncopiedTable(MemoryTable):
    """A table that does not copy values, for speed; the code under test does not modify them."""

    @staticmethod
    def _copy(value):
        return value


class SystemModel:
    """Processes that share one table; subclasses define the programs and the invariants.

    Attributes:
        tick_seconds: Seconds by which one tick advances the clock.
        remaining_faults: Faults that may still be injected: lost responses, failed calls, stale
            reads, delayed commits.
        remaining_ticks: Ticks by which the clock may still advance.
    """

    tick_seconds = 1.0
    remaining_faults = 2
    remaining_ticks = 12

    def __init__(self):
        self.now = 0.0
        self.table = UncopiedTable()
        self.history = [{}]
        self.delayed_commits = []
        self.processes = []

    def choices(self):
        for index, process in enumerate(self.processes):
            if process.call is None:
                continue
            yield ("answer", index)
            if self.remaining_faults and process.call.name == "commit":
                yield from (("lose", index), ("fail", index))
                if not self.delayed_commits:
                    yield ("delay", index)
            elif self.remaining_faults and len(self.history) > 1:
                yield ("stale", index)
        if self.delayed_commits:
            yield ("land", 0)
        if self.remaining_ticks:
            yield ("tick", 0)

    def apply_choice(self, choice):
        action, index = choice
        if action == "tick":
            self.remaining_ticks -= 1
            self.now += self.tick_seconds
            return
        if action == "land":
            self.run_call(self.delayed_commits.pop())
            return
        process = self.processes[index]
        if action != "answer":
            self.remaining_faults -= 1
        if action == "delay":
            self.delayed_commits.append(process.call)
        result = (
            None if action in ("fail", "delay") else self.run_call(process.call, action == "stale")
        )
        if action in ("lose", "fail", "delay"):
            result = PlatformUnavailable("answer lost")
        process.resume(result)

    def run_call(self, call, stale=False):
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
        delayed_commits = [repr(vars(call)) for call in self.delayed_commits]
        rows = repr(sorted(self.table.rows.items()))
        return (
            rows,
            repr(self.history[-2:-1]),
            *calls,
            *delayed_commits,
            self.remaining_faults,
            self.state(),
        )

    def state(self):
        raise NotImplementedError

    def check(self):
        raise NotImplementedError


def replay(make_model, path):
    model = make_model()
    for choice in path:
        model.apply_choice(choice)
    return model


def explore(make_model, depth):
    """Returns the number of distinct states; adds the path to a failure of `check`."""
    seen = set()
    frontier = [((), list(make_model().choices()))]
    for _ in range(depth):
        next_frontier = []
        for path, choices in frontier:
            for choice in choices:
                model = replay(make_model, (*path, choice))
                try:
                    model.check()
                except AssertionError as exc:
                    raise AssertionError(f"{exc} after {(*path, choice)}") from exc
                fingerprint = hash(model.snapshot())
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    next_frontier.append(((*path, choice), list(model.choices())))
        frontier = next_frontier
    return len(seen)
