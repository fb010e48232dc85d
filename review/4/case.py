"""A runner's entry is removed while the open channels to the store have just gone silent."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    World,
    desired_state,
    route,
    run_case,
)

CONTACT = BOUNDS["contact_ms"] / 1000
DRAIN = BOUNDS["drain_ms"] / 1000
MARGIN = 0.5
WARM_UP = 14.0
REMOVED_AFTER = 0.3
WATCHED = 5.0
SERVICES = {"plain": None}
RUNNERS = {f"p{number}": "plain" for number in range(1, 5)}


async def play():
    """Plays the case; returns the exit code."""
    world = World(HERE, network=41, entries=3)
    state = desired_state(7, [route("look", "safe", "plain", max_attempts=2)], SERVICES)
    try:
        if not await world.start(state, RUNNERS):
            print("an entry did not become ready")
            return NOT_RUN
        while world.record.now() < WARM_UP:
            await asyncio.gather(*(world.ask(each, "look") for each in world.entries))
            await asyncio.sleep(0.1)
        silent_at = world.record.now()
        if TROUBLE:
            channels = sum(each.wire.silence() for each in world.entries)
            world.record.note(f"all {channels} open channels to the store go silent", silent_at)
        await asyncio.sleep(REMOVED_AFTER)
        acked = await world.remove_runner("p1")
        # No requester asks for this service until the entries are in touch again.
        judged_from = max(silent_at + CONTACT, acked + DRAIN) + MARGIN
        await asyncio.sleep(judged_from - world.record.now())
        while world.record.now() < judged_from + WATCHED:
            await asyncio.gather(*(world.ask(each, "look") for each in world.entries * 8))
            await asyncio.sleep(0.05)
    finally:
        await world.stop()
    sent = {each.request_id: each.sent for each in world.answers}
    late = [
        (at, request_id)
        for at, name, request_id in world.runs()
        if name == "p1" and sent[request_id] >= judged_from
    ]
    print(f"{len(world.answers)} requests; {len(late)} reached p1 too late")
    for at, request_id in late[:5]:
        print(
            f"{request_id}: {at - acked:.2f} s after the ack, {at - silent_at:.2f} s after silence"
        )
    return BROKEN if late else HELD


run_case(play)
