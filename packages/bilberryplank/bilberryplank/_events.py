"""Waits for an event, or for some time."""

from __future__ import annotations

import asyncio


async def set_within(event: asyncio.Event, seconds: float) -> bool:
    """Waits for an event and clears it; returns False where it did not come in time."""
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await event.wait()
    except TimeoutError:
        return False
    event.clear()
    return True
