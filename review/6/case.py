"""A caller of a dropped route, and what its next request on the kept channel gets."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from http_caller import Channel, Link  # noqa: E402
from small_world import World, main, route  # noqa: E402

PAIRS = 60
TO_REQUESTERS_SECONDS = 0.003
LEAST_BODY_BYTES = 70_000
MOST_BODY_BYTES = 100_000
IN_FORCE_SECONDS = 3.0

PROMPT = {
    "X_Bilberryplank_Model": "m",
    "X_Bilberryplank_Token_Usage": "1460,80",
    "X_Bilberryplank_Prompt_Prefix": "5c1e07a2:800,e4402b7d:660",
}


async def case(record, trouble):
    """Returns the faults found."""
    world = World(record)
    kept = [route("look", "safe", "wuno96b")]
    recon = route("recon", "streaming", "huvo11a", timeout_ms=8000, max_attempts=1)
    world.routes = [recon, *kept]
    await world.start({"i-a": "huvo11a", "i-b": "wuno96b"})
    entry = world.entries[0]
    link = Link(entry.ip, entry.port, TO_REQUESTERS_SECONDS)
    port = await link.start()
    try:
        if trouble:
            world.routes = kept
            await world.write_config()
        await asyncio.sleep(IN_FORCE_SECONDS)
        rng = random.Random(1)
        return [
            fault
            for number in range(PAIRS)
            if (fault := await pair(world, port, record, number, rng)) is not None
        ]
    finally:
        link.stop()
        await world.stop()


async def pair(world, port, record, number, rng):
    """Sends two requests on one channel; returns what was wrong with the second's answer."""
    size = int(rng.uniform(LEAST_BODY_BYTES, MOST_BODY_BYTES))
    channel = await Channel.open("127.0.0.1", port)
    try:
        channel.send("POST", "/recon/2f", f"a{number}", 8000, b"x" * size, **PROMPT)
        first = await asyncio.wait_for(channel.answer(), 10)
        text = f"pair {number}: {size} bytes: {first.status} for {first.request_id}"
        if not channel.is_usable:
            # A caller that looks before it sends takes a new channel.
            record(f"{text}; the channel was closed before the next request")
            return None
        channel.send("GET", "/look/2f", f"b{number}", 600)
        second = await asyncio.wait_for(channel.answer(), 10)
    except (OSError, asyncio.IncompleteReadError) as exc:
        record(f"pair {number}: {size} bytes: {exc!r}")
        return None
    finally:
        channel.close()
    ran = [name for name, _ in world.runs(f"b{number}")]
    record(f"{text}; then {second.status} for {second.request_id}, run by {ran}")
    # Its own head has some 200 bytes: a 431 is meant for the bytes of the first request.
    is_foreign = second.status == 431 or second.request_id not in (None, f"b{number}")
    if not is_foreign:
        return None
    return f"MIXED: b{number} got {second.status} {second.body[:60]!r} and was run by {ran}"


main(case, FOLDER, trouble=os.environ.get("TROUBLE", "1") != "0")
