"""A runner in trouble sends interim answers without end, and never its own."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    InterimAnswers,
    World,
    desired_state,
    route,
    run_case,
)

TIMEOUT_MS = 600
ANSWER_LATER = 0.5
LEAST = 8
WARM_UP = 6.0
WATCHED = 12.0
PAUSE = 0.05
STREAM_LIMIT_MS = 8000
STREAMS = 8
ENGINE = {"slots": 64, "kv_tokens": 647156, "stride": 5}
SERVICES = {"plain": None, "engines": ENGINE}
ROUTES = [
    route("look", "safe", "plain", timeout_ms=TIMEOUT_MS, max_attempts=2),
    route("chat", "streaming", "engines", timeout_ms=STREAM_LIMIT_MS),
]
STREAM_FIELDS = {
    "X-Bilberryplank-Model": "m",
    "X-Bilberryplank-Token-Usage": "300,50",
    "X-Bilberryplank-Prompt-Prefix": "aa11:200,bb22:100",
}


async def play():
    """Plays the case; returns the exit code."""
    world = World(HERE, network=45, entries=2)
    runner = InterimAnswers("e1", world.record)
    try:
        ready = await world.start(
            desired_state(7, ROUTES, SERVICES), {"p1": "plain", "p2": "plain"}
        )
        await world.add_runner("e1", "engines", runner)
        if not ready:
            print("an entry did not become ready")
            return NOT_RUN
        asked = []

        async def ask_all(until):
            while world.record.now() < until:
                for each in world.entries:
                    asked.append(asyncio.create_task(world.ask(each, "look")))
                await asyncio.sleep(PAUSE)

        await ask_all(WARM_UP)
        runner.in_trouble = TROUBLE
        for each in world.entries * STREAMS:
            stream = world.ask(each, "chat", limit_ms=STREAM_LIMIT_MS, **STREAM_FIELDS)
            asked.append(asyncio.create_task(stream))
        await ask_all(WARM_UP + WATCHED)
        await asyncio.gather(*asked)
    finally:
        await world.stop()
        await runner.stop()
    took = [seconds for name, seconds in world.took if name == "look"]
    waiting = [seconds for seconds in took if seconds > TIMEOUT_MS / 1000]
    late = [seconds for seconds in waiting if seconds > TIMEOUT_MS / 1000 + ANSWER_LATER]
    print(f"{len(took)} requests; {len(waiting)} without an answer at the route's timeout_ms,")
    print(f"{len(late)} half a second later; the longest waited {max(took):.2f} s")
    print(f"the runner sent {runner.sent / 1e6:.1f} MB of interim answers")
    return BROKEN if len(late) >= LEAST and len(late) > len(waiting) / 2 else HELD


run_case(play)
