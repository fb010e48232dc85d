"""A key is withdrawn, the store comes back from an older copy, and an entry is added."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_3 import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    CannotRun,
    Entry,
    Server,
    StandInStore,
    call,
    desired_state,
    route,
    run_case,
    server_row,
)

COPY_AGE = 5.0
"""Seconds by which the copy is older than the return of the store."""

AWAY = 1.0
SETTLED = 3.0
"""Seconds between the ack and the absence; `converge_ms` is 2,000."""

REWRITTEN_AFTER = float(os.environ.get("REWRITTEN_AFTER", "4"))
"""Seconds from the return of the store until the operator has written again."""

REVOKE = BOUNDS["revoke_ms"] / 1000
ROUTES = [route("book", "unsafe", "plain")]
BEFORE = desired_state(7, {"kept": ["key-kept"], "old": ["key-withdrawn"]}, ROUTES)
AFTER = desired_state(9, {"kept": ["key-kept"], "old": []}, ROUTES)


async def play(record, folder, started):
    """Plays the case; returns True where the rule was broken."""
    store = StandInStore()
    address = (await store.start()).removeprefix("http://")
    await store.put("op", "config", BEFORE)
    server = Server("i-1", record)
    await store.put("servers", "i-1", server_row(await server.start()))
    first, added = (Entry(number, folder, address, address) for number in (1, 2))
    started += [first, added]
    acked = await withdraw_and_return(record, store, first)
    await added.start()
    record.note(f"{added.name} is added")
    await expect_ready(added)
    record.note(f"{added.name} says that it is ready")
    late = await send_late(record, (first, added), acked)
    await asyncio.sleep(1.0)
    if await call(added, "/book/0", "kept", "key-kept", record) != 200:
        raise CannotRun("the added entry serves nobody")
    ran = sorted(late & {request_id for _, request_id in server.runs})
    record.note(
        f"{len(late)} requests with the key were sent later than {REVOKE:g} s after the ack"
    )
    record.note(f"of these ran: {', '.join(ran) or 'none'}")
    return bool(ran)


async def expect_ready(entry):
    """Waits until an entry says that it is ready."""
    if not await entry.wait_ready(30):
        raise CannotRun(f"{entry.name} did not become ready")


async def withdraw_and_return(record, store, first):
    """Has the key withdrawn, and the store come back; returns when the withdrawal was acked."""
    await first.start()
    await expect_ready(first)
    if await call(first, "/book/1", "before", "key-withdrawn", record) != 200:
        raise CannotRun("a request with the key was not served before")
    kept = store.copy()
    await asyncio.sleep(COPY_AGE - AWAY - SETTLED)
    await store.put("op", "config", AFTER)
    acked = time.monotonic()
    record.note("the operator: version 9 without key-withdrawn is acknowledged")
    await asyncio.sleep(SETTLED)
    if await call(first, "/book/2", "after-ack", "key-withdrawn", record) != 401:
        raise CannotRun("the withdrawn key was not refused by the first entry")
    if TROUBLE:
        store.misbehaviour.down = True
        record.note("the store is away")
    await asyncio.sleep(AWAY)
    if TROUBLE:
        store.restore(kept, write_again_after=REWRITTEN_AFTER)
        record.note(f"the store is back from a copy {COPY_AGE:g} s old, Store-Era: {store.era}")
    return acked


async def send_late(record, entries, acked):
    """Sends requests with the withdrawn key; returns the ids of those that must not run."""
    late = set()
    until = acked + SETTLED + AWAY + max(REWRITTEN_AFTER + 2.0, 8.0)
    number = 0
    while time.monotonic() < until:
        number += 1
        for entry in entries:
            request_id = f"late-{number}-{entry.name}"
            if time.monotonic() > acked + REVOKE:
                late.add(request_id)
            await call(entry, f"/book/{number}", request_id, "key-withdrawn", record)
        await asyncio.sleep(0.25)
    return late


run_case(FOLDER, play)
