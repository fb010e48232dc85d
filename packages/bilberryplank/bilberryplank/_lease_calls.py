"""Waits for the answers to calls under a lease, before the lease is given up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberryplank_core.direct import LeaseHolder

POLL_SECONDS = 0.02


async def wait_answered(lease: LeaseHolder) -> None:
    """Returns once no call under a lease waits for its answer.

    To be called after `relinquish`, so that no further call begins meanwhile.

    Each call has a timeout. One that has failed is not waited for: its lease is left to expire.
    """
    # Calls end in other tasks, and in the core, which knows no events of the loop.
    while lease.awaits_answer():  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
