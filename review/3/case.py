"""Runners drain one by one after the machines that read the store for others lost power."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import (  # noqa: E402
    BROKEN,
    GROWN_BOUNDS,
    HELD,
    NOT_RUN,
    TROUBLE,
    World,
    desired_state,
    route,
    run_case,
)

DRAIN = GROWN_BOUNDS["drain_ms"] / 1000
MARGIN = 0.2
ENTRIES = 9
LOST_AT_MOST = 5
SETTLED = 12.0
LOOKED_FOR = 8.0
DRAINS_AFTER = 0.3
WATCHED = 2.0
DRAIN_GAP = 6.2
PAUSE = 0.25
SLOTS = 2
SERVICES = {"plain": None}
RUNNERS = {f"p{number:02d}": "plain" for number in range(1, 9)}
AT_ONCE = SLOTS * len(RUNNERS)
DRAINED = ("p01", "p02", "p03", "p04")


async def play():
    """Plays the case; returns the exit code."""
    world = World(HERE, network=43, entries=ENTRIES, bounds=GROWN_BOUNDS, slots=SLOTS)
    state = desired_state(7, [route("look", "safe", "plain", max_attempts=2)], SERVICES)
    lost, acked = [], {}
    try:
        if not await world.start(state, RUNNERS):
            print("an entry did not become ready")
            return NOT_RUN

        async def ask_all(until, at_once=1):
            while world.record.now() < until:
                standing = [each for each in world.entries if each not in lost] * at_once
                asked = [asyncio.create_task(world.ask(each, "look")) for each in standing]
                await asyncio.sleep(PAUSE)
                await asyncio.gather(*asked)

        await ask_all(SETTLED)
        before = {each: each.wire.reads for each in world.entries}
        await ask_all(SETTLED + LOOKED_FOR)
        readers = [each for each in world.entries if each.wire.reads > before[each]]
        if len(readers) > LOST_AT_MOST:
            print(f"{len(readers)} entries read the runners' changes for themselves")
            return NOT_RUN
        if TROUBLE:
            lost += readers
            for each in lost:
                each.signal(signal.SIGKILL)
            names = ", ".join(each.name for each in lost)
            world.record.note(f"{names} lose power for good")
        await ask_all(world.record.now() + DRAINS_AFTER)
        for name in DRAINED:
            acked[name] = await world.drain_runner(name)
            await ask_all(acked[name] + DRAIN + MARGIN)
            await ask_all(acked[name] + DRAIN + WATCHED, at_once=AT_ONCE)
            await ask_all(acked[name] + DRAIN_GAP)
    finally:
        await world.stop()
    sent = {each.request_id: each for each in world.answers}
    late = [
        (at, name, sent[request_id])
        for at, name, request_id in world.runs()
        if name in acked and sent[request_id].sent >= acked[name] + DRAIN + MARGIN
    ]
    print(f"{len(world.answers)} requests; {len(late)} reached a draining runner too late")
    for at, name, each in late:
        print(f"{each.entry}: {each.request_id} at {name} {at - acked[name]:.2f} s after the ack")
    return BROKEN if late else HELD


run_case(play)
