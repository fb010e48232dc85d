"""A route moves and a key is withdrawn while the open channels to the store have gone silent."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    KEY,
    NOT_RUN,
    TROUBLE,
    World,
    desired_state,
    route,
    run_case,
)

CONTACT = BOUNDS["contact_ms"] / 1000
CONVERGE = BOUNDS["converge_ms"] / 1000
MARGIN = 0.1
ROUNDS = 4
CALM = 12.0
CHANGED_AFTER = 0.3
WATCHED = 4.0
LENT = "key-lent"
SERVICES = {"early": None, "late": None}
RUNNERS = {"e1": "early", "e2": "early", "l1": "late", "l2": "late"}


def state(version, service, keys):
    """Returns a desired state in which the route goes to one service."""
    return desired_state(version, [route("look", "safe", service, max_attempts=2)], SERVICES, keys)


async def play():
    """Plays the case; returns the exit code."""
    world = World(HERE, network=42, entries=7)
    late = []
    try:
        if not await world.start(state(7, "early", (KEY, LENT)), RUNNERS):
            print("an entry did not become ready")
            return NOT_RUN
        for number in range(ROUNDS):
            before, after = ("early", "late") if number % 2 == 0 else ("late", "early")
            late += await play_round(world, 10 * number + 10, before, after)
    finally:
        await world.stop()
    with_key = sum(each.key == LENT for each, _ in late)
    print(f"{len(world.answers)} requests; {len(late)} run as only the older version allows,")
    print(f"{with_key} of them with the withdrawn key")
    for _, text in late[:3] + late[-1:]:
        print(text)
    return BROKEN if late else HELD


async def play_round(world, version, before, after):
    """Plays one silence and one change; returns the requests that ran too late, with a text."""
    until = world.record.now() + CALM
    await world.write_state(state(version, before, (KEY, LENT)))
    while world.record.now() < until:
        await asyncio.gather(*(world.ask(each, "look") for each in world.entries))
        await asyncio.sleep(0.1)
    silent_at = world.record.now()
    if TROUBLE:
        channels = sum(each.wire.silence() for each in world.entries)
        world.record.note(f"all {channels} open channels to the store go silent", silent_at)
    await asyncio.sleep(CHANGED_AFTER)
    acked = await world.write_state(state(version + 2, after, (KEY,)))
    judged_from = max(silent_at + CONTACT, acked + CONVERGE) + MARGIN
    while world.record.now() < judged_from + WATCHED:
        moved = [world.ask(each, "look") for each in world.entries]
        withdrawn = [world.ask(each, "look", key=LENT) for each in world.entries]
        await asyncio.gather(*moved, *withdrawn)
        await asyncio.sleep(0.05)
    sent = {each.request_id: each for each in world.answers if each.sent >= judged_from}
    found = []
    for _, name, request_id in world.runs():
        each = sent.get(request_id)
        if each is None or (each.key != LENT and world.rows[name]["service"] != before):
            continue
        text = (
            f"{each.entry}: {request_id} sent {each.sent - acked:.2f} s after the ack, "
            f"{each.sent - silent_at:.2f} s after the channels fell silent"
        )
        found.append((each, text))
    return found


run_case(play)
